#include "storage/message_store.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/bytes.h"
#include "logging/log.h"
#include "net/http_client_connection.h"

namespace stonewing {
namespace {

constexpr std::size_t kWordMost = 128;
constexpr std::size_t kReserve = 1024;     // of the journal for what a message held may still add to it
constexpr std::size_t kOwedReserve = 256;  // and for an end that is owed
// A rewrite goes on by such a part in every commit.
constexpr std::size_t kRewriteAtOnce = 64 * 1024;
constexpr int kPassedOver = 64;
constexpr std::size_t kWorthRewriting = 16;  // a part of the file's most that may be won by it

// Ids go into headers, lines and JSON as they are: visible characters alone, none that ends a word there.
std::string word(std::string_view text, const char* field) {
  bool plain =
      !text.empty() && text.size() <= kWordMost && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != ',';
      });
  if (!plain) throw ProtocolError(std::string("bad ") + field);
  return std::string(text);
}

template <class Id>
Id placeOf(const std::vector<std::string>& names, std::string_view name, const char* field) {
  auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) throw ProtocolError(std::string("unknown ") + field);
  return Id{static_cast<decltype(Id{}.value)>(at - names.begin())};
}

void putText(std::string& to, std::string_view text) {
  putBytes(to, static_cast<std::uint32_t>(text.size()));
  to.append(text);
}

std::string getText(ByteReader& in, const char* field) {
  auto n = in.get<std::uint32_t>(field);
  return std::string(in.text(n, field));
}

template <class Tag>
std::string recordOf(Tag tag, MessageId id) {
  std::string record;
  putBytes(record, tag);
  putBytes(record, id.value);
  return record;
}

}  // namespace

MessageStore::MessageStore(const NameTables& facts, const std::string& folder, std::size_t mostBytes,
                           bool aside)
    : facts_(facts), journal_(folder, mostBytes, aside) {}

StoredMessage MessageStore::decode(std::string_view key, std::string_view ref, std::string_view list,
                                   std::string_view body, Millis wall) const {
  StoredMessage held;
  held.reference = word(ref, "id");
  auto [keyEnd, keyError] = std::from_chars(key.data(), key.data() + key.size(), held.orderingKey.value, 16);
  if (key.empty() || keyError != std::errc() || keyEnd != key.data() + key.size())
    throw ProtocolError("bad key");
  bool typed = false;
  bool addressed = false;
  Millis left = -1;
  for (std::string_view rest = list; !rest.empty();) {
    std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view item = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw ProtocolError("a name without a value");
    std::string_view name = item.substr(0, equals);
    std::string_view value = item.substr(equals + 1);
    if (name == "c") {
      held.type = placeOf<TrafficTypeId>(facts_.trafficTypes, value, "class");
      typed = true;
    } else if (name == "t") {
      held.tenant = placeOf<TenantId>(facts_.tenants, value, "tenant");
    } else if (name == "d") {
      auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), left);
      if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(left) || left < 0) {
        throw ProtocolError("bad d");
      }
    } else if (name == "k") {
      held.idempotencyKey = word(value, "k");
    } else if (name == "dest") {
      auto number = parseWholeNumber(value);
      if (!number || *number > 0xffff) throw ProtocolError("bad dest");
      held.destination = DestinationId{static_cast<std::uint16_t>(*number)};
      addressed = true;
    }
  }
  if (!typed || !addressed || left < 0) throw ProtocolError("c, d and dest are needed");
  held.deadlineWall = wall + left;
  held.body = std::make_shared<const std::string>(body);
  putText(held.acceptedFields, key);
  putText(held.acceptedFields, ref);
  putText(held.acceptedFields, list);
  return held;
}

std::string MessageStore::acceptedRecord(MessageId id, const StoredMessage& held) {
  std::string record = recordOf(RecordTag::accepted, id);
  putBytes(record, held.deadlineWall);
  record += held.acceptedFields;
  putText(record, *held.body);
  return record;
}

std::size_t MessageStore::acceptedRecordSize(const StoredMessage& held) {
  return sizeof(RecordTag) + sizeof(MessageId::value) + sizeof held.deadlineWall +
         held.acceptedFields.size() + sizeof(std::uint32_t) + held.body->size();
}

