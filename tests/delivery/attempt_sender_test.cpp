#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "logging/log.h"
#include "support/attempt_sender_harness.h"

// Requests with a single message: deadlines, descriptors, deduplication windows and changes of the endpoint
// list.
namespace stonewing::testing {
namespace {

// A response that was written just after the deadline delivers nothing, and cannot be distinguished from one
// written just before it. An attempt with a time-out of 11999.0 ms completed after 11999.42 ms, and its
// message was never counted as finished (experiment roll+brink+mass, 300 dispatchers, seed 54).
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

// Performs a delivery, a refused connection and a log line while descriptors are available. The sanitizer for
// undefined behaviour checks each polymorphic type once, and needs a pipe for this. Without descriptors, it
// would report an object of a type that it has not checked before as invalid.
void warmUpSanitizerWithDescriptors() {
  AttemptSenderHarness delivered;
  delivered.accept("delivered", "order", 9000);
  ASSERT_TRUE(delivered.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(delivered.respondAndFinishAll());
  AttemptSenderHarness refused;
  ::shutdown(refused.listener, SHUT_RDWR);
  refused.accept("refused", "order", 9000);
  refused.sendDecided();
  for (int count = 0; count < 5; ++count) refused.turn();
  log::warn("test.sanitizer_warmed_up", {{"why", "quoted text"}});
}

// Clients use up all descriptors. An attempt that gets no descriptor must not count as a failed connection,
// and its destination must not count as being in an outage.
TEST(AttemptSender, RetriesLaterAndBlamesNoEndpointWithoutADescriptor) {
  ASSERT_NO_FATAL_FAILURE(warmUpSanitizerWithDescriptors());
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

// Health checks beyond the descriptor limit are not sent, and do not count as failures.
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

// If a descriptor can be freed, it is freed and the attempt is sent at once.
TEST(AttemptSender, SendsAtOnceWhenAnIdleConnectionCanBeEvicted) {
  ASSERT_NO_FATAL_FAILURE(warmUpSanitizerWithDescriptors());
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  int idle = ::dup(0);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  rlimit none{static_cast<rlim_t>(idle) + 1, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  harness.loop.setDescriptorExhaustionHandler(
      [&] { return idle >= 0 && ::close(std::exchange(idle, -1)) == 0; });
  harness.sendDecided();
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_EQ(idle, -1);
  EXPECT_TRUE(harness.receiveUpTo("\r\n\r\nx"));
}

// A dispatcher was killed while requests waited for their connections. The next one counted them as possibly
// executed, and gave up messages that had never been sent.
TEST(AttemptSender, JournalsAnAttemptOnlyOnceItsConnectionIsReady) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.sendDecided();
  EXPECT_TRUE(harness.storedAttemptsOf("one").empty());  // the connection is not established yet
  ASSERT_TRUE(harness.receiveUpTo("\r\n\r\nx"));
  EXPECT_EQ(harness.storedAttemptsOf("one").size(), 1u);
  ASSERT_TRUE(harness.respondAndFinishAll());
  harness.accept("two", "order", 9000);
  harness.received.clear();
  harness.sendDecided();
  harness.turnFor(20);
  EXPECT_TRUE(harness.storedAttemptsOf("two").empty());  // the kept connection may not be reused yet
  ASSERT_TRUE(harness.receiveUpTo("\r\n\r\nx"));
  EXPECT_EQ(harness.storedAttemptsOf("two").size(), 1u);
}

// An endpoint that closes each new connection at once counts as unreachable. Otherwise the message would use
// up its attempts within milliseconds.
TEST(AttemptSender, CountsAConnectionThatEndsBeforeItsFirstRequestAsFailed) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.sendDecided();
  pollfd waiting{harness.listener, POLLIN, 0};
  ASSERT_EQ(::poll(&waiting, 1, 1000), 1);
  ::close(::accept(harness.listener, nullptr, nullptr));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("one"); }));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  EXPECT_GT(harness.policy.state().endpoints.begin()->second.failures.consecutiveFailures(), 0);
}

