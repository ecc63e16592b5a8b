#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "policy/drain_budget.h"
#include "support/discovery_harness.h"

// A local agent that returns from an outage. What it has then counts as notified at once, so that the pauses
// between polls are a part of the drain grace.
namespace stonewing::testing {
namespace {

// What remains of the grace for a poll to begin, if the process may be held up before it acts.
constexpr Millis kMaxPause = kDrainGrace - kHoldUpAllowance;
// Polls that follow each other more closely would flood the agent.
constexpr Millis kMinPause = 25;

TEST(DiscoveryReturn, APauseAfterARejectionIsShorterThanTheDrainGrace) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  for (int count = 0; count < 8; ++count) {
    harness.respond(httpResponse(503, ""));
    Poll poll = harness.nextPoll(6000);
    EXPECT_LT(poll.after, kMaxPause) << count;
    EXPECT_GT(poll.after, kMinPause) << count;
  }
}

TEST(DiscoveryReturn, APauseAfterRefusedConnectionsIsShorterThanTheDrainGrace) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  std::uint16_t port = localPort(harness.listener);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  for (int round = 0; round < 4; ++round) {
    ::close(harness.listener);
    ::close(harness.connection);
    harness.connection = -1;
    Millis beganAt = harness.loop.now();
    while (harness.loop.now() - beganAt < 1500) harness.turn();
    harness.listener = listenOnLoopback(port);
    EXPECT_LT(harness.nextPoll(6000).after, kMaxPause) << round;
  }
}

// An agent that was silent tells those polls alone that begin after its return, and a watch may have been
// forgotten on the way while the agent is well.
TEST(DiscoveryReturn, AnotherPollBeginsWithinTheDrainGraceWhileNoneIsAnswered) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::vector<int> unanswered;
  for (int count = 0; count < 10; ++count) {
    unanswered.push_back(std::exchange(harness.connection, -1));
    Poll poll = harness.nextPoll(6000);
    EXPECT_LT(poll.after, kMaxPause) << count;
    EXPECT_GT(poll.after, kMinPause) << count;
  }
  harness.respond(listResponse(2, "terminating"));
  EXPECT_TRUE(eventually(100, [&] {
    harness.turn();
    return !harness.isReady("s-1");
  }));
  for (int connection : unanswered) ::close(connection);
}

TEST(DiscoveryReturn, AnotherPollBeginsWithinTheDrainGraceAfterConnectionsThatAreNotEstablished) {
  DiscoveryHarness harness(0, DiscoveryKind::localAgent);
  int full = connectToLoopback(localPort(harness.listener));  // fills the listener's backlog
  Millis beganAt = harness.loop.now();
  while (harness.loop.now() - beganAt < 1200) harness.turn();
  ::close(::accept(harness.listener, nullptr, nullptr));  // discovery can be reached from now on
  ::close(full);
  EXPECT_LT(harness.nextPoll(3000).after, kMaxPause);
}

// The first poll is answered so late; those beside it must not take its place.
void expectReadIfAnsweredAfter(Millis delay) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  int late = std::exchange(harness.connection, -1);
  Millis askedAt = harness.loop.now();
  while (harness.loop.now() - askedAt < delay) harness.nextPoll(10);
  sendBytes(late, listResponse(1));
  EXPECT_TRUE(eventually(100, [&] {
    harness.turn();
    return harness.isReady("s-1");
  }));
  ::close(late);
}

TEST(DiscoveryReturn, AnAgentThatAnswersLateIsReadAllTheSame) { expectReadIfAnsweredAfter(450); }

// Changes must arrive within 6 s, however slow discovery is: a poll that is always given up too early reads
// none.
TEST(DiscoveryReturn, ADiscoveryThatAnswersEveryPollTwoSecondsLateIsReadAllTheSame) {
  expectReadIfAnsweredAfter(2000);
}

// Each of them would be answered with the whole list by an agent that is only slow.
TEST(DiscoveryReturn, AFullListIsNotAskedForMoreOftenThanChangesWhileNoneIsAnswered) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  harness.changeHost();
  std::vector<int> unanswered;
  for (int count = 0; count < 6; ++count) {
    Poll poll = harness.nextPoll(6000);
    EXPECT_NE(poll.requestLine, "");
    if (count > 0) {
      EXPECT_GT(poll.after, kDrainGrace / 3) << count;
      EXPECT_LT(poll.after, kMaxPause) << count;
    }
    unanswered.push_back(std::exchange(harness.connection, -1));
  }
  for (int connection : unanswered) ::close(connection);
}

// Hundreds of dispatchers may have one discovery behind their agents. Once it has rejected polls, watches are
// long for a while.
TEST(DiscoveryReturn, WatchesAreLongForAWhileAfterARejection) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(503, ""));
  EXPECT_NE(harness.nextPoll(500).requestLine.find("timeout_ms=2000"), std::string::npos);
  Millis beganAt = harness.loop.now();
  std::string request;
  while (harness.loop.now() - beganAt < 4000) {
    harness.respond(httpResponse(200, R"({"version":1,"full":false,"servers":[]})"));
    request = harness.nextPoll(500).requestLine;
    ASSERT_NE(request, "");
  }
  EXPECT_EQ(request.find("timeout_ms=2000"), std::string::npos) << request;
}

