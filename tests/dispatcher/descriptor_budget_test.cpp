#include <gtest/gtest.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "base/errors.h"
#include "dispatcher/dispatcher.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// The division of a process's descriptors among their users, and that no user can use up those of another.
namespace stonewing::testing {
namespace {

// Without the division, clients, endpoints and health checks could use all descriptors and leave none for
// discovery.
TEST(DescriptorBudget, GivesEachPurposeItsOwnDescriptors) {
  for (std::size_t sockets : {28, 29, 40, 64, 96, 256, 512, 1024, 65536}) {
    for (int requested : {1, 2, 30, 200, 5000}) {
      DescriptorBudget budget = descriptorBudget(sockets, requested);
      EXPECT_EQ(budget.internal + budget.endpointConnections + budget.clients, sockets);
      EXPECT_GE(budget.internal, 14u);
      EXPECT_GE(budget.clients, sockets / 8) << sockets << " " << requested;
      EXPECT_GE(budget.healthChecks, 1u);
      EXPECT_TRUE(budget.maxConcurrentRequests >= 1 && budget.maxConcurrentRequests <= requested);
      EXPECT_EQ(static_cast<std::size_t>(budget.maxConcurrentRequests) + budget.healthChecks,
                budget.endpointConnections)
          << sockets << " " << requested;
    }
  }
  EXPECT_EQ(descriptorBudget(1024, 200).maxConcurrentRequests, 200);
  EXPECT_THROW(descriptorBudget(27, 1), ConfigError);
}

// Idle clients hold all connections that they get, while discovery does not answer. Without a budget, they
// would hold all descriptors, and the dispatcher could no longer deliver, notify or poll.
TEST(DescriptorBudget, IsNotExceededByIdleClients) {
  for (bool limitLowered : {false, true}) {
    HttpServerStub endpoint([](auto&, auto&) { return kHttpOk; });
    std::string list = R"({"version":2,"full":true,"servers":)" + endpointList(endpoint) + "}";
    enum class Mode { closes, unresponsive, answers };
    std::atomic<Mode> mode{Mode::closes};
    std::atomic<int> polls{0};
    HttpServerStub platform([&](const std::string& head, const std::string& body) -> std::string {
      // The byte 4 makes the stub close the connection behind the response. Notifications are confirmed.
      if (mode == Mode::closes) return confirmNotifications(head, body) + "\4";
      mode.wait(Mode::unresponsive);
      if (!head.starts_with("GET") || ++polls > 1) return confirmNotifications(head, body);
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
    });
    endpoint.start();
    platform.start();
    DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address(),
                                 R"({"sockets":48,"disk_mb":3})");
    ASSERT_TRUE(dispatcher.start());
    // The sanitizers check each type once through a pipe, which needs descriptors. So an endpoint, discovery
    // and the platform are each sent a request while there are free ones.
    dispatcher.request(
        submitCommand("before", "c=order,d=8000,dest=7") + submitCommand("early", "c=order,d=300,dest=9"), 2);
    ASSERT_TRUE(eventually(2000, [&] {
      return endpoint.requestsContaining("X-Request-Id: before") == 1 &&
             platform.requestsContaining("GET") > 0 && platform.requestsContaining("POST") > 0;
    }));
    mode = Mode::unresponsive;
    std::vector<int> idle;
    for (int n = 0; n < 40; ++n) {
      idle.push_back(connectToLoopback(dispatcher.port()));
      sendBytes(idle.back(), respCommand({"PING"}));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    if (limitLowered) {  // below the number of open descriptors, so that none is left
      rlimit limit{20, 20};
      EXPECT_EQ(::prlimit(dispatcher.pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    }
    // Submits on a new connection or, if none can be accepted, on an established one, since accepting one
    // would evict another client.
    std::string submissions =
        submitCommand("one", "c=order,d=8000,dest=7") + submitCommand("two", "c=order,d=300,dest=9");
    if (limitLowered) {
      sendBytes(idle.back(), submissions);
      std::string answers(17, ' ');
      EXPECT_EQ(::recv(idle.back(), answers.data(), answers.size(), MSG_WAITALL), 17);
      EXPECT_EQ(answers, "+PONG\r\n+OK\r\n+OK\r\n");
    } else {
      EXPECT_TRUE(eventually(3000, [&] { return dispatcher.request(submissions, 2) == "+OK\r\n+OK\r\n"; }));
    }
    EXPECT_TRUE(eventually(1000, [&] { return endpoint.requestsContaining("X-Request-Id: one") == 1; }));
    mode = Mode::answers;
    mode.notify_all();
    EXPECT_TRUE(eventually(2500, [&] { return polls > 0; }));
    EXPECT_TRUE(eventually(2000, [&] { return platform.requestsContaining("\"two\"") > 0; }));
    for (int fd : idle) ::close(fd);
    EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
  }
}

}  // namespace
}  // namespace stonewing::testing
