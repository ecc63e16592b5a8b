#include "discovery/discovery_client.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/bytes.h"
#include "logging/log.h"

namespace stonewing {
namespace {

using nlohmann::json;

// After a call that failed, was refused or was failed a change counts as told 6 s after discovery has it
// and can be reached, whatever was allowed before. So the longest chain of steps has to end within that: a
// watch that has fallen silent, the pause after it, a refusal, the pause after that and an answer, with time
// for the turns between them; or a connection that does not come up, the longest pause, and the same refusal.
constexpr Millis kToldWithin = 6000;
constexpr Millis kWatch = 2000;
constexpr Millis kOutlasts = 500;  // a watch not answered so long after its time will not be
constexpr Millis kConnectWithin = 500;
constexpr Millis kWholeWithin = 1000;  // an answer that has begun; it is written in one go
constexpr Millis kPauseFirst = 50;
constexpr Millis kPauseMost = 1000;
constexpr double kPauseSpread = 0.5;  // by chance, either way
// Turned away, it is overbooked: by hundreds that began or lost their watch at once. Spread thinly from the
// first pause on they find room; with short pauses first they turn each other away again.
constexpr Millis kTurnedAway = 1800;
constexpr Millis kAnswered = 250;  // at once, by what a busy core makes of it
constexpr Millis kTurns = 400;     // between the steps, where the process shares its core
constexpr Millis kAfterRefusal = kTurnedAway * (1 + kPauseSpread) + kAnswered + kTurns;
static_assert(kWatch + kOutlasts + kPauseFirst * (1 + kPauseSpread) + kAfterRefusal <= kToldWithin);
static_assert(kConnectWithin + kPauseMost * (1 + kPauseSpread) + kAfterRefusal <= kToldWithin);
static_assert(kWholeWithin + kPauseMost * (1 + kPauseSpread) + kAfterRefusal <= kToldWithin);
// Room for thousands of endpoints, indented and with fields that we do not know; it is taken as it comes.
constexpr std::size_t kAnswerMost = 8 * 1024 * 1024;

EndpointState phaseOf(const std::string& state) {
  if (state == "in_service") return EndpointState::ready;
  if (state == "terminating") return EndpointState::draining;
  if (state == "terminated") return EndpointState::removed;
  throw ParseError("unknown state " + state);
}

template <class Id>
Id placeOf(const std::vector<std::string>& names, const std::string& name) {
  auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) throw ParseError("unknown kind or zone " + name);
  return Id{static_cast<decltype(Id{}.value)>(at - names.begin())};
}

struct Row {
  DiscoveredEndpoint site;
  double weight{};
  EndpointState phase{};
};

Row rowOf(const json& entry, const NameTables& facts) try {
  Row row;
  row.site.record.name = entry.at("id").get<std::string>();
  row.phase = phaseOf(entry.at("state").get<std::string>());
  row.site.authority = entry.at("addr").get<std::string>();
  auto address = parseAddress(row.site.authority);
  if (!address) throw ParseError("bad address of " + row.site.record.name);
  row.site.address = *address;
  row.site.record.zone = placeOf<ZoneId>(facts.zones, entry.at("zone").get<std::string>());
  row.site.record.kind = placeOf<KindId>(facts.kinds, entry.at("kind").get<std::string>());
  auto cell = entry.at("cell").get<std::int64_t>();
  if (cell < 0 || cell > 0xffff) throw ParseError("bad cell of " + row.site.record.name);
  row.site.record.destination = DestinationId{static_cast<std::uint16_t>(cell)};
  row.weight = entry.value("weight", 1.0);
  if (!std::isfinite(row.weight)) throw ParseError("bad weight of " + row.site.record.name);
  return row;
} catch (const json::exception& problem) {
  throw ParseError(problem.what());
}

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DispatchPolicy& rules, const NameTables& facts,
                                 sockaddr_in discovery, std::string host, std::uint64_t seed)
    : loop_(loop),
      policy_(rules),
      names_(facts),
      address_(discovery),
      host_(std::move(host)),
      chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

