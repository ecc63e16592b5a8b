#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "support/policy_harness.h"

// Which messages are shed or failed, and when.
namespace stonewing::testing {
namespace {

void submit(PolicyHarness& harness, std::uint32_t id, Millis timeLeft) {
  harness.policy.acceptMessage(MessageId{id}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0}, DestinationId{1},
                               harness.now + timeLeft);
}

// Submits message 1 with 10 s left, whose only attempt is rejected with that Retry-After, at a destination
// whose responses take 100 ms.
void submitRejected(PolicyHarness& harness, Millis retryAfter) {
  harness.completeMessages(20);
  harness.accept(1);
  for (const SendAttempt& sent : harness.decisions<SendAttempt>())
    harness.finishAttempt(sent, AttemptOutcome::rejected, 100, retryAfter);
}

// Without this, a client is notified at the end of its time of what was known from the first response on. The
// message must not end as failed, as if it might have been executed.
TEST(LoadShedder, ShedsAtOnceWhatHasToWaitForLongerThanItsTime) {
  for (Idempotency idempotency :
       {Idempotency::idempotent, Idempotency::idempotentWithKey, Idempotency::nonIdempotent}) {
    PolicyHarness harness(testSettings(idempotency));
    submitRejected(harness, 9901);
    harness.accept(2);  // never attempted
    EXPECT_EQ(harness.decisions<ShedMessage>().size(), 2u);
    harness.accept(3);
    EXPECT_EQ(harness.decisions<ShedMessage>().size(), 1u);
    EXPECT_EQ(harness.policy.state().messagesInFlight, 0);
  }
}

TEST(LoadShedder, KeepsWhatCanStillBeDeliveredAfterTheWait) {
  PolicyHarness harness;
  submitRejected(harness, 1900);
  Millis rejectedAt = harness.now;
  for (std::uint32_t id : {2u, 3u}) submit(harness, id, 2500);
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
  harness.advanceTo(rejectedAt + 1899);
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
  harness.advanceTo(rejectedAt + 2100);  // after a rejection one request at a time is sent
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
  harness.advanceTo(rejectedAt + 2399);
  EXPECT_EQ(harness.policy.state().messagesInFlight, 3);
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
  harness.advanceTo(rejectedAt + 2401);  // a response takes 100 ms
  EXPECT_EQ(harness.decisions<ShedMessage>().size(), 1u);
}

TEST(LoadShedder, KeepsAMessageThatAnotherRouteCanTakeInTime) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].hasRoutePerEndpoint = true;
  PolicyHarness harness(settings);
  harness.accept(1);
  for (const SendAttempt& sent : harness.decisions<SendAttempt>())
    harness.finishAttempt(sent, AttemptOutcome::rejected, 100, 20000);
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
  EXPECT_EQ(harness.policy.state().messagesInFlight, 1);
}

// In an outage nothing is sent before the next health check, so a client whose time ends sooner is notified.
TEST(LoadShedder, ShedsInAnOutageWhatCannotWaitForTheNextHealthCheck) {
  PolicyHarness harness;
  harness.failUntilOutage();
  harness.decisions<SetTimer>();
  Millis untilCheck = harness.firstRoute().recovery.nextSendAt() - harness.now;
  ASSERT_GT(untilCheck, 20);
  submit(harness, 10, untilCheck - 10);
  submit(harness, 11, untilCheck + 10);
  std::vector<ShedMessage> shed = harness.decisions<ShedMessage>();
  ASSERT_EQ(shed.size(), 1u);
  EXPECT_EQ(shed[0].message, MessageId{10});
  harness.advanceTo(harness.firstRoute().recovery.nextSendAt());
  ASSERT_EQ(harness.decisions<SendHealthCheck>().size(), 1u);
  submit(harness, 12, 10);  // the health check may succeed at any moment
  EXPECT_TRUE(harness.decisions<ShedMessage>().empty());
}

