#include "policy/hedging.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

// Bounds of the delay of a hedge, as shares of the latency objective.
// A response within the objective is all that the client was promised, so a hedge this early brings it
// nothing and takes a request that another message may need.
constexpr double kMinDelayShare = 0.3;
constexpr double kMaxDelayShare = 1.5;  // the promise is broken; waiting for a longer p95 makes it only later
// No hedges while this share of the concurrent requests, or more, is in flight.
constexpr double kMaxRequestShare = 0.5;

}  // namespace

std::optional<PlannedAttempt> Hedging::next() {
  bool isAllowed = areHedgesAllowed();
  if ((std::exchange(wasAllowed_, isAllowed) && clock_.canSkipScan()) || !isAllowed) return std::nullopt;
  cursor_.begin(clock_.round());
  const std::set<MessageId>& pending = messages_.withPendingAttempts();
  for (auto entry = pending.lower_bound(cursor_.next()); entry != pending.end(); ++entry) {
    MessageId id = *entry;
    cursor_.advancePast(id);
    const Message& message = messages_.at(id);
    if (!mayHedge(message) || !clock_.isReached(dueAt(message, message.attempts.back()))) continue;
    if (Endpoint* endpoint = selector_.select(message, AttemptKind::hedge))
      return PlannedAttempt{id, endpoint};
  }
  return std::nullopt;
}

// Hedges stop earlier than other attempts: when concurrent requests run short, a hedge would occupy a request
// that the first attempt of another message needs.
bool Hedging::areHedgesAllowed() const {
  return settings_.mayHedge && budget_.mayHedge() &&
         requests_.inFlight() < settings_.maxConcurrentRequests * kMaxRequestShare;
}

bool Hedging::mayHedge(const Message& message) const {
  if (message.finished || message.responseStarted || message.hedged) return false;
  if (trafficTypeOf(settings_, message).idempotency == Idempotency::nonIdempotent) return false;
  const Attempt& last = message.attempts.back();
  return last.pending && !last.cancelled;
}

Millis Hedging::dueAt(const Message& message, const Attempt& attempt) const {
  const TrafficType& type = trafficTypeOf(settings_, message);
  Millis delay = std::clamp(latencies_.typicalP95(*attempt.endpoint, type),
                            type.latencyObjective * kMinDelayShare, type.latencyObjective * kMaxDelayShare);
  return attempt.sentAt + std::min(delay, (message.deadline - attempt.sentAt) / 2);
}

}  // namespace stonewing
