#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "support/policy_harness.h"

// A slow, simple model of the rules that decisions of the policy must follow. It records every event and
// verifies each decision against all earlier events; a decision that breaks a rule fails the RapidCheck case.
namespace stonewing::testing {

struct ReferenceAttempt {
  SendAttempt decision;
  Millis sentAt;
  bool pending = true;
  bool provablyNotExecuted = false;
  bool mayStillBeExecuting = false;  // after the attempt has ended
  Millis endedAt = 0;
};

struct ReferenceMessage {
  TrafficType type;
  std::uint64_t orderingKey;
  Millis deadline;
  int finalOutcomes = 0;
  std::vector<ReferenceAttempt> attempts;
};

struct ReferenceEndpoint {
  EndpointState state;
  std::uint8_t zone;
};

class ReferenceModel {
 public:
  DeploymentSettings settings;
  std::map<std::uint32_t, ReferenceMessage> messages;  // ids increase in the order of acceptance
  std::map<EndpointId, ReferenceEndpoint> endpoints;

  // Fails if the decision is not allowed; otherwise records its effect.
  void verify(const Decision& decision, Millis now) {
    if (const auto* timer = std::get_if<SetTimer>(&decision)) RC_ASSERT(timer->at > now);
    if (const auto* shed = std::get_if<ShedMessage>(&decision)) {
      RC_ASSERT(isRetryHarmless(messages.at(shed->message.value), nullptr, now));
      verifyFinalOutcome(shed->message);
    }
    if (const auto* fail = std::get_if<FailMessage>(&decision)) verifyFinalOutcome(fail->message);
    if (const auto* send = std::get_if<SendAttempt>(&decision)) verifyAttempt(*send, now);
  }

  // Records the end of a pending attempt.
  void recordOutcome(ReferenceMessage& message, ReferenceAttempt& attempt, AttemptOutcome outcome,
                     Millis retryAfter, Millis now) {
    attempt.pending = false;
    attempt.endedAt = now;
    attempt.provablyNotExecuted =
        outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connectFailed;
    attempt.mayStillBeExecuting = outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::reset;
    Millis& until = retryAfterUntil_[routeOf(attempt.decision.endpoint)];
    until = std::max(until, retryAfter > 0 ? now + retryAfter : 0);
    if (outcome == AttemptOutcome::completed) message.finalOutcomes = std::max(message.finalOutcomes, 1);
  }

 private:
  std::uint64_t routeOf(EndpointId endpoint) const {
    return settings.kinds[0].hasRoutePerEndpoint ? endpoint.value : 0;
  }
  static bool mayHaveBeenExecuted(const ReferenceAttempt& attempt) {
    return attempt.pending || !attempt.provablyNotExecuted;
  }

  // Whether one more execution does no harm at the endpoint or, where that is null, at every endpoint.
  bool isRetryHarmless(const ReferenceMessage& message, const EndpointId* endpoint, Millis now) const {
    if (message.type.idempotency == Idempotency::idempotent) return true;
    for (const ReferenceAttempt& attempt : message.attempts) {
      if (!mayHaveBeenExecuted(attempt)) continue;
      if (message.type.idempotency == Idempotency::nonIdempotent) return false;
      if (now > attempt.sentAt + message.type.deduplicationWindow) return false;
      if (message.type.deduplicationScope == DeduplicationScope::zone &&
          (endpoint == nullptr ||
           endpoints.at(*endpoint).zone != endpoints.at(attempt.decision.endpoint).zone)) {
        return false;
      }
    }
    return true;
  }

  // Whether no other message with the same ordering key delays this message.
  bool isOrderingKeyFree(std::uint32_t id, Millis now) const {
    const ReferenceMessage& message = messages.at(id);
    if (!message.type.ordered || message.orderingKey == 0 || !message.attempts.empty()) return true;
    for (const auto& [otherId, other] : messages) {
      if (other.orderingKey != message.orderingKey || !other.type.ordered || otherId == id) continue;
      for (const ReferenceAttempt& attempt : other.attempts) {
        if (attempt.mayStillBeExecuting && now < attempt.endedAt + settings.orderingPause) return false;
        if (otherId < id && attempt.pending) return false;
      }
      if (otherId < id && other.finalOutcomes == 0) return false;
    }
    return true;
  }

  void verifyFinalOutcome(MessageId id) {
    ReferenceMessage& message = messages.at(id.value);
    RC_ASSERT(message.finalOutcomes == 0);
    ++message.finalOutcomes;
  }

  void verifyAttempt(const SendAttempt& send, Millis now) {
    ReferenceMessage& message = messages.at(send.message.value);
    RC_ASSERT(message.finalOutcomes == 0);
    RC_ASSERT(now < message.deadline);
    RC_ASSERT(endpoints.at(send.endpoint).state == EndpointState::ready);
    RC_ASSERT(now >= retryAfterUntil_[routeOf(send.endpoint)]);
    RC_ASSERT(isRetryHarmless(message, &send.endpoint, now));
    RC_ASSERT(isOrderingKeyFree(send.message.value, now));
    RC_ASSERT(static_cast<int>(message.attempts.size()) < settings.maxAttempts);
    int pendingOfMessage = 0;
    for (const ReferenceAttempt& attempt : message.attempts) {
      pendingOfMessage += attempt.pending;
      RC_ASSERT(!attempt.pending || !(attempt.decision.endpoint == send.endpoint));
    }
    RC_ASSERT(pendingOfMessage <= 1);
    message.attempts.push_back({send, now});
    RC_ASSERT(pendingAttempts() <= std::max(1, settings.maxConcurrentRequests * 3 / 4));
  }

  int pendingAttempts() const {
    int pending = 0;
    for (const auto& [id, message] : messages) {
      for (const ReferenceAttempt& attempt : message.attempts) pending += attempt.pending;
    }
    return pending;
  }

  std::map<std::uint64_t, Millis> retryAfterUntil_;  // by route
};

}  // namespace stonewing::testing
