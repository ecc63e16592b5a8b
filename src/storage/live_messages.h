#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "storage/stored_message.h"

namespace stonewing {

// The records that a compacted journal needs for a range of ids.
struct CompactionChunk {
  enum class Remainder { none, some };

  std::string frames;  // for Journal::appendToCompaction()
  MessageId nextId{};  // where the next chunk has to begin
  Remainder remainder{Remainder::none};
};

// The messages in flight and the notifications that are pending: all that a compacted journal has to hold. A
// message is in one of the two at most. Owned by the MessageStore, which journals each change; used on one
// thread.
class LiveMessages {
 public:
  // What `message` adds to liveBytes(): its record, and a reserve for what may still be journaled of it.
  static std::size_t bytesOf(const StoredMessage& message);

  // Adds a message in flight.
  void add(MessageId id, StoredMessage message);
  // Removes a message in flight; false: there is none of this id.
  bool remove(MessageId id);
  // Null: no message of this id is in flight. The pointer stays valid until this message is removed, whatever
  // happens to others: the container has stable nodes.
  StoredMessage* find(MessageId id);
  const StoredMessage* find(MessageId id) const;
  // Whether a message of this reference is in flight.
  bool contains(std::string_view reference) const;
  // The id of a message in flight; throws std::out_of_range for any other reference.
  MessageId idOf(const std::string& reference) const { return byReference_.at(reference); }

  // Adds a pending notification, or replaces the one of this id.
  void addNotification(MessageId id, OutcomeNotification notification);
  // False: none of this id was pending.
  bool removeNotification(MessageId id);

  // Both in the order of ids. References to elements stay valid until that element is removed.
  const std::map<MessageId, StoredMessage>& messages() const { return messages_; }
  const std::map<MessageId, OutcomeNotification>& notifications() const { return notifications_; }

  // Bytes that a compacted journal takes, and that what is live may still add to it.
  std::size_t liveBytes() const;
  // The records of all that is live from id `from` on, in the order of ids, until they have `maxBytes` or
  // more.
  CompactionChunk encodeChunk(MessageId from, std::size_t maxBytes) const;

 private:
  std::map<MessageId, StoredMessage> messages_;
  std::map<MessageId, OutcomeNotification> notifications_;
  std::unordered_map<std::string, MessageId> byReference_;  // of messages_
  std::size_t messageBytes_{0};                             // bytesOf() of all messages_
};

}  // namespace stonewing
