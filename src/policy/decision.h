#pragma once

#include <variant>

#include "base/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

// What the policy asks its host to do: one alternative of Decision for each kind. Durations are milliseconds.
namespace stonewing {

// What a response reports of the rate limit at its endpoint.
struct LoadReport {
  double rateLimit{-1};       // requests a second; 0 where there is none, below 0 where nothing is reported
  double remainingShare{-1};  // share of it that remains just now, 0 to 1; below 0 where none is reported
};

// Send one attempt of a message. Attempts of one batch are decided in one round.
struct SendAttempt {
  MessageId message{};
  EndpointId endpoint{};
  int attempt{};     // its number among the message's attempts, from 0
  Millis timeout{};  // milliseconds from now
};

// Cancel a pending attempt: it is a losing attempt, or stuck.
struct CancelAttempt {
  MessageId message{};
  int attempt{};
};

// End a message with the promise that submitting it again is harmless.
struct ShedMessage {
  MessageId message{};
  Millis retryAfter{};  // when to submit again, milliseconds from now; 0: no time is given
};

// End a message as failed: it may have been executed, or no attempt is left.
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

// Call again at that time, in milliseconds of the policy's clock. Replaces an earlier timer.
struct SetTimer {
  Millis at{};
};

using Decision = std::variant<SendAttempt, CancelAttempt, ShedMessage, FailMessage, SendHealthCheck,
                              CloseIdleConnection, SetTimer>;

}  // namespace stonewing
