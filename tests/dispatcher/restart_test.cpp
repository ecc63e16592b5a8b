#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include "net/event_loop.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// The recovery of a new process from the journal of an earlier one.
namespace stonewing::testing {
namespace {

// An attempt that was pending at the kill may have been executed. An idempotent message must be attempted
// again. A non-idempotent one must not, and the platform must be notified of it, even if the platform's first
// responses are errors.
TEST(Restart, NotifiesEachOutcomeThatAKillLeftOpen) {
  std::atomic<bool> isSilent{true};
  std::atomic<int> reports{0};
  HttpServerStub endpoint([&](auto&, auto&) { return isSilent ? "" : kHttpOk; });
  HttpServerStub platform([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("POST /reports")) return "";
    return ++reports < 3 ? "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" : confirmNotifications(head, body);
  });
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("idempotent", "c=status,d=8000,dest=7") +
                                   submitCommand("unsafe", "c=order,d=8000,dest=7") +
                                   submitCommand("nowhere", "c=order,d=8000,dest=9"),
                               3),
            "+OK\r\n+OK\r\n+OK\r\n");
  ASSERT_TRUE(eventually(2000, [&] { return endpoint.requests().size() == 2; }));
  EXPECT_EQ(dispatcher.stop(SIGKILL), -SIGKILL);
  isSilent = false;
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("nowhere", "c=order,d=8000,dest=9")),
            "+OK\r\n");  // still in flight
  ASSERT_TRUE(eventually(2000, [&] { return reports >= 3 && endpoint.requests().size() == 3; }));
  EXPECT_EQ(endpoint.requestsContaining("X-Request-Id: unsafe"), 1u);
  EXPECT_EQ(endpoint.requestsContaining("X-Request-Id: idempotent"), 2u);
  EXPECT_GE(platform.requestsContaining("{\"ref\":\"unsafe\",\"result\":\"dead\"}\n"), 3u);
  // Waits until the confirmation is in the journal, which happens after the platform has sent it.
  EXPECT_TRUE(eventually(2000, [&] {
    TemporaryDirectory journalCopy;
    std::filesystem::copy(dispatcher.directory() / "journal", journalCopy.path / "journal");
    NameTables names = readNameTables(kDispatcherSettings);
    MessageStore store(names, journalCopy.path.string(), 3'000'000);
    store.restore();
    return store.pendingNotifications().empty();
  }));
  EXPECT_EQ(dispatcher.stop(SIGKILL), -SIGKILL);
  int reportsBefore = reports;
  ASSERT_TRUE(dispatcher.start());  // "idempotent" and "unsafe" are finished, "nowhere" is in flight
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(endpoint.requests().size(), 3u);
  EXPECT_EQ(reports, reportsBefore);
}

// A kill right behind the reply that accepts a message, while its request waits until the kept connection may
// be reused. The next process gave up messages that may not be executed twice, though none had been sent.
TEST(Restart, AttemptsMessagesWhoseRequestsHadNotBegunAtTheKill) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("first", "c=order,d=8000,dest=7")), "+OK\r\n");
  ASSERT_TRUE(eventually(2000, [&] { return endpoint.requests().size() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(5));  // until the response is read
  EXPECT_EQ(dispatcher.request(submitCommand("second", "c=order,d=8000,dest=7")), "+OK\r\n");
  EXPECT_EQ(dispatcher.stop(SIGKILL), -SIGKILL);
  ASSERT_EQ(endpoint.requests().size(), 1u);
  ASSERT_TRUE(dispatcher.start());
  EXPECT_TRUE(eventually(2000, [&] { return endpoint.requestsContaining("X-Request-Id: second") == 1; }));
  EXPECT_EQ(platform.requestsContaining("second"), 0u);
}

// The wall clock is set back while no process runs, so that the send time of an attempt lies in the future.
// Guards against a deduplication window that is extended by as much.
TEST(Restart, TreatsDeduplicationWindowsAsClosedWhenTheClockWasSetBack) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  std::string settings =
      settingsWith(R"("effect":"unsafe")", R"("effect":"keyed","repeat-window-s":4,"group":"all")");
  for (Millis ahead : {5000.0, -100.0}) {
    DispatcherProcess dispatcher(settings, endpointList(endpoint), platform.address());
    std::string reference = ahead > 0 ? "ahead" : "before";
    {
      NameTables names = readNameTables(settings);
      MessageStore store(names, dispatcher.directory().string(), 3'000'000);
      auto id = store.accept(store.decode("00", reference, "c=order,d=8000,dest=7,k=5c", "x", wallNow()));
      store.recordAttempt(*id, 0, {"s-1", DestinationId{7}, KindId{0}, ZoneId{0}}, wallNow() + ahead);
      store.commit();
    }
    ASSERT_TRUE(dispatcher.start());
    EXPECT_TRUE(eventually(1500, [&] {
      return endpoint.requestsContaining(reference) + platform.requestsContaining(reference) == 1;
    }));
    EXPECT_EQ(endpoint.requestsContaining(reference), ahead > 0 ? 0u : 1u);
  }
}

