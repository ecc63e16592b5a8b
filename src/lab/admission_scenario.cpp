#include "lab/admission_scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <utility>

#include "admission/admission_controller.h"
#include "base/bytes.h"
#include "lab/random_draws.h"

namespace stonewing::lab {
namespace {

constexpr int kMaxInFlight = 20000;
constexpr Millis kMaxRetryAfter = 2000;

struct Command {
  std::uint32_t message{};
  Millis at{};  // when it arrived at the socket
};

struct Verdict {
  bool accept{true};
  Millis retryAfter{0};
};

// Decides whether a command is accepted at the time when the loop reads it.
class AdmissionStrategy {
 public:
  virtual ~AdmissionStrategy() = default;
  // queued: how long the command lay unread in the socket. turnWork: work of the present turn so far.
  virtual Verdict decide(Millis now, Millis queued, int inFlight, Millis turnWork) = 0;
  virtual void recordResponse(Millis, Millis) {}  // now; latency from arrival at the socket to response
  virtual void recordTurn(Millis, Millis, std::size_t) {}  // now; work of the turn; commands still unread
  virtual void recordFinished(Millis) {}                   // now
  // Whether a client may send a command now. Only a strategy with credits returns false.
  virtual bool maySend(Millis) { return true; }
};

class AcceptAll final : public AdmissionStrategy {
 public:
  Verdict decide(Millis, Millis, int inFlight, Millis) override { return {inFlight < kMaxInFlight, 0}; }
};

// The dispatcher's own admission control, the same code as in production.
class DispatcherAdmission final : public AdmissionStrategy {
 public:
  explicit DispatcherAdmission(std::uint64_t seed)
      : admission_({.maxInFlight = kMaxInFlight,
                    .mayAdviseRetryAfter = true,
                    .maxRetryAfter = kMaxRetryAfter,
                    .maxPriorityWeight = 1,
                    .overQuotaWeightShare = 0.05},
                   seed) {}
  Verdict decide(Millis now, Millis, int inFlight, Millis turnWork) override {
    AdmissionDecision decision =
        admission_.decide({.now = now, .messagesInFlight = inFlight, .workThisTurn = turnWork}, 1, false);
    return {decision.accepted, decision.retryAfter};
  }
  void recordTurn(Millis now, Millis turnWork, std::size_t) override { admission_.recordTurn(now, turnWork); }
  void recordFinished(Millis now) override { admission_.recordFinished(now); }

 private:
  AdmissionController admission_;
};

// CoDel (RFC 8289) on the time that a command waited unread in the socket. A drop is a rejection of the
// command.
class CoDel final : public AdmissionStrategy {
 public:
  Verdict decide(Millis now, Millis queued, int inFlight, Millis) override {
    if (inFlight >= kMaxInFlight) return {false, 0};
    if (queued < kTarget) {
      aboveSince_ = -1;
      dropping_ = false;
      return {};
    }
    if (aboveSince_ < 0) aboveSince_ = now;
    if (!dropping_ && now - aboveSince_ >= kInterval) {
      dropping_ = true;
      count_ = now - next_ < kInterval ? std::max(1, count_ - 2) : 1;
      next_ = now;
    }
    if (!dropping_ || now < next_) return {};
    next_ += kInterval / std::sqrt(++count_);
    return {false, 0};
  }

