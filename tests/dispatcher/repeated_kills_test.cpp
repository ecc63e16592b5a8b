#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "net/event_loop.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A dispatcher that is killed twenty times while it delivers.
namespace stonewing::testing {
namespace {

// Kills the dispatcher repeatedly, at any point of the replay, the requests, the outcomes and the
// notifications; the next process continues from the journal. Guards against non-idempotent messages that are
// sent twice, and against messages that are left without an outcome.
TEST(Restart, LosesNothingAndRepeatsNoEffectWhenKilledAgainAndAgain) {
  constexpr int kMessageCount = 1000;
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  std::string settings = settingsWith("\"open-cap\":50", "\"open-cap\":2000");
  DispatcherProcess dispatcher(settings, endpointList(endpoint), platform.address());
  {
    NameTables names = readNameTables(settings);
    MessageStore store(names, dispatcher.directory().string(), 3'000'000);
    for (int n = 0; n < kMessageCount; ++n) {
      std::string list = n % 2 == 0 ? "c=order,d=60000,dest=7" : "c=status,d=60000,dest=7";
      ASSERT_TRUE(store.accept(store.decode("00", "r" + std::to_string(n) + ".", list, "x", wallNow())));
    }
    store.commit();
  }
  std::mt19937 random(4711);
  std::set<std::size_t> requestsBefore;  // at the endpoint, before each kill
  for (int kill = 0; kill < 20 && endpoint.requests().size() < kMessageCount; ++kill) {
    ASSERT_TRUE(dispatcher.spawn());
    // The first three kills happen during the start, the others after a random number of requests.
    std::size_t killAfterRequests = kill < 3 ? kMessageCount : endpoint.requests().size() + 1 + random() % 60;
    auto killDeadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(kill < 3 ? kill * 4 : 2000);
    while (endpoint.requests().size() < killAfterRequests && std::chrono::steady_clock::now() < killDeadline)
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    dispatcher.stop(SIGKILL);
    requestsBefore.insert(endpoint.requests().size());
  }
  EXPECT_GE(requestsBefore.size(),
            5u);  // several kills happened between deliveries, not all before or after them
  ASSERT_TRUE(dispatcher.start());
  auto isFinished = [&](int n) {
    std::string reference = "r" + std::to_string(n) + ".";
    return endpoint.requestsContaining("X-Request-Id: " + reference + "\r") +
               platform.requestsContaining("\"" + reference + "\"") >
           0;
  };
  EXPECT_TRUE(
      eventually(8000, [&] { return isFinished(kMessageCount - 1) && isFinished(kMessageCount - 2); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (int n = 0; n < kMessageCount; ++n) {
    std::string reference = "r" + std::to_string(n) + ".";
    std::size_t requestCount = endpoint.requestsContaining("X-Request-Id: " + reference + "\r");
    EXPECT_TRUE(isFinished(n)) << reference;
    EXPECT_TRUE(n % 2 == 0 ? requestCount <= 1 : requestCount >= 1) << reference << " " << requestCount;
  }
}

}  // namespace
}  // namespace stonewing::testing
