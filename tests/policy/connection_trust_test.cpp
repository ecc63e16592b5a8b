#include "policy/connection_trust.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "policy/response_evidence.h"
#include "support/policy_harness.h"

// When a kept connection may carry another request, and what a response on it proves.
namespace stonewing::testing {
namespace {

constexpr Millis kQuiet = 60;
constexpr std::size_t kEndpointCount = 40;

struct TrustHarness {
  RoundClock clock;
  ConnectionTrust trust{clock};

  explicit TrustHarness(Millis now = 1000) { clock.beginRound(now); }
  bool mayReuse(std::uint64_t endpoint, std::size_t endpointCount = kEndpointCount) const {
    return trust.quietBeforeReuse(endpointId(endpoint), endpointCount) == kQuiet;
  }
};

TEST(ConnectionTrust, AConnectionMustHaveBeenQuietForLongerThanARepeatUsuallyTakes) {
  EXPECT_TRUE(TrustHarness().mayReuse(1));
}

TEST(ConnectionTrust, TrustsAnEndpointAgainWithTimeAndForLongerIntervalsEachTimeItFails) {
  TrustHarness harness;
  harness.trust.recordUnexpectedBytes(endpointId(1));
  EXPECT_FALSE(harness.mayReuse(1));
  EXPECT_TRUE(harness.mayReuse(2));  // others are trusted as before
  harness.clock.beginRound(1000 + 30'000);
  EXPECT_TRUE(harness.mayReuse(1));
  harness.trust.recordUnexpectedBytes(endpointId(1));
  harness.clock.beginRound(1000 + 30'000 + 59'999);
  EXPECT_FALSE(harness.mayReuse(1));
  harness.clock.beginRound(1000 + 30'000 + 60'000);
  EXPECT_TRUE(harness.mayReuse(1));
}

TEST(ConnectionTrust, BytesWithinOnePeriodCountAsOneFailure) {
  TrustHarness harness;
  for (int count = 0; count < 50; ++count) harness.trust.recordUnexpectedBytes(endpointId(1));
  harness.clock.beginRound(1000 + 30'000);
  EXPECT_TRUE(harness.mayReuse(1));
}

TEST(ConnectionTrust, SuspectsACommonCauseOnceManyEndpointsFail) {
  TrustHarness harness;
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    harness.trust.recordUnexpectedBytes(endpointId(endpoint));
    EXPECT_TRUE(harness.mayReuse(9)) << endpoint;
  }
  harness.trust.recordUnexpectedBytes(endpointId(4));  // a tenth of all
  EXPECT_FALSE(harness.mayReuse(9));
  EXPECT_TRUE(harness.mayReuse(9, 3200));  // a few of many
  harness.clock.beginRound(1000 + 30'000);
  EXPECT_TRUE(harness.mayReuse(9));
}

TEST(ResponseEvidence, DefersWhatCouldLeadToASecondEffect) {
  TrafficType safe = trafficType(Idempotency::idempotent);
  TrafficType keyed = trafficType(Idempotency::idempotentWithKey);
  TrafficType unsafe = trafficType(Idempotency::nonIdempotent);
  TrafficType ordered = safe;
  ordered.ordered = true;
  for (AttemptOutcome outcome : {AttemptOutcome::rejected, AttemptOutcome::notSent}) {
    EXPECT_EQ(handlingOf(safe, outcome, false), ResponseHandling::conclude);
    EXPECT_EQ(handlingOf(keyed, outcome, false), ResponseHandling::deferUntilConfirmed);
    EXPECT_EQ(handlingOf(unsafe, outcome, false), ResponseHandling::deferUntilConfirmed);
  }
  for (const TrafficType& type : {safe, keyed, unsafe}) {
    EXPECT_EQ(handlingOf(type, AttemptOutcome::completed, true), ResponseHandling::concludeAndConfirm);
    EXPECT_EQ(handlingOf(type, AttemptOutcome::notSent, true), ResponseHandling::concludeAndConfirm);
    EXPECT_EQ(handlingOf(type, AttemptOutcome::error, false), ResponseHandling::conclude);
  }
  EXPECT_EQ(handlingOf(ordered, AttemptOutcome::completed, true), ResponseHandling::deferUntilConfirmed);
}

// A response that came for another request shows nothing about the endpoint, and the message may have been
// executed.
TEST(ResponseEvidence, AnUnattributedResponseBlamesNoEndpointAndForbidsAnUnsafeRetry) {
  for (Idempotency idempotency : {Idempotency::idempotent, Idempotency::nonIdempotent}) {
    PolicyHarness harness(testSettings(idempotency));
    harness.accept(1);
    SendAttempt sent = harness.decisions<SendAttempt>().at(0);
    harness.finishAttempt(sent, AttemptOutcome::unattributed);
    EXPECT_EQ(harness.policy.state().endpoints.at(sent.endpoint).failures.consecutiveFailures(), 0);
    harness.advanceTo(harness.now + 2000);
    bool mayRetry = idempotency == Idempotency::idempotent;
    if (mayRetry) {
      EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
    } else {
      EXPECT_EQ(harness.decisions<FailMessage>().size(), 1u);
    }
  }
}

}  // namespace
}  // namespace stonewing::testing
