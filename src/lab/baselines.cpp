// The plain policies that ours is compared with, as textbooks have them. They keep the rules on effects and
// on waits, since none could be let near a partner otherwise, and know nothing of cold returns or windows.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "base/bytes.h"
#include "lab/lab_policy.h"
#include "policy/dispatch_policy.h"
#include "policy/endpoint_state.h"

namespace stonewing::lab {
namespace {

enum class Choice { first, turns, twoRandom };

struct Recipe {
  const char* name;
  Choice choice;
  int launches;  // of a message, hedges not counted
  bool breaker;
  bool copies;
};

constexpr Recipe kRecipes[] = {
    {"one-try", Choice::first, 1, false, false},
    {"round-robin", Choice::turns, 3, true, false},
    {"two-choices", Choice::twoRandom, 3, true, false},
    {"free-hedge", Choice::turns, 3, false, true},
};

constexpr int kBreakerFailures = 5;
constexpr Millis kBreakerRest = 5000;
constexpr double kTimeoutShare = 0.5;  // of the time left, for one attempt
constexpr Millis kBackoff = 50;
constexpr std::size_t kSamplesKept = 200;
constexpr double kQuantile = 0.95;

class Ours final : public Policy {
 public:
  Ours(const DeploymentSettings& terms, std::uint64_t seed) : rules_(terms, seed) {}
  void roundBegins(Millis now) override { rules_.beginRound(now); }
  void list(const std::vector<ListRow>& rows, bool whole) override {
    rules_.beginEndpointList();
    for (const ListRow& r : rows)
      rules_.addEndpoint(r.id, r.destination, KindId{0}, r.room, r.weight, r.phase);
    rules_.commitEndpointList(whole);
  }
  void taken(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key, DestinationId destination,
             Millis outerLimit) override {
    rules_.acceptMessage(id, type, tenant, key, destination, outerLimit);
  }
  void launchedBefore(MessageId id, EndpointId endpoint, Millis sent, bool neverRan) override {
    rules_.recordEarlierAttempt(id, endpoint, sent, neverRan);
  }
  void goesOutOn(MessageId id, int launch, Millis idle) override {
    rules_.recordConnectionIdleTime(id, launch, idle);
  }
  void launchEnded(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool over, Millis wait,
                   LoadReport report) override {
    rules_.recordAttemptOutcome(id, launch, ending, spent, over, wait, report);
  }
  void probeEnded(EndpointId id, AttemptOutcome ending, LoadReport report) override {
    rules_.recordHealthCheckOutcome(id, ending, report);
  }
  void clientGone(MessageId id) override { rules_.cancelMessage(id); }
  void woken() override { rules_.recordTimerFired(); }
  std::optional<Decision> next() override { return rules_.nextDecision(); }
  bool mayBegin(MessageId id, int launch) const override { return rules_.mayStartAttempt(id, launch); }
  int callOf(MessageId id, int launch) const override {
    return rules_.state().messages.at(id).attempts.at(static_cast<std::size_t>(launch)).requestId;
  }
  int held() const override { return rules_.state().messagesInFlight; }

 private:
  DispatchPolicy rules_;
};

class Textbook final : public Policy {
 public:
  Textbook(const Recipe& recipe, const DeploymentSettings& terms, std::uint64_t seed)
      : recipe_(recipe), terms_(terms), randomEngine_(static_cast<std::mt19937::result_type>(seed)) {}

  void roundBegins(Millis now) override { now_ = now; }

  void list(const std::vector<ListRow>& rows, bool whole) override {
    if (whole) {
      for (auto& [id, e] : endpoints_) e.row.phase = EndpointState::removed;
    }
    for (const ListRow& r : rows) endpoints_[r.id].row = r;
    for (auto& [id, d] : destinations_) d.endpoints.clear();
    for (auto& [id, e] : endpoints_) {
      if (e.row.phase == EndpointState::ready) destinations_[e.row.destination].endpoints.push_back(id);
    }
  }

  void taken(MessageId id, TrafficTypeId type, TenantId, OrderingKey key, DestinationId destination,
             Millis outerLimit) override {
    Held& h = held_[id];
    h.type = &terms_.types.at(type.value);
    h.destination = destination;
    h.outer = outerLimit;
    h.key = h.type->ordered ? key : OrderingKey{};
    if (h.key.value != 0) lines_[h.key].push_back(id);
    changed_.insert(id);
    ends_.insert({outerLimit, id});
  }

  void launchedBefore(MessageId id, EndpointId endpoint, Millis sent, bool neverRan) override {
    held_.at(id).launches.push_back({endpoint, sent, false, neverRan, 0});
  }

  void goesOutOn(MessageId, int, Millis) override {}

