#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "logging/log.h"
#include "support/attempt_sender_harness.h"

// One request of one message: deadlines, descriptors, deduplication windows and changes of the endpoint list.
namespace stonewing::testing {
namespace {

// Seen on roll+brink+mass, 300 dispatchers, seed 54: "attempt.sent time_out_ms=11999.0", "attempt.ended
// ending=completed spent_ms=11999.42", and a message that was never counted as finished.
TEST(AttemptSender, AlsoNotifiesThePlatformOfADeliveryAtTheDeadline) {
  for (Millis untilDeadline : {9000.0, 400.0}) {
    AttemptSenderHarness harness;
    harness.accept("one", "order", untilDeadline);
    ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
    Millis respondAt = harness.loop.now() + 350;
    while (harness.loop.now() < respondAt) harness.turn();
    sendBytes(harness.connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(harness.turnUntil([&] { return harness.store.inFlight().empty(); }));
    EXPECT_EQ(harness.store.pendingNotifications().size(), untilDeadline < 1000 ? 1u : 0u) << untilDeadline;
  }
}

// A delivery, a refused connection and a log line while there are descriptors. The sanitizer of undefined
// behaviour checks each polymorphic type once, by way of a pipe; without descriptors for it, an object of a
// type that it meets for the first time passes for a broken one.
void rehearseWithDescriptors() {
  AttemptSenderHarness delivered;
  delivered.accept("delivered", "order", 9000);
  ASSERT_TRUE(delivered.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(delivered.respondAndFinishAll());
  AttemptSenderHarness refused;
  ::shutdown(refused.listener, SHUT_RDWR);
  refused.accept("refused", "order", 9000);
  refused.sendDecided();
  for (int count = 0; count < 5; ++count) refused.turn();
  log::warn("test.rehearsed", {{"why", "quoted text"}});
}

// Clients hold all descriptors. An attempt that could not have one must not count as a failed connection,
// nor its destination as in outage.
TEST(AttemptSender, RetriesLaterAndBlamesNoEndpointWithoutADescriptor) {
  ASSERT_NO_FATAL_FAILURE(rehearseWithDescriptors());
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  int next = ::dup(0);
  ::close(next);
  rlimit none{static_cast<rlim_t>(next), before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  harness.sendDecided();
  for (int count = 0; count < 5; ++count) harness.turn();
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_FALSE(harness.isPending("one"));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  EXPECT_EQ(harness.policy.state().endpoints.begin()->second.failures.consecutiveFailures(), 0);
  EXPECT_FALSE(harness.policy.state().routes.begin()->second.recovery.isOutage());
  EXPECT_TRUE(eventually(1000, [&] {
    harness.turn();
    harness.sendDecided();
    return harness.attemptsOf("one").size() == 2;
  }));
}

// Health checks beyond the budget of descriptors are dropped without an outcome.
TEST(AttemptSender, SendsNoMoreHealthChecksAtOnceThanItsBudget) {
  AttemptSenderHarness harness;
  EndpointId id = harness.discovery.idOf("s-1");
  for (int count = 0; count < 12; ++count) harness.sender.sendHealthCheck(id);
  int connections = 0;
  for (pollfd waiting{harness.listener, POLLIN, 0}; ::poll(&waiting, 1, 100) > 0; ++connections)
    ::close(::accept(harness.listener, nullptr, nullptr));
  EXPECT_EQ(connections, 8);
  EXPECT_EQ(harness.policy.state().endpoints.at(id).failures.consecutiveFailures(), 0);
}

// A descriptor is made free where possible, and the attempt is sent at once.
TEST(AttemptSender, SendsAtOnceWhenAnIdleConnectionCanBeEvicted) {
  ASSERT_NO_FATAL_FAILURE(rehearseWithDescriptors());
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  int idle = ::dup(0);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  rlimit none{static_cast<rlim_t>(idle) + 1, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  harness.loop.onDescriptorExhaustion([&] { return idle >= 0 && ::close(std::exchange(idle, -1)) == 0; });
  harness.sendDecided();
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_EQ(idle, -1);
  EXPECT_TRUE(harness.receiveUpTo("\r\n\r\nx"));
}

// A retry whose last bytes leave after the deduplication window: by then the endpoint has forgotten the
// first attempt.
TEST(AttemptSender, AbortsAHalfWrittenRetryWhenItsDeduplicationWindowCloses) {
  for (bool expired : {false, true}) {
    AttemptSenderHarness harness(Hedges::allowed, 30'000'000);
    harness.acceptAttemptedBefore("one", std::string(8'000'000, 'x'));
    harness.sendDecided();
    harness.connection = ::accept(harness.listener, nullptr, nullptr);
    for (int count = 0; count < 20; ++count) harness.turn();  // as much as the kernel takes
    if (expired) std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    harness.beginRound(0);
    EXPECT_EQ(harness.receiveUpTo("xxxx\n\n", 8'000'000), !expired);
    const Attempt& attempt = harness.attemptsOf("one").at(1);
    EXPECT_EQ(attempt.provablyNotExecuted, expired);
  }
}

// After a commit that hung, or a long turn, what was decided is asked again before its bytes leave.
TEST(AttemptSender, AsksThePolicyAgainAfterALongTurn) {
  for (bool expired : {false, true}) {
    AttemptSenderHarness harness(Hedges::allowed);
    harness.acceptAttemptedBefore("one");
    harness.sendDecided([&] {
      if (expired) std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    });
    EXPECT_EQ(harness.receiveUpTo("\r\n\r\nx"), !expired);
  }
}

// The connection that was chosen has ended while the journal was written.
TEST(AttemptSender, WritesNothingToAConnectionThatEndedDuringTheCommit) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(harness.respondAndFinishAll());
  harness.accept("two", "order", 9000);
  harness.sendDecided([&] {
    ::shutdown(harness.connection, SHUT_RDWR);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  });
  for (int count = 0; count < 5; ++count) harness.turn();
  const auto& attempts = harness.attemptsOf("two");
  EXPECT_TRUE(attempts.at(0).provablyNotExecuted);  // not idempotent, and it may be retried
}

// An idle connection has bytes of its endpoint that nobody asked for: half a line, or a response before its
// request. The next request would take them for its own response, and count as delivered.
TEST(AttemptSender, UsesNoIdleConnectionWithUnexpectedBytes) {
  for (std::string unexpected : {"HT", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    // 0: while it is idle, and the loop has seen them; 1: while it is idle, and the loop has not; 2: while
    // the journal is written, the request decided and the connection chosen.
    for (int when : {0, 1, 2}) {
      AttemptSenderHarness harness;
      harness.accept("one", "order", 9000);
      ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
      ASSERT_TRUE(harness.respondAndFinishAll());
      int oldConnection = std::exchange(harness.connection, -1);
      auto sendUnexpected = [&] { sendBytes(oldConnection, unexpected); };
      if (when < 2) sendUnexpected();
      for (int count = 0; when == 0 && count < 5; ++count) harness.turn();
      harness.accept("two", "order", 9000);
      harness.received.clear();
      harness.sendDecided(when == 2 ? std::function<void()>(sendUnexpected) : [] {});
      EXPECT_EQ(harness.receiveUpTo("\r\n\r\nx"), when < 2) << when;  // on a new connection, or not at all
      char byte;
      EXPECT_LE(::recv(oldConnection, &byte, 1, MSG_DONTWAIT), 0) << "two was sent on it";
      ASSERT_TRUE(harness.store.contains("two")) << when << unexpected;  // and nothing has completed it
      const Attempt& attempt = harness.attemptsOf("two").at(0);
      EXPECT_EQ(attempt.pending, when < 2);
      EXPECT_EQ(attempt.provablyNotExecuted, when == 2);
      ::close(oldConnection);
    }
  }
}

// One part arrives before and one after what its message waits for: a turn in which nothing else happens.
TEST(AttemptSender, CompletesOnceWhenAResponseArrivesInTwoParts) {
  for (std::size_t split = 1; split < 38; ++split) {
    AttemptSenderHarness harness;
    harness.accept("one", "order", 9000);
    ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    sendBytes(harness.connection, response.substr(0, split));
    for (int count = 0; count < 2; ++count) harness.turn();
    ASSERT_TRUE(harness.store.contains("one")) << split;
    EXPECT_TRUE(harness.isPending("one")) << split;
    sendBytes(harness.connection, response.substr(split));
    EXPECT_TRUE(harness.turnUntil([&] { return harness.store.inFlight().empty(); }));
    EXPECT_TRUE(harness.store.pendingNotifications().empty());
  }
}

// An endpoint leaves the list, drains, or comes back at another address while a request to it is on its way.
TEST(AttemptSender, SendsNothingToAnEndpointThatLeavesTheListMeanwhile) {
  // Decided and journaled, the connection not established: the drain is notified first.
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.sendDecided();
  harness.setEndpoint("terminating");
  EXPECT_FALSE(harness.receiveUpTo("x"));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  // Decided and not journaled yet: it has been removed.
  AttemptSenderHarness other;
  other.accept("one", "order", 9000);
  other.sendDecided([&] {
    other.setEndpoint("terminated");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  });
  EXPECT_FALSE(other.receiveUpTo("x"));
  EXPECT_TRUE(other.attemptsOf("one").at(0).provablyNotExecuted);
  // Back under its name with another address: the idle connection leads to where it was.
  AttemptSenderHarness moved;
  moved.accept("one", "order", 9000);
  ASSERT_TRUE(moved.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(moved.respondAndFinishAll());
  int oldListener = std::exchange(moved.listener, listenOnLoopback());
  int oldConnection = std::exchange(moved.connection, -1);
  moved.setEndpoint("in_service");
  moved.accept("two", "order", 9000);
  moved.received.clear();
  EXPECT_TRUE(moved.sendUpTo("\r\n\r\nx"));
  EXPECT_NE(moved.received.find("X-Request-Id: two"), std::string::npos);
  ::close(oldListener);
  ::close(oldConnection);
}

}  // namespace
}  // namespace stonewing::testing
