// The baselines: simple policies of the textbook kind, with which DispatchPolicy is compared. They respect
// idempotency and Retry-After, since no policy that violates these could be used with real endpoints, but
// they know neither slow start nor concurrency limits.
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

enum class EndpointChoice { random, roundRobin, twoRandom };

struct BaselineSettings {
  const char* name;
  EndpointChoice choice;
  int attempts;  // at most for each message, not counting hedges
  bool hasCircuitBreaker;
  bool mayHedge;
};

constexpr BaselineSettings kBaselines[] = {
    {"one-try", EndpointChoice::random, 1, false, false},
    {"round-robin", EndpointChoice::roundRobin, 3, true, false},
    {"two-choices", EndpointChoice::twoRandom, 3, true, false},
    {"free-hedge", EndpointChoice::roundRobin, 3, false, true},
};

constexpr int kBreakerFailures = 5;
constexpr Millis kBreakerOpenDuration = 5000;
constexpr double kTimeoutShare = 0.5;  // of the time to the deadline, as the timeout of one attempt
constexpr Millis kBackoff = 50;
constexpr std::size_t kMaxSamples = 200;
constexpr double kHedgeQuantile = 0.95;  // of the latency; a hedge is sent after it

// The policy of the real dispatcher.
class ProductPolicy final : public LabPolicy {
 public:
  ProductPolicy(const DeploymentSettings& settings, std::uint64_t seed) : policy_(settings, seed) {}
  void beginRound(Millis now) override { policy_.beginRound(now); }
  void updateEndpointList(const std::vector<EndpointListEntry>& entries, bool isWhole) override {
    policy_.beginEndpointList();
    for (const EndpointListEntry& entry : entries)
      policy_.addEndpoint(entry.id, entry.destination, KindId{0}, entry.zone, entry.weight, entry.state);
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
    for (const EndpointListEntry& entry : entries) endpoints_[entry.id].entry = entry;
    for (auto& [id, d] : destinations_) d.endpoints.clear();
    for (auto& [id, e] : endpoints_) {
      if (e.entry.state == EndpointState::ready) destinations_[e.entry.destination].endpoints.push_back(id);
    }
  }

