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

enum class EndpointChoice { first, roundRobin, twoRandom };

struct BaselineSettings {
  const char* name;
  EndpointChoice choice;
  int attempts;  // of a message, hedges not counted
  bool hasCircuitBreaker;
  bool mayHedge;
};

constexpr BaselineSettings kBaselines[] = {
    {"one-try", EndpointChoice::first, 1, false, false},
    {"round-robin", EndpointChoice::roundRobin, 3, true, false},
    {"two-choices", EndpointChoice::twoRandom, 3, true, false},
    {"free-hedge", EndpointChoice::roundRobin, 3, false, true},
};

constexpr int kBreakerFailures = 5;
constexpr Millis kBreakerOpenDuration = 5000;
constexpr double kTimeoutShare = 0.5;  // of the time left, for one attempt
constexpr Millis kBackoff = 50;
constexpr std::size_t kMaxSamples = 200;
constexpr double kQuantile = 0.95;

class ProductPolicy final : public LabPolicy {
 public:
  ProductPolicy(const DeploymentSettings& settings, std::uint64_t seed) : policy_(settings, seed) {}
  void beginRound(Millis now) override { policy_.beginRound(now); }
  void updateEndpointList(const std::vector<EndpointListEntry>& entries, bool isWhole) override {
    policy_.beginEndpointList();
    for (const EndpointListEntry& r : entries)
      policy_.addEndpoint(r.id, r.destination, KindId{0}, r.zone, r.weight, r.state);
    policy_.commitEndpointList(isWhole);
  }
  void acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                     DestinationId destination, Millis deadline) override {
    policy_.acceptMessage(id, type, tenant, key, destination, deadline);
  }
  void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt,
                            bool provablyNotExecuted) override {
    policy_.recordEarlierAttempt(id, endpoint, sentAt, provablyNotExecuted);
  }
  void recordConnectionIdleTime(MessageId id, int attempt, Millis idle) override {
    policy_.recordConnectionIdleTime(id, attempt, idle);
  }
  void recordAttemptOutcome(MessageId id, int attempt, AttemptOutcome outcome, Millis latency, bool isFinal,
                            Millis retryAfter, LoadReport report) override {
    policy_.recordAttemptOutcome(id, attempt, outcome, latency, isFinal, retryAfter, report);
  }
  void recordHealthCheckOutcome(EndpointId id, AttemptOutcome outcome, LoadReport report) override {
    policy_.recordHealthCheckOutcome(id, outcome, report);
  }
  void cancelMessage(MessageId id) override { policy_.cancelMessage(id); }
  void recordTimerFired() override { policy_.recordTimerFired(); }
  std::optional<Decision> nextDecision() override { return policy_.nextDecision(); }
  bool mayStartAttempt(MessageId id, int attempt) const override {
    return policy_.mayStartAttempt(id, attempt);
  }
  int requestOf(MessageId id, int attempt) const override {
    return policy_.state().messages.at(id).attempts.at(static_cast<std::size_t>(attempt)).requestId;
  }
  int messagesInFlight() const override { return policy_.state().messagesInFlight; }

 private:
  DispatchPolicy policy_;
};

class BaselinePolicy final : public LabPolicy {
 public:
  BaselinePolicy(const BaselineSettings& baseline, const DeploymentSettings& settings, std::uint64_t seed)
      : baseline_(baseline),
        settings_(settings),
        randomEngine_(static_cast<std::mt19937::result_type>(seed)) {}

  void beginRound(Millis now) override { now_ = now; }

  void updateEndpointList(const std::vector<EndpointListEntry>& entries, bool isWhole) override {
    if (isWhole) {
      for (auto& [id, e] : endpoints_) e.entry.state = EndpointState::removed;
    }
    for (const EndpointListEntry& r : entries) endpoints_[r.id].entry = r;
    for (auto& [id, d] : destinations_) d.endpoints.clear();
    for (auto& [id, e] : endpoints_) {
      if (e.entry.state == EndpointState::ready) destinations_[e.entry.destination].endpoints.push_back(id);
    }
  }