 private:
  static constexpr Millis kTarget = 20;
  static constexpr Millis kInterval = 100;
  Millis aboveSince_{-1};
  Millis next_{0};
  bool dropping_{false};
  int count_{0};
};

// Credits as in Breakwater: a client needs a credit for each command, and the number of credits follows the
// queueing delay. The model favours this strategy, since clients learn of new credits without delay or cost.
class Credits final : public AdmissionStrategy {
 public:
  Verdict decide(Millis, Millis, int inFlight, Millis) override { return {inFlight < kMaxInFlight, 0}; }
  void recordResponse(Millis, Millis) override { --used_; }
  void recordTurn(Millis now, Millis turnWork, std::size_t unreadCommands) override {
    if (now < nextAt_) return;
    nextAt_ = now + 1;
    Millis delay = turnWork + static_cast<double>(unreadCommands) * 0.05;
    if (delay < kTarget) {
      credits_ += kGrowth * std::max(1.0, credits_ / 100);
    } else {
      credits_ = std::max(8.0, credits_ * std::max(0.5, 1 - kCut * (delay - kTarget) / kTarget));
    }
  }
  bool maySend(Millis) override {
    if (used_ >= credits_) return false;
    ++used_;
    return true;
  }

 private:
  static constexpr Millis kTarget = 20;
  static constexpr double kGrowth = 1;
  static constexpr double kCut = 0.2;
  double credits_{64};
  double used_{0};
  Millis nextAt_{0};
};

// An adaptive concurrency limit: a limit on the commands that are accepted and not yet answered, which
// follows the gradient of the response latency.
class Gradient final : public AdmissionStrategy {
 public:
  Verdict decide(Millis, Millis, int inFlight, Millis) override {
    bool accept = inFlight < kMaxInFlight && accepted_ < limit_;
    if (accept) ++accepted_;
    return {accept, 0};
  }
  void recordResponse(Millis, Millis latency) override {
    averageLatency_ += (latency - averageLatency_) / 600;
    double gradient = std::clamp(1.5 * averageLatency_ / std::max(0.001, latency), 0.5, 1.0);
    double wanted = limit_ * gradient + std::sqrt(limit_);
    limit_ = std::clamp(limit_ + 0.2 * (wanted - limit_), 16.0, 2000.0);
  }
  // All commands that were read have been answered.
  void recordTurn(Millis, Millis, std::size_t) override { accepted_ = 0; }

 private:
  double limit_{100};
  double accepted_{0};
  Millis averageLatency_{1};
};

std::unique_ptr<AdmissionStrategy> makeAdmissionStrategy(const std::string& name, std::uint64_t seed) {
  if (name == "none") return std::make_unique<AcceptAll>();
  if (name == "work") return std::make_unique<DispatcherAdmission>(seed);
  if (name == "codel") return std::make_unique<CoDel>();
  if (name == "credits") return std::make_unique<Credits>();
  if (name == "gradient") return std::make_unique<Gradient>();
  std::string allowed;
  for (const std::string& allowedName : admissionStrategyNames())
    allowed += (allowed.empty() ? "" : ", ") + allowedName;
  throw ConfigError("unknown admission strategy '" + name + "'; allowed: " + allowed);
}

struct Client {
  Millis due{};
  int attempts{0};
  Millis sentAt{-1};  // when the command was sent that awaits a response; -1: none does
  bool acknowledged{false};
  bool accepted{false};
  bool failed{false};
};

struct ClientEvent {
  Millis at{};
  std::uint32_t message{};
  bool isTimeout{false};
  int attempt{};
  bool operator>(const ClientEvent& o) const { return at > o.at; }
};

class AdmissionSimulation {
 public:
  AdmissionSimulation(const AdmissionScenario& scenario, const std::string& name)
      : scenario_(scenario),
        strategy_(makeAdmissionStrategy(name, scenario.seed)),
        randomEngine_(static_cast<std::mt19937::result_type>(scenario.seed)) {
    result_.strategy = name;
    for (Millis t = 0; t < scenario.duration;) {
      bool surge = t >= scenario.surgeFrom && t < scenario.surgeUntil;
      t += -std::log(1 - uniform(randomEngine_)) * 1000 /
           (scenario.perSecond * (surge ? scenario.surgeFactor : 1));
      clientEvents_.push({t, static_cast<std::uint32_t>(clients_.size()), false, 0});
      clients_.push_back({t});
    }
  }