  void launchEnded(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool isOver, Millis wait,
                   LoadReport) override {
    auto at = held_.find(id);
    if (at == held_.end() || !at->second.launches.at(static_cast<std::size_t>(launch)).out) return;
    Held& h = at->second;
    Sent& s = h.launches[static_cast<std::size_t>(launch)];
    s.out = false;
    s.neverRan = ending == AttemptOutcome::rejected || ending == AttemptOutcome::connectFailed ||
                 ending == AttemptOutcome::notSent;
    --slots_;
    Endpoint& e = endpoints_[s.endpoint];
    --e.out;
    if (wait > 0) {
      Millis& until = destinations_[h.destination].waitUntil;
      until = std::max(until, now_ + wait);
    }
    if (ending == AttemptOutcome::completed) {
      e.failures = 0;
      sample(spent);
    } else if (ending != AttemptOutcome::cancelled && ++e.failures >= kBreakerFailures && recipe_.breaker) {
      e.restUntil = now_ + kBreakerRest;
      e.failures = 0;
    }
    h.notBefore = now_ + kBackoff * std::exp2(static_cast<double>(h.launches.size()) - 1) * (0.5 + draw());
    if (isOver || ending == AttemptOutcome::completed) return over(id);
    changed_.insert(id);
    freed_ = true;
  }

  void probeEnded(EndpointId, AttemptOutcome, LoadReport) override {}
  void clientGone(MessageId id) override { over(id); }
  void woken() override { wakeAsked_ = -1; }
  bool mayBegin(MessageId id, int launch) const override {
    auto at = held_.find(id);
    if (at == held_.end()) return false;
    const Sent& s = at->second.launches.at(static_cast<std::size_t>(launch));
    return endpoints_.at(s.endpoint).row.phase == EndpointState::ready;
  }
  int callOf(MessageId id, int launch) const override {
    return held_.at(id).launches.at(static_cast<std::size_t>(launch)).call;
  }
  int held() const override { return static_cast<int>(held_.size()); }

  std::optional<Decision> next() override {
    if (!losers_.empty()) {
      auto [id, n] = losers_.front();
      losers_.pop_front();
      return CancelAttempt{id, n};
    }
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      MessageId id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      if (held_.contains(id)) return give(id);
    }
    while (!later_.empty() && later_.begin()->first <= now_) {
      changed_.insert(later_.begin()->second);
      later_.erase(later_.begin());
    }
    if (freed_) {
      changed_.insert(waiting_.begin(), waiting_.end());
      waiting_.clear();
      freed_ = false;
    }
    while (!changed_.empty()) {
      MessageId id = *changed_.begin();
      changed_.erase(changed_.begin());
      auto at = held_.find(id);
      if (at == held_.end()) continue;
      if (auto d = consider(id, at->second)) return d;
    }
    Millis due = -1;
    for (const auto* times : {&later_, &ends_}) {
      if (!times->empty() && (due < 0 || times->begin()->first < due)) due = times->begin()->first;
    }
    if (due < 0 || (wakeAsked_ >= 0 && wakeAsked_ <= due)) return std::nullopt;
    wakeAsked_ = due;
    return SetTimer{due};
  }

 private:
  struct Endpoint {
    ListRow row;
    int out{0};
    int failures{0};
    Millis restUntil{0};
  };
  struct Destination {
    std::vector<EndpointId> endpoints;
    Millis waitUntil{0};
    std::size_t turn{0};
  };
  struct Sent {
    EndpointId endpoint{};
    Millis at{};
    bool out{true};
    bool neverRan{false};
    int call{};
  };
  struct Held {
    const TrafficType* type{};
    DestinationId destination{};
    OrderingKey key{};
    Millis outer{};
    Millis notBefore{0};
    bool copied{false};
    std::vector<Sent> launches;
  };

  double draw() { return static_cast<double>(randomEngine_()) / 4294967296.0; }

  void sample(Millis spent) {
    if (samples_.size() < kSamplesKept) {
      samples_.push_back(spent);
    } else {
      samples_[randomEngine_() % kSamplesKept] = spent;
    }
    if (samples_.size() % 16 != 0) return;
    std::vector<Millis> sorted = samples_;
    auto place = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * kQuantile);
    std::nth_element(sorted.begin(), place, sorted.end());
    p95_ = *place;
  }

  void over(MessageId id) {
    auto at = held_.find(id);
    if (at == held_.end()) return;
    for (std::size_t n = 0; n < at->second.launches.size(); ++n) {
      Sent& s = at->second.launches[n];
      if (!s.out) continue;
      --slots_;
      --endpoints_[s.endpoint].out;
      losers_.emplace_back(id, static_cast<int>(n));
    }
    if (at->second.key.value != 0) {
      auto& line = lines_[at->second.key];
      std::erase(line, id);
      if (!line.empty()) changed_.insert(line.front());
      if (line.empty()) lines_.erase(at->second.key);
    }
    held_.erase(at);
    freed_ = true;
  }

  Decision give(MessageId id) {
    over(id);
    return FailMessage{id};
  }