// The same number for a name at every dispatcher and after every restart, so that rankings stay as they are.
EndpointId DiscoveryClient::idOf(const std::string& name) {
  auto at = ids_.find(name);
  if (at != ids_.end()) return at->second;
  EndpointId id{XXH3_64bits(name.data(), name.size()) >> 1};  // the module keeps the topmost bit for itself
  while (endpoints_.contains(id)) ++id.value;
  ids_[name] = id;
  return id;
}

// Danger: one entry that cannot be used (spoilt, or of a zone that our settings do not know) keeps all others
// from being told. They are taken; for what the entry said the whole list is asked once more, and only where
// that has such entries too is it gone on from. An endpoint that one of them names stays as it was, or drains
// or goes where that much can be read.
bool DiscoveryClient::applyAnswer(const json& answer) {
  std::vector<Row> rows;
  bool full = false;
  std::int64_t version = 0;
  std::size_t unusable = 0;
  std::string why;
  auto asItWas = [&](const json& entry) {
    auto said = [&](const char* key) {
      auto at = entry.is_object() ? entry.find(key) : entry.end();
      return at != entry.end() && at->is_string() ? at->get<std::string>() : "";
    };
    auto id = ids_.find(said("id"));
    auto known =
        id == ids_.end() ? policy_.state().endpoints.end() : policy_.state().endpoints.find(id->second);
    if (known == policy_.state().endpoints.end()) return;
    const Endpoint& e = known->second;
    std::string state = said("state");
    bool leaves = e.state != EndpointState::removed && (state == "terminating" || state == "terminated");
    rows.push_back({endpoints_.at(id->second), e.weight, leaves ? phaseOf(state) : e.state});
  };
  try {
    version = answer.at("version").get<std::int64_t>();
    full = answer.at("full").get<bool>();
    for (const json& entry : answer.at("servers")) {
      try {
        rows.push_back(rowOf(entry, names_));
      } catch (const Error& problem) {
        if (unusable++ == 0) why = problem.what();
        asItWas(entry);
      }
    }
  } catch (const json::exception& problem) {
    throw ParseError(problem.what());
  }
  bool goesOn = unusable == 0 || std::exchange(doubted_, false);
  doubted_ = !goesOn;
  if (unusable > 0) log::warn("discovery.entries_skipped", {{"entries", unusable}, {"why", why}});
  if (full || !rows.empty()) {
    policy_.beginEndpointList();
    for (Row& row : rows) {
      const EndpointRecord& note = row.site.record;
      EndpointId id = idOf(note.name);
      policy_.addEndpoint(id, note.destination, note.kind, note.zone, row.weight, row.phase);
      destinations_.insert(note.destination);
      endpoints_[id] = std::move(row.site);
    }
    policy_.commitEndpointList(full && goesOn);
    // What the module has forgotten is not needed here either.
    std::erase_if(endpoints_,
                  [&](const auto& site) { return !policy_.state().endpoints.contains(site.first); });
    std::erase_if(ids_, [&](const auto& name) { return !endpoints_.contains(name.second); });
  }
  whole_ = !goesOn;
  if (goesOn) version_ = version;
  return goesOn;
}

// In one go: the end of a list costs by all that is held.
void DiscoveryClient::addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& held) {
  policy_.beginEndpointList();
  for (const auto& [callback, one] : held) {
    for (const AttemptRecord& launch : one.attempts) {
      const EndpointRecord& note = launch.endpoint;
      EndpointId id = idOf(note.name);
      if (!endpoints_.try_emplace(id, DiscoveredEndpoint{note, {}, {}}).second) continue;
      destinations_.insert(note.destination);
      policy_.addEndpoint(id, note.destination, note.kind, note.zone, 0, EndpointState::removed);
    }
  }
  policy_.commitEndpointList(false);
}

