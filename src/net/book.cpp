#include "net/book.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "core/bytes.h"
#include "net/http.h"
#include "net/log.h"

namespace stonewing::net {
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
  if (!plain) throw Malformed(std::string("bad ") + field);
  return std::string(text);
}

template <class Id>
Id placeOf(const std::vector<std::string>& names, std::string_view name, const char* field) {
  auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) throw Malformed(std::string("unknown ") + field);
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

Book::Book(const NameTables& facts, const std::string& folder, std::size_t mostBytes, bool aside)
    : facts_(facts), journal_(folder, mostBytes, aside) {}

Held Book::decode(std::string_view key, std::string_view ref, std::string_view list, std::string_view body,
                  Millis wall) const {
  Held held;
  held.ref = word(ref, "id");
  auto [keyEnd, keyError] = std::from_chars(key.data(), key.data() + key.size(), held.key.value, 16);
  if (key.empty() || keyError != std::errc() || keyEnd != key.data() + key.size()) throw Malformed("bad key");
  bool typed = false;
  bool addressed = false;
  Millis left = -1;
  for (std::string_view rest = list; !rest.empty();) {
    std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view item = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw Malformed("a name without a value");
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
        throw Malformed("bad d");
      }
    } else if (name == "k") {
      held.receipt = word(value, "k");
    } else if (name == "dest") {
      auto number = wholeNumber(value);
      if (!number || *number > 0xffff) throw Malformed("bad dest");
      held.destination = DestinationId{static_cast<std::uint16_t>(*number)};
      addressed = true;
    }
  }
  if (!typed || !addressed || left < 0) throw Malformed("c, d and dest are needed");
  held.outerWall = wall + left;
  held.body = std::make_shared<const std::string>(body);
  putText(held.taken, key);
  putText(held.taken, ref);
  putText(held.taken, list);
  return held;
}

std::string Book::takenRecord(MessageId id, const Held& held) {
  std::string record = recordOf(Tag::taken, id);
  putBytes(record, held.outerWall);
  record += held.taken;
  putText(record, *held.body);
  return record;
}

std::size_t Book::takenSize(const Held& held) {
  return sizeof(Tag) + sizeof(MessageId::value) + sizeof held.outerWall + held.taken.size() +
         sizeof(std::uint32_t) + held.body->size();
}

std::string Book::launchRecord(MessageId id, const AttemptRecord& launch) {
  std::string record = recordOf(Tag::launched, id);
  putText(record, launch.endpoint.name);
  putBytes(record, launch.endpoint.destination.value);
  putBytes(record, launch.endpoint.kind.value);
  putBytes(record, launch.endpoint.zone.value);
  putBytes(record, launch.sentWall);
  putBytes(record, static_cast<std::uint8_t>(launch.provablyNotExecuted));
  return record;
}

std::string Book::owedRecord(MessageId id, const Notice& notice) {
  std::string record = recordOf(Tag::owed, id);
  putText(record, notice.ref);
  putBytes(record, notice.result);
  putBytes(record, notice.wait);
  return record;
}

std::size_t Book::restore() {
  std::size_t cut = journal_.replay([this](std::string_view record) {
    try {
      replayed(record);
    } catch (const Malformed& problem) {
      log::error("journal.record_passed_over", {{"why", problem.what()}});
    }
  });
  decidedNext_ = next_;
  return cut;
}

void Book::replayed(std::string_view record) {
  ByteReader in(record);
  auto tag = in.get<Tag>("tag");
  MessageId id{in.get<std::uint32_t>("callback")};
  next_ = std::max(next_, id.value + 1);
  switch (tag) {
    case Tag::taken: {
      auto wall = in.get<Millis>("outer limit");
      std::string key = getText(in, "key");
      std::string ref = getText(in, "ref");
      std::string list = getText(in, "list");
      std::string body = getText(in, "body");
      try {
        Held held = decode(key, ref, list, body, 0);
        held.outerWall = wall;
        byRef_[held.ref] = id;
        heldBytes_ += takenSize(held) + kReserve;
        held_[id] = std::move(held);
      } catch (const Malformed& problem) {
        // The settings have changed under it: its end is still owed.
        log::error("callback.undeliverable", {{"callback", ref}, {"why", problem.what()}});
        owed_[id] = {ref, Result::dead, 0};
      }
      return;
    }
    case Tag::launched: {
      AttemptRecord launch;
      launch.endpoint.name = getText(in, "endpoint");
      launch.endpoint.destination.value = in.get<std::uint16_t>("destination");
      launch.endpoint.kind.value = in.get<std::uint8_t>("kind");
      launch.endpoint.zone.value = in.get<std::uint8_t>("zone");
      launch.sentWall = in.get<Millis>("sent");
      launch.provablyNotExecuted = in.get<std::uint8_t>("never ran") != 0;
      if (Held* held = find(id)) held->attempts.push_back(std::move(launch));
      return;
    }
    case Tag::neverRan: {
      auto n = in.get<std::uint32_t>("launch");
      Held* held = find(id);
      if (held != nullptr && n < held->attempts.size()) held->attempts[n].provablyNotExecuted = true;
      return;
    }
    case Tag::owed: {
      Notice notice;
      notice.ref = getText(in, "ref");
      notice.result = in.get<Result>("result");
      notice.wait = in.get<Millis>("wait");
      drop(id);
      owed_[id] = std::move(notice);
      return;
    }
    case Tag::over:
      drop(id);
      owed_.erase(id);
      return;
  }
  throw Malformed("unknown tag");
}