  bool repeatAllowed(const Held& h, EndpointId to) {
    for (const Sent& s : h.launches) {
      if (s.neverRan || h.type->idempotency == Idempotency::idempotent) continue;
      if (h.type->idempotency == Idempotency::nonIdempotent ||
          now_ >= s.at + 0.9 * h.type->deduplicationWindow)
        return false;
      if (h.type->deduplicationScope == DeduplicationScope::zone &&
          endpoints_[s.endpoint].row.room != endpoints_[to].row.room)
        return false;
    }
    return true;
  }

  std::optional<Decision> consider(MessageId id, Held& h) {
    bool out = std::any_of(h.launches.begin(), h.launches.end(), [](const Sent& s) { return s.out; });
    if (out && !recipe_.copies) return std::nullopt;
    if (out && (h.copied || h.type->idempotency == Idempotency::nonIdempotent)) return std::nullopt;
    if (out) {
      Millis due = h.launches.back().at + (p95_ > 0 ? p95_ : 0.6 * h.type->latencyObjective);
      if (due > now_) {
        later_.insert({due, id});
        return std::nullopt;
      }
    }
    if (h.key.value != 0 && lines_[h.key].front() != id) return std::nullopt;
    int repeats = static_cast<int>(h.launches.size()) - (h.copied ? 1 : 0);
    if (!out && repeats >= std::min(recipe_.launches, terms_.maxAttempts)) return give(id);
    if (h.notBefore > now_) {
      later_.insert({h.notBefore, id});
      return std::nullopt;
    }
    Destination& d = destinations_[h.destination];
    if (d.waitUntil > now_) {
      later_.insert({d.waitUntil, id});
      return std::nullopt;
    }
    if (slots_ >= terms_.maxConcurrentRequests) {
      waiting_.insert(id);
      return std::nullopt;
    }
    auto to = choose(h, d, out);
    if (!to) {
      bool may = std::any_of(d.endpoints.begin(), d.endpoints.end(),
                             [&](EndpointId e) { return repeatAllowed(h, e); });
      if (out) return std::nullopt;
      if (!may && !h.launches.empty()) return give(id);
      later_.insert({now_ + kBackoff, id});
      return std::nullopt;
    }
    h.copied = h.copied || out;
    ++slots_;
    ++endpoints_[*to].out;
    h.launches.push_back({*to, now_, true, false, nextCall_++});
    if (recipe_.copies && !h.copied) later_.insert({now_ + std::max(p95_, 1.0), id});
    bool last = static_cast<int>(h.launches.size()) >= recipe_.launches;
    Millis left = h.outer - now_;
    return SendAttempt{
        id, *to, static_cast<int>(h.launches.size()) - 1,
        last ? left : std::min(left, std::max(h.type->latencyObjective, kTimeoutShare * left))};
  }

  std::optional<EndpointId> choose(const Held& h, Destination& d, bool copy) {
    std::vector<EndpointId> may;
    for (EndpointId id : d.endpoints) {
      bool used =
          std::any_of(h.launches.begin(), h.launches.end(), [&](const Sent& s) { return s.endpoint == id; });
      if ((copy && used) || endpoints_[id].restUntil > now_ || !repeatAllowed(h, id)) continue;
      may.push_back(id);
    }
    if (may.empty()) return std::nullopt;
    switch (recipe_.choice) {
      case Choice::first:
        return may[randomEngine_() % may.size()];
      case Choice::turns:
        return may[d.turn++ % may.size()];
      case Choice::twoRandom: {
        EndpointId a = may[randomEngine_() % may.size()];
        EndpointId b = may[randomEngine_() % may.size()];
        return endpoints_[a].out <= endpoints_[b].out ? a : b;
      }
    }
    return std::nullopt;
  }

  const Recipe& recipe_;
  DeploymentSettings terms_;
  std::mt19937 randomEngine_;
  Millis now_{0};
  Millis p95_{0};
  Millis wakeAsked_{-1};
  int slots_{0};
  int nextCall_{1};
  bool freed_{false};
  std::vector<Millis> samples_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<MessageId, Held> held_;
  std::map<OrderingKey, std::deque<MessageId>> lines_;
  std::set<MessageId> changed_;
  std::set<MessageId> waiting_;  // for a slot
  std::set<std::pair<Millis, MessageId>> later_;
  std::set<std::pair<Millis, MessageId>> ends_;
  std::deque<std::pair<MessageId, int>> losers_;
};

}  // namespace

std::unique_ptr<Policy> policyNamed(const std::string& name, const DeploymentSettings& terms,
                                    std::uint64_t seed) {
  if (name == "ours") return std::make_unique<Ours>(terms, seed);
  for (const Recipe& r : kRecipes) {
    if (name == r.name) return std::make_unique<Textbook>(r, terms, seed);
  }
  std::string known;
  for (const std::string& n : policyNames()) known += (known.empty() ? "" : ", ") + n;
  throw ConfigError("there is no policy '" + name + "'; there are " + known);
}

const std::vector<std::string>& policyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all{"ours"};
    for (const Recipe& r : kRecipes) all.emplace_back(r.name);
    return all;
  }();
  return names;
}

}  // namespace stonewing::lab
