#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "support/discovery_harness.h"

// News that an endpoint drains, with answers of discovery that are altered on their way.
namespace stonewing::testing {
namespace {

// The grace for endpoints that drain must not pass while a poll waits for the rest of an answer.
TEST(DrainNotification, AStalledAnswerDoesNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  harness.respond(drain.substr(0, drain.size() / 2));
  int stalled = std::exchange(harness.connection, -1);
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  harness.respond(drain);
  ASSERT_TRUE(eventually(kDrainGrace, [&] {
    harness.turn();
    return !harness.isReady("s-1");
  }));
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
  ::close(stalled);
}

// The delays between polls whose answers are cut must not add up to more than the grace.
TEST(DrainNotification, FiveAnswersCutInARowDoNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  for (int cut = 0; cut < 5; ++cut) {
    harness.respond(drain.substr(0, drain.size() / 4));
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  }
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// A rejection after an answer that was cut must not delay the next poll as an overloaded discovery's does.
TEST(DrainNotification, ARejectionAfterACutAnswerDoesNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  harness.respond(drain.substr(0, drain.size() / 4));
  ::shutdown(harness.connection, SHUT_WR);
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  harness.respond(httpResponse(503, ""));
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// If the news that an endpoint drains cannot be read within the grace, no attempt may begin until it is read.
TEST(DrainNotification, NoAttemptBeginsPastTheGraceWhileEveryAnswerIsCut) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  while (harness.loop.now() - writtenAt < 2 * kDrainGrace) {
    harness.respond(drain.substr(0, 1));
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(2 * kDrainGrace).requestLine, "");
    bool isEarly = harness.loop.now() - writtenAt < kDrainGrace / 2;
    EXPECT_TRUE(!isEarly || harness.policy.mayBeginAttempts());
  }
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  harness.respond(drain);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
  EXPECT_FALSE(harness.isReady("s-1"));
}

// A connection may end before the first byte of the news.
TEST(DrainNotification, AnswersCutBeforeTheirFirstByteDoNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  Millis writtenAt = harness.loop.now();
  for (int cut = 0; cut < 5; ++cut) {
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  }
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// The fleet goes on while discovery restarts: watches end, and polls are rejected for a while.
TEST(DrainNotification, ARestartOfDiscoveryPausesNoAttemptsAndIsNotFlooded) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  ::shutdown(harness.connection, SHUT_WR);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(503, ""));
  Poll poll = harness.nextPoll(6000);
  EXPECT_GE(poll.after, 800);
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
}

// An entry that has arrived must not wait for the rest of its list.
TEST(DrainNotification, ADrainIsActedOnAlthoughTheListBehindItDoesNotArrive) {
  for (bool isChunked : {false, true}) {
    DiscoveryHarness harness;
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    harness.respond(listResponse(1));
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    std::string drain = listResponse(2, "terminating");
    std::string body = drain.substr(drain.find('{')) + " ";
    std::string entries = body.substr(0, body.rfind(']')) + ",";
    Millis writtenAt = harness.loop.now();
    harness.respond(isChunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" + entries
                              : "HTTP/1.1 200 OK\r\nContent-Length: 4095\r\n\r\n" + entries);
    int stalled = std::exchange(harness.connection, -1);
    ASSERT_TRUE(eventually(2 * kDrainGrace, [&] {
      harness.turn();
      return !harness.isReady("s-1");
    }));
    EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
    ::close(stalled);
  }
}

// Polls that discovery leaves unanswered, as it does with nothing to tell, must not be repeated for long.
TEST(DrainNotification, PollsAsBeforeOnceDiscoveryHasNothingToTellAfterACutAnswer) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond("HTTP/1.1 200 OK\r\nContent-Le");
  ::shutdown(harness.connection, SHUT_WR);
  int polls = 0;
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1900) polls += harness.nextPoll(20).requestLine.empty() ? 0 : 1;
  EXPECT_LE(polls, 5);
  EXPECT_EQ(harness.nextPoll(300).requestLine, "");
}

// A response that takes long but goes on must become complete, however many polls start beside it.
TEST(DrainNotification, ASlowAnswerIsReadToItsEnd) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string list = listResponse(3);
  std::size_t half = list.size() / 2;
  harness.respond(list.substr(0, half));
  int slow = std::exchange(harness.connection, -1);
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1500) harness.nextPoll(20);
  EXPECT_FALSE(harness.isReady("s-1"));
  sendBytes(slow, list.substr(half));
  EXPECT_TRUE(eventually(200, [&] {
    harness.turn();
    return harness.isReady("s-1");
  }));
  ::close(slow);
}

// An older list, as a cache before discovery may send it, must not make an endpoint ready again that drains.
TEST(DrainNotification, AnOlderListAfterANewerOneMakesNoDrainingEndpointReady) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(41, "terminating"));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  for (int count = 0; count < 3; ++count) {
    harness.respond(listResponse(40, "in_service"));
    Poll poll = harness.nextPoll(kDrainGrace);
    EXPECT_TRUE(poll.requestLine.starts_with("GET /catalog/members HTTP")) << poll.requestLine;
    EXPECT_FALSE(harness.isReady("s-1"));
  }
  harness.respond(listResponse(42, "in_service"));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  EXPECT_TRUE(harness.isReady("s-1"));
}

}  // namespace
}  // namespace stonewing::testing
