#pragma once

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "policy/dispatch_policy.h"

// Drives one DispatchPolicy without sockets, files or a clock of its own.
namespace stonewing::testing {

// A traffic type with an objective of 1 s, a deadline of 10 s and a deduplication window of 4 s.
inline TrafficType trafficType(Idempotency idempotency) {
  TrafficType type;
  type.latencyObjective = 1000;
  type.deadlineAfter = 10000;
  type.lateWeightShare = 0.5;
  type.idempotency = idempotency;
  type.deduplicationWindow = 4000;
  return type;
}

// Settings with one traffic type, one kind of endpoint and every optional feature permitted.
inline DeploymentSettings testSettings(Idempotency idempotency = Idempotency::idempotent) {
  DeploymentSettings settings;
  settings.types = {trafficType(idempotency)};
  settings.kinds = {{false, 1}};
  settings.maxConcurrentRequests = 8;
  settings.maxInFlight = 100;
  settings.maxAttempts = 6;
  settings.dispatcherCount = 2;
  settings.mayHedge = settings.mayHealthCheck = settings.mayCancel = settings.mayAdviseRetryAfter = true;
  settings.maxRetryAfter = 2000;
  settings.connectionIdleTimeout = 10000;
  settings.slowStartInitialShare = 0.2;
  settings.slowStartDuration = 10000;
  settings.overloadThreshold = 2;
  settings.overloadWindow = 1500;
  settings.orderingPause = 500;
  return settings;
}

constexpr EndpointId endpointId(std::uint64_t number) { return EndpointId{number}; }

// One policy under test and its time. Destination 1 has the endpoints 1 to endpointCount, all in zone 0
// unless a test changes them.
struct PolicyHarness {
  explicit PolicyHarness(DeploymentSettings settings = testSettings(), int endpointCount = 2)
      : policy(std::move(settings), 7) {
    policy.beginRound(now);
    policy.beginEndpointList();
    for (int number = 1; number <= endpointCount; ++number) setEndpoint(static_cast<std::uint64_t>(number));
    policy.commitEndpointList(true);
  }

  void setEndpoint(std::uint64_t number, EndpointState state = EndpointState::ready, std::uint8_t zone = 0) {
    policy.addEndpoint(endpointId(number), DestinationId{1}, KindId{0}, ZoneId{zone}, 1, state);
  }

  // Begins a round at that time, in milliseconds.
  void advanceTo(Millis time) { policy.beginRound(now = time); }

  // Submits a message for destination 1 with a deadline 10 s from now.
  void accept(std::uint32_t message, std::uint16_t type = 0, std::uint64_t orderingKey = 0) {
    policy.acceptMessage(MessageId{message}, TrafficTypeId{type}, TenantId{0}, OrderingKey{orderingKey},
                         DestinationId{1}, now + 10000);
  }

  // Reports the outcome of an attempt that was sent, or that is to be cancelled.
  template <class AttemptDecision>
  void finishAttempt(const AttemptDecision& attempt, AttemptOutcome outcome, Millis duration = 100,
                     Millis retryAfter = 0) {
    policy.recordAttemptOutcome(attempt.message, attempt.attempt, outcome, duration,
                                outcome == AttemptOutcome::completed, retryAfter, {});
  }

  // Gets all decisions of the round and returns those of one kind.
  template <class Kind>
  std::vector<Kind> decisions() {
    std::vector<Kind> found;
    while (auto decision = policy.nextDecision()) {
      if (const Kind* wanted = std::get_if<Kind>(&*decision)) found.push_back(*wanted);
    }
    return found;
  }

  // Completes count messages after 100 ms each, which gives the policy latency samples.
  void completeMessages(int count, std::uint32_t firstMessage = 1000) {
    for (int index = 0; index < count; ++index) {
      accept(firstMessage + static_cast<std::uint32_t>(index));
      auto attempts = decisions<SendAttempt>();
      advanceTo(now + 100);
      for (const SendAttempt& attempt : attempts) finishAttempt(attempt, AttemptOutcome::completed);
    }
  }

  // Fails connections until the policy detects an outage of the destination.
  void failUntilOutage() {
    accept(1);
    while (!firstRoute().recovery.isOutage()) {
      for (const SendAttempt& attempt : decisions<SendAttempt>()) {
        finishAttempt(attempt, AttemptOutcome::connectFailed);
      }
      advanceTo(now + 50);
    }
  }

  // The route with the lowest id. The reference stays valid until the policy deletes the route.
  const Route& firstRoute() const { return policy.state().routes.begin()->second; }

  Millis now = 1000;
  DispatchPolicy policy;
};

}  // namespace stonewing::testing