  void acceptMessage(MessageId id, TrafficTypeId type, TenantId, OrderingKey key, DestinationId destination,
                     Millis deadline) override {
    PendingMessage& message = messages_[id];
    message.type = &settings_.types.at(type.value);
    message.destination = destination;
    message.deadline = deadline;
    message.key = message.type->ordered ? key : OrderingKey{};
    if (message.key.value != 0) orderingQueues_[message.key].push_back(id);
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
    PendingMessage& message = at->second;
    SentAttempt& s = message.attempts[static_cast<std::size_t>(attempt)];
    s.isOpen = false;
    s.provablyNotExecuted = outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connectFailed ||
                            outcome == AttemptOutcome::notSent;
    --openRequests_;
    Endpoint& e = endpoints_[s.endpoint];
    --e.openRequests;
    if (retryAfter > 0) {
      Millis& until = destinations_[message.destination].retryAfterUntil;
      until = std::max(until, now_ + retryAfter);
    }
    if (outcome == AttemptOutcome::completed) {
      e.failures = 0;
      addSample(latency);
    } else if (outcome != AttemptOutcome::cancelled && ++e.failures >= kBreakerFailures &&
               baseline_.hasCircuitBreaker) {
      e.breakerOpenUntil = now_ + kBreakerOpenDuration;
      e.failures = 0;
    }
    message.notBefore =
        now_ + kBackoff * std::exp2(static_cast<double>(message.attempts.size()) - 1) * (0.5 + draw());
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
    std::size_t nextEndpoint{0};  // for roundRobin
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

  void addSample(Millis latency) {
    if (samples_.size() < kMaxSamples) {
      samples_.push_back(latency);
    } else {
      samples_[randomEngine_() % kMaxSamples] = latency;
    }
    if (samples_.size() % 16 != 0) return;
    std::vector<Millis> sorted = samples_;
    auto place =
        sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * kHedgeQuantile);
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

  bool repeatAllowed(const PendingMessage& message, EndpointId to) {
    for (const SentAttempt& s : message.attempts) {
      if (s.provablyNotExecuted || message.type->idempotency == Idempotency::idempotent) continue;
      if (message.type->idempotency == Idempotency::nonIdempotent ||
          now_ >= s.at + 0.9 * message.type->deduplicationWindow)
        return false;
      if (message.type->deduplicationScope == DeduplicationScope::zone &&
          endpoints_[s.endpoint].entry.zone != endpoints_[to].entry.zone)
        return false;
    }
    return true;
  }

  std::optional<Decision> consider(MessageId id, PendingMessage& message) {
    bool hasOpenAttempt = std::any_of(message.attempts.begin(), message.attempts.end(),
                                      [](const SentAttempt& s) { return s.isOpen; });
    if (hasOpenAttempt && !baseline_.mayHedge) return std::nullopt;
    if (hasOpenAttempt && (message.hedged || message.type->idempotency == Idempotency::nonIdempotent))
      return std::nullopt;
    if (hasOpenAttempt) {
      Millis hedgeAt = message.attempts.back().at + (p95_ > 0 ? p95_ : 0.6 * message.type->latencyObjective);
      if (hedgeAt > now_) {
        retryTimes_.insert({hedgeAt, id});
        return std::nullopt;
      }
    }
    if (message.key.value != 0 && orderingQueues_[message.key].front() != id) return std::nullopt;
    int attemptsMade = static_cast<int>(message.attempts.size()) - (message.hedged ? 1 : 0);
    if (!hasOpenAttempt && attemptsMade >= std::min(baseline_.attempts, settings_.maxAttempts))
      return fail(id);
    if (message.notBefore > now_) {
      retryTimes_.insert({message.notBefore, id});
      return std::nullopt;
    }
    Destination& d = destinations_[message.destination];
    if (d.retryAfterUntil > now_) {
      retryTimes_.insert({d.retryAfterUntil, id});
      return std::nullopt;
    }
    if (openRequests_ >= settings_.maxConcurrentRequests) {
      waitingForCapacity_.insert(id);
      return std::nullopt;
    }
    auto to = choose(message, d, hasOpenAttempt);
    if (!to) {
      bool anyAllowed = std::any_of(d.endpoints.begin(), d.endpoints.end(),
                                    [&](EndpointId e) { return repeatAllowed(message, e); });
      if (hasOpenAttempt) return std::nullopt;
      if (!anyAllowed && !message.attempts.empty()) return fail(id);
      retryTimes_.insert({now_ + kBackoff, id});
      return std::nullopt;
    }
    message.hedged = message.hedged || hasOpenAttempt;
    ++openRequests_;
    ++endpoints_[*to].openRequests;
    message.attempts.push_back({*to, now_, true, false, nextRequest_++});
    if (baseline_.mayHedge && !message.hedged) retryTimes_.insert({now_ + std::max(p95_, 1.0), id});
    bool isLastAttempt = static_cast<int>(message.attempts.size()) >= baseline_.attempts;
    Millis timeLeft = message.deadline - now_;
    return SendAttempt{id, *to, static_cast<int>(message.attempts.size()) - 1,
                       isLastAttempt ? timeLeft
                                     : std::min(timeLeft, std::max(message.type->latencyObjective,
                                                                   kTimeoutShare * timeLeft))};
  }

  std::optional<EndpointId> choose(const PendingMessage& message, Destination& d, bool isHedge) {
    std::vector<EndpointId> candidates;
    for (EndpointId id : d.endpoints) {
      bool used = std::any_of(message.attempts.begin(), message.attempts.end(),
                              [&](const SentAttempt& s) { return s.endpoint == id; });
      if ((isHedge && used) || endpoints_[id].breakerOpenUntil > now_ || !repeatAllowed(message, id))
        continue;
      candidates.push_back(id);
    }
    if (candidates.empty()) return std::nullopt;
    switch (baseline_.choice) {
      case EndpointChoice::random:
        return candidates[randomEngine_() % candidates.size()];
      case EndpointChoice::roundRobin:
        return candidates[d.nextEndpoint++ % candidates.size()];
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
  std::set<MessageId> waitingForCapacity_;  // at the limit of concurrent requests
  std::set<std::pair<Millis, MessageId>> retryTimes_;
  std::set<std::pair<Millis, MessageId>> deadlines_;
  std::deque<std::pair<MessageId, int>> toCancel_;
};

}  // namespace

std::unique_ptr<LabPolicy> makePolicy(const std::string& name, const DeploymentSettings& settings,
                                      std::uint64_t seed) {
  if (name == "ours") return std::make_unique<ProductPolicy>(settings, seed);
  for (const BaselineSettings& baseline : kBaselines) {
    if (name == baseline.name) return std::make_unique<BaselinePolicy>(baseline, settings, seed);
  }
  std::string allowed;
  for (const std::string& n : policyNames()) allowed += (allowed.empty() ? "" : ", ") + n;
  throw ConfigError("policy '" + name + "' is unknown; allowed are " + allowed);
}

const std::vector<std::string>& policyNames() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> all{"ours"};
    for (const BaselineSettings& baseline : kBaselines) all.emplace_back(baseline.name);
    return all;
  }();
  return kNames;
}

}  // namespace stonewing::lab
