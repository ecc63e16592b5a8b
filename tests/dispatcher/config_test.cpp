#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "base/errors.h"
#include "dispatcher/dispatcher.h"
#include "support/dispatcher_settings.h"
#include "support/temporary_directory.h"

// Configurations that cannot be used.
namespace stonewing::testing {
namespace {

TEST(DispatcherConfig, NamesWhatIsWrong) {
  auto noFile = [](const char*) { return std::string(); };
  for (auto [text, part] : {std::pair{"nonsense", "JSON"},
                            {"{}", "listen"},
                            {R"({"listen":"a","discovery":"b","state":"c"})", "settings"},
                            {R"({"listen":"a","discovery":"b","state":"c","seed":"zz"})", "seed"},
                            {R"({"listen":1})", "type"}}) {
    try {
      readConfig(text, noFile);
      ADD_FAILURE() << text;
    } catch (const Error& problem) {
      EXPECT_NE(std::string(problem.what()).find(part), std::string::npos) << problem.what();
    }
  }
  DispatcherConfig config;
  config.settings = kDispatcherSettings;
  config.listen = "not an address";
  config.discovery = "127.0.0.1:1";
  TemporaryDirectory folder;
  config.state = folder.path.string();
  config.sockets = 100;
  EXPECT_THROW(Dispatcher{config}, ConfigError);
}

}  // namespace
}  // namespace stonewing::testing
