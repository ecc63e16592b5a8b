#include "policy/wait_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "support/compare_decisions.h"
#include "support/policy_harness.h"

// Waiting messages are found without a scan of all of them, and the decisions are the same as with a scan.
namespace stonewing::testing {
namespace {

// visitAround() must visit the same messages as a scan of the whole queue.
RC_GTEST_PROP(WaitQueue, FindsTheMessagesAroundADeadline,
              (std::vector<std::uint8_t> deadlines, std::uint8_t around)) {
  WaitQueue queue;
  WaitClass waitClass{TrafficTypeId{1}, false, false};
  std::set<std::pair<Millis, MessageId>> reference;
  for (std::uint32_t number = 0; number < deadlines.size(); ++number) {
    Millis deadline = deadlines[number] % 16;
    if (number % 5 == 4) {
      queue.remove(waitClass, deadlines[number - 1] % 16, MessageId{number - 1});
      reference.erase({deadlines[number - 1] % 16, MessageId{number - 1}});
    }
    queue.add(waitClass, deadline, MessageId{number});
    reference.insert({deadline, MessageId{number}});
  }
  RC_ASSERT(queue.empty() == reference.empty());
  if (reference.empty()) return;
  std::vector<MessageId> found, expected{reference.begin()->second};
  WaitQueue::visitAround(queue.lists().at(waitClass), {Millis(around % 16)},
                         [&](MessageId id) { found.push_back(id); });
  const std::pair<Millis, MessageId>*after = nullptr, *before = nullptr;
  for (const auto& entry : reference) {
    if (entry.first >= around % 16 && after == nullptr) after = &entry;
    if (entry.first < around % 16 && (before == nullptr || entry.first > before->first)) before = &entry;
  }
  if (after != nullptr) expected.push_back(after->second);
  if (before != nullptr) expected.push_back(before->second);
  RC_ASSERT(found == expected);
}

RC_GTEST_PROP(WaitQueue, FindsTheMostUrgentMessageThatASearchThroughAllWouldFind, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  DeploymentSettings settings = testSettings();
  settings.decay = random() % 2 == 0 ? WeightDecay::linear : WeightDecay::halving;
  settings.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey)};
  settings.types[1].priorityWeight = 1.7;
  settings.types[1].latencyObjective = 600;
  settings.types[0].lateWeightShare = random() % 3 == 0 ? 0 : 0.3;
  settings.maxConcurrentRequests = 1;
  PolicyHarness harness(settings);
  std::map<std::uint32_t, std::pair<std::uint16_t, Millis>> waiting;
  for (std::uint32_t id = 1; id <= 40; ++id) {
    Millis deadline = harness.now + 20 + random() % 10000;
    auto type = static_cast<std::uint16_t>(random() % 2);
    harness.policy.acceptMessage(MessageId{id}, TrafficTypeId{type}, TenantId{0}, OrderingKey{0},
                                 DestinationId{1}, deadline);
    waiting[id] = {type, deadline};
  }
  auto attempts = harness.decisions<SendAttempt>();
  RC_ASSERT(attempts.size() == 1u);
  auto urgency = [&](std::uint32_t id) {
    auto [type, deadline] = waiting.at(id);
    const TrafficType& traffic = settings.types[type];
    Millis latency = traffic.latencyObjective * 0.6 / 2;  // the default, since there are no samples yet
    auto weightAt = [&](Millis time) {
      return time > deadline
                 ? 0
                 : traffic.priorityWeight * traffic.weightShareAt(time - (deadline - traffic.deadlineAfter) -
                                                                      traffic.latencyObjective,
                                                                  settings.decay);
    };
    Millis start = harness.now + latency;
    return (weightAt(start) - weightAt(start + 0.5 * traffic.latencyObjective)) / std::max(1.0, latency);
  };
  double chosen = urgency(attempts[0].message.value);
  for (const auto& [id, message] : waiting) RC_ASSERT(urgency(id) <= chosen + 1e-9);
}

