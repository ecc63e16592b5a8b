#include "policy/idempotency.h"

#include <algorithm>

namespace stonewing {
namespace {

// Share of the deduplication window in which no retry is sent, since it could arrive after the window's end.
constexpr double kWindowMargin = 0.1;

Millis windowClosesAt(const TrafficType& type, const Attempt& attempt) {
  return attempt.sentAt + type.deduplicationWindow * (1 - kWindowMargin);
}

// endpoint: null to check the message without regard to the endpoint. excluded: an attempt of the message
// that does not count, or null.
bool isAllowed(const DeploymentSettings& settings, const Message& message, const Endpoint* endpoint,
               const Attempt* excluded, Millis now) {
  const TrafficType& type = trafficTypeOf(settings, message);
  int attemptCount = static_cast<int>(message.attempts.size()) - (excluded != nullptr);
  if (attemptCount >= settings.maxAttempts) return false;
  if (type.idempotency == Idempotency::idempotent) return true;
  for (const Attempt& earlier : message.attempts) {
    if (!mayHaveExecuted(earlier) || &earlier == excluded) continue;
    if (type.idempotency == Idempotency::nonIdempotent) return false;
    if (now >= windowClosesAt(type, earlier)) return false;
    if (endpoint != nullptr && type.deduplicationScope == DeduplicationScope::zone &&
        earlier.endpoint->zone != endpoint->zone)
      return false;
  }
  return true;
}

}  // namespace

bool mayHaveExecuted(const Message& message) {
  return std::any_of(message.attempts.begin(), message.attempts.end(),
                     [](const Attempt& attempt) { return mayHaveExecuted(attempt); });
}

bool mayAttempt(const DeploymentSettings& settings, const Message& message, Millis now) {
  return isAllowed(settings, message, nullptr, nullptr, now);
}

bool mayAttemptAt(const DeploymentSettings& settings, const Message& message, const Endpoint& endpoint,
                  Millis now) {
  return isAllowed(settings, message, &endpoint, nullptr, now);
}

bool mayStillAttempt(const DeploymentSettings& settings, const Message& message, const Attempt& attempt,
                     Millis now) {
  return isAllowed(settings, message, attempt.endpoint, &attempt, now);
}

bool mayShed(const DeploymentSettings& settings, const Message& message, Millis now) {
  const TrafficType& type = trafficTypeOf(settings, message);
  if (type.idempotency == Idempotency::idempotent || !mayHaveExecuted(message)) return true;
  return type.idempotency == Idempotency::idempotentWithKey &&
         type.deduplicationScope == DeduplicationScope::destination && mayAttempt(settings, message, now);
}

Millis retriesExhaustedAt(const DeploymentSettings& settings, const Message& message, Millis now) {
  const TrafficType& type = trafficTypeOf(settings, message);
  if (!mayAttempt(settings, message, now)) return now;
  Millis exhaustedAt = message.deadline;
  if (type.idempotency == Idempotency::idempotent) return exhaustedAt;
  for (const Attempt& attempt : message.attempts) {
    if (mayHaveExecuted(attempt)) exhaustedAt = std::min(exhaustedAt, windowClosesAt(type, attempt));
  }
  return exhaustedAt;
}

}  // namespace stonewing
