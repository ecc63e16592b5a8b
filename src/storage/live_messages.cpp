#include "storage/live_messages.h"

#include <utility>

#include "storage/journal.h"
#include "storage/record_codec.h"

namespace stonewing {
namespace {

// Journal space reserved for the attempts and the outcome of each message in flight. Without this reserve,
// the journal could fill up with accepted messages, and nothing more could be recorded for them.
constexpr std::size_t kMessageReserveBytes = 1024;
// The same for each pending notification: space for its record and for the record of its confirmation.
constexpr std::size_t kNotificationReserveBytes = 256;

// The memory of a message beside its texts: its entry here, in the policy and in their indexes, with a few
// attempts.
constexpr std::size_t kMessageMemoryBytes = 2048;
// The same of a pending notification.
constexpr std::size_t kNotificationMemoryBytes = 320;

void appendMessage(std::string& frames, MessageId id, const StoredMessage& message) {
  frames += Journal::framed(encodeAccepted(id, message));
  for (const AttemptRecord& attempt : message.attempts) {
    if (attempt.journaled) frames += Journal::framed(encodeAttempted(id, attempt));
  }
}

}  // namespace

std::size_t LiveMessages::bytesOf(const StoredMessage& message) {
  return acceptedRecordBytes(message) + kMessageReserveBytes;
}

std::size_t LiveMessages::memoryOf(const StoredMessage& message) {
  return message.body->capacity() + message.acceptedFields.capacity() + message.idempotencyKey.capacity() +
         message.reference.capacity() + kMessageMemoryBytes;
}

void LiveMessages::add(MessageId id, StoredMessage message) {
  messageBytes_ += bytesOf(message);
  messageMemoryBytes_ += memoryOf(message);
  SubmitterUsage& usage = usageBySubmitter_[message.submitter];
  ++usage.messages;
  usage.memoryBytes += memoryOf(message);
  byReference_[message.reference] = id;
  messages_[id] = std::move(message);
}

bool LiveMessages::remove(MessageId id) {
  auto entry = messages_.find(id);
  if (entry == messages_.end()) return false;
  messageBytes_ -= bytesOf(entry->second);
  messageMemoryBytes_ -= memoryOf(entry->second);
  removeUsage(entry->second);
  byReference_.erase(entry->second.reference);
  messages_.erase(entry);
  return true;
}

void LiveMessages::removeUsage(const StoredMessage& message) {
  auto entry = usageBySubmitter_.find(message.submitter);
  SubmitterUsage& usage = entry->second;
  usage.memoryBytes -= memoryOf(message);
  if (--usage.messages == 0) usageBySubmitter_.erase(entry);
}

SubmitterUsage LiveMessages::usageOf(SubmitterId submitter) const {
  auto entry = usageBySubmitter_.find(submitter);
  return entry == usageBySubmitter_.end() ? SubmitterUsage{} : entry->second;
}

StoredMessage* LiveMessages::find(MessageId id) {
  auto entry = messages_.find(id);
  return entry == messages_.end() ? nullptr : &entry->second;
}

const StoredMessage* LiveMessages::find(MessageId id) const {
  auto entry = messages_.find(id);
  return entry == messages_.end() ? nullptr : &entry->second;
}

std::optional<MessageId> LiveMessages::idOf(std::string_view reference) const {
  auto entry = byReference_.find(std::string(reference));
  if (entry == byReference_.end()) return std::nullopt;
  return entry->second;
}

void LiveMessages::addNotification(MessageId id, OutcomeNotification notification) {
  removeNotification(id);
  const OutcomeNotification& added = notifications_.emplace(id, std::move(notification)).first->second;
  notificationByReference_.erase(added.reference);  // its key may be the text of an earlier notification
  notificationByReference_.emplace(added.reference, &added);
}

bool LiveMessages::removeNotification(MessageId id) {
  auto entry = notifications_.find(id);
  if (entry == notifications_.end()) return false;
  auto indexed = notificationByReference_.find(entry->second.reference);
  const bool isLatest = indexed != notificationByReference_.end() && indexed->second == &entry->second;
  if (isLatest) notificationByReference_.erase(indexed);
  notifications_.erase(entry);
  return true;
}

const OutcomeNotification* LiveMessages::findNotification(std::string_view reference) const {
  auto entry = notificationByReference_.find(reference);
  return entry == notificationByReference_.end() ? nullptr : entry->second;
}

std::size_t LiveMessages::liveBytes() const {
  return messageBytes_ + notifications_.size() * kNotificationReserveBytes;
}

std::size_t LiveMessages::memoryBytes() const {
  return messageMemoryBytes_ + notifications_.size() * kNotificationMemoryBytes;
}

CompactionChunk LiveMessages::encodeChunk(MessageId from, std::size_t maxBytes) const {
  CompactionChunk chunk;
  chunk.nextId = from;
  auto message = messages_.lower_bound(from);
  auto notification = notifications_.lower_bound(from);
  auto hasRemaining = [&] { return message != messages_.end() || notification != notifications_.end(); };
  while (chunk.frames.size() < maxBytes && hasRemaining()) {
    bool isMessageNext = notification == notifications_.end() ||
                         (message != messages_.end() && message->first < notification->first);
    if (isMessageNext) {
      const auto& [id, stored] = *message++;
      appendMessage(chunk.frames, id, stored);
      chunk.nextId = MessageId{id.value + 1};
    } else {
      const auto& [id, pending] = *notification++;
      chunk.frames += Journal::framed(encodeNotificationPending(id, pending));
      chunk.nextId = MessageId{id.value + 1};
    }
  }
  if (hasRemaining()) chunk.remainder = CompactionChunk::Remainder::some;
  return chunk;
}

}  // namespace stonewing
