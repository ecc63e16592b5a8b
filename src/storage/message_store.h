#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "settings/settings_reader.h"
#include "storage/journal.h"

namespace stonewing {

// What the list says of an endpoint, as far as it outlives a process.
struct EndpointRecord {
  std::string name;
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
};

struct AttemptRecord {
  EndpointRecord endpoint;
  Millis sentWall{};
  bool provablyNotExecuted{false};
  // False: the journal would not take it, so that it was never sent and does not count there.
  bool journaled{true};
};

// A message that is held, with what the module does not need to know of it.
struct StoredMessage {
  std::string reference;       // its id at the client and the endpoint
  std::string idempotencyKey;  // its idempotency key; empty for none
  std::shared_ptr<const std::string> body;
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey orderingKey{};
  DestinationId destination{};
  Millis deadlineWall{};  // its deadline, Unix time
  std::vector<AttemptRecord> attempts;
  std::string acceptedFields;  // its record in the journal, without the body
};

enum class FinalOutcome : std::uint8_t { failed = 1, shed = 2 };

// An end that the platform has not confirmed yet.
struct OutcomeNotification {
  std::string reference;
  FinalOutcome result{};
  Millis retryAfter{};
};

// All that was accepted and is not over, in memory and in the journal. What changes in a turn is written by
// one commit, before it is acted on: before a client hears +OK, an attempt's bytes go out or the platform is
// told. So a kill at any moment loses nothing that a client or the platform was promised.
class MessageStore {
 public:
  // aside: a thread of its own writes the journal.
  MessageStore(const NameTables& facts, const std::string& folder, std::size_t mostBytes, bool aside = false);

  // Reads what an earlier process left; returns the bytes of a torn tail that were cut.
  std::size_t restore();

  // The fields of a SUBMIT: order key, id, list, body. Throws ProtocolError with the reason.
  StoredMessage decode(std::string_view key, std::string_view ref, std::string_view list,
                       std::string_view body, Millis wall) const;
  // No value: there is no room in the journal. It is accepted once a commit has kept it.
  std::optional<MessageId> accept(StoredMessage held);
  // Writes what was noted since the last time, and goes on with a rewrite of the journal where one is due.
  // Calls and clients then ask what was kept. What the file would not take: a message is dropped again, a
  // attempt counts as never sent, an end is still acted on. Begun only where nothing is under way.
  void beginCommit();
  // Whether nothing is under way any more; waits for so long, in milliseconds.
  bool finishCommit(Millis patience);
  bool isCommitting() const { return journal_.isCommitting(); }
  // What was noted before the last begin may be acted on, once that has landed.
  bool lastCommitHeldRecords() const { return carried_; }
  bool hasUncommitted() const { return !uncommitted_.empty(); }
  void commit();  // all of it, however long it takes
  // Whether the journal holds the taking of one, or knows by now that it will not.
  bool isDecided(MessageId id) const { return id.value < decidedNext_; }
  int descriptor() const { return journal_.descriptor(); }
  // What the file would not take since it was last forgotten.
  void clearLost() {
    lostAcceptances_.clear();
    lostAttempts_.clear();
  }
  bool isLostAcceptance(MessageId id) const { return lostAcceptances_.contains(id); }
  const std::set<MessageId>& lostAcceptances() const { return lostAcceptances_; }
  bool isLostAttempt(MessageId id, int launch) const { return lostAttempts_.contains({id, launch}); }
  bool contains(std::string_view ref) const { return byReference_.contains(std::string(ref)); }
  MessageId idOf(const std::string& ref) const { return byReference_.at(ref); }  // of one that is held
  // False: it could not be noted, and the attempt must not go out. True: the next commit will tell.
  bool recordAttempt(MessageId id, const EndpointRecord& endpoint, Millis wall);
  void recordNotExecuted(MessageId id, int launch);
  // Over, and nothing more is owed.
  void recordDelivered(MessageId id);
  // Over; the platform is to be told.
  void addPendingNotification(MessageId id, FinalOutcome result, Millis wait);
  void confirmNotification(MessageId id);

  StoredMessage* find(MessageId id) {
    auto at = inFlight_.find(id);
    return at == inFlight_.end() ? nullptr : &at->second;
  }
  // How many of those held have ended, in whatever way, and how full the journal is by what must stay in it:
  // a rewrite needs as much again.
  std::size_t finishedCount() const { return finishedCount_; }
  double writingTime() const { return journal_.writingTime(); }
  double fillShare() const {
    return journal_.maxBytes() == 0
               ? 1
               : 2 * static_cast<double>(liveBytes()) / static_cast<double>(journal_.maxBytes());
  }
  const std::map<MessageId, StoredMessage>& inFlight() const { return inFlight_; }
  const std::map<MessageId, OutcomeNotification>& pendingNotifications() const {
    return pendingNotifications_;
  }

 private:
  enum class RecordTag : std::uint8_t {
    accepted = 1,
    attempted = 2,
    notExecuted = 3,
    notificationPending = 4,
    finished = 5
  };
  void replayed(std::string_view record);
  struct JournalEntry {
    RecordTag tag{};
    MessageId message{};
    int attempt{};
    std::string record{};  // only while a rewrite is under way, which it may have to reach too
  };
  bool note(std::string record, JournalEntry noted);
  bool keep(std::string record, JournalEntry noted);
  bool roomFor(std::size_t more);
  void finished();
  void rewriteSome(std::size_t most);
  void rewriteNow();
  void rewriteBegins();
  void rewriteFailed();
  bool rewriteWanted() const;
  std::size_t liveBytes() const;
  static std::size_t acceptedRecordSize(const StoredMessage& held);  // of its record
  static std::string acceptedRecord(MessageId id, const StoredMessage& held);
  static std::string attemptRecord(MessageId id, const AttemptRecord& launch);
  static std::string notificationRecord(MessageId id, const OutcomeNotification& notice);
  void drop(MessageId id);

  const NameTables& facts_;
  Journal journal_;
  std::uint32_t next_{1};
  std::size_t inFlightBytes_{0};
  std::size_t finishedCount_{0};
  std::map<MessageId, StoredMessage> inFlight_;
  std::map<MessageId, OutcomeNotification> pendingNotifications_;
  std::unordered_map<std::string, MessageId> byReference_;
  std::vector<JournalEntry> uncommitted_;  // beside what the journal holds for its next commit
  std::vector<JournalEntry> committing_;   // the same for the one that is under way
  bool carried_{true};
  std::uint32_t committingNext_{1};  // next_ when it was begun
  std::uint32_t decidedNext_{1};     // and of the last that has landed
  std::set<MessageId> lostAcceptances_;
  std::set<std::pair<MessageId, int>> lostAttempts_;
  // Of a rewrite that is under way: all before this id stands in the new file as it is now.
  MessageId rewritten_{};
  std::size_t notAgain_{0};  // no rewrite before the file has this size, after one that did not go
  int passedOver_{0};        // so many more times that there is no room, for the same reason
};

}  // namespace stonewing
