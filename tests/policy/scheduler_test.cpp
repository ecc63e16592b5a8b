#include <gtest/gtest.h>

#include <cstdint>
#include <set>

#include "support/policy_harness.h"

// What goes first, and with what in one request.
namespace stonewing::testing {
namespace {

// Where a rate limit counts requests and a request takes many messages, requests of one message each would
// use it up.
TEST(Scheduler, FillsBatchesAtThePaceOfAReportedRateLimit) {
  DeploymentSettings settings = testSettings();
  settings.kinds[0].maxBatchSize = 20;
  PolicyHarness harness(settings, 1);
  harness.accept(1);
  SendAttempt first = harness.decisions<SendAttempt>().at(0);
  harness.policy.recordAttemptOutcome(first.message, first.attempt, AttemptOutcome::completed, 100, true, 0,
                                      {4});  // 2 of them for this dispatcher
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
