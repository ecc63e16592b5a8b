#include "dispatcher/recovery.h"

#include <cstddef>
#include <nlohmann/json.hpp>

#include "base/errors.h"
#include "logging/log.h"
#include "net/event_loop.h"

namespace stonewing {
namespace {

// The steady and the wall clock are read one after the other, so that the send time of an attempt may appear
// to be up to this much later than now.
constexpr Millis kClockTolerance = 1;
// The send time of an attempt whose actual send time is unknown.
constexpr Millis kUnknownSendTime = 0;

void applyKnownEndpoints(const std::string& knownEndpoints, DiscoveryClient& discovery) {
  if (knownEndpoints.empty()) return;
  try {
    discovery.applyAnswer(nlohmann::json::parse(knownEndpoints));
  } catch (const Error& problem) {
    log::error("discovery.unreadable", {{"why", problem.what()}, {"kept", discovery.count()}});
  }
}

// The send time of an attempt on the steady clock. If the wall clock was set back between two processes, the
// attempt of the first process seems to lie in the future, which would extend the deduplication window of its
// retry by as much. In that case the send time is unknown, and the window counts as expired.
Millis sendTime(const AttemptRecord& attempt, Millis now, Millis wallToSteady) {
  const Millis sentAt = attempt.sentWall + wallToSteady;
  return sentAt > now + kClockTolerance ? kUnknownSendTime : sentAt;
}

void recoverMessage(MessageId id, const StoredMessage& message, Millis now, Millis wallToSteady,
                    const RecoveryTargets& targets) {
  const Millis deadline = message.deadlineWall + wallToSteady;
  targets.policy.acceptMessage(id, message.type, message.tenant, message.orderingKey, message.destination,
                               deadline);
  log::debug(
      "message.recovered",
      {{"message", message.reference}, {"attempts", message.attempts.size()}, {"left_ms", deadline - now}});
  for (const AttemptRecord& attempt : message.attempts) {
    targets.policy.recordEarlierAttempt(id, targets.discovery.idOf(attempt.endpoint.name),
                                        sendTime(attempt, now, wallToSteady), attempt.provablyNotExecuted);
  }
}

}  // namespace

void recover(const std::string& knownEndpoints, Millis now, const RecoveryTargets& targets) {
  targets.policy.beginRound(now);
  applyKnownEndpoints(knownEndpoints, targets.discovery);
  const std::size_t truncatedBytes = targets.store.restore();
  if (truncatedBytes > 0) log::warn("journal.truncated", {{"bytes", truncatedBytes}});
  const Millis wallToSteady = now - wallNow();
  targets.discovery.addRecoveredEndpoints(targets.store.inFlight());
  for (const auto& [id, message] : targets.store.inFlight())
    recoverMessage(id, message, now, wallToSteady, targets);
}

}  // namespace stonewing