std::string MessageStore::attemptRecord(MessageId id, const AttemptRecord& launch) {
  std::string record = recordOf(RecordTag::attempted, id);
  putText(record, launch.endpoint.name);
  putBytes(record, launch.endpoint.destination.value);
  putBytes(record, launch.endpoint.kind.value);
  putBytes(record, launch.endpoint.zone.value);
  putBytes(record, launch.sentWall);
  putBytes(record, static_cast<std::uint8_t>(launch.provablyNotExecuted));
  return record;
}

std::string MessageStore::notificationRecord(MessageId id, const OutcomeNotification& notice) {
  std::string record = recordOf(RecordTag::notificationPending, id);
  putText(record, notice.reference);
  putBytes(record, notice.result);
  putBytes(record, notice.retryAfter);
  return record;
}

std::size_t MessageStore::restore() {
  std::size_t cut = journal_.replay([this](std::string_view record) {
    try {
      replayed(record);
    } catch (const Error& problem) {
      log::error("journal.record_skipped", {{"why", problem.what()}});
    }
  });
  decidedNext_ = next_;
  return cut;
}

void MessageStore::replayed(std::string_view record) {
  ByteReader in(record);
  auto tag = in.get<RecordTag>("tag");
  MessageId id{in.get<std::uint32_t>("callback")};
  next_ = std::max(next_, id.value + 1);
  switch (tag) {
    case RecordTag::accepted: {
      auto wall = in.get<Millis>("outer limit");
      std::string key = getText(in, "key");
      std::string ref = getText(in, "ref");
      std::string list = getText(in, "list");
      std::string body = getText(in, "body");
      try {
        StoredMessage held = decode(key, ref, list, body, 0);
        held.deadlineWall = wall;
        byReference_[held.reference] = id;
        inFlightBytes_ += acceptedRecordSize(held) + kReserve;
        inFlight_[id] = std::move(held);
      } catch (const Error& problem) {
        // The settings have changed under it: its end is still owed.
        log::error("message.undeliverable", {{"message", ref}, {"why", problem.what()}});
        pendingNotifications_[id] = {ref, FinalOutcome::failed, 0};
      }
      return;
    }
    case RecordTag::attempted: {
      AttemptRecord launch;
      launch.endpoint.name = getText(in, "endpoint");
      launch.endpoint.destination.value = in.get<std::uint16_t>("destination");
      launch.endpoint.kind.value = in.get<std::uint8_t>("kind");
      launch.endpoint.zone.value = in.get<std::uint8_t>("zone");
      launch.sentWall = in.get<Millis>("sent");
      launch.provablyNotExecuted = in.get<std::uint8_t>("never ran") != 0;
      if (StoredMessage* held = find(id)) held->attempts.push_back(std::move(launch));
      return;
    }
    case RecordTag::notExecuted: {
      auto n = in.get<std::uint32_t>("launch");
      StoredMessage* held = find(id);
      if (held != nullptr && n < held->attempts.size()) held->attempts[n].provablyNotExecuted = true;
      return;
    }
    case RecordTag::notificationPending: {
      OutcomeNotification notice;
      notice.reference = getText(in, "ref");
      notice.result = in.get<FinalOutcome>("result");
      notice.retryAfter = in.get<Millis>("wait");
      drop(id);
      pendingNotifications_[id] = std::move(notice);
      return;
    }
    case RecordTag::finished:
      drop(id);
      pendingNotifications_.erase(id);
      return;
  }
  throw JournalError("unknown tag");
}

std::size_t MessageStore::liveBytes() const {
  return inFlightBytes_ + pendingNotifications_.size() * kOwedReserve;
}

// The records of all that is held or owed from rewritten_ on, by id, until there are `most` bytes of them.
void MessageStore::rewriteSome(std::size_t most) {
  std::string bytes;
  MessageId from = rewritten_;
  auto held = inFlight_.lower_bound(rewritten_);
  auto owed = pendingNotifications_.lower_bound(rewritten_);
  auto put = [&](const std::string& record) { bytes += Journal::framed(record); };
  while (bytes.size() < most && (held != inFlight_.end() || owed != pendingNotifications_.end())) {
    if (owed == pendingNotifications_.end() || (held != inFlight_.end() && held->first < owed->first)) {
      put(acceptedRecord(held->first, held->second));
      for (const AttemptRecord& launch : held->second.attempts) {
        if (launch.journaled) put(attemptRecord(held->first, launch));
      }
      rewritten_ = MessageId{held->first.value + 1};
      ++held;
    } else {
      put(notificationRecord(owed->first, owed->second));
      rewritten_ = MessageId{owed->first.value + 1};
      ++owed;
    }
  }
  // What is noted and not written yet of those just passed stands there already.
  for (JournalEntry& one : uncommitted_) {
    if (one.message >= from && one.message < rewritten_) one.record.clear();
  }
  bool good = journal_.appendToCompaction(bytes);
  bool all = held == inFlight_.end() && owed == pendingNotifications_.end();
  if (good && all && uncommitted_.empty()) good = journal_.installCompaction();
  if (!good) rewriteFailed();
}