// Guards against a slow recovery: a dispatcher must be ready soon even if hundreds restart together on few
// cores. Each message in flight was attempted at an endpoint that is in no list any more, the most expensive
// case.
TEST(Restart, IsReadySoonWithAFullJournal) {
  HttpServerStub platform(confirmNotifications);  // discovery does not respond
  for (std::uint32_t messageCount : {1000u, 10000u}) {
    std::string settings = settingsWith("\"open-cap\":50", "\"open-cap\":20000");
    DispatcherProcess dispatcher(settings, endpointList(platform), platform.address(),
                                 R"({"sockets":256,"disk_mb":40})");
    {
      NameTables names = readNameTables(settings);
      MessageStore store(names, dispatcher.directory().string(), 40'000'000);
      for (std::uint32_t n = 0; n < messageCount; ++n) {
        std::string reference = "r" + std::to_string(n);
        auto id = store.accept(store.decode("00", reference, "c=order,d=60000,dest=7", "x", wallNow()));
        ASSERT_TRUE(id.has_value());
        std::string name = "gone-" + std::to_string(n % 1024);
        store.recordAttempt(*id, 0, {name, DestinationId{7}, KindId{0}, ZoneId{0}}, wallNow());
        store.recordNotExecuted(*id, 0);
      }
      store.commit();
    }
    ASSERT_TRUE(dispatcher.start());
    std::ifstream stat("/proc/" + std::to_string(dispatcher.pid()) + "/stat");
    std::string word;
    double ticks = 0;
    for (int n = 1; n <= 15 && stat >> word; ++n) ticks += n >= 14 ? std::stod(word) : 0;
    double seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    RecordProperty("cpu_s_" + std::to_string(messageCount), std::to_string(seconds));
    std::cout << messageCount << " in flight: " << seconds << " s of processor time until ready\n";
    EXPECT_LT(seconds, 4.0);  // under the sanitizers too
    EXPECT_EQ(dispatcher.request(submitCommand("r7", "c=order,d=60000,dest=7", "x")),
              "+OK\r\n");  // recovered, and still in flight
    dispatcher.stop(SIGKILL);
  }
}

// SIGTERM or SIGKILL arrives while a large journal is being recovered. Neither may lose a message.
TEST(Restart, KeepsAllMessagesWhenStoppedDuringRecovery) {
  constexpr int kMessageCount = 20000;
  HttpServerStub platform(confirmNotifications);
  platform.start();
  std::string settings = settingsWith("\"open-cap\":50", "\"open-cap\":30000");
  DispatcherProcess dispatcher(settings, endpointList(platform, "plain", "terminating"), platform.address(),
                               R"({"sockets":256,"disk_mb":80})");
  {
    NameTables names = readNameTables(settings);
    MessageStore store(names, dispatcher.directory().string(), 80'000'000);
    for (int n = 0; n < kMessageCount; ++n) {
      std::string reference = "r" + std::to_string(n);
      ASSERT_TRUE(store.accept(store.decode("00", reference, "c=order,d=60000,dest=7", "x", wallNow())));
    }
    store.commit();
  }
  for (int wait : {0, 10}) {
    for (int signal : {SIGTERM, SIGKILL}) {
      ASSERT_TRUE(dispatcher.spawn());
      std::this_thread::sleep_for(std::chrono::milliseconds(wait));
      dispatcher.stop(signal);
    }
  }
  ASSERT_TRUE(dispatcher.start());
  for (const char* reference : {"r0", "r9999", "r19999"})
    EXPECT_EQ(dispatcher.request(submitCommand(reference, "c=order,d=1,dest=7", "x")), "+OK\r\n")
        << reference;  // in flight with its first deadline
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_EQ(platform.requestsContaining("/reports"), 0u);
}

// A restart finds as many messages in flight as the settings allow. Guards against messages that are not
// attempted soon, or of which the platform is notified instead.
TEST(Restart, AttemptsAllMessagesThatWereNotAttemptedBefore) {
  constexpr int kMessageCount = 47;  // the most in flight that the settings allow, minus the reserve
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint, "plain", "terminating"),
                               platform.address());
  ASSERT_TRUE(dispatcher.start());
  std::string all;
  for (int n = 0; n < kMessageCount; ++n)
    all += submitCommand("c" + std::to_string(n), "c=order,d=9000,dest=7");
  dispatcher.request(all, kMessageCount);
  EXPECT_EQ(dispatcher.stop(SIGKILL), -SIGKILL);
  DispatcherProcess after(kDispatcherSettings, endpointList(endpoint), platform.address());
  std::filesystem::copy(dispatcher.directory() / "journal", after.directory() / "journal");
  ASSERT_TRUE(after.start());
  EXPECT_TRUE(eventually(4000, [&] { return endpoint.requests().size() == kMessageCount; }));
  EXPECT_EQ(platform.requestsContaining("/reports"), 0u);
}

}  // namespace
}  // namespace stonewing::testing
