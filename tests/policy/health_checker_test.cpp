#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// When an endpoint gets a health check.
namespace stonewing::testing {
namespace {

// What the host cannot send for lack of its own resources would be decided again at once, over and over.
TEST(HealthChecker, PausesAndLearnsNothingWhenLocalResourcesAreExhausted) {
  for (bool outage : {false, true}) {  // a check of a route in outage, and of one endpoint that fails
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
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);  // it was not executed
}

}  // namespace
}  // namespace stonewing::testing
