#pragma once

#include <algorithm>

#include "policy/attempt_outcome.h"
#include "policy/message.h"
#include "settings/deployment_settings.h"

// Decides what may be concluded from a response that could belong to an earlier request on its connection.
// Pure functions.
namespace stonewing {

enum class ResponseHandling {
  conclude,             // its outcome is recorded at once
  concludeAndConfirm,   // its outcome is recorded, and taken back if the response turns out not to be its own
  deferUntilConfirmed,  // its outcome is recorded only once nothing contradicts it any more
};

// How long a response remains unconfirmed.
struct ResponseDoubt {
  ResponseHandling handling{ResponseHandling::conclude};
  Millis confirmAfter{0};  // milliseconds from now; 0 if there is nothing to confirm
};

// How to handle such a response. isFinal: the outcome ends the message. A delivery can be taken back. That
// an attempt was not executed cannot: by then another attempt may have been executed. So such an outcome is
// deferred for messages that must not be executed twice. That of an ordered message is deferred too, since
// the next one of its key begins once it is delivered.
inline ResponseHandling handlingOf(const TrafficType& type, AttemptOutcome outcome, bool isFinal) {
  if (isFinal || outcome == AttemptOutcome::completed) {
    return type.ordered ? ResponseHandling::deferUntilConfirmed : ResponseHandling::concludeAndConfirm;
  }
  bool claimsNotExecuted = outcome == AttemptOutcome::rejected || isUnsent(outcome);
  bool mayRepeat = type.idempotency == Idempotency::idempotent;
  return claimsNotExecuted && !mayRepeat ? ResponseHandling::deferUntilConfirmed : ResponseHandling::conclude;
}

// How long such a response remains unconfirmed: for as long as the true response would take. typicalP95: of
// the endpoint's latency. A deferred outcome occupies a request meanwhile, so it is confirmed sooner than a
// delivery. All times are milliseconds.
inline Millis confirmationTime(ResponseHandling handling, Millis typicalP95) {
  constexpr Millis kMinDeferredMs = 100;
  constexpr Millis kMaxDeferredMs = 1000;
  constexpr Millis kMinDeliveryMs = 300;
  constexpr Millis kMaxDeliveryMs = 2000;
  constexpr double kDeliveryFactor = 3;
  if (handling == ResponseHandling::deferUntilConfirmed) {
    return std::clamp(typicalP95, kMinDeferredMs, kMaxDeferredMs);
  }
  return std::clamp(kDeliveryFactor * typicalP95, kMinDeliveryMs, kMaxDeliveryMs);
}

}  // namespace stonewing