  void acceptMessage(MessageId id, TrafficTypeId type, TenantId, OrderingKey key, DestinationId destination,
                     Millis deadline) override {
    PendingMessage& h = messages_[id];
    h.type = &settings_.types.at(type.value);
    h.destination = destination;
    h.deadline = deadline;
    h.key = h.type->ordered ? key : OrderingKey{};
    if (h.key.value != 0) orderingQueues_[h.key].push_back(id);
    toConsider_.insert(id);
    deadlines_.insert({deadline, id});
  }

  void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt,
                            bool provablyNotExecuted) override {
    messages_.at(id).attempts.push_back({endpoint, sentAt, false, provablyNotExecuted, 0});
  }

  void recordConnectionIdleTime(MessageId, int, Millis) override {}

  void recordAttemptOutcome(MessageId id, int attempt, AttemptOutcome outcome, Millis latency, bool isFinal,
                            Millis retryAfter, LoadReport) override {
    auto at = messages_.find(id);
    if (at == messages_.end() || !at->second.attempts.at(static_cast<std::size_t>(attempt)).isOpen) return;
    PendingMessage& h = at->second;
    SentAttempt& s = h.attempts[static_cast<std::size_t>(attempt)];
    s.isOpen = false;
    s.provablyNotExecuted = outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connectFailed ||
                            outcome == AttemptOutcome::notSent;
    --openRequests_;
    Endpoint& e = endpoints_[s.endpoint];
    --e.openRequests;
    if (retryAfter > 0) {
      Millis& until = destinations_[h.destination].retryAfterUntil;
      until = std::max(until, now_ + retryAfter);
    }
    if (outcome == AttemptOutcome::completed) {
      e.failures = 0;
      sample(latency);
    } else if (outcome != AttemptOutcome::cancelled && ++e.failures >= kBreakerFailures &&
               baseline_.hasCircuitBreaker) {
      e.breakerOpenUntil = now_ + kBreakerOpenDuration;
      e.failures = 0;
    }
    h.notBefore = now_ + kBackoff * std::exp2(static_cast<double>(h.attempts.size()) - 1) * (0.5 + draw());
    if (isFinal || outcome == AttemptOutcome::completed) return finish(id);
    toConsider_.insert(id);
    capacityFreed_ = true;
  }

  void recordHealthCheckOutcome(EndpointId, AttemptOutcome, LoadReport) override {}
  void cancelMessage(MessageId id) override { finish(id); }
  void recordTimerFired() override { timerAt_ = -1; }
  bool mayStartAttempt(MessageId id, int attempt) const override {
    auto at = messages_.find(id);
    if (at == messages_.end()) return false;
    const SentAttempt& s = at->second.attempts.at(static_cast<std::size_t>(attempt));
    return endpoints_.at(s.endpoint).entry.state == EndpointState::ready;
  }
  int requestOf(MessageId id, int attempt) const override {
    return messages_.at(id).attempts.at(static_cast<std::size_t>(attempt)).request;
  }
  int messagesInFlight() const override { return static_cast<int>(messages_.size()); }

  std::optional<Decision> nextDecision() override {
    if (!toCancel_.empty()) {
      auto [id, n] = toCancel_.front();
      toCancel_.pop_front();
      return CancelAttempt{id, n};
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
      MessageId id = deadlines_.begin()->second;
      deadlines_.erase(deadlines_.begin());
      if (messages_.contains(id)) return fail(id);
    }
    while (!retryTimes_.empty() && retryTimes_.begin()->first <= now_) {
      toConsider_.insert(retryTimes_.begin()->second);
      retryTimes_.erase(retryTimes_.begin());
    }
    if (capacityFreed_) {
      toConsider_.insert(waitingForCapacity_.begin(), waitingForCapacity_.end());
      waitingForCapacity_.clear();
      capacityFreed_ = false;
    }
    while (!toConsider_.empty()) {
      MessageId id = *toConsider_.begin();
      toConsider_.erase(toConsider_.begin());
      auto at = messages_.find(id);
      if (at == messages_.end()) continue;
      if (auto d = consider(id, at->second)) return d;
    }
    Millis due = -1;
    for (const auto* times : {&retryTimes_, &deadlines_}) {
      if (!times->empty() && (due < 0 || times->begin()->first < due)) due = times->begin()->first;
    }
    if (due < 0 || (timerAt_ >= 0 && timerAt_ <= due)) return std::nullopt;
    timerAt_ = due;
    return SetTimer{due};
  }

 private:
  struct Endpoint {
    EndpointListEntry entry;
    int openRequests{0};
    int failures{0};
    Millis breakerOpenUntil{0};
  };
  struct Destination {
    std::vector<EndpointId> endpoints;
    Millis retryAfterUntil{0};
    std::size_t turn{0};
  };
  struct SentAttempt {
    EndpointId endpoint{};
    Millis at{};
    bool isOpen{true};
    bool provablyNotExecuted{false};
    int request{};
  };
  struct PendingMessage {
    const TrafficType* type{};
    DestinationId destination{};
    OrderingKey key{};
    Millis deadline{};
    Millis notBefore{0};
    bool hedged{false};
    std::vector<SentAttempt> attempts;
  };

  double draw() { return static_cast<double>(randomEngine_()) / 4294967296.0; }

  void sample(Millis latency) {
    if (samples_.size() < kMaxSamples) {
      samples_.push_back(latency);
    } else {
      samples_[randomEngine_() % kMaxSamples] = latency;
    }
    if (samples_.size() % 16 != 0) return;
    std::vector<Millis> sorted = samples_;
    auto place = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * kQuantile);
    std::nth_element(sorted.begin(), place, sorted.end());
    p95_ = *place;
  }

  void finish(MessageId id) {
    auto at = messages_.find(id);
    if (at == messages_.end()) return;
    for (std::size_t n = 0; n < at->second.attempts.size(); ++n) {
      SentAttempt& s = at->second.attempts[n];
      if (!s.isOpen) continue;
      --openRequests_;
      --endpoints_[s.endpoint].openRequests;
      toCancel_.emplace_back(id, static_cast<int>(n));
    }
    if (at->second.key.value != 0) {
      auto& queue = orderingQueues_[at->second.key];
      std::erase(queue, id);
      if (!queue.empty()) toConsider_.insert(queue.front());
      if (queue.empty()) orderingQueues_.erase(at->second.key);
    }
    messages_.erase(at);
    capacityFreed_ = true;
  }

  Decision fail(MessageId id) {
    finish(id);
    return FailMessage{id};
  }

  bool repeatAllowed(const PendingMessage& h, EndpointId to) {
    for (const SentAttempt& s : h.attempts) {
      if (s.provablyNotExecuted || h.type->idempotency == Idempotency::idempotent) continue;
      if (h.type->idempotency == Idempotency::nonIdempotent ||
          now_ >= s.at + 0.9 * h.type->deduplicationWindow)
        return false;
      if (h.type->deduplicationScope == DeduplicationScope::zone &&
          endpoints_[s.endpoint].entry.zone != endpoints_[to].entry.zone)
        return false;
    }
    return true;
  }

  std::optional<Decision> consider(MessageId id, PendingMessage& h) {
    bool hasOpenAttempt =
        std::any_of(h.attempts.begin(), h.attempts.end(), [](const SentAttempt& s) { return s.isOpen; });
    if (hasOpenAttempt && !baseline_.mayHedge) return std::nullopt;
    if (hasOpenAttempt && (h.hedged || h.type->idempotency == Idempotency::nonIdempotent))
      return std::nullopt;
    if (hasOpenAttempt) {
      Millis due = h.attempts.back().at + (p95_ > 0 ? p95_ : 0.6 * h.type->latencyObjective);
      if (due > now_) {
        retryTimes_.insert({due, id});
        return std::nullopt;
      }
    }
    if (h.key.value != 0 && orderingQueues_[h.key].front() != id) return std::nullopt;
    int repeats = static_cast<int>(h.attempts.size()) - (h.hedged ? 1 : 0);
    if (!hasOpenAttempt && repeats >= std::min(baseline_.attempts, settings_.maxAttempts)) return fail(id);
    if (h.notBefore > now_) {
      retryTimes_.insert({h.notBefore, id});
      return std::nullopt;
    }
    Destination& d = destinations_[h.destination];
    if (d.retryAfterUntil > now_) {
      retryTimes_.insert({d.retryAfterUntil, id});
      return std::nullopt;
    }
    if (openRequests_ >= settings_.maxConcurrentRequests) {
      waitingForCapacity_.insert(id);
      return std::nullopt;
    }
    auto to = choose(h, d, hasOpenAttempt);
    if (!to) {
      bool anyAllowed = std::any_of(d.endpoints.begin(), d.endpoints.end(),
                                    [&](EndpointId e) { return repeatAllowed(h, e); });
      if (hasOpenAttempt) return std::nullopt;
      if (!anyAllowed && !h.attempts.empty()) return fail(id);
      retryTimes_.insert({now_ + kBackoff, id});
      return std::nullopt;
    }
    h.hedged = h.hedged || hasOpenAttempt;
    ++openRequests_;
    ++endpoints_[*to].openRequests;
    h.attempts.push_back({*to, now_, true, false, nextRequest_++});
    if (baseline_.mayHedge && !h.hedged) retryTimes_.insert({now_ + std::max(p95_, 1.0), id});
    bool last = static_cast<int>(h.attempts.size()) >= baseline_.attempts;
    Millis left = h.deadline - now_;
    return SendAttempt{
        id, *to, static_cast<int>(h.attempts.size()) - 1,
        last ? left : std::min(left, std::max(h.type->latencyObjective, kTimeoutShare * left))};
  }

  std::optional<EndpointId> choose(const PendingMessage& h, Destination& d, bool isHedge) {
    std::vector<EndpointId> candidates;
    for (EndpointId id : d.endpoints) {
      bool used = std::any_of(h.attempts.begin(), h.attempts.end(),
                              [&](const SentAttempt& s) { return s.endpoint == id; });
      if ((isHedge && used) || endpoints_[id].breakerOpenUntil > now_ || !repeatAllowed(h, id)) continue;
      candidates.push_back(id);
    }
    if (candidates.empty()) return std::nullopt;
    switch (baseline_.choice) {
      case EndpointChoice::first:
        return candidates[randomEngine_() % candidates.size()];
      case EndpointChoice::roundRobin:
        return candidates[d.turn++ % candidates.size()];
      case EndpointChoice::twoRandom: {
        EndpointId a = candidates[randomEngine_() % candidates.size()];
        EndpointId b = candidates[randomEngine_() % candidates.size()];
        return endpoints_[a].openRequests <= endpoints_[b].openRequests ? a : b;
      }
    }
    return std::nullopt;
  }

  const BaselineSettings& baseline_;
  DeploymentSettings settings_;
  std::mt19937 randomEngine_;
  Millis now_{0};
  Millis p95_{0};
  Millis timerAt_{-1};
  int openRequests_{0};
  int nextRequest_{1};
  bool capacityFreed_{false};
  std::vector<Millis> samples_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<MessageId, PendingMessage> messages_;
  std::map<OrderingKey, std::deque<MessageId>> orderingQueues_;
  std::set<MessageId> toConsider_;
  std::set<MessageId> waitingForCapacity_;  // for a slot
  std::set<std::pair<Millis, MessageId>> retryTimes_;
  std::set<std::pair<Millis, MessageId>> deadlines_;
  std::deque<std::pair<MessageId, int>> toCancel_;
};

}  // namespace

std::unique_ptr<LabPolicy> makePolicy(const std::string& name, const DeploymentSettings& settings,
                                      std::uint64_t seed) {
  if (name == "ours") return std::make_unique<ProductPolicy>(settings, seed);
  for (const BaselineSettings& r : kBaselines) {
    if (name == r.name) return std::make_unique<BaselinePolicy>(r, settings, seed);
  }
  std::string known;
  for (const std::string& n : policyNames()) known += (known.empty() ? "" : ", ") + n;
  throw ConfigError("there is no policy '" + name + "'; there are " + known);
}

const std::vector<std::string>& policyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all{"ours"};
    for (const BaselineSettings& r : kBaselines) all.emplace_back(r.name);
    return all;
  }();
  return names;
}

}  // namespace stonewing::lab
