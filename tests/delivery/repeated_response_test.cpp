#include <gtest/gtest.h>
#include <poll.h>

#include <string>

#include "support/attempt_sender_harness.h"

// Responses that arrive a second time on a connection that is kept, and would count for the next request
// there.
namespace stonewing::testing {
namespace {

const std::string kUnavailable = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const std::string kBackoff = "HTTP/1.1 429 No\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n";

// How long an endpoint takes to respond, in milliseconds. A response that comes at once is too early there.
constexpr Millis kSlowResponse = 300;

// A sender whose one connection has carried message "first" and is about to carry "second".
struct KeptConnection : AttemptSenderHarness {
  std::string type;
  Millis deadlineOfSecond{9000};  // milliseconds from its acceptance

  // `responseTime`: of the endpoint's response to "first", in milliseconds.
  explicit KeptConnection(std::string typeOfSecond, Millis responseTime = 0) : type(std::move(typeOfSecond)) {
    accept("first", "status", 9000);
    EXPECT_TRUE(sendUpTo("\r\n\r\nx"));
    turnFor(responseTime);
    EXPECT_TRUE(respondAndFinishAll());
  }

  // Sends "second" on the kept connection.
  void sendSecond() {
    turnFor(kUntilReusable);
    accept("second", type, deadlineOfSecond);
    received.clear();
    EXPECT_TRUE(sendUpTo("\r\n\r\nx"));
  }

  // The attempts of "second"; 0 once it is finished.
  std::size_t attemptCount() {
    const auto& messages = policy.state().messages;
    auto found = messages.find(ids.at("second"));
    return found == messages.end() ? 0 : found->second.attempts.size();
  }

  // Turns and decides for so many milliseconds.
  void decideFor(Millis duration) {
    Millis end = loop.now() + duration;
    while (loop.now() < end) {
      turn();
      sendDecided();
    }
  }

  // Whether another connection reaches the endpoint within the time.
  bool isConnectedAgain(Millis timeout) {
    pollfd waiting{listener, POLLIN, 0};
    return eventually(timeout, [&] {
      turn();
      sendDecided();
      return ::poll(&waiting, 1, 0) > 0;
    });
  }
};

TEST(RepeatedResponse, ARepeatWithin50MsClosesTheConnectionBeforeItsNextRequest) {
  for (Millis delay : {0.0, 10.0, 50.0}) {
    KeptConnection harness("order");
    harness.turnFor(delay);
    sendBytes(harness.connection, kEmptyResponse);
    harness.turnFor(kUntilReusable);
    EXPECT_TRUE(harness.isClosed()) << delay;
  }
}

// A first request's 200 repeated: the second request counted as delivered, and its message was lost.
TEST(RepeatedResponse, ADeliveryIsTakenBackWhenTheTrueResponseFollows) {
  for (std::string type : {"status", "repeat"}) {
    KeptConnection harness(type);
    harness.sendSecond();
    sendBytes(harness.connection, kEmptyResponse);  // the repeat
    harness.turnFor(20);
    sendBytes(harness.connection, kUnavailable);  // the true response
    EXPECT_TRUE(harness.isConnectedAgain(1000)) << type;
    EXPECT_TRUE(harness.store.contains("second")) << type;
    EXPECT_EQ(harness.attemptCount(), 2u) << type;
  }
}

TEST(RepeatedResponse, AMessageThatMayNotRunTwiceFailsWhenItsDeliveryIsTakenBack) {
  KeptConnection harness("order");
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  harness.turnFor(20);
  sendBytes(harness.connection, kEmptyResponse);
  harness.decideFor(50);
  while (auto decision = harness.policy.nextDecision()) {
  }
  EXPECT_FALSE(harness.isConnectedAgain(100));  // it may have been executed, so it is not sent again
  EXPECT_EQ(harness.attemptCount(), 0u);
}

// A first request's 503 repeated: the second request was sent again although it was running.
TEST(RepeatedResponse, ARejectionDoesNotReleaseAMessageThatMayNotRunTwice) {
  for (std::string type : {"order", "repeat"}) {
    KeptConnection harness(type);
    harness.sendSecond();
    sendBytes(harness.connection, kUnavailable);  // the repeat
    harness.decideFor(40);
    EXPECT_TRUE(harness.isPending("second")) << type;
    sendBytes(harness.connection, kEmptyResponse);  // the true response
    harness.turnFor(20);
    EXPECT_FALSE(harness.attemptsOf("second").at(0).provablyNotExecuted) << type;
  }
}

TEST(RepeatedResponse, ARejectionHoldsOnceNothingContradictsIt) {
  KeptConnection harness("order");
  harness.sendSecond();
  sendBytes(harness.connection, kUnavailable);
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("second"); }, kUntilConfirmed));
  EXPECT_TRUE(harness.attemptsOf("second").at(0).provablyNotExecuted);
}

TEST(RepeatedResponse, ADeliveryIsFinishedOnceNothingContradictsIt) {
  KeptConnection harness("order");
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  EXPECT_TRUE(harness.turnUntil([&] { return harness.store.inFlight().empty(); }, kUntilConfirmed));
  EXPECT_TRUE(harness.store.pendingNotifications().empty());
  EXPECT_FALSE(harness.isClosed());
}

// A repeat 73 ms behind its original met a request that had left 13 ms before, and the endpoint was silent
// from then on: nothing contradicted the delivery, and the message had neither an attempt nor a notification
// left.
TEST(RepeatedResponse, ADeliveryReportedTooEarlyEndsWithANotificationWhileTheEndpointIsSilent) {
  for (std::string type : {"status", "repeat", "order"}) {
    KeptConnection harness(type, kSlowResponse);
    harness.deadlineOfSecond = 2500;
    harness.sendSecond();
    sendBytes(harness.connection, kEmptyResponse);  // the repeat
    EXPECT_TRUE(harness.turnUntil([&] { return !harness.store.pendingNotifications().empty(); }, 2500))
        << type;
    EXPECT_TRUE(harness.store.inFlight().empty()) << type;
  }
}

