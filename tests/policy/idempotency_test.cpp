#include <gtest/gtest.h>

#include <cstdint>
#include <tuple>

#include "support/policy_harness.h"

// Tests whether another attempt is allowed, and until when.
namespace stonewing::testing {
namespace {

TEST(Idempotency, FailsANonIdempotentMessageAtOnceWhenItMayHaveBeenExecuted) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::error, AttemptOutcome::timeout, AttemptOutcome::reset, AttemptOutcome::cancelled}) {
    PolicyHarness harness(testSettings(Idempotency::nonIdempotent));
    harness.accept(1);
    harness.finishAttempt(harness.decisions<SendAttempt>().at(0), outcome);
    EXPECT_EQ(harness.decisions<FailMessage>().size(), 1u);
  }
}

TEST(Idempotency, RetriesANonIdempotentMessageThatWasProvablyNotExecuted) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::rejected, AttemptOutcome::connectFailed, AttemptOutcome::notSent}) {
    PolicyHarness harness(testSettings(Idempotency::nonIdempotent));
    harness.accept(1);
    harness.finishAttempt(harness.decisions<SendAttempt>().at(0), outcome);
    harness.advanceTo(4000);
    EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
  }
}

// After a restart the outcome of attempts that were pending is unknown: they may have been executed.
TEST(Idempotency, CountsTheAttemptsOfAnEarlierProcess) {
  for (auto [idempotency, notExecuted, retried] : {std::tuple{Idempotency::nonIdempotent, false, false},
                                                   {Idempotency::nonIdempotent, true, true},
                                                   {Idempotency::idempotentWithKey, false, true},
                                                   {Idempotency::idempotent, false, true}}) {
    PolicyHarness harness(testSettings(idempotency));
    harness.accept(1);
    harness.policy.recordEarlierAttempt(MessageId{1}, endpointId(1), harness.now - 3000, notExecuted);
    EXPECT_EQ(harness.decisions<SendAttempt>().size(), retried ? 1u : 0u);
  }
  PolicyHarness late(testSettings(Idempotency::idempotentWithKey));
  late.accept(1);
  late.policy.recordEarlierAttempt(MessageId{1}, endpointId(1), late.now - 3700, false);
  EXPECT_EQ(late.decisions<FailMessage>().size(), 1u);
  DeploymentSettings settings = testSettings(Idempotency::nonIdempotent);
  settings.types[0].ordered = true;
  PolicyHarness ordered(settings);
  ordered.accept(1, 0, 5);
  ordered.accept(2, 0, 5);
  ordered.policy.recordEarlierAttempt(MessageId{1}, endpointId(1), ordered.now - 100, false);
  EXPECT_TRUE(ordered.decisions<SendAttempt>().empty());
  ordered.advanceTo(ordered.now + settings.orderingPause - 1);
  EXPECT_TRUE(ordered.decisions<SendAttempt>().empty());
  ordered.advanceTo(ordered.now + 1);
  EXPECT_EQ(ordered.decisions<SendAttempt>().size(), 1u);
}

// Guards against double execution: when a connection is established late, the endpoint receives the attempt
// so late that it may no longer be allowed.
TEST(Idempotency, StartsAnAttemptDecidedEarlierOnlyIfItIsStillAllowed) {
  DeploymentSettings settings = testSettings(Idempotency::idempotentWithKey);
  settings.maxAttempts = 2;
  PolicyHarness harness(settings);
  harness.accept(1);
  auto mayStart = [&](int attempt) { return harness.policy.mayStartAttempt(MessageId{1}, attempt); };
  SendAttempt first = harness.decisions<SendAttempt>().at(0);
  harness.advanceTo(harness.now + 3000);
  EXPECT_TRUE(mayStart(0));
  harness.finishAttempt(first, AttemptOutcome::error);
  harness.advanceTo(harness.now + 500);
  ASSERT_EQ(harness.decisions<SendAttempt>().size(), 1u);
  harness.advanceTo(4599);
  EXPECT_TRUE(mayStart(1));
  harness.advanceTo(4600);  // nine tenths of the window after the first attempt, which may have been executed
  EXPECT_FALSE(mayStart(1));
  harness.advanceTo(4599);
  for (std::uint64_t number : {1, 2}) harness.setEndpoint(number, EndpointState::draining);
  EXPECT_FALSE(mayStart(1));
  harness.setEndpoint(1);
  harness.setEndpoint(2);
  EXPECT_TRUE(mayStart(1));
  harness.policy.cancelMessage(MessageId{1});
  EXPECT_FALSE(mayStart(1));
}

TEST(Idempotency, RetriesWithAKeyOnlyWithinTheDeduplicationWindow) {
  PolicyHarness harness(testSettings(Idempotency::idempotentWithKey));
  harness.accept(1);
  harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::error);
  harness.advanceTo(2000);
  auto retries = harness.decisions<SendAttempt>();
  ASSERT_EQ(retries.size(), 1u);
  harness.finishAttempt(retries[0], AttemptOutcome::error);
  harness.advanceTo(4950);  // 3,950 ms after the first attempt, which may have been executed; window 4,000 ms
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
}

TEST(Idempotency, DoesNotShedAMessageThatMayHaveBeenExecutedWhereDeduplicationIsByZone) {
  DeploymentSettings settings = testSettings(Idempotency::idempotentWithKey);
  settings.types[0].deduplicationScope = DeduplicationScope::zone;
  settings.maxInFlight = 2;
  PolicyHarness harness(settings);
  harness.accept(1);
  harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::error);
  for (std::uint32_t id = 2; id <= 4; ++id) harness.accept(id);
  for (const ShedMessage& shed : harness.decisions<ShedMessage>()) EXPECT_NE(shed.message, MessageId{1});
}

}  // namespace
}  // namespace stonewing::testing
