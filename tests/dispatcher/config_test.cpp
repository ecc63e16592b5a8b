#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "base/errors.h"
#include "dispatcher/dispatcher.h"
#include "support/dispatcher_settings.h"
#include "support/temporary_directory.h"

// The errors for invalid configurations.
namespace stonewing::testing {
namespace {

TEST(DispatcherConfig, NamesWhatIsWrong) {
  auto emptyEnvironment = [](const char*) { return std::string(); };
  for (auto [text, expectedPart] : {std::pair{"nonsense", "JSON"},
                                    {"{}", "listen"},
                                    {R"({"listen":"a","discovery":"b","state":"c"})", "settings"},
                                    {R"({"listen":"a","discovery":"b","state":"c","seed":"zz"})", "seed"},
                                    {R"({"listen":1})", "type"}}) {
    try {
      readConfig(text, emptyEnvironment);
      ADD_FAILURE() << text;
    } catch (const Error& problem) {
      EXPECT_NE(std::string(problem.what()).find(expectedPart), std::string::npos) << problem.what();
    }
  }
  DispatcherConfig config;
  config.settings = kDispatcherSettings;
  config.listenAddress = "not an address";
  config.discoveryAddress = "127.0.0.1:1";
  TemporaryDirectory folder;
  config.journalFolder = folder.path.string();
  config.maxDescriptors = 100;
  EXPECT_THROW(Dispatcher{config}, ConfigError);
}

}  // namespace
}  // namespace stonewing::testing
