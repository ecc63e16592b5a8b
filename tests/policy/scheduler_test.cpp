#include <gtest/gtest.h>

#include <cstdint>
#include <set>

#include "support/policy_harness.h"

// Which messages are sent first, and which share a request.
namespace stonewing::testing {
namespace {

// If a rate limit counts requests and a request may have many messages, requests with one message each would
// use up the limit.
TEST(Scheduler, FillsBatchesAtThePaceOfAReportedRateLimit) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].maxBatchSize = 20;
  PolicyHarness harness(settings, 1);
  harness.accept(1);
  SendAttempt first = harness.decisions<SendAttempt>().at(0);
  harness.policy.recordAttemptOutcome(first.message, first.attempt, AttemptOutcome::completed, 100, true, 0,
                                      {4});  // of 4 requests per second, 2 are for this dispatcher
  harness.advanceTo(harness.now + 20);
  std::set<int> requests;
  int attempts = 0;
  for (std::uint32_t id = 2; id <= 202; ++id) {
    harness.accept(id);
    for (const SendAttempt& sent : harness.decisions<SendAttempt>()) {
      requests.insert(harness.policy.state().messages.at(sent.message).attempts.back().requestId);
      ++attempts;
      harness.finishAttempt(sent, AttemptOutcome::completed);
    }
    harness.advanceTo(harness.now + 20);
  }
  EXPECT_LE(requests.size(), 13u);  // in 4 s
  EXPECT_GT(attempts, 150);
}

}  // namespace
}  // namespace stonewing::testing
