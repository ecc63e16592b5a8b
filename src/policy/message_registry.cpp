#include "policy/message_registry.h"

#include <cstddef>

namespace stonewing {

Message& MessageRegistry::accept(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                                 Destination& destination, Millis deadline) {
  Message& message = messages_[id] = Message{};
  message.type = type;
  message.tenant = tenant;
  message.orderingKey = key;
  message.destination = &destination;
  message.deadline = deadline;
  ++inFlight_;
  ++destination.acceptedCount;
  zones_.recordAccepted(clock_.now(), destination.id);
  deadlines_.insert({deadline, id});
  return message;
}

void MessageRegistry::updateIndexes(MessageId id, Message& message) {
  bool isPending = message.hasPendingAttempt();
  if (isPending) {
    withPendingAttempts_.insert(id);
  } else {
    withPendingAttempts_.erase(id);
  }
  std::optional<WaitClass> wanted;
  if (!isPending && !message.finished)
    wanted = WaitClass{message.type, message.overQuota, !message.attempts.empty()};
  if (message.finished) deadlines_.erase({message.deadline, id});
  if (wanted == message.waitClass) return;
  Destination& destination = *message.destination;
  zones_.addWaiting(destination.id, wanted.has_value() - message.waitClass.has_value());
  if (message.waitClass) destination.waitQueue.remove(*message.waitClass, message.deadline, id);
  if (wanted) destination.waitQueue.add(*wanted, message.deadline, id);
  message.waitClass = wanted;
  if (destination.waitQueue.empty()) {
    destinationsWithWaiting_.erase(&destination);
  } else {
    destinationsWithWaiting_.insert(&destination);
  }
}

MessageId MessageRegistry::finish(MessageId id) {
  Message* message = find(id);
  if (message == nullptr || message->finished) return id;
  message->finished = true;
  --inFlight_;
  for (std::size_t index = 0; index < message->attempts.size(); ++index) {
    const Attempt& attempt = message->attempts[index];
    if (attempt.pending && !attempt.cancelled) losingAttempts_.push_back({id, static_cast<int>(index)});
  }
  updateIndexes(id, *message);
  eraseFinished(id);
  return id;
}

void MessageRegistry::eraseFinished(MessageId id) {
  const Message* message = find(id);
  if (message == nullptr || !message->finished || message->hasPendingAttempt()) return;
  ordering_.forget(id, *message);
  messages_.erase(id);
}

Message* MessageRegistry::find(MessageId id) {
  auto found = messages_.find(id);
  return found == messages_.end() ? nullptr : &found->second;
}

const Message* MessageRegistry::find(MessageId id) const {
  auto found = messages_.find(id);
  return found == messages_.end() ? nullptr : &found->second;
}

std::optional<AttemptRef> MessageRegistry::popLosingAttempt() {
  if (losingAttempts_.empty()) return std::nullopt;
  AttemptRef losing = losingAttempts_.front();
  losingAttempts_.pop_front();
  return losing;
}

}  // namespace stonewing
