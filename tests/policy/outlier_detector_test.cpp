#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>

#include "support/policy_harness.h"

// Detection of endpoints that fail or do not respond, and of outages of a whole destination.
namespace stonewing::testing {
namespace {

TEST(OutlierDetector, SeesNoOutageInASingleFailure) {
  PolicyHarness harness;
  harness.completeMessages(20);
  for (std::uint32_t id = 1; id <= 3; ++id) {
    harness.accept(id);
    harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::reset);
    harness.completeMessages(2, 5000 + 10 * id);
  }
  EXPECT_FALSE(harness.firstRoute().recovery.isOutage());
}

TEST(OutlierDetector, EjectsAFailingEndpointUntilAHealthCheckSucceeds) {
  PolicyHarness harness;
  harness.completeMessages(20);
  EndpointId failing = harness.policy.state().destinations.begin()->second.ranking.front()->id;
  std::set<EndpointId> usedEarly, usedLater, checked;
  for (std::uint32_t id = 1; id <= 90; ++id) {
    harness.accept(id);
    while (auto decision = harness.policy.nextDecision()) {
      if (const auto* check = std::get_if<SendHealthCheck>(&*decision)) {
        harness.policy.recordHealthCheckOutcome(
            check->endpoint, id < 30 ? AttemptOutcome::timeout : AttemptOutcome::completed, {});
        checked.insert(check->endpoint);
      }
      const auto* send = std::get_if<SendAttempt>(&*decision);
      if (send == nullptr) continue;
      harness.finishAttempt(
          *send, send->endpoint == failing && id < 10 ? AttemptOutcome::error : AttemptOutcome::completed);
      if (id > 2 && id < 10) usedEarly.insert(send->endpoint);
      if (id > 60) usedLater.insert(send->endpoint);
    }
    harness.advanceTo(harness.now + 200);
  }
  EXPECT_FALSE(usedEarly.contains(failing) && usedEarly.size() == 1);
  EXPECT_TRUE(checked.contains(failing));
  EXPECT_TRUE(usedLater.contains(failing));
}

TEST(OutlierDetector, SeesAnOutageWhenADestinationStopsResponding) {
  PolicyHarness harness;
  harness.completeMessages(60);
  for (std::uint32_t id = 1; id <= 6; ++id) harness.accept(id);
  harness.decisions<SendAttempt>();
  for (int round = 0; round < 10; ++round) {
    harness.advanceTo(harness.now + 100);
    harness.decisions<SendAttempt>();
  }
  EXPECT_TRUE(harness.firstRoute().recovery.isOutage());
}

// One endpoint of several hangs while the others respond, so the route as a whole never looks unresponsive.
TEST(OutlierDetector, PrefersOtherEndpointsToAnUnresponsiveOne) {
  PolicyHarness harness;
  harness.completeMessages(60);
  std::map<EndpointId, int> attemptsLater;
  EndpointId unresponsive{};
  for (std::uint32_t id = 1; id <= 60; ++id) {
    harness.accept(id);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      if (unresponsive == EndpointId{}) unresponsive = sent.endpoint;
      if (sent.endpoint != unresponsive) harness.finishAttempt(sent, AttemptOutcome::completed);
      attemptsLater[sent.endpoint] += id > 30 ? 1 : 0;
    }
    harness.advanceTo(harness.now + 100);
  }
  EXPECT_EQ(attemptsLater[unresponsive], 0);
  EXPECT_EQ(attemptsLater.size(), 2u);
  EXPECT_FALSE(harness.firstRoute().recovery.isOutage());
}

// While all concurrent requests are in use, attempts are cancelled after a few p95 and retried. So none of
// them is pending for as long as it takes to detect an unresponsive endpoint. Undetected, that endpoint would
// be sent thousands of requests per second.
TEST(OutlierDetector, SeesUnresponsiveEndpointsThoughAttemptsAreCancelledAndRetried) {
  for (bool onlyOneHangs : {false, true}) {
    PolicyHarness harness;
    harness.completeMessages(60);
    EndpointId unresponsive{};
    std::map<EndpointId, int> attemptsLater;
    for (std::uint32_t turn = 0; turn < 300; ++turn) {
      for (std::uint32_t offset : {1, 2}) harness.accept(2 * turn + offset);
      harness.advanceTo(harness.now + 10);
      while (auto decision = harness.policy.nextDecision()) {
        if (const auto* cancel = std::get_if<CancelAttempt>(&*decision)) {
          harness.finishAttempt(*cancel, AttemptOutcome::cancelled);
        }
        const auto* send = std::get_if<SendAttempt>(&*decision);
        if (send == nullptr) continue;
        if (unresponsive == EndpointId{}) unresponsive = send->endpoint;
        attemptsLater[send->endpoint] += turn >= 200 ? 1 : 0;
        if (onlyOneHangs && send->endpoint != unresponsive)
          harness.finishAttempt(*send, AttemptOutcome::completed, 5);
      }
    }
    EXPECT_EQ(harness.firstRoute().recovery.isOutage(), !onlyOneHangs);
    EXPECT_EQ(attemptsLater[unresponsive], 0);
    EXPECT_EQ(attemptsLater[endpointId(3 - unresponsive.value)] > 50, onlyOneHangs);
  }
}

// The first endpoint of the ranking hangs before any other endpoint was used, so the route counts as in
// outage. Then another endpoint passes a health check. The attempts that are still pending at the first
// endpoint must not begin the outage again.
TEST(OutlierDetector, EndsAnOutageForGoodWhenAnotherEndpointPassesAHealthCheck) {
  PolicyHarness harness(testSettings(Idempotency::nonIdempotent));  // no hedges
  harness.completeMessages(60);
  const Route& route = harness.firstRoute();
  harness.accept(1);
  EndpointId unresponsive = harness.decisions<SendAttempt>().at(0).endpoint;
  for (; !route.recovery.isOutage() && harness.now < 20000; harness.advanceTo(harness.now + 50))
    harness.decisions<SendAttempt>();
  ASSERT_TRUE(route.recovery.isOutage());
  for (; route.recovery.isOutage() && harness.now < 40000; harness.advanceTo(harness.now + 20)) {
    for (const SendHealthCheck& check : harness.decisions<SendHealthCheck>()) {
      harness.policy.recordHealthCheckOutcome(
          check.endpoint,
          check.endpoint == unresponsive ? AttemptOutcome::timeout : AttemptOutcome::completed, {});
    }
  }
  for (std::uint32_t id = 2; id < 40; ++id) {
    harness.accept(id);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      if (sent.endpoint != unresponsive) harness.finishAttempt(sent, AttemptOutcome::completed);
    }
    EXPECT_FALSE(route.recovery.isOutage());
    harness.advanceTo(harness.now + 50);
  }
}

}  // namespace
}  // namespace stonewing::testing
