#pragma once

#include <optional>

#include "policy/decision.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/round_clock.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which messages are shed or fail, and when.
//
// Owns: the times at which a message without a pending attempt may have no useful attempt left. Input:
// accepted messages and ends of attempts. Query: the next message to end, which it finishes in the
// MessageRegistry.
namespace stonewing {

class LoadShedder {
 public:
  // All outlive it.
  LoadShedder(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
              const ZoneFailover& zones, MessageRegistry& messages)
      : settings_(settings), clock_(clock), latencies_(latencies), zones_(zones), messages_(messages) {}

  void recordAccepted(MessageId id, const Message& message);
  // It may have no attempt left, since an earlier process has sent some.
  void recordEarlierAttempt(MessageId id);
  // Call after the attempt is marked as ended.
  void recordAttemptEnd(MessageId id, const Message& message);

  // Ends a message whose time is up: at its deadline, or when no attempt can be answered in time.
  std::optional<Decision> nextDueAnswer();
  // Sheds the message that is worth least, while the dispatcher is out of capacity or more waits for a lost
  // zone than others can take in time. Without this, the dispatcher would turn messages away unseen.
  std::optional<Decision> nextEviction();

 private:
  struct Eviction {
    MessageId message{};
    double weight{0};
    Millis retryAfter{0};
  };

  std::optional<Decision> nextExpired();
  std::optional<Decision> nextExhausted();
  void considerDestination(const Destination& destination, std::optional<Eviction>& least) const;
  Millis opensAt(const Destination& destination) const;
  Millis latestUsefulAttemptAt(const Message& message) const;
  Decision shed(MessageId id, Millis retryAfter);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  const ZoneFailover& zones_;
  MessageRegistry& messages_;
  std::set<std::pair<Millis, MessageId>> exhaustionTimes_;  // entries of forgotten messages are skipped
};

}  // namespace stonewing
