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

// Holds the accepted messages, with indexes by which other modules find due messages without a scan of all.
//
// Owns: the messages, the set of those that wait, the set of those with a pending attempt, their deadlines,
// and the losing attempts of finished messages. A Message& stays valid until the message is forgotten, since
// the nodes of the map are stable; finish() and eraseFinished() may forget messages.
namespace stonewing {

// Identifies an attempt by its message and its number among the message's attempts, from 0.
struct AttemptRef {
  MessageId message{};
  int attempt{};
};

class MessageRegistry {
 public:
  using Deadlines = std::set<std::pair<Millis, MessageId>>;

  // The referenced objects must outlive the MessageRegistry.
  MessageRegistry(const RoundClock& clock, ZoneFailover& zones, Ordering& ordering)
      : clock_(clock), zones_(zones), ordering_(ordering) {}

  // Registers a message and replaces a registered one with the same id. Call updateIndexes() once the
  // remaining fields are set.
  Message& accept(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                  Destination& destination, Millis deadline);
  // Moves a message to the indexes and the wait list that match its state. Call after each change of its
  // attempts.
  void updateIndexes(MessageId id, Message& message);
  // Records that the message has its final answer. Its pending attempts become losing attempts; a message
  // without any is forgotten. Unknown and finished ids are ignored. Returns the id.
  MessageId finish(MessageId id);
  // Forgets the message if it is finished and has no pending attempt.
  void eraseFinished(MessageId id);

  // Null for an id that is not registered.
  Message* find(MessageId id);
  const Message* find(MessageId id) const;
  // The id must be registered.
  Message& at(MessageId id) { return messages_.at(id); }
  const Message& at(MessageId id) const { return messages_.at(id); }
  const std::map<MessageId, Message>& all() const { return messages_; }

  // The number of messages without a final answer.
  int inFlight() const { return inFlight_; }
  // Calls of accept(), updateIndexes() and finish() change this index and the next two.
  const std::set<MessageId>& withPendingAttempts() const { return withPendingAttempts_; }
  // Ordered by address, which differs from run to run, so results must not depend on the order.
  const std::set<Destination*>& destinationsWithWaiting() const { return destinationsWithWaiting_; }
  // The deadlines of all messages that are not finished.
  const Deadlines& deadlines() const { return deadlines_; }
  // Returns the next attempt that was pending when its message finished. It may have ended since.
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
