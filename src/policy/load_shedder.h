#pragma once

#include <optional>

#include "policy/decision.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/round_clock.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which messages are shed or failed, and when.
//
// Owns: for each message without a pending attempt, the time at which it may have no useful attempt left.
// Input: accepted messages and ended attempts. Query: the next message to shed or to fail; the query also
// finishes that message in the MessageRegistry.
namespace stonewing {

class LoadShedder {
 public:
  // The referenced objects must outlive the LoadShedder.
  LoadShedder(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
              const ZoneFailover& zones, MessageRegistry& messages)
      : settings_(settings), clock_(clock), latencies_(latencies), zones_(zones), messages_(messages) {}

  void recordAccepted(MessageId id, const Message& message);
  // Call for each attempt that was sent before a restart: such attempts count towards maxAttempts, so the
  // message may have none left.
  void recordEarlierAttempt(MessageId id);
  // Call after the attempt is marked as ended.
  void recordAttemptEnd(MessageId id, const Message& message);

  // Ends a message whose deadline has passed, that has no attempt left, or that no attempt could complete
  // before its deadline.
  std::optional<Decision> nextDueEnd();
  // Sheds the message with the least weight while the dispatcher is close to its limit of messages in flight,
  // or while more messages wait for a lost zone than other zones can take in time. Without this, the
  // dispatcher would reject new submissions without comparing them with the messages that wait.
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
  std::set<std::pair<Millis, MessageId>> exhaustionTimes_;  // ids of forgotten messages are skipped
};

}  // namespace stonewing
