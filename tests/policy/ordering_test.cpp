#include <gtest/gtest.h>

#include "support/policy_harness.h"

// When messages with the same ordering key are sent.
namespace stonewing::testing {
namespace {

TEST(Ordering, SendsOneMessageOfAKeyAtATimeAndPausesAfterACancelledAttempt) {
  DeploymentSettings settings = testSettings();
  settings.types[0].ordered = true;
  PolicyHarness harness(settings);
  harness.accept(1, 0, 9);
  harness.accept(2, 0, 9);
  harness.accept(3);
  auto attempts = harness.decisions<SendAttempt>();
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_EQ(attempts[0].message, MessageId{1});
  EXPECT_EQ(attempts[1].message, MessageId{3});
  harness.policy.cancelMessage(MessageId{1});
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());  // message 1 has ended, but its attempt is pending
  harness.finishAttempt(attempts[0], AttemptOutcome::cancelled);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 499);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 2);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

}  // namespace
}  // namespace stonewing::testing
