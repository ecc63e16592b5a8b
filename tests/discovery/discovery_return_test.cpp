#include <gtest/gtest.h>

#include <string>

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

}  // namespace
}  // namespace stonewing::testing