  AdmissionResult run() {
    Millis end = scenario_.duration + kTail;
    bool stalled = scenario_.stallAt < 0;
    while (now_ < end) {
      runClientsUntil(now_);
      if (!stalled && now_ >= scenario_.stallAt) {
        stalled = true;
        now_ += scenario_.stallDuration;
        continue;
      }
      if (unread_.empty() && (completions_.empty() || completions_.front() > now_)) {
        Millis next = clientEvents_.empty() ? end : clientEvents_.top().at;
        if (!completions_.empty()) next = std::min(next, completions_.front());
        now_ = std::max(now_, next) + 1e-6;
        continue;
      }
      runLoopTurn();
    }
    return finish();
  }

 private:
  static constexpr Millis kTail = 8000;
  static constexpr std::size_t kMaxCommandsPerTurn = 4096;

  // One turn of the loop: commands that have arrived are read, and answered at the end of the turn.
  void runLoopTurn() {
    Millis began = now_;
    std::vector<std::pair<Command, Verdict>> verdicts;
    std::size_t commandCount = std::min(unread_.size(), kMaxCommandsPerTurn);
    Millis work = scenario_.loopTurnCost;
    for (; !completions_.empty() && completions_.front() <= began; completions_.pop_front()) {
      work += scenario_.completionCost;
      --inFlight_;
      strategy_->recordFinished(began);
    }
    for (std::size_t n = 0; n < commandCount; ++n) {
      Command command = unread_.front();
      unread_.pop_front();
      // A command whose client has timed out is rejected without a decision of the strategy, as in the
      // dispatcher.
      bool clientTimedOut = !clientStillWaits(command);
      Verdict verdict =
          clientTimedOut ? Verdict{false, 0} : strategy_->decide(began, began - command.at, inFlight_, work);
      work += scenario_.readCost + (verdict.accept ? scenario_.acceptCost : scenario_.rejectCost);
      if (verdict.accept) ++inFlight_;
      verdicts.emplace_back(command, verdict);
    }
    now_ += work;
    runClientsUntil(now_);
    for (const auto& [command, verdict] : verdicts) respond(command, verdict);
    strategy_->recordTurn(now_, work, unread_.size());
  }

  bool clientStillWaits(const Command& command) const {
    const Client& client = clients_[command.message];
    return client.sentAt >= 0 && std::abs(client.sentAt - command.at) < 1e-9;
  }

  void respond(const Command& command, const Verdict& verdict) {
    Client& client = clients_[command.message];
    if (verdict.accept) {
      completions_.push_back(now_ + scenario_.endpointLatency);
      if (std::exchange(client.accepted, true)) ++result_.duplicated;
    }
    strategy_->recordResponse(now_, now_ - command.at);
    if (!clientStillWaits(command)) return;
    client.sentAt = -1;
    latencies_.push_back(now_ - command.at);
    if (verdict.accept) {
      client.acknowledged = true;
      return;
    }
    ++result_.rejected;
    scheduleRetry(command.message, verdict.retryAfter > 0
                                       ? verdict.retryAfter
                                       : scenario_.retryDelay * (0.5 + uniform(randomEngine_)));
  }

  void scheduleRetry(std::uint32_t message, Millis delay) {
    Client& client = clients_[message];
    if (++client.attempts > scenario_.retries) {
      client.failed = true;
      return;
    }
    clientEvents_.push({now_ + delay, message, false, client.attempts});
  }

  void runClientsUntil(Millis until) {
    while (!clientEvents_.empty() && clientEvents_.top().at <= until) {
      ClientEvent event = clientEvents_.top();
      clientEvents_.pop();
      Client& client = clients_[event.message];
      if (client.acknowledged || client.failed || event.attempt != client.attempts) continue;
      Millis loopTime = std::exchange(now_, event.at);
      if (event.isTimeout) {
        if (client.sentAt >= 0) {
          client.sentAt = -1;
          ++result_.unanswered;
          scheduleRetry(event.message, 0);
        }
      } else if (strategy_->maySend(now_)) {
        client.sentAt = now_;
        unread_.push_back({event.message, now_});
        clientEvents_.push({now_ + scenario_.clientTimeout, event.message, true, event.attempt});
      } else {
        ++result_.rejected;
        scheduleRetry(event.message, scenario_.retryDelay * (0.5 + uniform(randomEngine_)));
      }
      now_ = loopTime;
    }
  }