// 150 ms, half of the latency that was assumed of an unknown destination, are more than the message has left.
TEST(LoadShedder, AttemptsAMessageWithLittleTimeLeftAtADestinationOfUnknownLatency) {
  PolicyHarness harness;
  submit(harness, 1, 100);
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
    submit(harness, 1, timeLeft);
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

// A message that ends without a delivery fails only where submitting it again may execute it twice.
TEST(LoadShedder, ShedsAtItsEndWhateverIsHarmlessToSubmitAgain) {
  struct Case {
    Idempotency idempotency;
    AttemptOutcome outcome;
    bool isShed;
  };
  for (auto [idempotency, outcome, isShed] :
       {Case{Idempotency::idempotent, AttemptOutcome::error, true},
        Case{Idempotency::idempotent, AttemptOutcome::connectFailed, true},
        Case{Idempotency::idempotentWithKey, AttemptOutcome::error, false},
        Case{Idempotency::idempotentWithKey, AttemptOutcome::connectFailed, true},
        Case{Idempotency::nonIdempotent, AttemptOutcome::error, false},
        Case{Idempotency::nonIdempotent, AttemptOutcome::connectFailed, true}}) {
    DeploymentSettings settings = testSettings(idempotency);
    settings.maxAttempts = 1;
    PolicyHarness harness(settings);
    harness.accept(1);
    auto sent = harness.decisions<SendAttempt>();
    ASSERT_EQ(sent.size(), 1u);
    harness.finishAttempt(sent[0], outcome);
    auto decision = harness.policy.nextDecision();
    ASSERT_TRUE(decision);  // no attempt is left, of which the client is notified at once
    EXPECT_EQ(std::holds_alternative<ShedMessage>(*decision), isShed);
    EXPECT_EQ(std::holds_alternative<FailMessage>(*decision), !isShed);
  }
}

// After a restart, too, a client is notified as soon as the deduplication window allows no retry any more.
// The window of 4 s began 1 s before the restart; no retry is sent in its last tenth.
TEST(LoadShedder, FailsAfterARestartOnceTheDeduplicationWindowHasClosed) {
  PolicyHarness harness(testSettings(Idempotency::idempotentWithKey));
  submitRejected(harness, 8000);
  harness.policy.recordEarlierAttempt(MessageId{1}, endpointId(1), harness.now - 1000, false);
  Millis restartedAt = harness.now;
  harness.advanceTo(restartedAt + 2599);
  EXPECT_TRUE(harness.decisions<FailMessage>().empty());
  harness.advanceTo(restartedAt + 2601);
  EXPECT_EQ(harness.decisions<FailMessage>().size(), 1u);
}

TEST(LoadShedder, ShedsAnIdempotentMessageThatIsStillAttemptedAtItsDeadline) {
  for (Idempotency idempotency :
       {Idempotency::idempotent, Idempotency::idempotentWithKey, Idempotency::nonIdempotent}) {
    PolicyHarness harness(testSettings(idempotency));
    harness.accept(1);
    ASSERT_EQ(harness.decisions<SendAttempt>().size(), 1u);
    harness.advanceTo(harness.now + 10000);
    bool isShed = idempotency == Idempotency::idempotent;
    auto decision = harness.policy.nextDecision();
    ASSERT_TRUE(decision);
    EXPECT_EQ(std::holds_alternative<ShedMessage>(*decision), isShed);
    EXPECT_EQ(std::holds_alternative<FailMessage>(*decision), !isShed);
  }
}

// Without this, clients come again at once and meet the same wait, or all return at the moment of its end.
TEST(LoadShedder, AdvisesAtDifferentTimesAfterTheWaitUpToTheLongestAdvice) {
  for (auto [longest, earliest, latest] :
       {std::tuple{60000.0, 20000.0, 30000.0}, {2000.0, 2000.0 / 1.5, 2000.0}}) {
    DeploymentSettings settings = testSettings();
    settings.maxRetryAfter = longest;
    PolicyHarness harness(settings);
    submitRejected(harness, 20000);
    for (std::uint32_t id = 2; id <= 20; ++id) harness.accept(id);
    std::set<Millis> advised;
    // The backoff that is added to the wait takes 113 ms at most.
    for (const ShedMessage& shed : harness.decisions<ShedMessage>()) {
      EXPECT_GE(shed.retryAfter, earliest);
      EXPECT_LE(shed.retryAfter, std::min(longest, latest + 170));
      advised.insert(shed.retryAfter);
    }
    EXPECT_EQ(advised.size(), 20u);
  }
}

// The health checks of all dispatchers are spread over the interval of each.
TEST(LoadShedder, AdvisesInAnOutageToComeAfterTheNextHealthCheckOfAnyDispatcher) {
  for (int dispatchers : {1, 4, 100}) {
    DeploymentSettings settings = testSettings();
    settings.dispatcherCount = dispatchers;
    settings.maxRetryAfter = 600'000;
    PolicyHarness harness(settings);
    harness.failUntilOutage();
    harness.decisions<SetTimer>();
    Millis untilCheck = harness.firstRoute().recovery.nextSendAt() - harness.now;
    submit(harness, 10, untilCheck / 2);
    auto shed = harness.decisions<ShedMessage>();
    ASSERT_EQ(shed.size(), 1u);
    EXPECT_GE(shed[0].retryAfter, untilCheck / dispatchers);
    EXPECT_LE(shed[0].retryAfter, 1.5 * untilCheck / dispatchers);
  }
}

TEST(LoadShedder, AdvisesNothingWhereTheSettingsForbidItOrTheDestinationIsOpen) {
  DeploymentSettings settings = testSettings();
  settings.mayAdviseRetryAfter = false;
  PolicyHarness forbidden(settings);
  submitRejected(forbidden, 20000);
  settings = testSettings();
  settings.maxAttempts = 1;
  PolicyHarness open(settings);
  open.accept(1);
  auto sent = open.decisions<SendAttempt>();
  ASSERT_EQ(sent.size(), 1u);
  open.finishAttempt(sent[0], AttemptOutcome::error);
  for (PolicyHarness* harness : {&forbidden, &open}) {
    auto shed = harness->decisions<ShedMessage>();
    ASSERT_EQ(shed.size(), 1u);
    EXPECT_EQ(shed[0].retryAfter, 0);
  }
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
