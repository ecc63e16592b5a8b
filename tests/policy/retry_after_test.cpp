#include <gtest/gtest.h>

#include "support/policy_harness.h"

// How long a Retry-After delays requests, and when it means an outage.
namespace stonewing::testing {
namespace {

// A batch that completes only for some of its messages may have a Retry-After too.
TEST(RetryAfter, BindsWhateverTheOutcomeOfItsAttempt) {
  PolicyHarness harness;
  harness.accept(1);
  harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::completed, 100, 700);
  harness.accept(2);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 700);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

// A Retry-After to the end of a rate limit period must not begin an outage, since a slow start would follow.
TEST(RetryAfter, MeansAnOutageOnlyWhenLongerThanAnyRateLimitPeriod) {
  for (Millis retryAfter : {1900, 2300}) {
    PolicyHarness harness;
    harness.completeMessages(60);
    harness.accept(1);
    harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::rejected, 10, retryAfter);
    EXPECT_EQ(harness.firstRoute().recovery.isOutage(), retryAfter > 2000);
  }
}

}  // namespace
}  // namespace stonewing::testing
