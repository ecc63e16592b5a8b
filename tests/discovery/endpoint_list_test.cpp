#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A dispatcher process with a discovery that fails, rejects polls or sends long lists.
namespace stonewing::testing {
namespace {

// A malformed list must not replace the endpoints of the list before it.
TEST(EndpointList, StaysAndIsAskedForAgainWhenResponsesAreMalformed) {
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  std::vector<std::string> lists{
      "nonsense", R"({"version":"x"})", R"({"version":3,"full":true,"servers":[{"id":"s-1"}]})",
      R"({"version":4,"full":true,"servers":)" + endpointList(endpoint, "unheard-of") + "}"};
  std::atomic<std::size_t> polls{0};
  HttpServerStub platform([&](const std::string& head, const std::string& body) -> std::string {
    std::size_t n = head.starts_with("GET") ? polls++ : lists.size();
    if (n == lists.size()) return confirmNotifications(head, body);
    if (n > lists.size()) return "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(lists[n].size()) + "\r\n\r\n" + lists[n];
  });
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  ASSERT_TRUE(eventually(4000, [&] { return polls >= lists.size(); }));
  EXPECT_EQ(dispatcher.request(submitCommand("one", "c=order,d=2000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(eventually(1000, [&] { return endpoint.requests().size() == 1; }));
}

// Guards against buffers and indexes that are sized for a small deployment. Lists of 1,024 endpoints in
// indented JSON are read from the configuration and from discovery, and requests reach a sample of the
// endpoints.
TEST(EndpointList, MayHoldAThousandEndpointsInIndentedJson) {
  constexpr int kEndpointCount = 1024;
  HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
  endpoint.start();
  auto listOf = [&](const char* prefix, int version) {
    nlohmann::json list{{"version", version}, {"full", true}, {"servers", nlohmann::json::array()}};
    for (int n = 0; n < kEndpointCount; ++n) {
      list["servers"].push_back({{"id", prefix + std::to_string(n)},
                                 {"addr", endpoint.address()},
                                 {"zone", "a"},
                                 {"kind", "plain"},
                                 {"cell", n},
                                 {"state", "in_service"},
                                 {"weight", 1.0},
                                 {"started_ms", 0},
                                 {"about", std::string(900, 'x')}});  // an unknown key
    }
    return list.dump(8);
  };
  std::string fullList = listOf("new-", 2);
  std::atomic<bool> hasSentList{false};
  HttpServerStub platform([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET") || hasSentList.exchange(true)) return confirmNotifications(head, body);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(fullList.size()) + "\r\n\r\n" + fullList;
  });
  DispatcherProcess dispatcher(kDispatcherSettings,
                               nlohmann::json::parse(listOf("known-", 1)).at("servers").dump(8),
                               platform.address(), R"({"sockets":512,"disk_mb":3})");
  ASSERT_TRUE(dispatcher.start());
  auto expectService = [&](int first) {
    for (int n = first; n < kEndpointCount; n += 100) {
      std::string reference = "r" + std::to_string(n);
      std::string submission = submitCommand(reference, "c=order,d=8000,dest=" + std::to_string(n));
      // The reply is -BUSY while the turn that reads the list takes long; a client then submits again.
      EXPECT_TRUE(eventually(3000, [&] { return dispatcher.request(submission) == "+OK\r\n"; })) << n;
      EXPECT_TRUE(eventually(3000, [&] {
        return endpoint.requestsContaining("X-Request-Id: " + reference + "\r\n") == 1;
      })) << n;
    }
  };
  expectService(23);  // with the list of the configuration: discovery has not responded yet
  platform.start();
  ASSERT_TRUE(eventually(5000, [&] { return platform.requestsContaining("since=2") > 0; }));
  expectService(1);
}

// Hundreds of dispatchers that start at once overload discovery. If they polled again at once, or for
// full lists, discovery would stay overloaded.
TEST(EndpointList, IsAskedForRarelyAndByChangesWhenDiscoveryRejects) {
  HttpServerStub platform([](const std::string& head, const std::string& body) -> std::string {
    if (head.starts_with("GET /catalog")) return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    return confirmNotifications(head, body);
  });
  platform.start();
  const std::string sharedServer = settingsWith(R"("rules":{)", R"("registry-mode":"ask","rules":{)");
  DispatcherProcess dispatcher(sharedServer, endpointList(platform), platform.address());
  ASSERT_TRUE(dispatcher.start());
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  EXPECT_GE(platform.requestsContaining("GET /catalog"), 2u);  // a change counts as notified 6 s later
  EXPECT_LE(platform.requestsContaining("GET /catalog"), 4u);
  EXPECT_EQ(platform.requestsContaining("GET /catalog/members HTTP"), 0u);
}

}  // namespace
}  // namespace stonewing::testing