std::size_t Book::liveBytes() const { return heldBytes_ + owed_.size() * kOwedReserve; }

// The records of all that is held or owed from rewritten_ on, by id, until there are `most` bytes of them.
void Book::rewriteSome(std::size_t most) {
  std::string bytes;
  MessageId from = rewritten_;
  auto held = held_.lower_bound(rewritten_);
  auto owed = owed_.lower_bound(rewritten_);
  auto put = [&](const std::string& record) { bytes += Journal::framed(record); };
  while (bytes.size() < most && (held != held_.end() || owed != owed_.end())) {
    if (owed == owed_.end() || (held != held_.end() && held->first < owed->first)) {
      put(takenRecord(held->first, held->second));
      for (const AttemptRecord& launch : held->second.attempts) {
        if (launch.journaled) put(launchRecord(held->first, launch));
      }
      rewritten_ = MessageId{held->first.value + 1};
      ++held;
    } else {
      put(owedRecord(owed->first, owed->second));
      rewritten_ = MessageId{owed->first.value + 1};
      ++owed;
    }
  }
  // What is noted and not written yet of those just passed stands there already.
  for (Noted& one : noted_) {
    if (one.message >= from && one.message < rewritten_) one.record.clear();
  }
  bool good = journal_.addBeside(bytes);
  bool all = held == held_.end() && owed == owed_.end();
  if (good && all && noted_.empty()) good = journal_.takeBeside();
  if (!good) rewriteFailed();
}

void Book::rewriteBegins() {
  rewritten_ = {};
  if (!journal_.beginBeside()) rewriteFailed();
}

void Book::rewriteFailed() {
  notAgain_ = journal_.size() + journal_.most() / kWorthRewriting;
  log::error("journal.not_rewritten", {{"bytes", journal_.size()}});
}

// Before the room runs out, and where it wins something.
bool Book::rewriteWanted() const {
  std::size_t size = journal_.size();
  std::size_t part = journal_.most() / kWorthRewriting;
  return size >= notAgain_ && size + 2 * liveBytes() + 2 * part > journal_.most() &&
         size > liveBytes() + part;
}

// All at once, since there is no room to wait.
void Book::rewriteNow() {
  if (under() || (passedOver_ > 0 && --passedOver_ > 0)) return;
  do {
    begin();
    while (!journal_.written(1000)) {
    }
    finished();
  } while (unwritten());
  if (!journal_.besideOpen()) rewriteBegins();
  std::size_t before = journal_.size();
  while (journal_.besideOpen() && !journal_.taking()) rewriteSome(kRewriteAtOnce);
  if (journal_.taking()) {
    begin();
    while (!journal_.written(1000)) {
    }
    finished();
  }
  // Danger: a folder that is full would have all that is held read through for each record.
  if (journal_.size() >= before) passedOver_ = kPassedOver;
}

// There is always room left for a rewrite beside the file, and for what is held to end.
bool Book::roomFor(std::size_t more) {
  auto room = [&] { return journal_.size() + journal_.besideSize() + more + liveBytes() <= journal_.most(); };
  if (!room()) rewriteNow();
  return room();
}

bool Book::keep(std::string record, Noted noted) {
  if (!journal_.append(record)) return false;
  if (journal_.besideOpen()) noted.record = std::move(record);
  noted_.push_back(std::move(noted));
  return true;
}

bool Book::note(std::string record, Noted noted) {
  roomFor(record.size() + Journal::kFrame);
  return keep(std::move(record), std::move(noted));
}

void Book::begin() {
  // While a rewrite takes the file's place nothing is added to either.
  carried_ = !journal_.taking();
  if (carried_) {
    flying_ = std::exchange(noted_, {});
    flyingNext_ = next_;
  }
  journal_.begin();
}

