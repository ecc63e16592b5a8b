#include "storage/message_store.h"

#include <algorithm>

#include "base/errors.h"
#include "base/overloaded.h"
#include "logging/log.h"
#include "storage/submission_parser.h"

namespace stonewing {
namespace {

// Approximate number of bytes that one step of a compaction writes. With larger steps, a commit would delay
// the turn noticeably.
constexpr std::size_t kCompactionChunkBytes = 64 * 1024;
// Ended messages may take this part of the journal. It is less than a compaction has to free, so that they
// cause none.
constexpr std::size_t kFinishedReferenceDivisor = 32;
// They must leave this part of the journal free for records of messages in flight.
constexpr std::size_t kFreeAfterCompactionDivisor = 8;
// The most bytes of ended messages in a journal. They are written in one step.
constexpr std::size_t kMaxFinishedReferenceBytes = 4 * kCompactionChunkBytes;
// The timeout of one wait for a commit; the wait is repeated until the commit has ended.
constexpr Millis kCommitWaitMs = 1000;

// The end of the attempts if the request of the attempt has not begun.
std::vector<AttemptRecord>::iterator findAttempt(StoredMessage& message, int number) {
  return std::find_if(message.attempts.begin(), message.attempts.end(),
                      [&](const AttemptRecord& attempt) { return attempt.number == number; });
}

}  // namespace

MessageStore::MessageStore(const NameTables& names, const std::string& folder, std::size_t maxBytes,
                           JournalWriter writer, std::size_t maxFinishedReferenceBytes)
    : names_(names),
      journal_(folder, maxBytes, writer),
      schedule_(journal_.maxBytes()),
      finished_(maxFinishedReferenceBytes) {}

StoredMessage MessageStore::decode(std::string_view orderingKey, std::string_view reference,
                                   std::string_view fieldList, std::string_view body,
                                   Millis receivedWall) const {
  return parseSubmission(names_, {orderingKey, reference, fieldList, body}, receivedWall);
}

SubmissionMatch MessageStore::match(const StoredMessage& submitted) const {
  if (const auto id = live_.idOf(submitted.reference)) return matchInFlight(*id, submitted);
  if (const auto finished = finished_.find(submitted.reference)) return matchFinished(*finished, submitted);
  const OutcomeNotification* notification = live_.findNotification(submitted.reference);
  if (notification == nullptr) return NewSubmission{};
  if (notification->result == FinalOutcome::shed) return ShedUnconfirmed{notification->retryAfter};
  // What has failed and is not among finished_ cannot be compared. It may have been executed.
  return SameExecuted{ExecutedOutcome::failed};
}

SubmissionMatch MessageStore::matchInFlight(MessageId id, const StoredMessage& submitted) const {
  const auto difference = firstDifference(*live_.find(id), submitted);
  if (difference) return ReferenceConflict{ReferenceHolder::inFlight, difference};
  return SameInFlight{id};
}

SubmissionMatch MessageStore::matchFinished(const FinishedMessage& finished,
                                            const StoredMessage& submitted) const {
  if (finished.fingerprint == fingerprintOf(submitted, names_)) return SameExecuted{finished.outcome};
  const bool isDelivered = finished.outcome == ExecutedOutcome::delivered;
  return ReferenceConflict{isDelivered ? ReferenceHolder::delivered : ReferenceHolder::failed};
}

double MessageStore::usedShare() const {
  if (journal_.maxBytes() == 0) return 1;
  return 2 * static_cast<double>(live_.liveBytes()) / static_cast<double>(journal_.maxBytes());
}

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
  // This also applies to a record whose body cannot be read: its id must not be given to another message.
  nextId_ = std::max(nextId_, id.value + 1);
  std::visit(Overloaded{
                 [&](AcceptedRecord&& accepted) { replayAccepted(id, accepted); },
                 [&](AttemptedRecord&& attempted) { replayAttempted(id, std::move(attempted)); },
                 [&](NotExecutedRecord&& notExecuted) { replayNotExecuted(id, notExecuted); },
                 [&](NotificationPendingRecord&& pending) {
                   if (pending.notification.result == FinalOutcome::failed)
                     rememberExecuted(id, ExecutedOutcome::failed);
                   finishMessage(id);
                   live_.addNotification(id, std::move(pending.notification));
                 },
                 [&](FinishedRecord&&) {
                   rememberExecuted(id, ExecutedOutcome::delivered);
                   finishMessage(id);
                   live_.removeNotification(id);
                 },
                 [&](ExecutedRecord&& executed) { finished_.add(executed.reference, executed.message); },
             },
             decodeRecordBody(record));
}

