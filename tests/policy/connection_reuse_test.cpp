#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Tests for how long an idle connection may be reused, and which idle connections are closed.
namespace stonewing::testing {
namespace {

TEST(ConnectionReuse, ClosesAConnectionWhenItsNextRequestIsNotExpectedInTime) {
  for (int endpoints : {2, 60}) {
    PolicyHarness harness(testSettings(), endpoints);
    harness.advanceTo(harness.now + 1000);
    harness.accept(1);
    harness.finishAttempt(harness.decisions<SendAttempt>().at(0), AttemptOutcome::completed);
    EXPECT_EQ(harness.decisions<CloseIdleConnection>().size(), endpoints == 2 ? 0u : 1u);
  }
}

TEST(ConnectionReuse, TrustsIdleConnectionsForLessTimeAfterARefusedOrADeadOne) {
  PolicyHarness full;
  full.completeMessages(20);
  full.accept(1);
  full.finishAttempt(full.decisions<SendAttempt>().at(0), AttemptOutcome::connectFailed, 1500);
  EXPECT_LT(full.policy.state().reusableIdleTime, 10000);
  PolicyHarness dead;
  dead.completeMessages(20);
  dead.advanceTo(dead.now + 2000);
  dead.accept(1);
  dead.finishAttempt(dead.decisions<SendAttempt>().at(0), AttemptOutcome::reset);
  EXPECT_LE(dead.policy.state().reusableIdleTime, 1000);
  dead.advanceTo(dead.now + 1200);
  dead.accept(2);
  EXPECT_FALSE(dead.decisions<CloseIdleConnection>().empty());  // before an attempt would go out on it
  // An endpoint with a request on one connection may have other connections that are idle and die.
  PolicyHarness busy;
  busy.completeMessages(20);
  busy.accept(1);
  SendAttempt first = busy.decisions<SendAttempt>().at(0);
  busy.policy.recordConnectionIdleTime(first.message, first.attempt, 2000);
  busy.finishAttempt(first, AttemptOutcome::reset);
  EXPECT_LE(busy.policy.state().reusableIdleTime, 1000);
  // Connections that break when they were hardly idle, or while they are being established, show nothing
  // about idle ones.
  PolicyHarness broken;
  broken.completeMessages(20);
  for (std::uint32_t id = 1; id <= 20; ++id) {
    broken.advanceTo(broken.now + 50);
    broken.accept(id);
    for (const SendAttempt& sent : broken.decisions<SendAttempt>())
      broken.finishAttempt(sent, AttemptOutcome::reset, 10);
  }
  EXPECT_EQ(broken.policy.state().reusableIdleTime, 10000);
  for (std::uint32_t id = 31; id <= 50; ++id) {
    broken.accept(id);
    for (const SendAttempt& sent : broken.decisions<SendAttempt>())
      broken.finishAttempt(sent, AttemptOutcome::connectFailed, 10);
  }
  EXPECT_GE(broken.policy.state().reusableIdleTime, 250);
}

// Guards against idle connections that exclude other dispatchers. An endpoint has capacity for ten
// connections and hundreds of dispatchers want one. If the dispatchers that have one keep it idle, the
// endpoint rejects all others for ever: on counter-desk, split+mass, an endpoint with a limit of 540 requests
// a second rejected 4,740 requests without a load report and completed 236, from 43 of the 318
// dispatchers.
TEST(ConnectionReuse, TrustsIdleConnectionsForLessTimeWhenNewOnesAreRejectedWithoutAReport) {
  struct Case {
    const char* name;
    bool hasReports, onIdleConnection;
    Millis retryAfter;
    LoadReport report;
    bool shortensIdleTime;
  };
  for (const Case& rejection : {Case{"no capacity for connections", true, false, 0, {}, true},
                                {"no reports in this deployment", false, false, 0, {}, false},
                                {"a request on an idle connection", true, true, 0, {}, false},
                                {"a Retry-After", true, false, 300, {}, false},
                                {"a rate limit that the report shows", true, false, 0, {25, 0}, false}}) {
    PolicyHarness harness;
    harness.accept(1);
    SendAttempt first = harness.decisions<SendAttempt>().at(0);
    harness.advanceTo(harness.now + 100);
    harness.policy.recordAttemptOutcome(first.message, first.attempt, AttemptOutcome::completed, 100, true, 0,
                                        rejection.hasReports ? LoadReport{25, 0.9} : LoadReport{});
    harness.advanceTo(harness.now + 1000);
    harness.accept(2);
    SendAttempt second = harness.decisions<SendAttempt>().at(0);
    harness.policy.recordConnectionIdleTime(second.message, second.attempt,
                                            rejection.onIdleConnection ? 1000 : 0);
    harness.policy.recordAttemptOutcome(second.message, second.attempt, AttemptOutcome::rejected, 40, false,
                                        rejection.retryAfter, rejection.report);
    EXPECT_EQ(harness.policy.state().reusableIdleTime < 10000, rejection.shortensIdleTime) << rejection.name;
  }
}

}  // namespace
}  // namespace stonewing::testing
