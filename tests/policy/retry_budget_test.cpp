#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// When the budget and the free requests allow a hedge.
namespace stonewing::testing {
namespace {

TEST(RetryBudget, SendsNoHedgeWithoutTokensOrFreeRequestsOrIdempotency) {
  PolicyHarness withoutTokens;
  withoutTokens.accept(1);
  withoutTokens.decisions<SendAttempt>();
  withoutTokens.advanceTo(5900);
  EXPECT_TRUE(withoutTokens.decisions<SendAttempt>().empty());
  PolicyHarness busy;  // more than half of its concurrent requests are pending
  busy.completeMessages(60);
  for (std::uint32_t id = 1; id <= 5; ++id) busy.accept(id);
  EXPECT_EQ(busy.decisions<SendAttempt>().size(), 5u);
  busy.advanceTo(busy.now + 350);
  EXPECT_TRUE(busy.decisions<SendAttempt>().empty());
  DeploymentSettings settings = testSettings();
  settings.types.push_back(trafficType(Idempotency::nonIdempotent));
  PolicyHarness harness(settings);
  harness.completeMessages(40);
  harness.accept(1, 1);
  harness.decisions<SendAttempt>();
  harness.advanceTo(harness.now + 900);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
}

}  // namespace
}  // namespace stonewing::testing
