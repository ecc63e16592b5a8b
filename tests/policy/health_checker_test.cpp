#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Tests when an endpoint gets a health check.
namespace stonewing::testing {
namespace {

// Guards against a busy loop: if the host lacks resources to send a health check or an attempt, a policy
// without a pause would decide it again at once, over and over.
TEST(HealthChecker, PausesAndLearnsNothingWhenLocalResourcesAreExhausted) {
  for (bool outage : {false, true}) {  // a check of a route in outage, and of one failing endpoint
    PolicyHarness harness;
    if (outage) {
      harness.failUntilOutage();
    } else {
      harness.completeMessages(20);
      for (std::uint32_t id = 1;
           harness.policy.state().endpoints.at(endpointId(1)).failures.consecutiveFailures() < 2 && id < 40;
           ++id) {
        harness.accept(id);
        for (const SendAttempt& sent : harness.decisions<SendAttempt>())
          harness.finishAttempt(
              sent, sent.endpoint == endpointId(1) ? AttemptOutcome::error : AttemptOutcome::completed);
        harness.advanceTo(harness.now + 200);
      }
      ASSERT_GE(harness.policy.state().endpoints.at(endpointId(1)).failures.consecutiveFailures(), 2);
    }
    harness.advanceTo(harness.now + 10000);
    int failures = harness.policy.state().endpoints.at(endpointId(1)).failures.consecutiveFailures();
    int checks = 0;
    for (int count = 0; count < 500; ++count) {
      auto decision = harness.policy.nextDecision();
      if (!decision) break;
      const auto* check = std::get_if<SendHealthCheck>(&*decision);
      if (check == nullptr) continue;
      ++checks;
      harness.policy.recordHealthCheckOutcome(check->endpoint, AttemptOutcome::localResourceExhausted, {});
    }
    EXPECT_EQ(checks, 1) << outage;
    EXPECT_EQ(harness.policy.state().endpoints.at(endpointId(1)).failures.consecutiveFailures(), failures);
  }
  PolicyHarness harness(testSettings(Idempotency::nonIdempotent));
  harness.accept(1);
  SendAttempt first = harness.decisions<SendAttempt>().at(0);
  harness.finishAttempt(first, AttemptOutcome::localResourceExhausted, 0);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  EXPECT_EQ(harness.policy.state().endpoints.at(first.endpoint).failures.consecutiveFailures(), 0);
  harness.advanceTo(harness.now + 500);
  // A retry is allowed, since the attempt was not executed.
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

}  // namespace
}  // namespace stonewing::testing
