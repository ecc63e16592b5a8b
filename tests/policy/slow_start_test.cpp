#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Recovery from an outage with one dispatcher (slow_start_fleet_test.cpp tests several).
namespace stonewing::testing {
namespace {

TEST(SlowStart, RampsUpSlowlyAfterAHealthCheckEndsAnOutage) {
  PolicyHarness harness;
  harness.failUntilOutage();
  for (std::uint32_t id = 10; id < 40; ++id) harness.accept(id);
  EXPECT_TRUE(harness.decisions<SendAttempt>().empty());
  harness.advanceTo(harness.now + 4000);
  auto healthChecks = harness.decisions<SendHealthCheck>();
  ASSERT_EQ(healthChecks.size(), 1u);
  harness.policy.recordHealthCheckOutcome(healthChecks[0].endpoint, AttemptOutcome::completed, {});
  // The other endpoint gets no health check either, since health checks are load too.
  EXPECT_TRUE(harness.decisions<SendHealthCheck>().empty());
  int sentCount = 0;
  Millis until = harness.now + 1500;
  while (harness.now < until) {
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      ++sentCount;
      harness.finishAttempt(sent, AttemptOutcome::completed);
    }
    harness.advanceTo(harness.now + 50);
  }
  EXPECT_LE(sentCount, 2);
}

TEST(SlowStart, LeavesNoRequestedRouteIdleAmongManyDispatchers) {
  DeploymentSettings settings = testSettings();
  settings.dispatcherCount = 200;
  PolicyHarness harness(settings);
  harness.failUntilOutage();
  for (std::uint32_t id = 10; id < 60; ++id) {
    harness.accept(id);
    harness.advanceTo(harness.now + 100);
  }
  harness.policy.recordHealthCheckOutcome(endpointId(1), AttemptOutcome::completed, {});
  int sentCount = 0;
  for (int round = 0; round < 40; ++round) {
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      ++sentCount;
      harness.finishAttempt(sent, AttemptOutcome::completed);
    }
    harness.advanceTo(harness.now + 100);
  }
  EXPECT_GE(sentCount, 2);
  EXPECT_LE(sentCount, 12);
}

TEST(SlowStart, SendsNoFullBatchToAWarmingDestination) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].maxBatchSize = 20;
  PolicyHarness harness(settings);
  harness.failUntilOutage();
  for (std::uint32_t id = 10; id < 40; ++id) harness.accept(id);
  harness.advanceTo(harness.now + 4000);
  harness.policy.recordHealthCheckOutcome(harness.decisions<SendHealthCheck>().at(0).endpoint,
                                          AttemptOutcome::completed, {});
  harness.advanceTo(harness.now + 1500);
  EXPECT_LE(harness.decisions<SendAttempt>().size(), 5u);  // of 20
}

// Broken connections alone must not cause a slow start of every destination.
TEST(SlowStart, IsNotBegunByConnectionsThatBreak) {
  PolicyHarness breaking;
  breaking.completeMessages(60);
  for (std::uint32_t id = 1; id <= 12; ++id) {
    breaking.accept(id);
    for (const SendAttempt& sent : breaking.decisions<SendAttempt>()) {
      breaking.policy.recordConnectionIdleTime(sent.message, sent.attempt, 100);
      breaking.finishAttempt(sent, AttemptOutcome::reset, 1);
    }
  }
  EXPECT_FALSE(breaking.firstRoute().recovery.isOutage());
  for (bool outageLasts : {false, true}) {
    PolicyHarness harness;
    harness.completeMessages(60);
    harness.failUntilOutage();
    harness.advanceTo(harness.now + (outageLasts ? 6000 : 1000));
    for (const SendHealthCheck& check : harness.decisions<SendHealthCheck>())
      harness.policy.recordHealthCheckOutcome(check.endpoint, AttemptOutcome::completed, {});
    EXPECT_FALSE(harness.firstRoute().recovery.isOutage());
    EXPECT_EQ(harness.firstRoute().recovery.isWarmingUp(), outageLasts);
  }
}

}  // namespace
}  // namespace stonewing::testing
