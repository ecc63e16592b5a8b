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

#include "core/facts.h"
#include "core/ids.h"
#include "net/journal.h"

namespace stonewing::net {

// What the list says of an endpoint, as far as it outlives a process.
struct EndpointNote {
  std::string name;
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
};

struct AttemptRecord {
  EndpointNote endpoint;
  Millis sentWall{};
  bool provablyNotExecuted{false};
  // False: the journal would not take it, so that it was never sent and does not count there.
  bool journaled{true};
};

// A message that is held, with what the module does not need to know of it.
struct Held {
  std::string ref;      // its id at the client and the endpoint
  std::string receipt;  // its idempotency key; empty for none
  std::shared_ptr<const std::string> body;
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey key{};
  DestinationId destination{};
  Millis outerWall{};  // its deadline, Unix time
  std::vector<AttemptRecord> attempts;
  std::string taken;  // its record in the journal, without the body
};

enum class Result : std::uint8_t { dead = 1, bounced = 2 };

// An end that the platform has not confirmed yet.
struct Notice {
  std::string ref;
  Result result{};
  Millis wait{};
};

// All that was accepted and is not over, in memory and in the journal. What changes in a turn is written by
// one commit, before it is acted on: before a client hears +OK, an attempt's bytes go out or the platform is
// told. So a kill at any moment loses nothing that a client or the platform was promised.
class Book {
 public:
  // aside: a thread of its own writes the journal.
  Book(const NameTables& facts, const std::string& folder, std::size_t mostBytes, bool aside = false);

  // Reads what an earlier process left; returns the bytes of a torn tail that were cut.
  std::size_t restore();

  // The fields of a SUBMIT: order key, id, list, body. Throws Malformed with the reason.
  Held decode(std::string_view key, std::string_view ref, std::string_view list, std::string_view body,
              Millis wall) const;
  // No value: there is no room in the journal. It is accepted once a commit has kept it.
  std::optional<MessageId> take(Held held);
  // Writes what was noted since the last time, and goes on with a rewrite of the journal where one is due.
  // Calls and clients then ask what was kept. What the file would not take: a message is dropped again, a
  // attempt counts as never sent, an end is still acted on. Begun only where nothing is under way.
  void begin();
  // Whether nothing is under way any more; waits for so long, in milliseconds.
  bool landed(Millis patience);
  bool under() const { return journal_.under(); }
  // What was noted before the last begin may be acted on, once that has landed.
  bool carried() const { return carried_; }
  bool unwritten() const { return !noted_.empty(); }
  void commit();  // all of it, however long it takes
  // Whether the journal holds the taking of one, or knows by now that it will not.
  bool decided(MessageId id) const { return id.value < decidedNext_; }
  int descriptor() const { return journal_.descriptor(); }
  // What the file would not take since it was last forgotten.
  void forgetLost() {
    lostTakes_.clear();
    lostLaunches_.clear();
  }
  bool lostTake(MessageId id) const { return lostTakes_.contains(id); }
  const std::set<MessageId>& lostTakes() const { return lostTakes_; }
  bool lostLaunch(MessageId id, int launch) const { return lostLaunches_.contains({id, launch}); }
  bool holds(std::string_view ref) const { return byRef_.contains(std::string(ref)); }
  MessageId idOf(const std::string& ref) const { return byRef_.at(ref); }  // of one that is held
  // False: it could not be noted, and the attempt must not go out. True: the next commit will tell.
  bool launched(MessageId id, const EndpointNote& endpoint, Millis wall);
  void neverRan(MessageId id, int launch);
  // Over, and nothing more is owed.
  void completed(MessageId id);
  // Over; the platform is to be told.
  void owe(MessageId id, Result result, Millis wait);
  void confirmed(MessageId id);

  Held* find(MessageId id) {
    auto at = held_.find(id);
    return at == held_.end() ? nullptr : &at->second;
  }
  // How many of those held have ended, in whatever way, and how full the journal is by what must stay in it:
  // a rewrite needs as much again.
  std::size_t overSoFar() const { return over_; }
  double writingSoFar() const { return journal_.writing(); }
  double full() const {
    return journal_.most() == 0 ? 1
                                : 2 * static_cast<double>(liveBytes()) / static_cast<double>(journal_.most());
  }
  const std::map<MessageId, Held>& held() const { return held_; }
  const std::map<MessageId, Notice>& owed() const { return owed_; }

 private:
  enum class Tag : std::uint8_t { taken = 1, launched = 2, neverRan = 3, owed = 4, over = 5 };
  void replayed(std::string_view record);
  struct Noted {
    Tag tag{};
    MessageId message{};
    int attempt{};
    std::string record{};  // only while a rewrite is under way, which it may have to reach too
  };
  bool note(std::string record, Noted noted);
  bool keep(std::string record, Noted noted);
  bool roomFor(std::size_t more);
  void finished();
  void rewriteSome(std::size_t most);
  void rewriteNow();
  void rewriteBegins();
  void rewriteFailed();
  bool rewriteWanted() const;
  std::size_t liveBytes() const;
  static std::size_t takenSize(const Held& held);  // of its record
  static std::string takenRecord(MessageId id, const Held& held);
  static std::string launchRecord(MessageId id, const AttemptRecord& launch);
  static std::string owedRecord(MessageId id, const Notice& notice);
  void drop(MessageId id);

  const NameTables& facts_;
  Journal journal_;
  std::uint32_t next_{1};
  std::size_t heldBytes_{0};
  std::size_t over_{0};
  std::map<MessageId, Held> held_;
  std::map<MessageId, Notice> owed_;
  std::unordered_map<std::string, MessageId> byRef_;
  std::vector<Noted> noted_;   // beside what the journal holds for its next commit
  std::vector<Noted> flying_;  // the same for the one that is under way
  bool carried_{true};
  std::uint32_t flyingNext_{1};   // next_ when it was begun
  std::uint32_t decidedNext_{1};  // and of the last that has landed
  std::set<MessageId> lostTakes_;
  std::set<std::pair<MessageId, int>> lostLaunches_;
  // Of a rewrite that is under way: all before this id stands in the new file as it is now.
  MessageId rewritten_{};
  std::size_t notAgain_{0};  // no rewrite before the file has this size, after one that did not go
  int passedOver_{0};        // so many more times that there is no room, for the same reason
};

}  // namespace stonewing::net
