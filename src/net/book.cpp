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
constexpr std::size_t kReserve = 1024;     // of the journal for what a callback held may still add to it
constexpr std::size_t kOwedReserve = 256;  // and for an end that is owed

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
std::string recordOf(Tag tag, CallbackId id) {
  std::string record;
  putBytes(record, tag);
  putBytes(record, id.value);
  return record;
}

}  // namespace

Book::Book(const HostFacts& facts, const std::string& folder, std::size_t mostBytes)
    : facts_(facts), journal_(folder, mostBytes) {}

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
      held.type = placeOf<TrafficTypeId>(facts_.types, value, "class");
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

std::string Book::takenRecord(CallbackId id, const Held& held) {
  std::string record = recordOf(Tag::taken, id);
  putBytes(record, held.outerWall);
  record += held.taken;
  putText(record, *held.body);
  return record;
}

std::size_t Book::takenSize(const Held& held) {
  return sizeof(Tag) + sizeof(CallbackId::value) + sizeof held.outerWall + held.taken.size() +
         sizeof(std::uint32_t) + held.body->size();
}

std::string Book::launchRecord(CallbackId id, const LaunchNote& launch) {
  std::string record = recordOf(Tag::launched, id);
  putText(record, launch.endpoint.name);
  putBytes(record, launch.endpoint.destination.value);
  putBytes(record, launch.endpoint.kind.value);
  putBytes(record, launch.endpoint.zone.value);
  putBytes(record, launch.sentWall);
  putBytes(record, static_cast<std::uint8_t>(launch.neverRan));
  return record;
}

std::string Book::owedRecord(CallbackId id, const Notice& notice) {
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
  return cut;
}

void Book::replayed(std::string_view record) {
  ByteReader in(record);
  auto tag = in.get<Tag>("tag");
  CallbackId id{in.get<std::uint32_t>("callback")};
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
      LaunchNote launch;
      launch.endpoint.name = getText(in, "endpoint");
      launch.endpoint.destination.value = in.get<std::uint16_t>("destination");
      launch.endpoint.kind.value = in.get<std::uint8_t>("kind");
      launch.endpoint.zone.value = in.get<std::uint8_t>("zone");
      launch.sentWall = in.get<Millis>("sent");
      launch.neverRan = in.get<std::uint8_t>("never ran") != 0;
      if (Held* held = find(id)) held->launches.push_back(std::move(launch));
      return;
    }
    case Tag::neverRan: {
      auto n = in.get<std::uint32_t>("launch");
      Held* held = find(id);
      if (held != nullptr && n < held->launches.size()) held->launches[n].neverRan = true;
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

std::string Book::live() const {
  std::string bytes;
  for (const auto& [id, held] : held_) {
    bytes += Journal::framed(takenRecord(id, held));
    for (const LaunchNote& launch : held.launches) bytes += Journal::framed(launchRecord(id, launch));
  }
  for (const auto& [id, notice] : owed_) bytes += Journal::framed(owedRecord(id, notice));
  return bytes;
}

// There is always room left for a rewrite beside the file, and for what is held to end.
bool Book::roomFor(std::size_t more) {
  if (journal_.size() + more + liveBytes() <= journal_.most()) return true;
  if (!journal_.rewrite(live())) {
    log::error("journal.not_rewritten", {{"bytes", journal_.size()}});
    return false;
  }
  return journal_.size() + more + liveBytes() <= journal_.most();
}

bool Book::note(const std::string& record) {
  roomFor(record.size() + Journal::kFrame);
  return journal_.append(record);
}

std::optional<CallbackId> Book::take(Held held) {
  CallbackId id{next_};
  std::string record = takenRecord(id, held);
  std::size_t bytes = record.size() + kReserve;
  // Room for the record and, beyond it, for one more of its like in every later rewrite.
  if (2 * (liveBytes() + bytes) > journal_.most() || !roomFor(record.size() + Journal::kFrame + bytes) ||
      !journal_.append(record)) {
    return std::nullopt;
  }
  ++next_;
  heldBytes_ += bytes;
  byRef_[held.ref] = id;
  held_[id] = std::move(held);
  return id;
}

bool Book::launched(CallbackId id, const EndpointNote& endpoint, Millis wall) {
  Held* held = find(id);
  if (held == nullptr) return false;
  held->launches.push_back({endpoint, wall, false});
  if (note(launchRecord(id, held->launches.back()))) return true;
  held->launches.back().neverRan = true;  // it keeps its number, as the module counts it
  return false;
}

void Book::neverRan(CallbackId id, int launch) {
  Held* held = find(id);
  auto n = static_cast<std::uint32_t>(launch);
  if (held == nullptr || n >= held->launches.size()) return;
  held->launches[n].neverRan = true;
  std::string record = recordOf(Tag::neverRan, id);
  putBytes(record, n);
  note(record);  // unwritten, it may have run for the next process: the safe side
}

void Book::drop(CallbackId id) {
  auto at = held_.find(id);
  if (at == held_.end()) return;
  heldBytes_ -= takenSize(at->second) + kReserve;
  ++over_;
  byRef_.erase(at->second.ref);
  held_.erase(at);
}

void Book::completed(CallbackId id) {
  if (find(id) == nullptr) return;
  note(recordOf(Tag::over, id));
  drop(id);
}

void Book::owe(CallbackId id, Result result, Millis wait) {
  Held* held = find(id);
  if (held == nullptr) return;
  Notice notice{held->ref, result, wait};
  note(owedRecord(id, notice));
  drop(id);
  owed_[id] = std::move(notice);
}

void Book::confirmed(CallbackId id) {
  if (owed_.erase(id) > 0) note(recordOf(Tag::over, id));
}

}  // namespace stonewing::net