// A retry whose last bytes are sent after the deduplication window would be executed a second time: by then
// the endpoint has forgotten the first attempt.
TEST(AttemptSender, AbortsAHalfWrittenRetryWhenItsDeduplicationWindowCloses) {
  for (bool expired : {false, true}) {
    AttemptSenderHarness harness(Hedges::allowed, 30'000'000);
    harness.acceptAttemptedBefore("one", std::string(8'000'000, 'x'));
    harness.sendDecided();
    harness.connection = ::accept(harness.listener, nullptr, nullptr);
    for (int count = 0; count < 20; ++count) harness.turn();  // writes as much as the socket buffers hold
    if (expired) std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    harness.beginRound(0);
    EXPECT_EQ(harness.receiveUpTo("xxxx\n\n", 8'000'000), !expired);
    const Attempt& attempt = harness.attemptsOf("one").at(1);
    EXPECT_EQ(attempt.provablyNotExecuted, expired);
  }
}

// After a commit that hung, or after a long turn, a decision may be outdated, so the policy is asked again
// before the first byte is sent.
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

// The connection chosen for the request ended while the journal was written.
TEST(AttemptSender, WritesNothingToAConnectionThatEndedDuringTheCommit) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(harness.respondAndFinishAll());
  harness.turnFor(kUntilReusable);
  harness.accept("two", "order", 9000);
  harness.sendDecided([&] {
    ::shutdown(harness.connection, SHUT_RDWR);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  });
  for (int count = 0; count < 5; ++count) harness.turn();
  const auto& attempts = harness.attemptsOf("two");
  EXPECT_TRUE(attempts.at(0).provablyNotExecuted);  // so it may be retried although it is not idempotent
}

// An endpoint sent unrequested bytes on an idle connection: a partial line, or a response before its request.
// The next request would read them as its own response, and count as delivered.
TEST(AttemptSender, UsesNoIdleConnectionWithUnexpectedBytes) {
  for (std::string unexpected : {"HT", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    // When the bytes arrive. 0: while the connection is idle, and the loop reads them; 1: while it is idle,
    // and the loop does not read them; 2: while the journal is written, after the connection was chosen for
    // the request.
    for (int when : {0, 1, 2}) {
      AttemptSenderHarness harness;
      harness.accept("one", "order", 9000);
      ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
      ASSERT_TRUE(harness.respondAndFinishAll());
      harness.turnFor(kUntilReusable);
      int oldConnection = std::exchange(harness.connection, -1);
      auto sendUnexpected = [&] { sendBytes(oldConnection, unexpected); };
      if (when < 2) sendUnexpected();
      for (int count = 0; when == 0 && count < 5; ++count) harness.turn();
      harness.accept("two", "order", 9000);
      harness.received.clear();
      harness.sendDecided(when == 2 ? std::function<void()>(sendUnexpected) : [] {});
      EXPECT_EQ(harness.receiveUpTo("\r\n\r\nx"), when < 2) << when;  // sent on a new connection, or not sent
      char byte;
      EXPECT_LE(::recv(oldConnection, &byte, 1, MSG_DONTWAIT), 0) << "two was sent on it";
      ASSERT_TRUE(harness.store.contains("two")) << when << unexpected;  // and no response has completed it
      const Attempt& attempt = harness.attemptsOf("two").at(0);
      EXPECT_EQ(attempt.pending, when < 2);
      EXPECT_EQ(attempt.provablyNotExecuted, when == 2);
      ::close(oldConnection);
    }
  }
}

// The first part of a response arrives in a turn without other events. It must not finish the message, and
// the second part must finish it once.
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

// An endpoint leaves the list, drains, or returns with another address while a request to it is being
// prepared.
TEST(AttemptSender, SendsNothingToAnEndpointThatLeavesTheListMeanwhile) {
  // The attempt is decided and journaled, and its connection is not established when the drain is reported.
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.sendDecided();
  harness.setEndpoint("terminating");
  EXPECT_FALSE(harness.receiveUpTo("x"));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  // The attempt is decided and not journaled yet when the endpoint is removed.
  AttemptSenderHarness other;
  other.accept("one", "order", 9000);
  other.sendDecided([&] {
    other.setEndpoint("terminated");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  });
  EXPECT_FALSE(other.receiveUpTo("x"));
  EXPECT_TRUE(other.attemptsOf("one").at(0).provablyNotExecuted);
  // The endpoint returns with the same name and another address. The idle connection leads to its old
  // address.
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