  AdmissionResult finish() {
    std::sort(latencies_.begin(), latencies_.end());
    auto quantile = [&](double q) {
      return latencies_.empty()
                 ? 0.0
                 : latencies_[static_cast<std::size_t>(q * static_cast<double>(latencies_.size() - 1))];
    };
    result_.p50 = quantile(0.5);
    result_.p99 = quantile(0.99);
    std::uint64_t inSurge = 0, acknowledgedInSurge = 0;
    std::vector<bool> lossIn(static_cast<std::size_t>(scenario_.duration / 100) + 1);
    for (const Client& client : clients_) {
      ++result_.due;
      result_.acknowledged += client.acknowledged;
      if (client.due >= scenario_.surgeFrom && client.due < scenario_.surgeUntil) {
        ++inSurge;
        acknowledgedInSurge += client.acknowledged;
      }
      if (!client.acknowledged)
        lossIn[std::min(lossIn.size() - 1, static_cast<std::size_t>(client.due / 100))] = true;
    }
    result_.acknowledgedInSurge =
        inSurge == 0 ? 1 : static_cast<double>(acknowledgedInSurge) / static_cast<double>(inSurge);
    result_.recoveryTime = -1;
    std::size_t lossFreeIntervals = 0;
    for (auto n = static_cast<std::size_t>(scenario_.surgeUntil / 100); n + 1 < lossIn.size(); ++n) {
      lossFreeIntervals = lossIn[n] ? 0 : lossFreeIntervals + 1;
      if (lossFreeIntervals < 10) continue;
      result_.recoveryTime = static_cast<double>(n - 9) * 100 - scenario_.surgeUntil;
      break;
    }
    return result_;
  }

  const AdmissionScenario& scenario_;
  std::unique_ptr<AdmissionStrategy> strategy_;
  std::mt19937 randomEngine_;
  Millis now_{0};
  std::vector<Client> clients_;
  std::priority_queue<ClientEvent, std::vector<ClientEvent>, std::greater<>> clientEvents_;
  std::deque<Command> unread_;
  std::deque<Millis> completions_;
  int inFlight_{0};
  std::vector<Millis> latencies_;
  AdmissionResult result_;
};

}  // namespace

const std::vector<std::string>& admissionStrategyNames() {
  static const std::vector<std::string> kNames{"none", "work", "codel", "credits", "gradient"};
  return kNames;
}

AdmissionResult runAdmissionScenario(const AdmissionScenario& scenario, const std::string& strategy) {
  return AdmissionSimulation(scenario, strategy).run();
}

std::string tableOf(const std::vector<AdmissionResult>& rows) {
  std::string text =
      "strategy  acknowledged  in surge  duplicated  rejected  unanswered   p50 ms    p99 ms  recovery ms\n";
  for (const AdmissionResult& r : rows) {
    char line[200];
    std::snprintf(
        line, sizeof line, "%-8s  %12.4f  %8.4f  %10llu  %8llu  %10llu  %7.2f  %8.1f  %11.0f\n",
        r.strategy.c_str(),
        static_cast<double>(r.acknowledged) / static_cast<double>(std::max<std::uint64_t>(1, r.due)),
        r.acknowledgedInSurge, static_cast<unsigned long long>(r.duplicated),
        static_cast<unsigned long long>(r.rejected), static_cast<unsigned long long>(r.unanswered), r.p50,
        r.p99, r.recoveryTime);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