void DiscoveryClient::changeAddress(sockaddr_in discovery, std::string host) {
  address_ = discovery;
  host_ = std::move(host);
  HttpClientConnection::closeLater(loop_, link_);
  out_ = false;
  whole_ = true;  // the version of another teller says nothing of what was missed
  pause_ = 0;
  notBefore_ = loop_.now();
}

// Danger: a connection that never comes up, or an answer that trickles, given the time of the whole watch.
Millis DiscoveryClient::due() const {
  if (!out_) return notBefore_;
  if (!link_->isConnected()) return since_ + kConnectWithin;
  return wholeBy_ >= 0 ? wholeBy_ : since_ + (whole_ ? 0 : kWatch) + kOutlasts;
}

void DiscoveryClient::onTick() {
  if (loop_.now() < due()) return;
  if (out_) {
    onBroken(*link_);  // discovery is silent: the list stays as it was
  } else {
    poll();
  }
}

void DiscoveryClient::poll() {
  if (!link_ || !link_->isOpen() || !link_->isReusable()) {
    HttpClientConnection::closeLater(loop_, link_);
    link_ = std::make_unique<HttpClientConnection>(loop_, *this, kAnswerMost);
    if (!link_->open(address_)) return scheduleRetry(kPauseFirst, kPauseMost);
  }
  std::string target = "/catalog/members";
  if (!whole_) {
    target += "?since=" + std::to_string(version_) +
              "&timeout_ms=" + std::to_string(static_cast<std::int64_t>(kWatch));
  }
  link_->add("GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  link_->startExchange();
  out_ = true;
  since_ = loop_.now();
  wholeBy_ = -1;
}

void DiscoveryClient::onResponseStarted(HttpClientConnection&) {
  if (wholeBy_ < 0) wholeBy_ = loop_.now() + kWholeWithin;
}

void DiscoveryClient::onResponse(HttpClientConnection& link) {
  out_ = false;
  if (link.status() == 503) {  // nothing is wrong with the list it goes on from
    scheduleRetry(kTurnedAway, kTurnedAway);
    return log::info("discovery.rejected",
                     {{"after_ms", notBefore_ - loop_.now()}, {"kept", endpoints_.size()}});
  }
  try {
    if (link.status() != 200) throw ParseError("status " + std::to_string(link.status()));
    const json answer = json::parse(link.body(), nullptr, false);
    if (answer.is_discarded()) throw ParseError("not JSON");
    if (!applyAnswer(answer)) return scheduleRetry(kPauseFirst, kPauseMost);
    heard_ = true;
    pause_ = 0;
    notBefore_ = loop_.now();  // a watch goes on only when asked for again at once
  } catch (const Error& problem) {
    log::warn("discovery.unreadable", {{"why", problem.what()}, {"kept", endpoints_.size()}});
    whole_ = true;
    scheduleRetry(kPauseFirst, kPauseMost);
  }
}

void DiscoveryClient::onBroken(HttpClientConnection& link) {
  // Danger: dropped without a word, the dispatcher would answer PING and refuse every message.
  if (out_ && link.hasReceived()) {
    log::warn("discovery.unreadable",
              {{"why", "it broke off, is no HTTP or is over " + std::to_string(kAnswerMost) + " bytes"},
               {"kept", endpoints_.size()}});
  }
  link.close();
  if (std::exchange(out_, false)) scheduleRetry(kPauseFirst, kPauseMost);
}

// Spread by chance: dispatchers that failed together must not come again together.
void DiscoveryClient::scheduleRetry(Millis first, Millis most) {
  pause_ = std::clamp(2 * pause_, first, most);
  std::uniform_real_distribution<double> spread(1 - kPauseSpread, 1 + kPauseSpread);
  notBefore_ = loop_.now() + pause_ * spread(chance_);
}

}  // namespace stonewing
