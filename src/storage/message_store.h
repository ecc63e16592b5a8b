#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "settings/settings_reader.h"
#include "storage/compaction_schedule.h"
#include "storage/finished_references.h"
#include "storage/journal.h"
#include "storage/live_messages.h"
#include "storage/record_codec.h"
#include "storage/stored_message.h"
#include "storage/submission_match.h"

namespace stonewing {

// The accepted messages that have no final answer yet, and the notifications that the platform has not
// confirmed, both in memory and in the journal. No other state outlives the process.
//
// Changes are collected and written by one commit per turn, before anything that depends on them: before a
// client gets +OK, before an attempt's bytes are sent, before the platform is notified. So a kill at any
// moment loses nothing that a client or the platform relies on. The owner calls beginCommit(), waits with
// finishCommit(), asks which records were lost, and then acts on those that were written.
//
// Used on one thread; with a background writer, only the write() calls of the journal happen on another
// thread. Functions that write throw std::system_error if the journal cannot be used any more.
class MessageStore {
 public:
  static constexpr std::size_t kDefaultFinishedReferenceBytes = std::size_t{1024} * 1024;

  // `names` must outlive the store. `maxBytes` limits the total size of all files in `folder`, and
  // `maxFinishedReferenceBytes` the memory for the references of messages that have ended. Throws as the
  // constructor of Journal does.
  MessageStore(const NameTables& names, const std::string& folder, std::size_t maxBytes,
               JournalWriter writer = JournalWriter::callingThread,
               std::size_t maxFinishedReferenceBytes = kDefaultFinishedReferenceBytes);

  // Restores the state that an earlier process left in the journal. Must be called once, before all other
  // functions. Returns the length in bytes of an incomplete record that was removed from the end of the
  // journal. Records that cannot be used are logged and skipped. Throws as Journal::replay() does.
  std::size_t restore();

  // Makes the message of a SUBMIT from its arguments (submission_parser.h). `receivedWall` is the time at
  // which the SUBMIT was received, in Unix milliseconds. Does not change the store. Throws ProtocolError with
  // a text that names the invalid argument.
  StoredMessage decode(std::string_view orderingKey, std::string_view reference, std::string_view fieldList,
                       std::string_view body, Millis receivedWall) const;
  // Compares a decoded message with the one that is known under its reference. Does not change the store.
  SubmissionMatch match(const StoredMessage& submitted) const;
  // Adds a message. Returns no value if the journal has no space for it. The message counts as accepted only
  // after a commit has written its record.
  std::optional<MessageId> accept(StoredMessage message);
  // Records that the request of an attempt is about to begin: from now on it may have been executed. Must be
  // called right before its first byte, since the next process fails a message that may not be executed
  // twice. Returns false if the attempt could not be recorded; the attempt must then not be sent. After true,
  // the next commit writes the record, and isLostAttempt() returns whether that failed. `attempt`: its number
  // among those of the message, from 0.
  bool recordAttempt(MessageId id, int attempt, const EndpointRecord& endpoint, Millis sentWall);
  // Records that an attempt was provably not executed. Does nothing if its request has not begun. If it
  // cannot be written, the next process assumes that the attempt may have been executed.
  void recordNotExecuted(MessageId id, int attempt);
  // Records that the message is finished and needs no notification.
  void recordDelivered(MessageId id);
  // Records that the message was revoked: no client knows that it was accepted, and it was not executed. It
  // counts as never accepted, and the same reference may be accepted again.
  void recordRevoked(MessageId id);
  // Records that the message is finished and the platform is to be notified. `retryAfter` is in milliseconds;
  // 0 means that the notification advises no time.
  void addPendingNotification(MessageId id, FinalOutcome result, Millis retryAfter);
  // Records that the platform has confirmed the notification.
  void confirmNotification(MessageId id);

  // Begins to write the records collected since the last commit. No commit may be in progress.
  void beginCommit();
  // Returns whether no commit is in progress any more; waits up to `timeout` milliseconds for that. Records
  // that could not be written are then undone: a message is removed again, and an attempt counts as never
  // sent; an outcome still takes effect. Also begins a compaction of the journal that is due, or continues
  // one.
  bool finishCommit(Millis timeout);
  // Commits until no record is left to write, without a time limit.
  void commit();
  bool isCommitting() const { return journal_.isCommitting(); }
  // Whether the last commit wrote the records collected before it. False if it only replaced the journal by a
  // compacted file; the records then wait for the next commit.
  bool lastCommitHeldRecords() const { return lastCommitHeldRecords_; }
  bool hasUncommitted() const { return !uncommitted_.empty(); }
  // Whether a commit has written the message's acceptance or has lost it.
  bool isAcceptanceDecided(MessageId id) const { return id.value < firstUndecidedId_; }
  // Becomes readable when a commit ends after finishCommit() timed out; -1 without a writer thread.
  int descriptor() const { return journal_.descriptor(); }

