#include "storage/message_store.h"

#include <algorithm>

#include "base/errors.h"
#include "base/overloaded.h"
#include "logging/log.h"
#include "storage/submission_parser.h"

namespace stonewing {
namespace {

// One step of a compaction writes about so much. With more, a commit would hold the turn up noticeably.
constexpr std::size_t kCompactionChunkBytes = 64 * 1024;
// How long one wait for a commit lasts before it is begun again.
constexpr Millis kCommitWaitMs = 1000;

}  // namespace

MessageStore::MessageStore(const NameTables& names, const std::string& folder, std::size_t maxBytes,
                           JournalWriter writer)
    : names_(names), journal_(folder, maxBytes, writer), schedule_(journal_.maxBytes()) {}

StoredMessage MessageStore::decode(std::string_view orderingKey, std::string_view reference,
                                   std::string_view fieldList, std::string_view body,
                                   Millis receivedWall) const {
  return parseSubmission(names_, {orderingKey, reference, fieldList, body}, receivedWall);
}

double MessageStore::fillShare() const {
  if (journal_.maxBytes() == 0) return 1;
  return 2 * static_cast<double>(live_.liveBytes()) / static_cast<double>(journal_.maxBytes());
}

// Replay.

std::size_t MessageStore::restore() {
  std::size_t tornBytes = journal_.replay([this](std::string_view record) {
    try {
      replayRecord(record);
    } catch (const Error& problem) {
      log::error("journal.record_skipped", {{"why", problem.what()}});
    }
  });
  firstUndecidedId_ = nextId_;
  return tornBytes;
}

void MessageStore::replayRecord(std::string_view record) {
  MessageId id = decodeRecordHeader(record).message;
  // Also of a record whose rest cannot be read: its id must not be given to another message.
  nextId_ = std::max(nextId_, id.value + 1);
  std::visit(Overloaded{
                 [&](AcceptedRecord&& accepted) { replayAccepted(id, accepted); },
                 [&](AttemptedRecord&& attempted) { replayAttempted(id, std::move(attempted)); },
                 [&](NotExecutedRecord&& notExecuted) { replayNotExecuted(id, notExecuted); },
                 [&](NotificationPendingRecord&& pending) {
                   finishMessage(id);
                   live_.addNotification(id, std::move(pending.notification));
                 },
                 [&](FinishedRecord&&) {
                   finishMessage(id);
                   live_.removeNotification(id);
                 },
             },
             decodeRecordBody(record));
}

void MessageStore::replayAccepted(MessageId id, const AcceptedRecord& record) {
  try {
    StoredMessage message = decode(record.orderingKey, record.reference, record.fieldList, record.body, 0);
    message.deadlineWall = record.deadlineWall;
    live_.add(id, std::move(message));
  } catch (const Error& problem) {
    // The settings have changed since, and it cannot be delivered any more. The platform still has to hear of
    // it.
    log::error("message.undeliverable", {{"message", record.reference}, {"why", problem.what()}});
    live_.addNotification(id, {record.reference, FinalOutcome::failed, 0});
  }
}

void MessageStore::replayAttempted(MessageId id, AttemptedRecord record) {
  StoredMessage* message = live_.find(id);
  if (message != nullptr) message->attempts.push_back(std::move(record.attempt));
}

void MessageStore::replayNotExecuted(MessageId id, NotExecutedRecord record) {
  StoredMessage* message = live_.find(id);
  if (message == nullptr || record.journaledAttempt >= message->attempts.size()) return;
  message->attempts[record.journaledAttempt].provablyNotExecuted = true;
}

// Changes.

std::optional<MessageId> MessageStore::accept(StoredMessage message) {
  MessageId id{nextId_};
  std::string record = encodeAccepted(id, message);
  std::size_t liveBytes = LiveMessages::bytesOf(message);
  // A compaction writes all that is live a second time, so that only half of the journal may be live.
  if (2 * (live_.liveBytes() + liveBytes) > journal_.maxBytes()) return std::nullopt;
  if (!makeSpace(record.size() + kJournalFrameBytes + liveBytes)) return std::nullopt;
  if (!append(std::move(record), {RecordTag::accepted, id})) return std::nullopt;
  ++nextId_;
  live_.add(id, std::move(message));
  return id;
}

bool MessageStore::recordAttempt(MessageId id, const EndpointRecord& endpoint, Millis sentWall) {
  StoredMessage* message = live_.find(id);
  if (message == nullptr) return false;
  AttemptRecord attempt{endpoint, sentWall, false};
  std::string record = encodeAttempted(id, attempt);
  // Space first: a compaction for it must not hold the attempt already, since its record follows after that.
  makeSpace(record.size() + kJournalFrameBytes);
  // Making space may commit, and a commit that a full disk cut short removes messages that it lost.
  message = live_.find(id);
  if (message == nullptr) return false;
  message->attempts.push_back(std::move(attempt));
  int number = static_cast<int>(message->attempts.size()) - 1;
  if (append(std::move(record), {RecordTag::attempted, id, number})) return true;
  // It keeps its number, as the decision module counts it.
  message->attempts.back().provablyNotExecuted = true;
  message->attempts.back().journaled = false;
  return false;
}

void MessageStore::recordNotExecuted(MessageId id, int attempt) {
  StoredMessage* message = live_.find(id);
  auto number = static_cast<std::uint32_t>(attempt);
  if (message == nullptr || number >= message->attempts.size()) return;
  message->attempts[number].provablyNotExecuted = true;
  if (!message->attempts[number].journaled) return;
  // Replay counts attempts by the records in the journal. With our numbers, one that the journal did not take
  // would make another attempt, which may have been executed, pass for one that was not.
  auto first = message->attempts.begin();
  auto journaledBefore =
      std::count_if(first, first + attempt, [](const AttemptRecord& earlier) { return earlier.journaled; });
  NotExecutedRecord record{static_cast<std::uint32_t>(journaledBefore)};
  makeSpaceAndAppend(encodeNotExecuted(id, record), {RecordTag::notExecuted, id});
}

void MessageStore::recordDelivered(MessageId id) {
  if (live_.find(id) == nullptr) return;
  makeSpaceAndAppend(encodeFinished(id), {RecordTag::finished, id});
  finishMessage(id);
}

void MessageStore::addPendingNotification(MessageId id, FinalOutcome result, Millis retryAfter) {
  const StoredMessage* message = live_.find(id);
  if (message == nullptr) return;
  OutcomeNotification notification{message->reference, result, retryAfter};
  makeSpaceAndAppend(encodeNotificationPending(id, notification), {RecordTag::notificationPending, id});
  finishMessage(id);
  live_.addNotification(id, std::move(notification));
}

void MessageStore::confirmNotification(MessageId id) {
  if (!live_.removeNotification(id)) return;
  makeSpaceAndAppend(encodeFinished(id), {RecordTag::finished, id});
}

void MessageStore::finishMessage(MessageId id) {
  if (live_.remove(id)) ++finishedCount_;
}

// Space in the journal, and records for it.

bool MessageStore::append(std::string bytes, UncommittedRecord record) {
  if (!journal_.append(bytes)) return false;
  if (journal_.isCompacting()) record.bytes = std::move(bytes);
  uncommitted_.push_back(std::move(record));
  return true;
}

void MessageStore::makeSpaceAndAppend(std::string bytes, UncommittedRecord record) {
  makeSpace(bytes.size() + kJournalFrameBytes);
  append(std::move(bytes), std::move(record));
}

// Compacts the journal if `bytes` more would not fit; returns whether they do then.
bool MessageStore::makeSpace(std::size_t bytes) {
  if (!hasSpace(bytes)) compactNow();
  return hasSpace(bytes);
}

// Space for a compacted file, and for the outcome of all that is live, is never given away.
bool MessageStore::hasSpace(std::size_t bytes) const {
  std::size_t usedBytes = journal_.size() + journal_.compactedSize();
  return usedBytes + bytes + live_.liveBytes() <= journal_.maxBytes();
}

// Commits.

void MessageStore::beginCommit() {
  // While a compacted file replaces the journal nothing is written to either.
  lastCommitHeldRecords_ = !journal_.isInstallingCompaction();
  if (lastCommitHeldRecords_) {
    committing_ = std::exchange(uncommitted_, {});
    committingNextId_ = nextId_;
  }
  journal_.beginCommit();
}

bool MessageStore::finishCommit(Millis timeout) {
  if (isCommitting()) {
    if (!journal_.isWritten(timeout)) return false;
    completeCommit();
  }
  if (!journal_.isCompacting() && schedule_.isDue(journal_.size(), live_.liveBytes())) beginCompaction();
  if (journal_.isCompacting() && !journal_.isInstallingCompaction()) continueCompaction();
  return true;
}

void MessageStore::commit() {
  do {
    beginCommit();
    while (!finishCommit(kCommitWaitMs)) {
    }
  } while (hasUncommitted());
}

// One commit, without the step of a compaction that finishCommit() adds.
void MessageStore::commitOnce() {
  beginCommit();
  while (!journal_.isWritten(kCommitWaitMs)) {
  }
  completeCommit();
}

void MessageStore::completeCommit() {
  std::vector<UncommittedRecord> committed = std::exchange(committing_, {});
  std::vector<std::size_t> lost = journal_.finishCommit();
  if (lastCommitHeldRecords_) firstUndecidedId_ = committingNextId_;
  bool compactionHoldsLost = false;
  for (std::size_t place : lost) {
    compactionHoldsLost = compactionHoldsLost || isInCompactedFile(committed[place]);
    undoLost(committed[place]);
  }
  if (!lost.empty()) log::error("journal.write_failed", {{"records", lost.size()}});
  if (journal_.takeCompactionFailure()) recordCompactionFailure();
  if (!journal_.isCompacting()) return;
  if (compactionHoldsLost) {
    // Its attempts would be counted differently from those in memory.
    journal_.abandonCompaction();
    recordCompactionFailure();
    return;
  }
  copyToCompaction(committed);
}

void MessageStore::undoLost(const UncommittedRecord& record) {
  if (record.tag == RecordTag::accepted) {
    lostAcceptances_.insert(record.message);
    live_.remove(record.message);  // it was never accepted, and does not count as finished
    return;
  }
  if (record.tag != RecordTag::attempted) return;
  lostAttempts_.insert({record.message, *record.attempt});
  StoredMessage* message = live_.find(record.message);
  if (message == nullptr) return;
  AttemptRecord& attempt = message->attempts[static_cast<std::size_t>(*record.attempt)];
  attempt.provablyNotExecuted = true;
  attempt.journaled = false;
}

// Whether the compacted file holds its message as it was after this record.
bool MessageStore::isInCompactedFile(const UncommittedRecord& record) const {
  return record.bytes.empty() && record.message < compactedBelow_;
}

// Messages that the compaction has passed need these records too; it will find the others as they are then.
void MessageStore::copyToCompaction(const std::vector<UncommittedRecord>& records) {
  std::string frames;
  for (const UncommittedRecord& record : records) {
    if (record.message < compactedBelow_ && !record.bytes.empty()) frames += Journal::framed(record.bytes);
  }
  if (!frames.empty() && !journal_.appendToCompaction(frames)) recordCompactionFailure();
}

// Compaction.

void MessageStore::beginCompaction() {
  compactedBelow_ = {};
  if (!journal_.beginCompaction()) recordCompactionFailure();
}

// Writes the next chunk to the compacted file, and installs it after the last one.
void MessageStore::continueCompaction() {
  CompactionChunk chunk = live_.encodeChunk(compactedBelow_, kCompactionChunkBytes);
  // The chunk holds its messages as they are now, with the records that are not written yet.
  for (UncommittedRecord& record : uncommitted_) {
    if (record.message >= compactedBelow_ && record.message < chunk.nextId) record.bytes.clear();
  }
  compactedBelow_ = chunk.nextId;
  bool succeeded = journal_.appendToCompaction(chunk.frames);
  bool isComplete = chunk.remainder == CompactionChunk::Remainder::none && uncommitted_.empty();
  if (succeeded && isComplete) succeeded = journal_.installCompaction();
  if (!succeeded) recordCompactionFailure();
}

// The whole of a compaction at once, since there is no space to wait. What was recorded is committed first:
// the compacted file can be installed only while nothing is collected.
void MessageStore::compactNow() {
  if (isCommitting() || schedule_.skipsImmediate()) return;
  do {
    commitOnce();
  } while (hasUncommitted());
  if (!journal_.isCompacting()) beginCompaction();
  std::size_t sizeBefore = journal_.size();
  while (journal_.isCompacting() && !journal_.isInstallingCompaction()) continueCompaction();
  if (journal_.isInstallingCompaction()) commitOnce();
  if (journal_.size() >= sizeBefore) schedule_.recordUselessImmediate();
}

void MessageStore::recordCompactionFailure() {
  schedule_.recordFailure(journal_.size());
  log::error("journal.compaction_failed", {{"bytes", journal_.size()}});
}

void MessageStore::clearLost() {
  lostAcceptances_.clear();
  lostAttempts_.clear();
}

}  // namespace stonewing
