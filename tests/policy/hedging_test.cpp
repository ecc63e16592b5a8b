#include <gtest/gtest.h>

#include "support/policy_harness.h"

// Tests when a message gets a hedge, a second attempt while the first is pending.
namespace stonewing::testing {
namespace {

TEST(Hedging, SendsOneHedgeToAnotherEndpointAndCancelsTheLosingAttempt) {
  PolicyHarness harness;
  harness.completeMessages(40);
  harness.accept(1);
  auto first = harness.decisions<SendAttempt>();
  harness.advanceTo(harness.now + 350);
  auto hedge = harness.decisions<SendAttempt>();
  ASSERT_EQ(hedge.size(), 1u);
  EXPECT_EQ(hedge[0].message, MessageId{1});
  EXPECT_NE(hedge[0].endpoint, first[0].endpoint);
  harness.advanceTo(harness.now + 20);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.finishAttempt(hedge[0], AttemptOutcome::completed);
  auto losing = harness.decisions<CancelAttempt>();
  ASSERT_EQ(losing.size(), 1u);
  EXPECT_EQ(losing[0].attempt, 0);
}

TEST(Hedging, WaitsForTheOtherAttemptWhenOneFails) {
  PolicyHarness harness;
  harness.completeMessages(40);
  harness.accept(1);
  auto first = harness.decisions<SendAttempt>();
  harness.advanceTo(harness.now + 350);
  auto hedge = harness.decisions<SendAttempt>();
  ASSERT_EQ(hedge.size(), 1u);
  harness.finishAttempt(first.at(0), AttemptOutcome::error);
  harness.advanceTo(harness.now + 100);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
}

}  // namespace
}  // namespace stonewing::testing
