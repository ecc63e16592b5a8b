#pragma once

#include <variant>

#include "base/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

// The decisions that the policy returns for its host to carry out. Decision has one alternative for each
// kind. Durations are in milliseconds.
namespace stonewing {

// The rate limit of an endpoint, as one of its responses reports it.
struct LoadReport {
  double rateLimit{-1};       // requests a second; 0: no limit, below 0: not reported
  double remainingShare{-1};  // unused share of the limit at the moment, 0 to 1; below 0: not reported
};

// Send one attempt of a message. Attempts of one batch are decided in one round.
struct SendAttempt {
  MessageId message{};
  EndpointId endpoint{};
  int attempt{};     // index among the message's attempts, from 0
  Millis timeout{};  // milliseconds from now
};

// Cancel a pending attempt that is losing or stuck.
struct CancelAttempt {
  MessageId message{};
  int attempt{};
};

// End a message and promise its client that submitting it again is harmless.
struct ShedMessage {
  MessageId message{};
  Millis retryAfter{};  // when the client should submit it again, milliseconds from now; 0: no advice
};

// End a message as failed: it may have been executed, and submitting it again may execute it twice.
struct FailMessage {
  MessageId message{};
};

// Send a health check to an endpoint.
struct SendHealthCheck {
  EndpointId endpoint{};
};

// Close an idle connection to an endpoint.
struct CloseIdleConnection {
  EndpointId endpoint{};
};

// Call the policy again at that time, in milliseconds of its clock. Replaces an earlier timer.
struct SetTimer {
  Millis at{};
};

using Decision = std::variant<SendAttempt, CancelAttempt, ShedMessage, FailMessage, SendHealthCheck,
                              CloseIdleConnection, SetTimer>;

}  // namespace stonewing
