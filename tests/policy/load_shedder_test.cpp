#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Which messages are shed or failed, and when.
namespace stonewing::testing {
namespace {

// A message that cannot be delivered in time must not end as failed, as if it might have been executed.
TEST(LoadShedder, ShedsWhatCannotBeDeliveredInTimeAndWasNotExecuted) {
  PolicyHarness harness;
  harness.completeMessages(20);  // each within 100 ms
  harness.accept(1);
  for (const SendAttempt& sent : harness.decisions<SendAttempt>())
    harness.finishAttempt(sent, AttemptOutcome::rejected, 100, 9950);
  harness.accept(2);
  harness.advanceTo(harness.now + 9700);  // an attempt sent now could still succeed
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
  harness.advanceTo(harness.now + 200);
  EXPECT_EQ(harness.decisions<ShedMessage>().size(), 2u);
  EXPECT_TRUE(harness.decisions<FailMessage>().empty());
}

// 150 ms, half of the latency that was assumed of an unknown destination, are more than the message has left.
TEST(LoadShedder, AttemptsAMessageWithLittleTimeLeftAtADestinationOfUnknownLatency) {
  PolicyHarness harness;
  harness.policy.acceptMessage(MessageId{1}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0}, DestinationId{1},
                               harness.now + 100);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

// The median response takes 100 ms here and the fastest 20 ms.
TEST(LoadShedder, AttemptsAMessageAsLongAsTheFastestKnownResponseWouldBeInTime) {
  for (auto [timeLeft, attempts] : {std::pair{30.0, 1u}, {15.0, 0u}}) {
    PolicyHarness harness;
    harness.accept(900);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>())
      harness.finishAttempt(sent, AttemptOutcome::completed, 20);
    harness.completeMessages(20);
    harness.policy.acceptMessage(MessageId{1}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0},
                                 DestinationId{1}, harness.now + timeLeft);
    EXPECT_EQ(harness.decisions<SendAttempt>().size(), attempts) << timeLeft;
  }
}

TEST(LoadShedder, ShedsRatherThanFailsAMessageThatWasNeverAttempted) {
  PolicyHarness harness(testSettings(Idempotency::nonIdempotent), 0);
  harness.accept(1);
  harness.advanceTo(harness.now + 9999);
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());  // an endpoint may still be added
  harness.advanceTo(harness.now + 1);
  EXPECT_EQ(harness.decisions<ShedMessage>().size(), 1u);
}

TEST(LoadShedder, DoesNotShedAtItsDeadlineWhatMayHaveBeenExecuted) {
  PolicyHarness harness(testSettings(Idempotency::nonIdempotent));
  harness.accept(1);
  ASSERT_EQ(harness.decisions<SendAttempt>().size(), 1u);
  harness.advanceTo(harness.now + 10000);
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
}

TEST(LoadShedder, ShedsBeforeSubmissionsAreRejected) {
  DeploymentSettings settings = testSettings();
  settings.maxInFlight = 10;
  PolicyHarness harness(settings, 0);
  for (std::uint32_t id = 1; id <= 10; ++id) harness.accept(id);
  EXPECT_FALSE(harness.decisions<ShedMessage>().empty());
  EXPECT_LT(harness.policy.state().messagesInFlight, 10);
}

}  // namespace
}  // namespace stonewing::testing
