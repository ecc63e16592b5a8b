#include <gtest/gtest.h>

#include "support/policy_harness.h"

// Tests the timer by which the policy asks its host to call it again.
namespace stonewing::testing {
namespace {

TEST(Timer, IsSetAgainWhenItFiresEarly) {
  PolicyHarness harness;
  harness.accept(1);
  auto first = harness.decisions<SetTimer>();
  ASSERT_FALSE(first.empty());
  harness.advanceTo(first.back().at - 1e-7);
  harness.policy.recordTimerFired();
  EXPECT_FALSE(harness.decisions<SetTimer>().empty());
}

}  // namespace
}  // namespace stonewing::testing