void MessageStore::rewriteBegins() {
  rewritten_ = {};
  if (!journal_.beginCompaction()) rewriteFailed();
}

void MessageStore::rewriteFailed() {
  notAgain_ = journal_.size() + journal_.maxBytes() / kWorthRewriting;
  log::error("journal.compaction_failed", {{"bytes", journal_.size()}});
}

// Before the room runs out, and where it wins something.
bool MessageStore::rewriteWanted() const {
  std::size_t size = journal_.size();
  std::size_t part = journal_.maxBytes() / kWorthRewriting;
  return size >= notAgain_ && size + 2 * liveBytes() + 2 * part > journal_.maxBytes() &&
         size > liveBytes() + part;
}

// All at once, since there is no room to wait.
void MessageStore::rewriteNow() {
  if (isCommitting() || (passedOver_ > 0 && --passedOver_ > 0)) return;
  do {
    beginCommit();
    while (!journal_.isWritten(1000)) {
    }
    finished();
  } while (hasUncommitted());
  if (!journal_.isCompacting()) rewriteBegins();
  std::size_t before = journal_.size();
  while (journal_.isCompacting() && !journal_.isInstallingCompaction()) rewriteSome(kRewriteAtOnce);
  if (journal_.isInstallingCompaction()) {
    beginCommit();
    while (!journal_.isWritten(1000)) {
    }
    finished();
  }
  // Danger: a folder that is full would have all that is held read through for each record.
  if (journal_.size() >= before) passedOver_ = kPassedOver;
}

// There is always room left for a rewrite beside the file, and for what is held to end.
bool MessageStore::roomFor(std::size_t more) {
  auto room = [&] {
    return journal_.size() + journal_.compactedSize() + more + liveBytes() <= journal_.maxBytes();
  };
  if (!room()) rewriteNow();
  return room();
}

bool MessageStore::keep(std::string record, JournalEntry noted) {
  if (!journal_.append(record)) return false;
  if (journal_.isCompacting()) noted.record = std::move(record);
  uncommitted_.push_back(std::move(noted));
  return true;
}

bool MessageStore::note(std::string record, JournalEntry noted) {
  roomFor(record.size() + Journal::kFrame);
  return keep(std::move(record), std::move(noted));
}

void MessageStore::beginCommit() {
  // While a rewrite takes the file's place nothing is added to either.
  carried_ = !journal_.isInstallingCompaction();
  if (carried_) {
    committing_ = std::exchange(uncommitted_, {});
    committingNext_ = next_;
  }
  journal_.beginCommit();
}

void MessageStore::finished() {
  std::vector<JournalEntry> noted = std::exchange(committing_, {});
  std::vector<std::size_t> lost = journal_.finishCommit();
  if (carried_) decidedNext_ = committingNext_;
  bool shownLost = false;
  for (std::size_t n : lost) {
    const JournalEntry& one = noted[n];
    shownLost = shownLost || (one.record.empty() && one.message < rewritten_);
    if (one.tag == RecordTag::accepted) {
      lostAcceptances_.insert(one.message);
      if (find(one.message) == nullptr) continue;
      drop(one.message);
      --finishedCount_;  // it never was accepted
    } else if (one.tag == RecordTag::attempted) {
      lostAttempts_.insert({one.message, one.attempt});
      if (StoredMessage* held = find(one.message)) {
        AttemptRecord& launch = held->attempts[static_cast<std::size_t>(one.attempt)];
        launch.provablyNotExecuted = true;
        launch.journaled = false;
      }
    }
  }
  if (!lost.empty()) log::error("journal.write_failed", {{"records", lost.size()}});
  if (journal_.hasCompactionFailed()) rewriteFailed();
  if (!journal_.isCompacting()) return;
  // Danger: the rewrite already shows what the file would not take; attempts would be counted apart.
  if (shownLost) {
    journal_.abandonCompaction();
    return rewriteFailed();
  }
  // What the rewrite has passed hears of it too; the rest it will find as it then is.
  std::string bytes;
  for (const JournalEntry& one : noted) {
    if (one.message < rewritten_ && !one.record.empty()) bytes += Journal::framed(one.record);
  }
  if (!bytes.empty() && !journal_.appendToCompaction(bytes)) rewriteFailed();
}

