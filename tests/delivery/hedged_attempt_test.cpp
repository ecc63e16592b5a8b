#include <gtest/gtest.h>
#include <poll.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/attempt_sender_harness.h"

namespace stonewing::testing {
namespace {

// Two endpoints, each with its connections and the request that it has not answered yet. A hedge uses up
// retry budget; twenty messages that are answered at once earn enough of it.
struct HedgeHarness : AttemptSenderHarness {
  struct EndpointSide {
    int listener;
    std::vector<int> connections;
    int requestConnection;  // the connection with a complete, unanswered request; -1 if none
  };
  std::array<EndpointSide, 2> endpoints{EndpointSide{listener, {}, -1},
                                        EndpointSide{listenOnLoopback(), {}, -1}};

  HedgeHarness() : AttemptSenderHarness(Hedges::allowed) {
    executesCancellations = true;
    discovery.applyAnswer(nlohmann::json::parse(
        R"({"version":2,"full":false,"servers":[{"id":"s-2","addr":"127.0.0.1:)" +
        std::to_string(localPort(endpoints[1].listener)) +
        R"(","zone":"a","kind":"many","cell":7,"state":"in_service","weight":1.0,"started_ms":0}]})"));
    for (int index = 0; index < 20; ++index) {
      accept("w" + std::to_string(index), "status", 9000);
      sendDecided();
      EXPECT_TRUE(turnUntil(
          [&] {
            for (EndpointSide& endpoint : endpoints) {
              if (hasRequest(endpoint)) respond(endpoint);
            }
            return store.inFlight().empty();
          },
          kUntilConfirmed));
    }
  }
  ~HedgeHarness() {
    for (const EndpointSide& endpoint : endpoints) {
      for (int fd : endpoint.connections) ::close(fd);
    }
    ::close(endpoints[1].listener);
  }

  static bool hasRequest(EndpointSide& endpoint) {
    pollfd waiting{endpoint.listener, POLLIN, 0};
    while (::poll(&waiting, 1, 0) > 0) {
      endpoint.connections.push_back(::accept(endpoint.listener, nullptr, nullptr));
    }
    for (int fd : endpoint.connections) {
      char bytes[4096];
      ssize_t size = endpoint.requestConnection < 0 ? ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) : 0;
      if (size > 0 && std::string_view(bytes, static_cast<std::size_t>(size)).ends_with("\r\n\r\nx")) {
        endpoint.requestConnection = fd;
      }
    }
    return endpoint.requestConnection >= 0;
  }
  static void respond(EndpointSide& endpoint) {
    sendBytes(std::exchange(endpoint.requestConnection, -1), kEmptyResponse);
  }
};

// A hedge is pending, and the responses to both attempts arrive before the next turn of the loop, or the
// first response arrives while the hedge is journaled, or the losing attempt's response arrives after the
// winner's. The message must finish once, without a notification and without a further attempt, and the
// losing response must not be read as the response to a later request.
TEST(HedgedAttempt, FinishesItsMessageOnceWhenBothAttemptsAreAnsweredAtOnce) {
  enum class Order { both, duringCommit, loserLater };
  for (Order order : {Order::both, Order::duringCommit, Order::loserLater}) {
    HedgeHarness harness;
    harness.accept("one", "status", 9000);
    harness.sendDecided();
    ASSERT_TRUE(harness.turnUntil([&] {
      return HedgeHarness::hasRequest(harness.endpoints[0]) || HedgeHarness::hasRequest(harness.endpoints[1]);
    }));
    HedgeHarness::EndpointSide& first =
        harness.endpoints[0].requestConnection >= 0 ? harness.endpoints[0] : harness.endpoints[1];
    HedgeHarness::EndpointSide& second =
        harness.endpoints[0].requestConnection >= 0 ? harness.endpoints[1] : harness.endpoints[0];
    ASSERT_TRUE(eventually(3000, [&] {
      harness.turn();
      harness.sendDecided([&] {
        if (order == Order::duringCommit && harness.attemptsOf("one").size() == 2)
          HedgeHarness::respond(first);
      });
      return harness.attemptsOf("one").size() == 2;
    }));
    if (order != Order::duringCommit) {
      ASSERT_TRUE(eventually(1000, [&] {
        if (!HedgeHarness::hasRequest(second)) harness.turn();
        return second.requestConnection >= 0;
      }));
      HedgeHarness::respond(first);
      if (order == Order::both) HedgeHarness::respond(second);
    }
    EXPECT_TRUE(harness.turnUntil([&] { return harness.store.inFlight().empty(); }, kUntilConfirmed));
    if (order == Order::loserLater) {
      harness.sendDecided();
      char byte;  // the losing attempt's connection was closed
      EXPECT_EQ(::recv(second.requestConnection, &byte, 1, 0), 0);
      HedgeHarness::respond(second);
    }
    for (int count = 0; count < 20; ++count) {
      harness.turn();
      harness.sendDecided();
    }
    EXPECT_TRUE(harness.store.pendingNotifications().empty());
    EXPECT_EQ(harness.policy.state().requestsInFlight, 0) << static_cast<int>(order);
    // The next request waits for its own response, on any connection.
    harness.accept("two", "status", 9000);
    harness.sendDecided();
    for (int count = 0; count < 5; ++count) harness.turn();
    EXPECT_TRUE(harness.store.contains("two"));
    EXPECT_EQ(harness.policy.state().requestsInFlight, 1) << static_cast<int>(order);
  }
}

}  // namespace
}  // namespace stonewing::testing
