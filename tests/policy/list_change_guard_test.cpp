#include "policy/list_change_guard.h"

#include <gtest/gtest.h>

#include <variant>

#include "policy/drain_budget.h"
#include "support/policy_harness.h"

// Attempts while a change of the endpoint list is known and unread.
namespace stonewing::testing {
namespace {

constexpr Millis kDrainGrace = 500;

DeploymentSettings settingsWithDrainGrace() {
  DeploymentSettings settings = testSettings();
  settings.drainGrace = kDrainGrace;
  return settings;
}

TEST(ListChangeGuard, NoAttemptBeginsPastTheDrainGraceWhileAChangeIsUnread) {
  PolicyHarness harness(settingsWithDrainGrace());
  Millis begunAt = harness.now;
  harness.policy.recordUnreadListChange(begunAt);
  harness.policy.recordUnreadListChange(begunAt + 100);  // the first one counts
  harness.accept(1);
  auto decidedEarlier = harness.decisions<SendAttempt>();
  ASSERT_EQ(decidedEarlier.size(), 1u);
  harness.advanceTo(begunAt + kDrainGrace - kHoldUpAllowance);
  harness.accept(2);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  EXPECT_FALSE(harness.policy.mayStartAttempt(decidedEarlier[0].message, decidedEarlier[0].attempt));
  harness.policy.recordListChangeRead();
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

// A message gets its final outcome in time, whatever is unread.
TEST(ListChangeGuard, MessagesAreFailedInTimeWhileAChangeIsUnread) {
  PolicyHarness harness(settingsWithDrainGrace());
  harness.policy.recordUnreadListChange(harness.now);
  harness.advanceTo(harness.now + kDrainGrace);
  harness.accept(1);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 10000);
  int ended = 0;
  while (auto decision = harness.policy.nextDecision()) {
    ended += std::holds_alternative<FailMessage>(*decision) || std::holds_alternative<ShedMessage>(*decision);
  }
  EXPECT_EQ(ended, 1);
}

// Deployments state other graces. Some of each is left for the way of the news and for a stalled process.
TEST(DrainBudget, EndsBeforeTheGraceWhateverTheDeploymentStates) {
  for (Millis grace : {0.0, 20.0, 100.0, 500.0, 1000.0, 5000.0}) {
    EXPECT_LE(drainBudget(grace).readWithin, grace);
    EXPECT_GE(drainBudget(grace).readWithin, grace / 2);
    EXPECT_GT(drainBudget(grace).stallTimeout, 0);
  }
  EXPECT_LE(drainBudget(kDrainGrace).readWithin, kDrainGrace - kHoldUpAllowance);
}

}  // namespace
}  // namespace stonewing::testing
