#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <vector>

#include "support/policy_harness.h"

// When the next request may be sent: reported rate limits and backoff after rejections.
namespace stonewing::testing {
namespace {

TEST(RatePacer, SendsOneRequestAtATimeAndEverMoreRarelyAfterRejections) {
  PolicyHarness harness;
  harness.completeMessages(60);
  std::vector<Millis> intervals;
  Millis last = harness.now;
  for (std::uint32_t id = 1; id <= 20; ++id) harness.accept(id);
  auto burst = harness.decisions<SendAttempt>();
  harness.advanceTo(harness.now + 20);
  for (const SendAttempt& sent : burst) harness.finishAttempt(sent, AttemptOutcome::rejected, 10, 300);
  for (int round = 0; round < 200; ++round) {
    harness.advanceTo(harness.now + 20);
    auto attempts = harness.decisions<SendAttempt>();
    EXPECT_LE(attempts.size(), 1u);
    if (attempts.empty()) continue;
    intervals.push_back(harness.now - last);
    last = harness.now;
    harness.finishAttempt(attempts[0], AttemptOutcome::rejected, 10, 300);
  }
  EXPECT_FALSE(harness.firstRoute().recovery.isOutage());
  EXPECT_GE(intervals.size(), 2u);
  EXPECT_LT(intervals.size(), 9u);  // each Retry-After alone would allow 13
}

TEST(RatePacer, BacksOffByItsOwnShareOfTheLoadAmongManyDispatchers) {
  DeploymentSettings settings = testSettings();
  settings.dispatcherCount = 300;
  PolicyHarness harness(settings);
  harness.completeMessages(60);
  harness.accept(1);
  harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::rejected, 10);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 1000);  // the interval of an even share is several seconds
  EXPECT_EQ(harness.decisions<SendAttempt>().size(), 1u);
}

// After a rejection one request is sent at a time. Requests that hang must not block all others.
TEST(RatePacer, SendsOnAfterARejectionThoughOtherRequestsHang) {
  PolicyHarness harness;
  harness.completeMessages(60);
  for (std::uint32_t id = 1; id <= 6; ++id) harness.accept(id);
  auto pending = harness.decisions<SendAttempt>();
  harness.advanceTo(harness.now + 10);
  EndpointId unresponsive = pending.front().endpoint;
  AttemptOutcome outcome = AttemptOutcome::completed;
  for (const SendAttempt& sent : pending) {
    if (sent.endpoint != unresponsive)
      harness.finishAttempt(sent, std::exchange(outcome, AttemptOutcome::rejected), 10);
  }
  EXPECT_GT(harness.firstRoute().pacing.consecutiveRejections(), 0);
  std::size_t attempts = 0;
  for (int round = 0; round < 12; ++round) {
    harness.advanceTo(harness.now + 100);
    attempts += harness.decisions<SendAttempt>().size();
  }
  EXPECT_GE(attempts, 1u);
}

// A hundred dispatchers that each send a request every few seconds exceed a rate limit that they share. If
// rejected requests count against the limit, it stays used up.
TEST(RatePacer, KeepsToItsShareOfAReportedRateLimit) {
  for (double remainingShare : {1.0, 0.0}) {
    PolicyHarness harness;
    harness.accept(1);
    harness.policy.recordAttemptOutcome(harness.decisions<SendAttempt>().at(0).message, 0,
                                        AttemptOutcome::completed, 100, true, 0, {4, remainingShare});
    std::size_t attempts = 0;
    for (std::uint32_t id = 2; id <= 200; ++id) {
      harness.advanceTo(harness.now + 50);
      harness.accept(id);
      for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
        ++attempts;
        harness.policy.recordAttemptOutcome(sent.message, sent.attempt, AttemptOutcome::completed, 40, true,
                                            0, {4, remainingShare});
      }
    }
    // In 10 s an even share is 20 requests. More may be sent only while the limit is not used up.
    if (remainingShare > 0) {
      EXPECT_GT(attempts, 24u);
    } else {
      EXPECT_LE(attempts, 22u);
    }
  }
}

// Dispatchers that start at the same time must not all send their first request at that time.
TEST(RatePacer, StartsAtDifferentTimesInDifferentDispatchers) {
  DeploymentSettings settings = testSettings();
  settings.reportsRateLimit = settings.hasReportedWeights = true;
  int singleCount = 0, bothCount = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    DispatchPolicy policy(settings, seed);
    policy.beginRound(100000);
    policy.beginEndpointList();
    policy.addEndpoint(endpointId(1), DestinationId{1}, KindId{0}, ZoneId{0}, 1, EndpointState::ready);
    policy.commitEndpointList(true);
    int attempts = 0;
    for (std::uint32_t id = 1; id <= 4; ++id) {
      policy.acceptMessage(MessageId{id}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0}, DestinationId{1},
                           110000);
    }
    while (auto decision = policy.nextDecision())
      attempts += std::holds_alternative<SendAttempt>(*decision) ? 1 : 0;
    policy.beginRound(101500);  // half a request interval later
    while (auto decision = policy.nextDecision())
      attempts += std::holds_alternative<SendAttempt>(*decision) ? 1 : 0;
    (attempts == 1 ? singleCount : bothCount) += 1;
  }
  EXPECT_GT(singleCount, 8);
  EXPECT_GT(bothCount, 8);
}

// An endpoint that drains before the endpoint list shows it rejects requests. If these rejections counted
// against the rate limit of the destination, its other endpoints would receive fewer requests.
TEST(RatePacer, CountsARejectionWithoutAReportAgainstItsEndpointAlone) {
  PolicyHarness harness;
  std::set<EndpointId> used;
  for (std::uint32_t id = 1; id <= 8; ++id) {
    harness.accept(id);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      used.insert(sent.endpoint);
      bool first = sent.endpoint == *used.begin();
      harness.policy.recordAttemptOutcome(
          sent.message, sent.attempt,
          id == 1 || !first ? AttemptOutcome::completed : AttemptOutcome::rejected, 40, id == 1 || !first, 0,
          id == 1 || !first ? LoadReport{100, 1} : LoadReport{});
    }
    harness.advanceTo(harness.now + 200);
  }
  EXPECT_EQ(used.size(), 2u);
  EXPECT_LE(harness.firstRoute().pacing.rateHalvings(), 0);
}

// The effect of a load report depends on the batch size of its endpoint, also after the route lost its last
// endpoint.
TEST(RatePacer, ReadsAReportOfTheLastEndpointAfterItsRemoval) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].maxBatchSize = 5;
  PolicyHarness harness(settings, 1);
  harness.accept(1);
  SendAttempt last = harness.decisions<SendAttempt>().at(0);
  harness.policy.beginEndpointList();
  harness.policy.commitEndpointList(true);
  harness.policy.recordAttemptOutcome(last.message, last.attempt, AttemptOutcome::completed, 100, true, 0,
                                      {4, 1});
  // With batches, a report does not raise the rate above the even share.
  EXPECT_EQ(harness.firstRoute().pacing.rateHalvings(), 0);
}

}  // namespace
}  // namespace stonewing::testing
