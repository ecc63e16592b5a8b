#include "policy/attempt_canceller.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "policy/idempotency.h"

namespace stonewing {
namespace {

// Multiples of p95 after which an attempt counts as stuck: kStuckFactor at a timeout scale of 1 (responses
// come late), kMinStuckFactor at 0 (no responses come).
constexpr double kStuckFactor = 4;
constexpr double kMinStuckFactor = 1.8;
// Each stuck attempt lowers the timeout scale by this share of it.
constexpr double kTimeoutScaleDecrease = 0.4;
// Each success raises the timeout scale by this share of its distance to 1.
constexpr double kTimeoutScaleGrowth = 1.0 / 32;

}  // namespace

void AttemptCanceller::recordSuccess() { timeoutScale_ += kTimeoutScaleGrowth * (1 - timeoutScale_); }

std::optional<Decision> AttemptCanceller::nextLosing() {
  while (auto losing = messages_.popLosingAttempt()) {
    Message* message = messages_.find(losing->message);
    if (message == nullptr || !settings_.mayCancel) continue;
    Attempt& attempt = message->attempts[static_cast<std::size_t>(losing->attempt)];
    if (!attempt.pending) continue;
    attempt.cancelled = true;
    if (!attempt.isHedge) outliers_.recordTimeout(*attempt.endpoint, attempt.sentAt);
    return CancelAttempt{losing->message, losing->attempt};
  }
  return std::nullopt;
}

std::optional<Decision> AttemptCanceller::nextStuck() {
  if (!settings_.mayCancel) return std::nullopt;
  bool isOutOfRequests = requests_.inFlight() >= settings_.maxConcurrentRequests;
  if (!isOutOfRequests && clock_.canSkipScan()) return std::nullopt;
  if (cursor_.begin(clock_.round())) wasOutOfRequests_ = false;
  if (isOutOfRequests && !std::exchange(wasOutOfRequests_, true)) cursor_.rewind();
  const std::set<MessageId>& pending = messages_.withPendingAttempts();
  for (auto entry = pending.lower_bound(cursor_.next()); entry != pending.end(); ++entry) {
    MessageId id = *entry;
    cursor_.advancePast(id);
    Message& message = messages_.at(id);
    if (message.finished || message.responseStarted) continue;
    RetryContext context{.mayRetry = mayAttempt(settings_, message, clock_.now()),
                         .isOutOfRequests = isOutOfRequests};
    for (std::size_t index = 0; index < message.attempts.size(); ++index) {
      Attempt& attempt = message.attempts[index];
      if (!isStuck(message, attempt, context)) continue;
      attempt.cancelled = true;
      outliers_.recordTimeout(*attempt.endpoint, attempt.sentAt);
      timeoutScale_ *= 1 - kTimeoutScaleDecrease;
      cursor_.revisit(id);  // another attempt of this message may be stuck too
      return CancelAttempt{id, static_cast<int>(index)};
    }
  }
  return std::nullopt;
}

// An attempt without a response in the stuck time counts as lost if a later attempt at the same route has
// succeeded meanwhile; it is then cancelled as long as a retry is allowed. While all concurrent requests are
// in use, any attempt past the stuck time is cancelled if a retry is allowed, and a long overdue one even if
// that ends its message. Each stuck attempt shortens the stuck time. Without this, attempts whose responses
// were lost would occupy all concurrent requests.
bool AttemptCanceller::isStuck(const Message& message, const Attempt& attempt, RetryContext context) {
  if (!attempt.pending || attempt.cancelled) return false;
  const Route& route = *attempt.endpoint->route;
  Millis p95 = latencies_.typicalLatency(route, trafficTypeOf(settings_, message)).p95;
  Millis stuckAt =
      attempt.sentAt + (kMinStuckFactor + (kStuckFactor - kMinStuckFactor) * timeoutScale_) * p95;
  if (!clock_.isReached(stuckAt)) return false;
  bool isOvertaken =
      context.mayRetry && !route.recovery.isOutage() && route.recovery.lastSuccessSentAt() > attempt.sentAt;
  if (isOvertaken) return true;
  bool hasNoResponses = route.recovery.isOutage() || attempt.endpoint->failures.isUnresponsive();
  Millis overdueAfter = (hasNoResponses ? kStuckFactor : 2 * kStuckFactor) * p95;
  return context.isOutOfRequests && (context.mayRetry || clock_.now() - attempt.sentAt > overdueAfter);
}

Millis AttemptCanceller::attemptTimeout(const Message& message, const Route& route) const {
  const TrafficType& type = trafficTypeOf(settings_, message);
  Millis untilDeadline = message.deadline - clock_.now();
  if (settings_.mayCancel || type.idempotency == Idempotency::nonIdempotent) return untilDeadline;
  Millis stuckAfter = kStuckFactor * latencies_.typicalLatency(route, type).p95;
  return std::min(untilDeadline, std::max(type.latencyObjective, stuckAfter));
}

}  // namespace stonewing
