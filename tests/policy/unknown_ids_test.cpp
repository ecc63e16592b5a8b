#include <gtest/gtest.h>

#include "support/policy_harness.h"

// Tests inputs about messages and endpoints that the policy does not know or no longer knows.
namespace stonewing::testing {
namespace {

TEST(UnknownIds, AreIgnored) {
  PolicyHarness harness;
  harness.policy.recordAttemptOutcome(MessageId{99}, 0, AttemptOutcome::completed, 10, true, 0, {});
  harness.policy.cancelMessage(MessageId{98});
  harness.policy.recordHealthCheckOutcome(endpointId(77), AttemptOutcome::completed, {});
  harness.policy.recordResponseStarted(MessageId{97}, 3);
  EXPECT_FALSE(harness.policy.nextDecision().has_value());
}

}  // namespace
}  // namespace stonewing::testing
