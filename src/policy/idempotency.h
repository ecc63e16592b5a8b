#pragma once

#include "policy/endpoint.h"
#include "policy/message.h"
#include "settings/deployment_settings.h"

// Whether another attempt of a message is allowed, and until when: no message may take effect twice. Pure
// functions of a message and its attempts; now is in milliseconds of the policy's clock.
namespace stonewing {

inline bool mayHaveExecuted(const Attempt& attempt) {
  return attempt.pending || !attempt.provablyNotExecuted;
}
bool mayHaveExecuted(const Message& message);  // any of its attempts

// Whether another attempt is allowed at any endpoint (if not forbidden by its zone).
bool mayAttempt(const DeploymentSettings& settings, const Message& message, Millis now);
// Whether one is allowed at this endpoint.
bool mayAttemptAt(const DeploymentSettings& settings, const Message& message, const Endpoint& endpoint,
                  Millis now);
// Whether an attempt that was decided earlier is still allowed.
bool mayStillAttempt(const DeploymentSettings& settings, const Message& message, const Attempt& attempt,
                     Millis now);

// Whether the message may be shed: that promises its client that submitting it again is harmless.
bool mayShed(const DeploymentSettings& settings, const Message& message, Millis now);

// When a message without a pending attempt may have no further attempt left: now, its deadline, or when the
// deduplication window of an attempt that may have been executed closes.
Millis retriesExhaustedAt(const DeploymentSettings& settings, const Message& message, Millis now);

}  // namespace stonewing
