#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A dispatcher whose disk hangs: a preloaded library blocks its writes while a file "hang" exists.
namespace stonewing::testing {
namespace {

// A directory that hangs for seconds must not block the event loop: no client would get an answer, and
// responses of endpoints would stay unread. Meanwhile the dispatcher must not accept a message or send an
// attempt whose record is not in the journal.
TEST(SlowDisk, RejectsAtOnceAndAnswersAndSendsNothingThatIsNotJournaled) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  std::string config = dispatcher.configFor(platform.address());
  config.insert(1, R"("journal":{"writer":"aside"},)");
  dispatcher.writeConfig(config);
  dispatcher.preload(STONEWING_HANG);
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("one", "c=order,d=8000,dest=7")), "+OK\r\n");
  ASSERT_TRUE(eventually(2000, [&] { return endpoint.requests().size() == 1; }));
  std::ofstream(dispatcher.directory() / "hang") << "";
  std::string late;
  std::thread waiting([&] { late = dispatcher.request(submitCommand("two", "c=order,d=8000,dest=7")); });
  std::thread expired([&] { dispatcher.request(submitCommand("three", "c=status,d=400,dest=7")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto began = std::chrono::steady_clock::now();
  EXPECT_TRUE(dispatcher.request(submitCommand("four", "c=order,d=8000,dest=7")).starts_with("-BUSY"));
  EXPECT_EQ(dispatcher.request("*1\r\n$4\r\nPING\r\n"), "+PONG\r\n");
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(100));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(endpoint.requests().size(), 1u);
  EXPECT_EQ(platform.requestsContaining("/reports"), 0u);
  std::filesystem::remove(dispatcher.directory() / "hang");
  waiting.join();
  expired.join();
  EXPECT_EQ(late, "+OK\r\n");
  EXPECT_TRUE(eventually(1000, [&] { return endpoint.requestsContaining("X-Request-Id: two") == 1; }));
  EXPECT_TRUE(eventually(1000, [&] { return platform.requestsContaining("three") == 1; }));
  EXPECT_EQ(endpoint.requestsContaining("X-Request-Id: three"), 0u);
  // Killed while the disk hangs: messages without an answer may be lost, but no answered message.
  std::ofstream(dispatcher.directory() / "hang") << "";
  std::thread unanswered([&] { dispatcher.request(submitCommand("five", "c=order,d=8000,dest=7")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  dispatcher.stop(SIGKILL);
  unanswered.join();
  std::filesystem::remove(dispatcher.directory() / "hang");
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("six", "c=order,d=8000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(eventually(1000, [&] { return endpoint.requestsContaining("X-Request-Id: six") == 1; }));
  EXPECT_EQ(endpoint.requestsContaining("X-Request-Id: two"), 1u);
  EXPECT_EQ(endpoint.requestsContaining("X-Request-Id: five"), 0u);
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
}

}  // namespace
}  // namespace stonewing::testing
