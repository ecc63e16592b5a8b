#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "delivery/attempt_sender.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// Tests which requests a whole dispatcher sends to endpoints, and how it interprets their responses.
namespace stonewing::testing {
namespace {

TEST(Delivery, SendsAllHeadersAndNoNotificationWhenDelivered) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  std::string body("any\r\n\0bytes", 11);
  EXPECT_EQ(dispatcher.request(submitCommand("9b1f", "c=order,d=8000,k=5c0f,dest=7", body) +
                                   submitCommand("9b20", "c=status,d=8000,dest=7"),
                               2),
            "+OK\r\n+OK\r\n");
  ASSERT_TRUE(eventually(2000, [&] { return endpoint.requests().size() == 2; }));
  for (std::string part :
       {"POST /v1/messages HTTP/1.1\r\n", "X-Request-Id: 9b1f\r\n", "Idempotency-Key: 5c0f\r\n",
        "X-Deadline-Ms: ", "Content-Length: 11\r\n", body.c_str()}) {
    EXPECT_EQ(endpoint.requestsContaining(part) > 0, true) << part;
  }
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
  EXPECT_EQ(platform.requestsContaining("POST /reports"), 0u);
}

// With a wrong outcome, a message could take effect twice or be lost.
TEST(Delivery, DerivesTheOutcomeFromEachKindOfResponse) {
  struct Case {
    std::string response;
    std::size_t requests;
    const char* notification;  // empty if none is expected
  };
  std::string none = "Content-Length: 0\r\n\r\n";
  for (const Case& expected : {Case{"HTTP/1.1 500 Oh\r\n" + none, 1, "dead"},
                               {"HTTP/1.1 404 Oh\r\n" + none, 1, "dead"},
                               {"HTTP/1.1 429 No\r\nX-Backoff-Ms: 50\r\n" + none, 2, ""},
                               {"HTTP/1.1 503 No\r\n" + none, 2, ""},
                               {"HTTP/1.1 503 No\r\nX-Egress-Full: 1\r\n" + none, 2, ""},
                               {"HTTP/1.1 503 No\r\nConnection: close\r\n" + none + "\4", 2, ""},
                               {"HTTP/1.1 504 No\r\n" + none, 2, ""},
                               {"HTTP/1.1 410 Gone\r\n" + none, 1, ""},
                               {"HTTP/1.1 200 OK\r\n\4", 1, ""},
                               {"HTTP/1.1 20\4", 1, "dead"},
                               {"HTTP/1.1 200 OK\r\nX: a head that does not end", 1, ""},
                               {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 1, ""},
                               {"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nshort", 1, "dead"},
                               {"HTTP/1.1 100 Go on\r\n\r\n" + kHttpOk + kHttpOk, 1, ""},
                               {"no answer at all", 1, "dead"},
                               {"\4", 1, "dead"},
                               {"", 1, "dead"}}) {
    std::atomic<int> requestCount{0};
    HttpServerStub endpoint([&](auto&, auto&) { return ++requestCount == 1 ? expected.response : kHttpOk; });
    HttpServerStub platform(confirmNotifications);
    endpoint.start();
    platform.start();
    DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
    ASSERT_TRUE(dispatcher.start());
    EXPECT_EQ(dispatcher.request(submitCommand("one", "c=order,d=700,dest=7")), "+OK\r\n");
    eventually(1500, [&] {
      return expected.notification[0] != 0 ? platform.requestsContaining("/reports") == 1
                                           : endpoint.requests().size() == expected.requests;
    });
    if (expected.notification[0] == 0) std::this_thread::sleep_for(std::chrono::milliseconds(60));
    EXPECT_EQ(endpoint.requests().size(), expected.requests) << expected.response;
    EXPECT_EQ(platform.requestsContaining("/reports"), expected.notification[0] != 0 ? 1u : 0u)
        << expected.response;
    EXPECT_EQ(platform.requestsContaining(expected.notification) > 0, true) << expected.response;
  }
}

// A batch response rejects some of the messages and has a Retry-After: each message gets its own outcome, and
// the Retry-After is respected.
TEST(Delivery, ReadsTheOutcomeOfEachMessageOfABatch) {
  std::atomic<int> requestCount{0};
  HttpServerStub endpoint([&](auto&, auto&) -> std::string {
    if (++requestCount > 1) return kHttpOk;
    std::string lines = "one ok\r\ntwo later\r\nthree gone\r\nfour error\r\n";
    return "HTTP/1.1 200 OK\r\nX-Backoff-Ms: 400\r\nContent-Length: " + std::to_string(lines.size()) +
           "\r\n\r\n" + lines;
  });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint, "many"), platform.address());
  ASSERT_TRUE(dispatcher.start());
  std::string all;
  for (const char* reference : {"one", "two", "three", "four"})
    all += submitCommand(reference, "c=order,d=8000,dest=7", "hello");
  dispatcher.request(all, 4);
  ASSERT_TRUE(eventually(2000, [&] { return platform.requestsContaining("\"four\"") == 1; }));
  std::string first = endpoint.requests().at(0);
  EXPECT_TRUE(first.starts_with("POST /v1/messages:batch HTTP/1.1\r\n"));
  EXPECT_TRUE(
      first.ends_with("one - 5\r\nhello\r\ntwo - 5\r\nhello\r\nthree - 5\r\nhello\r\nfour - 5\r\nhello\r\n"));
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(requestCount, 1);
  ASSERT_TRUE(eventually(3000, [&] { return endpoint.requestsContaining("X-Request-Id: two") == 1; }));
  EXPECT_EQ(requestCount, 2);
}

