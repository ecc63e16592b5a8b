#include <gtest/gtest.h>

#include <cstdint>

#include "support/policy_harness.h"

// Tests that the policy deletes the state of endpoints and ordering keys that are no longer used.
namespace stonewing::testing {
namespace {

// Guards against unbounded growth of memory: new endpoints and ordering keys appear all day, and the policy
// keeps state for each.
TEST(StateExpiry, RemovesTheStateOfRemovedEndpointsAndUnusedOrderingKeys) {
  DeploymentSettings settings = testSettings();
  settings.kinds = {{true, 1}};
  settings.types[0].ordered = true;
  PolicyHarness harness(settings, 0);
  harness.setEndpoint(1000);
  harness.policy.commitEndpointList(true);
  harness.accept(1);
  SendAttempt pending = harness.decisions<SendAttempt>().at(0);  // gets no response until the end of the test
  for (std::uint64_t number = 1; number <= 200; ++number) {
    harness.policy.beginEndpointList();
    harness.setEndpoint(number);
    harness.policy.commitEndpointList(true);
    harness.accept(static_cast<std::uint32_t>(number) + 1, 0, number);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>())
      harness.finishAttempt(sent, number % 2 != 0 ? AttemptOutcome::completed : AttemptOutcome::error);
    harness.advanceTo(harness.now + 1000);
  }
  const PolicyState& state = harness.policy.state();
  // Endpoints of four slow-start durations, and the one with a pending attempt.
  EXPECT_LE(state.endpoints.size(), 43u);
  EXPECT_LE(state.routes.size(), 43u);
  EXPECT_LE(state.orderedQueueCount, 3u);
  EXPECT_TRUE(state.endpoints.contains(endpointId(1000)));
  harness.finishAttempt(pending, AttemptOutcome::reset);
}

}  // namespace
}  // namespace stonewing::testing