// What was seen of one discovery says nothing about the next.
TEST(DiscoveryReturn, AnotherAddressIsPolledWithoutRegardToRejectionsOfTheLast) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(503, ""));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.changeHost();
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine.find("since=1"), std::string::npos);
  int forgotten = std::exchange(harness.connection, -1);
  EXPECT_LT(harness.nextPoll(6000).after, kMaxPause) << "the watch there is long";
  ::close(forgotten);
}

TEST(DiscoveryReturn, AChangeAtAnotherAddressIsWaitedForAfterTheLastOneBroke) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  Millis beganAt = harness.loop.now();
  while (harness.loop.now() - beganAt < 2000) {
    harness.nextPoll(500);
    ::close(std::exchange(harness.connection, -1));
  }
  ASSERT_TRUE(harness.policy.mayBeginAttempts());
  harness.changeHost();
  beganAt = harness.loop.now();
  while (harness.loop.now() - beganAt < kDrainGrace) {
    harness.nextPoll(500);
    ::close(std::exchange(harness.connection, -1));
  }
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
}

// An agent that breaks must not take the deliveries with it.
TEST(DiscoveryReturn, AttemptsGoOnWhileEveryPollIsResetWithoutAnAnswer) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  Millis paused = 0;
  Millis beganAt = harness.loop.now();
  while (harness.loop.now() - beganAt < 4000) {
    Poll poll = harness.nextPoll(500);
    ASSERT_LT(poll.after, kMaxPause);
    if (!harness.policy.mayBeginAttempts()) paused += poll.after;
    ::close(std::exchange(harness.connection, -1));
  }
  EXPECT_LT(paused, 1500);
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
}

// The watch ends while the process is held up, and nothing tells what has changed since.
TEST(DiscoveryReturn, NoAttemptBeginsAfterAStallUntilAPollIsAnswered) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(200, R"({"version":1,"full":false,"servers":[]})"));
  harness.turnAfterStall(1700);
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  ASSERT_NE(harness.nextPoll(100).requestLine, "");
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  harness.respond(listResponse(2, "terminating"));
  EXPECT_TRUE(eventually(100, [&] {
    harness.turn();
    return harness.policy.mayBeginAttempts();
  }));
  EXPECT_FALSE(harness.isReady("s-1"));
}

TEST(DiscoveryReturn, AttemptsGoOnAfterAStallThroughWhichAWatchWasOpen) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(503, ""));  // a long watch follows
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.turnAfterStall(1000);
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
}

// A journal whose every write is slow must not stop the deliveries: the list is old only for the end of each
// stall.
TEST(DiscoveryReturn, AttemptsGoOnWhileEveryTurnIsLongAndEachWatchEndsInIt) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  for (int turn = 0; turn < 6; ++turn) {
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    harness.respond(httpResponse(200, R"({"version":1,"full":false,"servers":[]})"));
    harness.turnAfterStall(300);
    EXPECT_TRUE(harness.policy.mayBeginAttempts()) << turn;
  }
}

TEST(DiscoveryReturn, WatchesOutliveFurtherStallsAfterOneThatHidChanges) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(200, R"({"version":1,"full":false,"servers":[]})"));
  harness.turnAfterStall(800);
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  EXPECT_NE(harness.nextPoll(500).requestLine.find("timeout_ms=2000"), std::string::npos);
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.turnAfterStall(800);
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
}

TEST(DiscoveryReturn, AttemptsGoOnSoonAfterAStallWhileDiscoveryIsSilentOrHasNoNews) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.turnAfterStall(1700);
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  Millis resumedAt = harness.loop.now();
  EXPECT_TRUE(eventually(400, [&] {
    harness.nextPoll(10);
    return harness.policy.mayBeginAttempts();
  }));
  EXPECT_LT(harness.loop.now() - resumedAt, 300);
}

// Without it, the log does not show how late a change was read after an open watch had fallen silent.
TEST(DiscoveryReturn, TheLogTellsHowLongNoPollWasAnswered) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  int forgotten = std::exchange(harness.connection, -1);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  ::testing::internal::CaptureStdout();
  harness.respond(listResponse(2, "terminating"));
  harness.nextPoll(500);
  std::string log = ::testing::internal::GetCapturedStdout();
  ::close(forgotten);
  std::size_t line = log.find("discovery.list_applied version=2");
  ASSERT_NE(line, std::string::npos) << log;
  const std::string field = "since_answer_ms=";
  std::size_t at = log.find(field, line);
  ASSERT_NE(at, std::string::npos) << log;
  EXPECT_NEAR(std::stod(log.substr(at + field.size())), 250, 100);
}

// In calm, each watch that ends without a change is followed by one other.
TEST(DiscoveryReturn, ACalmAgentIsPolledAFewTimesASecond) {
  DiscoveryHarness harness(8, DiscoveryKind::localAgent);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  int polls = 0;
  Millis beganAt = harness.loop.now();
  while (harness.loop.now() - beganAt < 2000) {
    std::string request = harness.nextPoll(500).requestLine;
    std::size_t timeout = request.find("timeout_ms=");
    ASSERT_NE(timeout, std::string::npos) << request;
    Millis watch = std::stod(request.substr(timeout + std::string("timeout_ms=").size()));
    ASSERT_EQ(harness.nextPoll(watch).requestLine, "") << "no second poll beside a watch that is in time";
    harness.respond(httpResponse(200, R"({"version":1,"full":false,"servers":[]})"));
    ++polls;
  }
  EXPECT_LE(polls, 10);
}

}  // namespace
}  // namespace stonewing::testing
