#pragma once

#include <deque>
#include <optional>

#include "policy/decision.h"
#include "policy/delivery_forecast.h"
#include "policy/message_registry.h"
#include "policy/random_source.h"
#include "policy/round_clock.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which messages are shed or failed, and when.
//
// A message is ended as soon as it is known that it cannot be delivered in time, so that its client has the
// rest of that time to act, and not before.
//
// Owns: for each message without a pending attempt, the time at which it may have no attempt left; the
// progress of its scan over the waiting messages. Input: accepted messages, ended attempts, resets of that
// scan. Query: the next message to shed or to fail; the query also finishes that message in the
// MessageRegistry.
namespace stonewing {

class LoadShedder {
 public:
  // The referenced objects must outlive the LoadShedder.
  LoadShedder(const DeploymentSettings& settings, RoundClock& clock, RandomSource& random,
              const DeliveryForecast& forecast, const ZoneFailover& zones, MessageRegistry& messages)
      : settings_(settings),
        clock_(clock),
        random_(random),
        forecast_(forecast),
        zones_(zones),
        messages_(messages) {}

  // A message was accepted, or the endpoints, waits or outages of a route have changed: the waiting messages
  // are scanned again in this round.
  void resetScan() { scannedRound_ = kNoRound; }
  // Call for each attempt that was sent before a restart: such attempts count towards maxAttempts, so the
  // message may have none left.
  void recordEarlierAttempt(MessageId id);
  // Call after the attempt is marked as ended.
  void recordAttemptEnd(MessageId id, const Message& message);

  // Ends a message whose deadline has passed, that has no attempt left, or that no attempt could deliver
  // before its deadline. If there is none, the clock wakes the policy when there may be one.
  std::optional<Decision> nextDueEnd();
  // Sheds what other zones cannot take in time of the messages that wait for a lost zone. Sheds the message
  // with the least weight while the dispatcher is close to its limit of messages in flight: without this, the
  // dispatcher would reject new submissions without comparing them with the messages that wait.
  std::optional<Decision> nextEviction();

 private:
  struct Eviction {
    MessageId message{};
    double weight{0};
    Millis opensAt{0};
  };

  std::optional<Decision> nextExpired();
  void scheduleExhaustion(MessageId id, const Message& message);
  std::optional<Decision> nextExhausted();
  std::optional<Decision> nextUndeliverable();
  void collectUndeliverable();
  Decision end(MessageId id, const Message& message);
  std::optional<Decision> nextExcess();
  void collectExcess();
  void considerDestination(const Destination& destination, std::optional<Eviction>& least) const;
  Millis opensAt(const Destination& destination) const;
  // Advises the client to come again after opensAt, if that is later than now and the settings allow advice.
  Decision shed(MessageId id, Millis opensAt);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  RandomSource& random_;
  const DeliveryForecast& forecast_;
  const ZoneFailover& zones_;
  MessageRegistry& messages_;
  std::set<std::pair<Millis, MessageId>> exhaustionTimes_;  // ids of forgotten messages are skipped
  static constexpr int kNoRound = -1;
  int scannedRound_{kNoRound};
  std::deque<MessageId> excess_;  // found by the last look at the backlogs
  Millis nextBacklogCheckAt_{0};
  std::deque<std::pair<Millis, MessageId>> undeliverable_;  // found by the scan of this round, by deadline
};

}  // namespace stonewing
