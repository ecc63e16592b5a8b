#pragma once

#include <cstddef>
#include <map>
#include <optional>
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
  MessageId nextId{};  // the id at which the next chunk begins
  Remainder remainder{Remainder::none};
};

// What the messages of one client connection that are in flight amount to.
struct SubmitterUsage {
  int messages{0};
  std::size_t memoryBytes{0};
};

// The messages in flight and the pending notifications: everything that a compacted journal has to hold. Each
// message is either in flight, or has a pending notification, or neither. Owned by the MessageStore, which
// journals each change; used on one thread.
class LiveMessages {
 public:
  LiveMessages() = default;
  // Not copyable: an index points to the texts of the notifications.
  LiveMessages(const LiveMessages&) = delete;
  LiveMessages& operator=(const LiveMessages&) = delete;

  // The bytes that `message` adds to liveBytes(): its record, and a reserve for the records that may follow.
  static std::size_t bytesOf(const StoredMessage& message);
  // The memory that `message` occupies in the whole process while it is in flight, in bytes.
  static std::size_t memoryOf(const StoredMessage& message);

  // Adds a message in flight.
  void add(MessageId id, StoredMessage message);
  // Removes a message in flight. Returns false if there is none with this id.
  bool remove(MessageId id);
  // Null if no message with this id is in flight. The pointer stays valid until this message is removed, even
  // if other messages are added or removed: the container has stable nodes.
  StoredMessage* find(MessageId id);
  const StoredMessage* find(MessageId id) const;
  // The id of the message in flight with this reference; no value if there is none.
  std::optional<MessageId> idOf(std::string_view reference) const;

  // Adds a pending notification, or replaces the existing one with this id.
  void addNotification(MessageId id, OutcomeNotification notification);
  // Removes a pending notification. Returns false if there is none with this id.
  bool removeNotification(MessageId id);
  // The latest pending notification of a message with this reference; null if there is none. The pointer
  // stays valid until that notification is removed.
  const OutcomeNotification* findNotification(std::string_view reference) const;

  // Both are ordered by id. References to elements stay valid until that element is removed.
  const std::map<MessageId, StoredMessage>& messages() const { return messages_; }
  const std::map<MessageId, OutcomeNotification>& notifications() const { return notifications_; }

  // The size of a compacted journal in bytes, plus the reserve for further records of the live messages and
  // notifications.
  std::size_t liveBytes() const;
  // The memory that the messages in flight and the pending notifications occupy in the whole process, in
  // bytes.
  std::size_t memoryBytes() const;
  // Zero for a client without a message in flight.
  SubmitterUsage usageOf(SubmitterId submitter) const;
  // The records of all live messages and notifications from id `from` on, ordered by id. The chunk ends with
  // the record that makes it `maxBytes` long or longer.
  CompactionChunk encodeChunk(MessageId from, std::size_t maxBytes) const;

 private:
  void removeUsage(const StoredMessage& message);

  std::map<MessageId, StoredMessage> messages_;
  std::map<MessageId, OutcomeNotification> notifications_;
  std::unordered_map<std::string, MessageId> byReference_;  // the ids of messages_
  // The latest notification of each reference; the keys are texts of notifications_, which has stable nodes.
  std::unordered_map<std::string_view, const OutcomeNotification*> notificationByReference_;
  std::size_t messageBytes_{0};        // sum of bytesOf() over messages_
  std::size_t messageMemoryBytes_{0};  // sum of memoryOf() over messages_
  // Only of clients with messages in flight, so that those that have left leave nothing behind.
  std::unordered_map<SubmitterId, SubmitterUsage> usageBySubmitter_;
};

}  // namespace stonewing
