#pragma once

#include "policy/endpoint.h"
#include "policy/message.h"
#include "settings/deployment_settings.h"

// Decides whether another attempt of a message is allowed, and until when, since no message may take effect
// twice. Pure functions of a message and its attempts; now is in milliseconds of the policy's clock.
namespace stonewing {

inline bool mayHaveExecuted(const Attempt& attempt) {
  return attempt.pending || !attempt.provablyNotExecuted;
}
bool mayHaveExecuted(const Message& message);  // whether any of its attempts may have been executed

// Whether another attempt is allowed at all. The deduplication scope may still forbid endpoints in other
// zones.
bool mayAttempt(const DeploymentSettings& settings, const Message& message, Millis now);
// Whether another attempt is allowed at this endpoint.
bool mayAttemptAt(const DeploymentSettings& settings, const Message& message, const Endpoint& endpoint,
                  Millis now);
// Whether an attempt that was decided earlier is still allowed.
bool mayStillAttempt(const DeploymentSettings& settings, const Message& message, const Attempt& attempt,
                     Millis now);

// Whether the message may be shed, which promises its client that submitting it again is harmless.
bool mayShed(const DeploymentSettings& settings, const Message& message, Millis now);

// The time from which a message without a pending attempt may not get another one: now, its deadline, or
// shortly before the end of the deduplication window of an attempt that may have been executed.
Millis retriesExhaustedAt(const DeploymentSettings& settings, const Message& message, Millis now);

}  // namespace stonewing
