#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "policy/destination.h"
#include "policy/message.h"
#include "policy/ordering.h"
#include "policy/round_clock.h"
#include "policy/zone_failover.h"

// The accepted messages, and the indexes by which decisions find those that are due without a look at all.
//
// Owns: the messages; which of them wait, which have a pending attempt, their deadlines, the losing attempts
// of finished ones. Its map's nodes are stable: a Message& stays valid until the message is forgotten, which
// finish() and forgetFinished() may do.
namespace stonewing {

// One attempt: the message and the attempt's number among its attempts, from 0.
struct AttemptRef {
  MessageId message{};
  int attempt{};
};

class MessageRegistry {
 public:
  using Deadlines = std::set<std::pair<Millis, MessageId>>;

  // All outlive it.
  MessageRegistry(const RoundClock& clock, ZoneFailover& zones, Ordering& ordering)
      : clock_(clock), zones_(zones), ordering_(ordering) {}

  // Registers a message, in place of one under the same id. Call updateIndexes() once its fields are set.
  Message& accept(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                  Destination& destination, Millis deadline);
  // Moves a message to where it belongs. Call after each change of its attempts.
  void updateIndexes(MessageId id, Message& message);
  // The message has its final answer. Its pending attempts become losing attempts; with none it is forgotten.
  // Unknown and finished ids are ignored. Returns the id.
  MessageId finish(MessageId id);
  // Forgets the message if it is finished and has no pending attempt.
  void forgetFinished(MessageId id);

  // Null for an id that is not registered.
  Message* find(MessageId id);
  const Message* find(MessageId id) const;
  // The id must be registered.
  Message& at(MessageId id) { return messages_.at(id); }
  const Message& at(MessageId id) const { return messages_.at(id); }
  const std::map<MessageId, Message>& all() const { return messages_; }

  // Messages without a final answer.
  int inFlight() const { return inFlight_; }
  // Changed by updateIndexes(), finish() and accept().
  const std::set<MessageId>& withPendingAttempts() const { return withPendingAttempts_; }
  // The order is not stable from run to run; results must not depend on it.
  const std::set<Destination*>& destinationsWithWaiting() const { return destinationsWithWaiting_; }
  // Of all that are not finished.
  const Deadlines& deadlines() const { return deadlines_; }
  // The next attempt that a final answer has made superfluous; it may have ended since.
  std::optional<AttemptRef> popLosingAttempt();

 private:
  const RoundClock& clock_;
  ZoneFailover& zones_;
  Ordering& ordering_;
  std::map<MessageId, Message> messages_;
  int inFlight_{0};
  std::set<MessageId> withPendingAttempts_;
  std::set<Destination*> destinationsWithWaiting_;  // destinations are never removed
  Deadlines deadlines_;
  std::deque<AttemptRef> losingAttempts_;
};

}  // namespace stonewing
