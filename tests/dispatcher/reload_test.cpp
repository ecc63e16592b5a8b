#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// SIGHUP makes a dispatcher read its configuration again.
namespace stonewing::testing {
namespace {

// Guards against a dispatcher that exits on SIGHUP, or that continues to poll and notify an address that no
// longer exists.
TEST(Reload, ChangesTheAddressOfDiscoveryOnSighup) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  HttpServerStub first(confirmNotifications);
  std::string list = R"({"version":1,"full":true,"servers":)" + endpointList(endpoint) + "}";
  HttpServerStub second([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET /catalog/members HTTP")) return confirmNotifications(head, body);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  });
  endpoint.start();
  first.start();
  second.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint, "plain", "terminating"),
                               first.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("waiting", "c=order,d=9000,dest=7") +
                                   submitCommand("dead", "c=order,d=900,dest=9"),
                               2),
            "+OK\r\n+OK\r\n");
  EXPECT_EQ(dispatcher.request(submitCommand("x", "c=order,d=900,dest=8")), "-BUSY\r\n");
  dispatcher.writeConfig("nonsense");
  dispatcher.sendSignal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(dispatcher.request(respCommand({"PING"})), "+PONG\r\n");
  dispatcher.writeConfig(dispatcher.configFor(second.address()));
  dispatcher.sendSignal(SIGHUP);
  EXPECT_TRUE(eventually(1500, [&] { return endpoint.requestsContaining("X-Request-Id: waiting") == 1; }));
  EXPECT_TRUE(eventually(1500, [&] { return second.requestsContaining("\"dead\"") == 1; }));
  EXPECT_EQ(first.requestsContaining("POST /reports"), 0u);
  // Before discovery had answered, destination 8 could have been missing only from an outdated list, and the
  // reply above was -BUSY. Now discovery has answered, and the destination does not exist.
  EXPECT_EQ(dispatcher.request(submitCommand("x", "c=order,d=900,dest=8")), "-ERR unknown dest\r\n");
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
}

// A reload arrives between two SIGTERMs, while an endpoint has sent half a response to a message that is not
// idempotent. Guards against notifications that are lost or sent to the old platform only, against a second
// request for that message, and against a shutdown that takes too long.
TEST(Reload, NotifiesTheNewPlatformWhenItCrossesTwoSigterms) {
  HttpServerStub endpoint([](auto&, auto&) { return "HTTP/1.1 2"; });
  HttpServerStub first([](auto&, auto&) { return ""; });  // confirms no notifications
  HttpServerStub second(confirmNotifications);
  endpoint.start();
  first.start();
  second.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), first.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("expired", "c=order,d=200,dest=9") +
                                   submitCommand("half", "c=order,d=9000,dest=7") +
                                   submitCommand("stays", "c=order,d=60000,dest=9"),
                               3),
            "+OK\r\n+OK\r\n+OK\r\n");
  ASSERT_TRUE(eventually(
      2000, [&] { return first.requestsContaining("\"expired\"") > 0 && endpoint.requests().size() == 1; }));
  dispatcher.writeConfig(dispatcher.configFor(second.address()));
  dispatcher.sendSignal(SIGTERM);
  dispatcher.sendSignal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(eventually(1000, [&] { return second.requestsContaining("\"expired\"") == 1; }));
  auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3700));
  ASSERT_TRUE(dispatcher.start());
  EXPECT_TRUE(eventually(
      2000, [&] { return second.requestsContaining("\"half\"") == 1; }));  // it may have been executed
  EXPECT_EQ(endpoint.requests().size(), 1u);
  EXPECT_EQ(dispatcher.request(submitCommand("stays", "c=order,d=60000,dest=9")),
            "+OK\r\n");  // still in flight
  EXPECT_EQ(second.requestsContaining("\"stays\""), 0u);
}

}  // namespace
}  // namespace stonewing::testing