// If each round scanned all messages in flight, the dispatcher would become slower while endpoints fail and
// messages accumulate.
TEST(Rounds, CostByWhatIsDueAndNotByWhatIsInFlight) {
  auto secondsFor = [](int inFlight) {
    DeploymentSettings settings = testSettings();
    settings.maxConcurrentRequests = 20;
    settings.maxInFlight = 100000;
    PolicyHarness harness(settings);
    for (int n = 0; n < inFlight; ++n) harness.accept(static_cast<std::uint32_t>(n + 1));
    harness.decisions<SendAttempt>();
    auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < 300; ++n) {
      harness.advanceTo(harness.now + 0.01);
      harness.decisions<SendAttempt>();
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  };
  double secondsForFew = secondsFor(200);
  double secondsForMany = secondsFor(20000);
  EXPECT_LT(secondsForMany, 20 * secondsForFew + 0.01);  // a scan of all would take a hundred times as long
}

// A round skips the scan of the pending attempts if none can be due. A round that skipped a due attempt would
// hedge or cancel it too late, or would not notice its missing response. So the same events are also applied
// to a policy that gets an empty partial endpoint list in each round, which makes it scan all attempts.
RC_GTEST_PROP(Rounds, DecideTheSameAsWhenAllAttemptsAreLookedAtAgain, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  DeploymentSettings settings =
      testSettings(random() % 2 == 0 ? Idempotency::idempotent : Idempotency::idempotentWithKey);
  settings.mayHealthCheck = random() % 3 != 0;
  settings.kinds[0].maxBatchSize = random() % 4 == 0 ? 4 : 1;
  settings.maxConcurrentRequests = 4 + static_cast<int>(random() % 12);
  settings.types[0].deadlineAfter = 4000;
  PolicyHarness skipping(settings, 1 + seed % 3), rescanning(settings, 1 + seed % 3);
  auto both = [&](auto action) {
    action(skipping);
    action(rescanning);
  };
  both([](PolicyHarness& harness) { harness.completeMessages(40); });
  std::multimap<Millis, std::function<void(PolicyHarness&)>> due;
  std::uint32_t id = 1;
  bool failing = false;
  // Skips timers, since an endpoint list makes the policy set them again.
  auto next = [](PolicyHarness& harness) {
    auto decision = harness.policy.nextDecision();
    while (decision && std::holds_alternative<SetTimer>(*decision)) decision = harness.policy.nextDecision();
    return decision;
  };
  for (int round = 0; round < 400; ++round) {
    Millis now = skipping.now + 1 + random() % 40;
    both([&](PolicyHarness& harness) { harness.advanceTo(now); });
    rescanning.policy.beginEndpointList();
    rescanning.policy.commitEndpointList(false);
    if (random() % 60 == 0) failing = !failing;
    for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) both(due.begin()->second);
    for (std::uint32_t n = random() % 3; n > 0 && skipping.policy.state().messagesInFlight < 60; --n, ++id) {
      both([&](PolicyHarness& harness) { harness.accept(id); });
    }
    for (auto decision = next(skipping); decision; decision = next(skipping)) {
      auto other = next(rescanning);
      RC_ASSERT(other && isSameDecision(*decision, *other));
      if (const auto* cancel = std::get_if<CancelAttempt>(&*decision))
        both([&](PolicyHarness& harness) { harness.finishAttempt(*cancel, AttemptOutcome::cancelled); });
      if (const auto* check = std::get_if<SendHealthCheck>(&*decision))
        due.emplace(now + 30, [checked = check->endpoint, failing](PolicyHarness& harness) {
          harness.policy.recordHealthCheckOutcome(
              checked, failing ? AttemptOutcome::timeout : AttemptOutcome::completed, {});
        });
      const auto* send = std::get_if<SendAttempt>(&*decision);
      if (send == nullptr || (failing && random() % 8 != 0)) continue;
      AttemptOutcome outcome = random() % 10 == 0 ? AttemptOutcome::error : AttemptOutcome::completed;
      due.emplace(now + 20 + random() % 200, [attempt = *send, outcome](PolicyHarness& harness) {
        harness.finishAttempt(attempt, outcome);
      });
    }
    RC_ASSERT(!next(rescanning).has_value());
  }
}

}  // namespace
}  // namespace stonewing::testing