  // The records that could not be written, in all commits since clearLost().
  void clearLost();
  const std::set<MessageId>& lostAcceptances() const { return lostAcceptances_; }
  bool isLostAcceptance(MessageId id) const { return lostAcceptances_.contains(id); }
  bool isLostAttempt(MessageId id, int attempt) const { return lostAttempts_.contains({id, attempt}); }

  // Null if the message is not in flight. The pointer is valid until the message is finished, or lost by a
  // commit.
  const StoredMessage* find(MessageId id) const { return live_.find(id); }
  // Whether a message with this reference is in flight.
  bool contains(std::string_view reference) const { return idOf(reference).has_value(); }
  // The id of the message in flight with this reference; no value if there is none.
  std::optional<MessageId> idOf(std::string_view reference) const { return live_.idOf(reference); }
  const std::map<MessageId, StoredMessage>& inFlight() const { return live_.messages(); }
  const std::map<MessageId, OutcomeNotification>& pendingNotifications() const {
    return live_.notifications();
  }

  // The memory that messages in flight and pending notifications occupy in the whole process, in bytes.
  std::size_t memoryBytes() const { return live_.memoryBytes(); }
  // What the messages in flight of one client connection amount to.
  SubmitterUsage usageOf(SubmitterId submitter) const { return live_.usageOf(submitter); }

  // The number of accepted messages that have finished since the start, with any outcome.
  std::size_t finishedCount() const { return finishedCount_; }
  // Milliseconds for which writing has blocked this thread so far.
  Millis writingTime() const { return journal_.writingTime(); }
  // The share of the journal's capacity that is in use by live messages and notifications, from 0 to 1. A
  // compaction needs the same space a second time, so half of maxBytes() counts as full.
  double usedShare() const;

 private:
  // A record that was appended to the journal but not yet written by a finished commit.
  struct UncommittedRecord {
    RecordTag tag{};
    MessageId message{};
    std::optional<int> attempt{};  // the attempt's number, for RecordTag::attempted
    // The record, in case the compacted file needs a copy of it. Empty if no compaction was in progress, or
    // if the compacted file already holds the state of the message that includes this record.
    std::string bytes{};
  };

  void replayRecord(std::string_view record);
  void replayAccepted(MessageId id, const AcceptedRecord& record);
  void replayAttempted(MessageId id, AttemptedRecord record);
  void replayNotExecuted(MessageId id, NotExecutedRecord record);

  bool append(std::string bytes, UncommittedRecord record);
  void makeSpaceAndAppend(std::string bytes, UncommittedRecord record);
  bool makeSpace(std::size_t bytes);
  bool hasSpace(std::size_t bytes) const;
  SubmissionMatch matchInFlight(MessageId id, const StoredMessage& submitted) const;
  SubmissionMatch matchFinished(const FinishedMessage& finished, const StoredMessage& submitted) const;
  void finishMessage(MessageId id);
  void rememberExecuted(MessageId id, ExecutedOutcome outcome);

  void completeCommit();
  void commitOnce();
  void undoLost(const UncommittedRecord& record);
  bool isInCompactedFile(const UncommittedRecord& record) const;
  void copyToCompaction(const std::vector<UncommittedRecord>& records);

  void beginCompaction();
  void continueCompaction();
  std::string encodeFinishedReferences(std::size_t pendingBytes) const;
  void compactNow();
  void recordCompactionFailure();

  const NameTables& names_;
  Journal journal_;
  CompactionSchedule schedule_;
  LiveMessages live_;
  FinishedReferences finished_;
  std::uint32_t nextId_{1};
  std::size_t finishedCount_{0};

  std::vector<UncommittedRecord> uncommitted_;  // in the order in which the journal collected them
  std::vector<UncommittedRecord> committing_;   // the records of the commit in progress
  bool lastCommitHeldRecords_{true};
  std::uint32_t committingNextId_{1};  // nextId_ when the last commit with records began
  std::uint32_t firstUndecidedId_{1};  // committingNextId_ of the last finished commit with records
  std::set<MessageId> lostAcceptances_;
  std::set<std::pair<MessageId, int>> lostAttempts_;

  // If a compaction is in progress, the compacted file holds all live messages and notifications with ids
  // below this one, in their present state.
  MessageId compactedBelow_{};
};

}  // namespace stonewing
