#include "support/reference_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <vector>

#include "support/policy_harness.h"

// Checks the policy against the reference model on generated sequences of events.
namespace stonewing::testing {
namespace {

const bool kIsSeeded = setenv("RC_PARAMS", "seed=4711 max_success=150", 1) == 0;

DeploymentSettings generatedSettings() {
  DeploymentSettings settings = testSettings();
  settings.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey),
                    trafficType(Idempotency::nonIdempotent)};
  for (TrafficType& type : settings.types) type.ordered = *rc::gen::arbitrary<bool>();
  settings.types[1].deduplicationScope =
      *rc::gen::arbitrary<bool>() ? DeduplicationScope::zone : DeduplicationScope::destination;
  settings.kinds[0].hasRoutePerEndpoint = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) settings.zoneFailover.priorities = {{ZoneId{0}}, {ZoneId{1}}};
  settings.zoneFailover.spilloverRequestShare = 0.5;
  settings.maxConcurrentRequests = *rc::gen::inRange(1, 12);
  settings.maxInFlight = *rc::gen::inRange(2, 30);
  settings.mayHedge = *rc::gen::arbitrary<bool>();
  settings.mayCancel = *rc::gen::arbitrary<bool>();
  settings.mayHealthCheck = *rc::gen::arbitrary<bool>();
  return settings;
}

// One generated sequence of events, applied to both the policy and the model.
class GeneratedScenario {
 public:
  GeneratedScenario() : harness_(settings_, 0) {
    model_.settings = settings_;
    changeEndpointList(true);
  }

  void step() {
    harness_.advanceTo(harness_.now + *rc::gen::element(0.0, 5.0, 40.0, 300.0, 1500.0));
    int event = *rc::gen::inRange(0, 20);
    if (event == 0) changeEndpointList(*rc::gen::arbitrary<bool>());
    if (event >= 1 && event <= 9) acceptMessage();
    if (event == 10 && !healthChecks_.empty()) finishHealthCheck();
    finishSomeAttempts();
    verifyDecisions();
    for (const auto& [id, message] : model_.messages) {
      RC_ASSERT(harness_.now < message.deadline || message.finalOutcomes == 1);
    }
  }

 private:
  // Lists some of at most four endpoints, with a new state each. isComplete: the others are removed.
  void changeEndpointList(bool isComplete) {
    harness_.policy.beginEndpointList();
    std::set<EndpointId> listed;
    for (std::uint64_t number = 1; number <= 4; ++number) {
      if (*rc::gen::inRange(0, 3) == 0) continue;
      EndpointState state = *rc::gen::element(EndpointState::ready, EndpointState::ready,
                                              EndpointState::draining, EndpointState::removed);
      auto zone = static_cast<std::uint8_t>(number % 2);
      harness_.setEndpoint(number, state, zone);
      model_.endpoints[endpointId(number)] = {state, zone};
      listed.insert(endpointId(number));
    }
    for (auto& [id, endpoint] : model_.endpoints) {
      if (isComplete && !listed.contains(id)) endpoint.state = EndpointState::removed;
    }
    harness_.policy.commitEndpointList(isComplete);
  }

  void acceptMessage() {
    auto type = static_cast<std::uint16_t>(*rc::gen::inRange(0, 3));
    auto orderingKey = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
    model_.messages[nextId_] = {settings_.types[type], orderingKey, harness_.now + 10000, 0, {}};
    harness_.accept(nextId_, type, orderingKey);
    if (*rc::gen::inRange(0, 4) == 0 && !model_.endpoints.empty()) recordEarlierAttempt();
    ++nextId_;
  }

  // Gives the message an attempt by an earlier process.
  void recordEarlierAttempt() {
    EndpointId endpoint = model_.endpoints.rbegin()->first;
    Millis sentAt = harness_.now - *rc::gen::element(20.0, 2500.0, 6000.0);
    bool notExecuted = *rc::gen::arbitrary<bool>();
    harness_.policy.recordEarlierAttempt(MessageId{nextId_}, endpoint, sentAt, notExecuted);
    model_.messages[nextId_].attempts.push_back(
        {{MessageId{nextId_}, endpoint, 0, 0}, sentAt, false, notExecuted, !notExecuted, harness_.now});
  }

  void finishHealthCheck() {
    harness_.policy.recordHealthCheckOutcome(
        healthChecks_.back().endpoint, *rc::gen::element(AttemptOutcome::completed, AttemptOutcome::timeout),
        {});
    healthChecks_.pop_back();
  }

  void finishSomeAttempts() {
    for (auto& [id, message] : model_.messages) {
      for (ReferenceAttempt& attempt : message.attempts) {
        if (!attempt.pending) continue;
        if (harness_.now < message.deadline && *rc::gen::inRange(0, 3) != 0) continue;
        finishAttempt(message, attempt);
      }
    }
  }

  void finishAttempt(ReferenceMessage& message, ReferenceAttempt& attempt) {
    AttemptOutcome outcome = AttemptOutcome::timeout;
    if (harness_.now < message.deadline) {
      outcome =
          *rc::gen::element(AttemptOutcome::completed, AttemptOutcome::completed, AttemptOutcome::rejected,
                            AttemptOutcome::error, AttemptOutcome::connectFailed, AttemptOutcome::reset,
                            AttemptOutcome::timeout);
    }
    Millis retryAfter = outcome == AttemptOutcome::rejected ? *rc::gen::element(0.0, 700.0, 4000.0) : 0.0;
    model_.recordOutcome(message, attempt, outcome, retryAfter, harness_.now);
    harness_.finishAttempt(attempt.decision, outcome, harness_.now - attempt.sentAt, retryAfter);
  }

  void verifyDecisions() {
    while (auto decision = harness_.policy.nextDecision()) {
      if (const auto* send = std::get_if<SendAttempt>(&*decision)) verifyZone(*send);
      model_.verify(*decision, harness_.now);
      if (const auto* check = std::get_if<SendHealthCheck>(&*decision)) healthChecks_.push_back(*check);
    }
  }

  void verifyZone(const SendAttempt& send) {
    RC_ASSERT(!harness_.policy.state().zones.isLost(ZoneId{model_.endpoints.at(send.endpoint).zone}));
    int spillover = 0;
    for (const auto& [id, message] : harness_.policy.state().messages) {
      for (const Attempt& attempt : message.attempts) spillover += attempt.pending && attempt.isSpillover;
    }
    RC_ASSERT(spillover <= std::max(1, settings_.maxConcurrentRequests / 2));
  }

  DeploymentSettings settings_ = generatedSettings();
  PolicyHarness harness_;
  ReferenceModel model_;
  std::vector<SendHealthCheck> healthChecks_;
  std::uint32_t nextId_ = 1;
};

TEST(ReferenceModel, AllowsEveryDecisionOfThePolicy) {
  ASSERT_TRUE(kIsSeeded);
  EXPECT_TRUE(rc::check([] {
    GeneratedScenario scenario;
    int steps = *rc::gen::inRange(20, 250);
    for (int step = 0; step < steps; ++step) scenario.step();
  }));
}

}  // namespace
}  // namespace stonewing::testing