void MessageStore::replayAccepted(MessageId id, const AcceptedRecord& record) {
  try {
    StoredMessage message = decode(record.orderingKey, record.reference, record.fieldList, record.body, 0);
    message.deadlineWall = record.deadlineWall;
    live_.add(id, std::move(message));
  } catch (const Error& problem) {
    // The settings have changed since the message was accepted, and it cannot be delivered any more. The
    // platform must still be notified of its failure.
    log::error("message.undeliverable", {{"message", record.reference}, {"why", problem.what()}});
    live_.addNotification(id, {record.reference, FinalOutcome::failed, 0});
  }
}

void MessageStore::replayAttempted(MessageId id, AttemptedRecord record) {
  StoredMessage* message = live_.find(id);
  if (message == nullptr) return;
  record.attempt.number = static_cast<int>(message->attempts.size());
  message->attempts.push_back(std::move(record.attempt));
}

void MessageStore::replayNotExecuted(MessageId id, NotExecutedRecord record) {
  StoredMessage* message = live_.find(id);
  if (message == nullptr || record.journaledAttempt >= message->attempts.size()) return;
  message->attempts[record.journaledAttempt].provablyNotExecuted = true;
}

std::optional<MessageId> MessageStore::accept(StoredMessage message) {
  MessageId id{nextId_};
  std::string record = encodeAccepted(id, message);
  std::size_t liveBytes = LiveMessages::bytesOf(message);
  // A compaction writes all live messages and notifications a second time, so they may take only half of the
  // journal.
  if (2 * (live_.liveBytes() + liveBytes) > journal_.maxBytes()) return std::nullopt;
  if (!makeSpace(record.size() + kJournalFrameBytes + liveBytes)) return std::nullopt;
  if (!append(std::move(record), {RecordTag::accepted, id})) return std::nullopt;
  ++nextId_;
  live_.add(id, std::move(message));
  return id;
}

bool MessageStore::recordAttempt(MessageId id, int attempt, const EndpointRecord& endpoint, Millis sentWall) {
  if (live_.find(id) == nullptr) return false;
  AttemptRecord stored{attempt, endpoint, sentWall};
  std::string record = encodeAttempted(id, stored);
  // Space is made before the attempt is added: a compaction for this space must not include the attempt,
  // since the record of the attempt is appended after it.
  makeSpace(record.size() + kJournalFrameBytes);
  // Making space may commit, and a commit that a full disk cuts short removes the messages that it could not
  // write.
  StoredMessage* message = live_.find(id);
  if (message == nullptr) return false;
  stored.journaled = append(std::move(record), {RecordTag::attempted, id, attempt});
  stored.provablyNotExecuted = !stored.journaled;
  message->attempts.push_back(std::move(stored));
  return message->attempts.back().journaled;
}

void MessageStore::recordNotExecuted(MessageId id, int attempt) {
  StoredMessage* message = live_.find(id);
  if (message == nullptr) return;
  auto found = findAttempt(*message, attempt);
  if (found == message->attempts.end()) return;
  found->provablyNotExecuted = true;
  if (!found->journaled) return;
  // Replay numbers attempts by their records in the journal. If this record used the number in memory, an
  // attempt missing from the journal would shift the numbers, and another attempt, which may have been
  // executed, would count as not executed.
  auto journaledBefore = std::count_if(message->attempts.begin(), found,
                                       [](const AttemptRecord& earlier) { return earlier.journaled; });
  NotExecutedRecord record{static_cast<std::uint32_t>(journaledBefore)};
  makeSpaceAndAppend(encodeNotExecuted(id, record), {RecordTag::notExecuted, id});
}

void MessageStore::recordDelivered(MessageId id) {
  if (live_.find(id) == nullptr) return;
  makeSpaceAndAppend(encodeFinished(id), {RecordTag::finished, id});
  rememberExecuted(id, ExecutedOutcome::delivered);
  finishMessage(id);
}

void MessageStore::recordRevoked(MessageId id) {
  if (live_.find(id) == nullptr) return;
  makeSpaceAndAppend(encodeFinished(id), {RecordTag::finished, id});
  live_.remove(id);
}