// A connection is established late. A request counts from its first byte, and the endpoint is draining by
// then.
TEST(Delivery, SendsNothingOnAConnectionEstablishedAfterItsEndpointDrains) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; }, 0);
  int pending = connectToLoopback(endpoint.port());  // its backlog is full
  std::string list =
      R"({"version":2,"full":false,"servers":)" + endpointList(endpoint, "plain", "terminating") + "}";
  std::atomic<int> watches{0};
  HttpServerStub platform([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET") || ++watches > 1) return confirmNotifications(head, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  });
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  int slow = connectToLoopback(dispatcher.port());
  EXPECT_EQ(dispatcher.request(submitCommand("late", "c=order,d=2100,dest=7")), "+OK\r\n");
  ASSERT_TRUE(eventually(2000, [&] { return watches > 1; }));
  endpoint.start();
  ASSERT_TRUE(eventually(4000, [&] { return platform.requestsContaining("\"late\"") == 1; }));
  EXPECT_EQ(endpoint.requests().size(), 0u);
  ::close(pending);
  // Meanwhile a client was idle for longer than a partially received command may take. The time limit of its
  // next command must begin with that command.
  sendBytes(slow, respCommand({"PING"}).substr(0, 6));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  sendBytes(slow, respCommand({"PING"}).substr(6));
  char answer[8] = {};
  EXPECT_EQ(::recv(slow, answer, 7, MSG_WAITALL), 7);
  EXPECT_EQ(std::string(answer), "+PONG\r\n");
  ::close(slow);
}

// One message of a batch finishes while the connection is being established. When a part of the network that
// was cut off for seconds became reachable again, hundreds of connections were established at once, and each
// sent messages that were already finished.
TEST(Delivery, LeavesFinishedMessagesOutOfABatchWhoseConnectionIsLate) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; }, 0);
  int pending = connectToLoopback(endpoint.port());  // its backlog is full
  HttpServerStub platform(confirmNotifications);
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint, "many"), platform.address());
  ASSERT_TRUE(dispatcher.start());
  std::string both =
      submitCommand("finished", "c=status,d=300,dest=7") + submitCommand("left", "c=status,d=8000,dest=7");
  EXPECT_EQ(dispatcher.request(both, 2), "+OK\r\n+OK\r\n");
  ASSERT_TRUE(eventually(900, [&] { return platform.requestsContaining("\"finished\"") == 1; }));
  endpoint.start();
  ASSERT_TRUE(eventually(4000, [&] { return endpoint.requestsContaining("left") == 1; }));
  EXPECT_EQ(endpoint.requestsContaining("finished"), 0u);
  ::close(pending);
}

// Without a time limit, responses that never become complete would occupy requests until their time-outs.
TEST(Delivery, StopsWaitingForAResponseThatStaysIncomplete) {
  HttpServerStub endpoint([](auto&, auto&) { return "HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nshort"; });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("one", "c=order,d=9000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(eventually(1500, [&] { return platform.requestsContaining("\"one\"") == 1; }));
}

// After a stall, a dispatcher has more responses to read than one call to the kernel returns. A decision
// after only half of them would attempt delivered messages again. The dispatcher cannot know whether the
// responses arrived before the deadlines, so each outcome is also reported once to the platform, which does
// no harm.
TEST(Delivery, ReadsAllPendingResponsesBeforeItFailsMessagesAfterAStall) {
  constexpr int kMessageCount = 600;
  std::atomic<bool> released{false};
  auto respondOnceReleased = [&](auto&, auto&) {
    return eventually(8000, [&] { return released.load(); }) ? kHttpOk : "";
  };
  HttpServerStub endpoint(respondOnceReleased, 1024);
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  std::string settings = settingsWith("\"open-cap\":50", "\"open-cap\":2000",
                                      settingsWith("\"call-slots\":6", "\"call-slots\":2000"));
  DispatcherProcess dispatcher(settings, endpointList(endpoint), platform.address(),
                               R"({"sockets":4096,"disk_mb":9})");
  ASSERT_TRUE(dispatcher.start());
  std::string all;
  for (int n = 0; n < kMessageCount; ++n)
    all += submitCommand("c" + std::to_string(n), "c=order,d=4000,dest=7");
  dispatcher.request(all, kMessageCount);
  ASSERT_TRUE(eventually(3000, [&] { return endpoint.requests().size() == kMessageCount; }));
  dispatcher.sendSignal(SIGSTOP);
  released = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(4200));
  dispatcher.sendSignal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
  EXPECT_EQ(endpoint.requests().size(), static_cast<std::size_t>(kMessageCount));
  std::string notifications;
  for (const std::string& request : platform.requests())
    notifications += request.starts_with("POST /reports") ? request : "";
  for (int n = 0; n < kMessageCount; ++n) {
    std::string reference = "\"c" + std::to_string(n) + "\"";
    std::size_t position = notifications.find(reference);
    EXPECT_NE(position, std::string::npos) << n;
    EXPECT_EQ(notifications.find(reference, position + 1), std::string::npos) << n;
  }
}

// A malformed header must not be interpreted as a rate limit.
TEST(LoadReport, IsIgnoredWhenMalformed) {
  std::vector<std::string> fields{"x0", "x1"};
  EXPECT_EQ(parseLoadReport("x0=0.4,x1=25", fields).rateLimit, 25);
  for (const char* malformed : {"", "x1=25,x0=", "x1=25;x0", "x1=2e5z,x0=1", "x1=nan", "x1=-3", "y1=3,x1=4",
                                "x1=1e999", "x1=0x20", "\x01\xff"}) {
    EXPECT_EQ(parseLoadReport(malformed, fields).rateLimit, -1) << malformed;
  }
}

}  // namespace
}  // namespace stonewing::testing
