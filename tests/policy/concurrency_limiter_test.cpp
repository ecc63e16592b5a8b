#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Tests how many requests may be pending, in total and for one destination.
namespace stonewing::testing {
namespace {

TEST(ConcurrencyLimiter, CancelsLongOverdueAttemptsForWaitingMessages) {
  DeploymentSettings settings = testSettings();
  settings.maxConcurrentRequests = 2;
  PolicyHarness harness(settings, 1);
  harness.policy.beginEndpointList();
  for (std::uint16_t number : {2, 3}) {
    harness.policy.addEndpoint(endpointId(number), DestinationId{number}, KindId{0}, ZoneId{0}, 1,
                               EndpointState::ready);
  }
  harness.policy.commitEndpointList(false);
  harness.completeMessages(60);
  harness.accept(1);
  for (std::uint16_t number : {2, 3}) {
    harness.policy.acceptMessage(MessageId{number}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0},
                                 DestinationId{number}, harness.now + 10000);
  }
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 2u);
  harness.advanceTo(harness.now + 1000);
  EXPECT_FALSE(harness.decisions<CancelAttempt>().empty());
  // Attempts that get no response are cancelled sooner from now on.
  EXPECT_LT(harness.policy.state().timeoutScale, 1);
}

TEST(ConcurrencyLimiter, KeepsOneDestinationBelowThreeQuartersOfAllConcurrentRequests) {
  PolicyHarness harness;
  for (std::uint32_t id = 1; id <= 20; ++id) harness.accept(id);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 4u);  // half of 8 concurrent requests at the start
  PolicyHarness grown;
  grown.completeMessages(60);
  for (std::uint32_t id = 1; id <= 20; ++id) grown.accept(id);
  EXPECT_EQ(grown.decisions<SendAttempt>().size(), 6u);
}

TEST(ConcurrencyLimiter, CountsABatchAsOneRequest) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].maxBatchSize = 5;
  PolicyHarness harness(settings, 1);
  for (std::uint32_t id = 1; id <= 5; ++id) harness.accept(id);
  auto attempts = harness.decisions<SendAttempt>();
  EXPECT_EQ(attempts.size(), 5u);
  EXPECT_EQ(harness.policy.state().requestsInFlight, 1);
  for (const SendAttempt& sent : attempts) harness.finishAttempt(sent, AttemptOutcome::completed);
  EXPECT_EQ(harness.policy.state().requestsInFlight, 0);
}

TEST(ConcurrencyLimiter, LeavesOneRequestToADestinationWhenOnlyTwoAreAllowed) {
  DeploymentSettings settings = testSettings();
  settings.maxConcurrentRequests = 2;
  PolicyHarness harness(settings, 1);
  for (std::uint32_t id = 1; id <= 3; ++id) harness.accept(id);
  auto attempts = harness.decisions<SendAttempt>();
  ASSERT_EQ(attempts.size(), 1u);
  harness.finishAttempt(attempts[0], AttemptOutcome::rejected, 10, 0);
  harness.advanceTo(harness.now + 2000);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

}  // namespace
}  // namespace stonewing::testing