void MessageStore::addPendingNotification(MessageId id, FinalOutcome result, Millis retryAfter) {
  const StoredMessage* message = live_.find(id);
  if (message == nullptr) return;
  OutcomeNotification notification{message->reference, result, retryAfter};
  makeSpaceAndAppend(encodeNotificationPending(id, notification), {RecordTag::notificationPending, id});
  if (result == FinalOutcome::failed) rememberExecuted(id, ExecutedOutcome::failed);
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

// Remembers a message that is about to finish, unless it was provably not executed.
void MessageStore::rememberExecuted(MessageId id, ExecutedOutcome outcome) {
  const StoredMessage* message = live_.find(id);
  if (message == nullptr) return;
  auto mayHaveExecuted = [](const AttemptRecord& attempt) { return !attempt.provablyNotExecuted; };
  if (std::any_of(message->attempts.begin(), message->attempts.end(), mayHaveExecuted))
    finished_.add(message->reference, {outcome, fingerprintOf(*message, names_)});
}

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

// Compacts the journal if another `bytes` would not fit. Returns whether they fit afterwards.
bool MessageStore::makeSpace(std::size_t bytes) {
  if (!hasSpace(bytes)) compactNow();
  return hasSpace(bytes);
}

// Whether another `bytes` fit. The space for a compacted file and for the outcomes of all live messages and
// notifications stays reserved.
bool MessageStore::hasSpace(std::size_t bytes) const {
  std::size_t usedBytes = journal_.size() + journal_.compactedSize();
  return usedBytes + bytes + live_.liveBytes() <= journal_.maxBytes();
}

void MessageStore::beginCommit() {
  // While a compacted file replaces the journal, no record is written to either file.
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

// One commit without the compaction step that finishCommit() adds.
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
  bool compactionHasLostRecord = false;
  for (std::size_t index : lost) {
    compactionHasLostRecord = compactionHasLostRecord || isInCompactedFile(committed[index]);
    undoLost(committed[index]);
  }
  if (!lost.empty()) log::error("journal.write_failed", {{"records", lost.size()}});
  if (journal_.takeCompactionFailure()) recordCompactionFailure();
  if (!journal_.isCompacting()) return;
  if (compactionHasLostRecord) {
    // The compacted file holds a lost record, and would number the attempts of its message differently from
    // memory.
    journal_.abandonCompaction();
    recordCompactionFailure();
    return;
  }
  copyToCompaction(committed);
}

void MessageStore::undoLost(const UncommittedRecord& record) {
  if (record.tag == RecordTag::accepted) {
    lostAcceptances_.insert(record.message);
    live_.remove(record.message);  // the message was never accepted, and does not count as finished
    return;
  }
  if (record.tag != RecordTag::attempted) return;
  lostAttempts_.insert({record.message, *record.attempt});
  StoredMessage* message = live_.find(record.message);
  if (message == nullptr) return;
  auto attempt = findAttempt(*message, *record.attempt);
  if (attempt == message->attempts.end()) return;
  attempt->provablyNotExecuted = true;
  attempt->journaled = false;
}

// Whether the compacted file holds the state of the message that includes this record.
bool MessageStore::isInCompactedFile(const UncommittedRecord& record) const {
  return record.bytes.empty() && record.message < compactedBelow_;
}

// Appends the committed records to the compacted file if the compaction has already written their messages
// there. The compaction writes all other messages later, in their state at that time.
void MessageStore::copyToCompaction(const std::vector<UncommittedRecord>& records) {
  std::string frames;
  for (const UncommittedRecord& record : records) {
    if (record.message < compactedBelow_ && !record.bytes.empty()) frames += Journal::framed(record.bytes);
  }
  if (!frames.empty() && !journal_.appendToCompaction(frames)) recordCompactionFailure();
}

void MessageStore::beginCompaction() {
  compactedBelow_ = {};
  if (!journal_.beginCompaction()) recordCompactionFailure();
}

// Writes the next chunk to the compacted file, and installs it after the last one.
void MessageStore::continueCompaction() {
  CompactionChunk chunk = live_.encodeChunk(compactedBelow_, kCompactionChunkBytes);
  // The chunk holds its messages in their present state, which includes their uncommitted records.
  for (UncommittedRecord& record : uncommitted_) {
    if (record.message >= compactedBelow_ && record.message < chunk.nextId) record.bytes.clear();
  }
  compactedBelow_ = chunk.nextId;
  bool isComplete = chunk.remainder == CompactionChunk::Remainder::none && uncommitted_.empty();
  if (isComplete) chunk.frames += encodeFinishedReferences(chunk.frames.size());
  bool succeeded = journal_.appendToCompaction(chunk.frames);
  if (succeeded && isComplete) succeeded = journal_.installCompaction();
  if (!succeeded) recordCompactionFailure();
}

// The records of the latest ended messages that the compacted file has space for, beside `pendingBytes` that
// are yet to be appended to it. Messages in flight come first: if these need most of the journal, ended ones
// are left out.
std::string MessageStore::encodeFinishedReferences(std::size_t pendingBytes) const {
  const std::size_t compactedBytes = journal_.compactedSize() + pendingBytes;
  const std::size_t bytesBesideJournal = journal_.size() + compactedBytes;
  const std::size_t bytesInUseAfterwards =
      compactedBytes + live_.liveBytes() + journal_.maxBytes() / kFreeAfterCompactionDivisor;
  auto bytesLeft = [this](std::size_t used) {
    return journal_.maxBytes() - std::min(used, journal_.maxBytes());
  };
  return finished_.encodeLatest(
      std::min({journal_.maxBytes() / kFinishedReferenceDivisor, kMaxFinishedReferenceBytes,
                bytesLeft(bytesBesideJournal), bytesLeft(bytesInUseAfterwards)}));
}

// Compacts the whole journal at once, since there is no space for an incremental compaction. The recorded
// changes are committed first: the compacted file can be installed only while no record is collected.
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