bool MessageStore::finishCommit(Millis patience) {
  if (isCommitting()) {
    if (!journal_.isWritten(patience)) return false;
    finished();
  }
  if (!journal_.isCompacting() && rewriteWanted()) rewriteBegins();
  if (journal_.isCompacting() && !journal_.isInstallingCompaction()) rewriteSome(kRewriteAtOnce);
  return true;
}

void MessageStore::commit() {
  do {
    beginCommit();
    while (!finishCommit(1000)) {
    }
  } while (hasUncommitted());
}

std::optional<MessageId> MessageStore::accept(StoredMessage held) {
  MessageId id{next_};
  std::string record = acceptedRecord(id, held);
  std::size_t bytes = record.size() + kReserve;
  // Room for the record and, beyond it, for one more of its like in every later rewrite.
  if (2 * (liveBytes() + bytes) > journal_.maxBytes() || !roomFor(record.size() + Journal::kFrame + bytes) ||
      !keep(std::move(record), {RecordTag::accepted, id, 0, {}})) {
    return std::nullopt;
  }
  ++next_;
  inFlightBytes_ += bytes;
  byReference_[held.reference] = id;
  inFlight_[id] = std::move(held);
  return id;
}

bool MessageStore::recordAttempt(MessageId id, const EndpointRecord& endpoint, Millis wall) {
  StoredMessage* held = find(id);
  if (held == nullptr) return false;
  AttemptRecord sent{endpoint, wall, false};
  std::string record = attemptRecord(id, sent);
  // Room first: a rewrite must not find the attempt, whose record comes after it.
  roomFor(record.size() + Journal::kFrame);
  held->attempts.push_back(std::move(sent));
  int launch = static_cast<int>(held->attempts.size()) - 1;
  if (keep(std::move(record), {RecordTag::attempted, id, launch, {}})) return true;
  held->attempts.back().provablyNotExecuted = true;  // it keeps its number, as the module counts it
  held->attempts.back().journaled = false;
  return false;
}

void MessageStore::recordNotExecuted(MessageId id, int launch) {
  StoredMessage* held = find(id);
  auto n = static_cast<std::uint32_t>(launch);
  if (held == nullptr || n >= held->attempts.size()) return;
  held->attempts[n].provablyNotExecuted = true;
  if (!held->attempts[n].journaled) return;
  // Danger: the journal counts attempts by its own records. Counted by ours, one that it never took would
  // have another one, which may have run, pass for one that did not.
  std::string record = recordOf(RecordTag::notExecuted, id);
  auto first = held->attempts.begin();
  putBytes(record, static_cast<std::uint32_t>(std::count_if(
                       first, first + launch, [](const AttemptRecord& l) { return l.journaled; })));
  note(std::move(record),
       {RecordTag::notExecuted, id, launch, {}});  // unwritten, it may have run for the next process
}

void MessageStore::drop(MessageId id) {
  auto at = inFlight_.find(id);
  if (at == inFlight_.end()) return;
  inFlightBytes_ -= acceptedRecordSize(at->second) + kReserve;
  ++finishedCount_;
  byReference_.erase(at->second.reference);
  inFlight_.erase(at);
}

void MessageStore::recordDelivered(MessageId id) {
  if (find(id) == nullptr) return;
  note(recordOf(RecordTag::finished, id), {RecordTag::finished, id, 0, {}});
  drop(id);
}

void MessageStore::addPendingNotification(MessageId id, FinalOutcome result, Millis wait) {
  StoredMessage* held = find(id);
  if (held == nullptr) return;
  OutcomeNotification notice{held->reference, result, wait};
  note(notificationRecord(id, notice), {RecordTag::notificationPending, id, 0, {}});
  drop(id);
  pendingNotifications_[id] = std::move(notice);
}

void MessageStore::confirmNotification(MessageId id) {
  if (pendingNotifications_.erase(id) > 0)
    note(recordOf(RecordTag::finished, id), {RecordTag::finished, id, 0, {}});
}

}  // namespace stonewing