void Book::finished() {
  std::vector<Noted> noted = std::exchange(flying_, {});
  std::vector<std::size_t> lost = journal_.finish();
  if (carried_) decidedNext_ = flyingNext_;
  bool shownLost = false;
  for (std::size_t n : lost) {
    const Noted& one = noted[n];
    shownLost = shownLost || (one.record.empty() && one.message < rewritten_);
    if (one.tag == Tag::taken) {
      lostTakes_.insert(one.message);
      if (find(one.message) == nullptr) continue;
      drop(one.message);
      --over_;  // it never was accepted
    } else if (one.tag == Tag::launched) {
      lostLaunches_.insert({one.message, one.attempt});
      if (Held* held = find(one.message)) {
        AttemptRecord& launch = held->attempts[static_cast<std::size_t>(one.attempt)];
        launch.provablyNotExecuted = true;
        launch.journaled = false;
      }
    }
  }
  if (!lost.empty()) log::error("journal.not_written", {{"records", lost.size()}});
  if (journal_.besideFailed()) rewriteFailed();
  if (!journal_.besideOpen()) return;
  // Danger: the rewrite already shows what the file would not take; attempts would be counted apart.
  if (shownLost) {
    journal_.dropBeside();
    return rewriteFailed();
  }
  // What the rewrite has passed hears of it too; the rest it will find as it then is.
  std::string bytes;
  for (const Noted& one : noted) {
    if (one.message < rewritten_ && !one.record.empty()) bytes += Journal::framed(one.record);
  }
  if (!bytes.empty() && !journal_.addBeside(bytes)) rewriteFailed();
}

bool Book::landed(Millis patience) {
  if (under()) {
    if (!journal_.written(patience)) return false;
    finished();
  }
  if (!journal_.besideOpen() && rewriteWanted()) rewriteBegins();
  if (journal_.besideOpen() && !journal_.taking()) rewriteSome(kRewriteAtOnce);
  return true;
}

void Book::commit() {
  do {
    begin();
    while (!landed(1000)) {
    }
  } while (unwritten());
}

std::optional<MessageId> Book::take(Held held) {
  MessageId id{next_};
  std::string record = takenRecord(id, held);
  std::size_t bytes = record.size() + kReserve;
  // Room for the record and, beyond it, for one more of its like in every later rewrite.
  if (2 * (liveBytes() + bytes) > journal_.most() || !roomFor(record.size() + Journal::kFrame + bytes) ||
      !keep(std::move(record), {Tag::taken, id, 0, {}})) {
    return std::nullopt;
  }
  ++next_;
  heldBytes_ += bytes;
  byRef_[held.ref] = id;
  held_[id] = std::move(held);
  return id;
}

bool Book::launched(MessageId id, const EndpointNote& endpoint, Millis wall) {
  Held* held = find(id);
  if (held == nullptr) return false;
  AttemptRecord sent{endpoint, wall, false};
  std::string record = launchRecord(id, sent);
  // Room first: a rewrite must not find the attempt, whose record comes after it.
  roomFor(record.size() + Journal::kFrame);
  held->attempts.push_back(std::move(sent));
  int launch = static_cast<int>(held->attempts.size()) - 1;
  if (keep(std::move(record), {Tag::launched, id, launch, {}})) return true;
  held->attempts.back().provablyNotExecuted = true;  // it keeps its number, as the module counts it
  held->attempts.back().journaled = false;
  return false;
}

void Book::neverRan(MessageId id, int launch) {
  Held* held = find(id);
  auto n = static_cast<std::uint32_t>(launch);
  if (held == nullptr || n >= held->attempts.size()) return;
  held->attempts[n].provablyNotExecuted = true;
  if (!held->attempts[n].journaled) return;
  // Danger: the journal counts attempts by its own records. Counted by ours, one that it never took would
  // have another one, which may have run, pass for one that did not.
  std::string record = recordOf(Tag::neverRan, id);
  auto first = held->attempts.begin();
  putBytes(record, static_cast<std::uint32_t>(std::count_if(
                       first, first + launch, [](const AttemptRecord& l) { return l.journaled; })));
  note(std::move(record),
       {Tag::neverRan, id, launch, {}});  // unwritten, it may have run for the next process
}

void Book::drop(MessageId id) {
  auto at = held_.find(id);
  if (at == held_.end()) return;
  heldBytes_ -= takenSize(at->second) + kReserve;
  ++over_;
  byRef_.erase(at->second.ref);
  held_.erase(at);
}

void Book::completed(MessageId id) {
  if (find(id) == nullptr) return;
  note(recordOf(Tag::over, id), {Tag::over, id, 0, {}});
  drop(id);
}

void Book::owe(MessageId id, Result result, Millis wait) {
  Held* held = find(id);
  if (held == nullptr) return;
  Notice notice{held->ref, result, wait};
  note(owedRecord(id, notice), {Tag::owed, id, 0, {}});
  drop(id);
  owed_[id] = std::move(notice);
}

void Book::confirmed(MessageId id) {
  if (owed_.erase(id) > 0) note(recordOf(Tag::over, id), {Tag::over, id, 0, {}});
}

}  // namespace stonewing::net
