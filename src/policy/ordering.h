#pragma once

#include <cstddef>
#include <deque>
#include <map>

#include "policy/message.h"
#include "policy/round_clock.h"

// Decides whether a message may be sent yet: messages of an ordered type with the same ordering key are sent
// one after the other.
//
// Owns: a queue for each ordering key. Input: accepted and forgotten messages, and attempts that may still be
// executed; after such an attempt, the next message of the key waits for the ordering pause. Query: whether a
// message is the next one of its key.
namespace stonewing {

class Ordering {
 public:
  // The referenced objects must outlive the Ordering.
  Ordering(const DeploymentSettings& settings, RoundClock& clock) : settings_(settings), clock_(clock) {}

  // Appends the message to the queue of its key, if its type is ordered and it has a key.
  void recordAccepted(MessageId id, const Message& message) {
    if (isOrdered(message)) queues_[message.orderingKey].messages.push_back(id);
  }
  // Records an attempt that was sent before a restart and may still be executed.
  void recordEarlierAttempt(const Message& message) {
    if (trafficTypeOf(settings_, message).ordered) pause(queues_[message.orderingKey]);
  }
  // Records an attempt that ended without a response and may still be executed.
  void recordUncertainOutcome(const Message& message) {
    auto found = queues_.find(message.orderingKey);
    if (trafficTypeOf(settings_, message).ordered && found != queues_.end()) pause(found->second);
  }
  // Whether an attempt of the message may be sent. Further attempts after the first always may. If the
  // message waits for a pause, the clock wakes the policy at the end of the pause.
  bool isNext(MessageId id, const Message& message) {
    if (!isOrdered(message) || !message.attempts.empty()) return true;
    const Queue& queue = queues_[message.orderingKey];
    if (queue.messages.empty() || queue.messages.front() != id) return false;
    return clock_.isReached(queue.pausedUntil);
  }
  // Removes a finished message from its queue: the next message may be sent once the pause has ended.
  void forget(MessageId id, const Message& message) {
    auto found = queues_.find(message.orderingKey);
    if (found == queues_.end()) return;
    std::erase(found->second.messages, id);
    if (isUnused(found->second)) queues_.erase(found);
  }
  // The number of ordering keys with a queue.
  std::size_t queueCount() const { return queues_.size(); }
  // Forgets queues that are empty and whose pause has ended.
  void eraseUnused() {
    std::erase_if(queues_, [this](const auto& entry) { return isUnused(entry.second); });
  }

 private:
  struct Queue {
    std::deque<MessageId> messages;  // in the order in which they were accepted
    Millis pausedUntil{0};
  };
  bool isOrdered(const Message& message) const {
    return trafficTypeOf(settings_, message).ordered && message.orderingKey.value != 0;
  }
  bool isUnused(const Queue& queue) const {
    return queue.messages.empty() && queue.pausedUntil <= clock_.now();
  }
  void pause(Queue& queue) const { queue.pausedUntil = clock_.now() + settings_.orderingPause; }

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  std::map<OrderingKey, Queue> queues_;
};

}  // namespace stonewing