// The message was delivered unless the response was a repeat, so it is not sent again for the doubt alone
// (experiment drain-news, seed 71).
TEST(RepeatedResponse, AnEarlyDeliveryThatNothingContradictsIsNotSentAgain) {
  KeptConnection harness("status", kSlowResponse);
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  EXPECT_FALSE(harness.isConnectedAgain(kUntilConfirmed));
  EXPECT_TRUE(harness.store.contains("second"));
}

// An endpoint that became faster: its response is believed once it has responded to a later request, too.
TEST(RepeatedResponse, AnEarlyDeliveryIsBelievedOnceTheEndpointRespondsToALaterRequest) {
  KeptConnection harness("order", kSlowResponse);
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  harness.turnFor(kUntilReusable);
  EXPECT_TRUE(harness.store.contains("second"));
  int firstConnection = std::exchange(harness.connection, -1);
  harness.accept("third", "status", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));  // on a new connection
  EXPECT_TRUE(harness.respondAndFinishAll());
  EXPECT_TRUE(harness.store.pendingNotifications().empty());
  ::close(firstConnection);
}

// A repeated rejection that is not contradicted does not release a message that may be running.
TEST(RepeatedResponse, ARejectionReportedTooEarlyReleasesNoMessageWhileTheEndpointIsSilent) {
  for (std::string type : {"order", "repeat"}) {
    AttemptSenderHarness harness;
    harness.accept("first", type, 9000);
    ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
    harness.turnFor(kSlowResponse);
    sendBytes(harness.connection, kUnavailable);
    ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("first"); }));
    harness.policy.cancelMessage(harness.ids["first"]);
    harness.store.recordDelivered(harness.ids["first"]);
    harness.turnFor(kUntilReusable);
    harness.accept("second", type, 9000);
    harness.received.clear();
    ASSERT_TRUE(harness.turnUntil(
        [&] {
          harness.sendDecided();
          return harness.attemptsOf("second").size() == 1 && harness.receiveUpTo("\r\n\r\nx");
        },
        kUntilConfirmed));
    sendBytes(harness.connection, kUnavailable);  // the repeat
    ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("second"); }, kUntilConfirmed));
    EXPECT_FALSE(harness.attemptsOf("second").at(0).provablyNotExecuted) << type;
  }
}

// The true response to a request for which a repeat was taken may ask for a delay.
TEST(RepeatedResponse, TheDelayInAnUnexpectedResponseIsRespected) {
  KeptConnection harness("status");
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  harness.turnFor(20);
  Millis askedAt = harness.loop.now();
  sendBytes(harness.connection, kBackoff);
  EXPECT_TRUE(harness.isConnectedAgain(2000));
  EXPECT_GE(harness.loop.now() - askedAt, 880);
}

// Part of a repeat stands before the true response. Its 200 proves nothing on a kept connection.
TEST(RepeatedResponse, APartialRepeatDeliversNothing) {
  KeptConnection harness("status");
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse.substr(0, 20) + kUnavailable);
  harness.turnFor(20);
  EXPECT_TRUE(harness.store.contains("second"));
}

// The repeat and the true response arrive together.
TEST(RepeatedResponse, TwoResponsesAtOnceProveNothing) {
  KeptConnection harness("order");
  harness.sendSecond();
  sendBytes(harness.connection, kUnavailable + kEmptyResponse);
  harness.turnFor(20);
  EXPECT_FALSE(harness.attemptsOf("second").at(0).provablyNotExecuted);
  EXPECT_FALSE(harness.attemptsOf("second").at(0).pending);
}

// The lines of a batch response name the messages of another request.
TEST(RepeatedResponse, ABatchResponseForOtherMessagesProvesNothing) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.accept("two", "order", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\nx\r\n"));
  const std::string lines = "five ok\r\nsix ok\r\n";
  sendBytes(harness.connection,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(lines.size()) + "\r\n\r\n" + lines);
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("one"); }));
  EXPECT_FALSE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  EXPECT_TRUE(harness.isClosed());
}

// A response before the request's last byte: an endpoint has not begun it, whatever the response reports.
TEST(RepeatedResponse, AResponseBeforeTheRequestIsCompleteDeliversNothing) {
  AttemptSenderHarness harness(Hedges::forbidden, 30'000'000);
  harness.accept("one", "order", 9000, std::string(8'000'000, 'x'));
  harness.sendDecided();
  harness.connection = ::accept(harness.listener, nullptr, nullptr);
  for (int count = 0; count < 20; ++count) harness.turn();  // writes as much as the socket buffers hold
  sendBytes(harness.connection, kEmptyResponse);
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("one"); }));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
}

// After unexpected bytes, each connection to the endpoint carries one request.
TEST(RepeatedResponse, AnEndpointThatRepeatedAResponseGetsANewConnectionForEachRequest) {
  KeptConnection harness("order");
  sendBytes(harness.connection, kEmptyResponse);
  harness.turnFor(kUntilReusable);
  ASSERT_TRUE(harness.isClosed());
  ::close(std::exchange(harness.connection, -1));
  harness.sendSecond();
  sendBytes(harness.connection, kEmptyResponse);
  EXPECT_TRUE(harness.turnUntil([&] { return harness.isClosed(); }));
  EXPECT_TRUE(harness.store.inFlight().empty());
}

}  // namespace
}  // namespace stonewing::testing
