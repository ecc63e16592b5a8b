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
#include "storage/journal.h"
#include "storage/live_messages.h"
#include "storage/record_codec.h"
#include "storage/stored_message.h"

namespace stonewing {

// All messages that were accepted and have no final answer, and the notifications that the platform has not
// confirmed: in memory and in the journal. It is the only state that outlives a process.
//
// Changes are collected and written by one commit a turn, before anything is done that depends on them:
// before a client gets +OK, before an attempt's bytes go out, before the platform is notified. So a kill at
// any moment loses nothing that a client or the platform relies on. The owner calls beginCommit(), waits
// with finishCommit(), then acts on what was written and asks what was lost.
//
// Used on one thread; with a background writer only the journal's write() calls happen elsewhere. Functions
// that write throw std::system_error where the journal cannot be used any more.
class MessageStore {
 public:
  // `names` has to outlive the store. `maxBytes` bounds all files in `folder`. Throws as
  // Journal does.
  MessageStore(const NameTables& names, const std::string& folder, std::size_t maxBytes,
               JournalWriter writer = JournalWriter::callingThread);

  // Reads what an earlier process left; to be called once, first. Returns the bytes of an incomplete record
  // at the journal's end that were cut off. Records that cannot be used are logged and skipped. Throws as
  // Journal::replay() does.
  std::size_t restore();

  // The message of a SUBMIT, by its words (submission_parser.h), received at `receivedWall`, in Unix
  // milliseconds. The store does not change. Throws ProtocolError that says what is wrong.
  StoredMessage decode(std::string_view orderingKey, std::string_view reference, std::string_view fieldList,
                       std::string_view body, Millis receivedWall) const;
  // Adds a message. No value: the journal has no space for it. Accepted only once a commit has kept it.
  std::optional<MessageId> accept(StoredMessage message);
  // Records that an attempt is to be sent. False: that could not be recorded, and the attempt must not be
  // sent. True: the next commit decides; ask isLostAttempt() after it. The attempt has its number in either
  // case.
  bool recordAttempt(MessageId id, const EndpointRecord& endpoint, Millis sentWall);
  // Records that an attempt was provably not executed. Where that cannot be written, the next process assumes
  // that it may have been.
  void recordNotExecuted(MessageId id, int attempt);
  // The message is finished, and nothing is left to do for it.
  void recordDelivered(MessageId id);
  // The message is finished, and the platform is to be notified. `retryAfter` in milliseconds; 0: no advice.
  void addPendingNotification(MessageId id, FinalOutcome result, Millis retryAfter);
  // The platform has confirmed the notification.
  void confirmNotification(MessageId id);

  // Begins to write what was recorded since the last commit. None may be in progress.
  void beginCommit();
  // Whether no commit is in progress any more; waits up to `timeout` milliseconds for that. Then what could
  // not be written is undone: a message is removed again, an attempt counts as never sent, an outcome is
  // still acted on. Also continues a compaction of the journal, or begins one that is due.
  bool finishCommit(Millis timeout);
  // Commits until nothing is left to write, however long it takes.
  void commit();
  bool isCommitting() const { return journal_.isCommitting(); }
  // Whether the last commit wrote what was recorded before it. False: it only replaced the journal by a
  // compacted one, and the records wait for the next commit.
  bool lastCommitHeldRecords() const { return lastCommitHeldRecords_; }
  bool hasUncommitted() const { return !uncommitted_.empty(); }
  // Whether a commit has decided on a message's acceptance, in whatever way.
  bool isDecided(MessageId id) const { return id.value < firstUndecidedId_; }
  // Readable once a commit ended that finishCommit() had waited for in vain; -1 without a writer thread.
  int descriptor() const { return journal_.descriptor(); }

  // What could not be written, in all commits since clearLost().
  void clearLost();
  const std::set<MessageId>& lostAcceptances() const { return lostAcceptances_; }
  bool isLostAcceptance(MessageId id) const { return lostAcceptances_.contains(id); }
  bool isLostAttempt(MessageId id, int attempt) const { return lostAttempts_.contains({id, attempt}); }

  // Null: not in flight. Valid until the message is finished, or lost by a commit.
  const StoredMessage* find(MessageId id) const { return live_.find(id); }
  // Whether a message of this reference is in flight.
  bool contains(std::string_view reference) const { return live_.contains(reference); }
  // The id of a message in flight.
  MessageId idOf(const std::string& reference) const { return live_.idOf(reference); }
  const std::map<MessageId, StoredMessage>& inFlight() const { return live_.messages(); }
  const std::map<MessageId, OutcomeNotification>& pendingNotifications() const {
    return live_.notifications();
  }

  // How many accepted messages have finished, in whatever way, since the start.
  std::size_t finishedCount() const { return finishedCount_; }
  // Milliseconds that writing has held up this thread so far.
  Millis writingTime() const { return journal_.writingTime(); }
  // How full the journal is by what must stay in it, from 0 to 1. A compaction needs as much again.
  double fillShare() const;

 private:
  // A record that the journal has collected and no commit has finished.
  struct UncommittedRecord {
    RecordTag tag{};
    MessageId message{};
    std::optional<int> attempt{};  // its number, for RecordTag::attempted
    // The record itself where a compaction may have to hold it too. Empty: no compaction was in progress, or
    // it holds the message as it was after this record.
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
  void finishMessage(MessageId id);

  void completeCommit();
  void commitOnce();
  void undoLost(const UncommittedRecord& record);
  bool isInCompactedFile(const UncommittedRecord& record) const;
  void copyToCompaction(const std::vector<UncommittedRecord>& records);

  void beginCompaction();
  void continueCompaction();
  void compactNow();
  void recordCompactionFailure();

  const NameTables& names_;
  Journal journal_;
  CompactionSchedule schedule_;
  LiveMessages live_;
  std::uint32_t nextId_{1};
  std::size_t finishedCount_{0};

  std::vector<UncommittedRecord> uncommitted_;  // in the order in which the journal collected them
  std::vector<UncommittedRecord> committing_;   // those of the commit in progress
  bool lastCommitHeldRecords_{true};
  std::uint32_t committingNextId_{1};  // nextId_ when the last commit with records began
  std::uint32_t firstUndecidedId_{1};  // the same for the last one that has finished
  std::set<MessageId> lostAcceptances_;
  std::set<std::pair<MessageId, int>> lostAttempts_;

  // Messages below this id stand in the compacted file as they are now, if a compaction is in progress.
  MessageId compactedBelow_{};
};

}  // namespace stonewing
