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

constexpr int kHeldMost = 20000;
constexpr Millis kLongestAdvice = 2000;

struct Command {
  std::uint32_t callback{};
  Millis at{};  // when it reached the socket
};

struct Verdict {
  bool take{true};
  Millis wait{0};
};

// What decides on a command as it is read.
class Gate {
 public:
  virtual ~Gate() = default;
  virtual Verdict asked(Millis now, Millis queued, int held, Millis worked) = 0;
  virtual void answered(Millis, Millis) {}                // how long a command took from socket to answer
  virtual void turnEnded(Millis, Millis, std::size_t) {}  // its work, and the commands still unread
  virtual void ended(Millis) {}
  // Whether a client may send at all; only a gate that hands out credits says no.
  virtual bool maySend(Millis) { return true; }
};

class Always final : public Gate {
 public:
  Verdict asked(Millis, Millis, int held, Millis) override { return {held < kHeldMost, 0}; }
};

// The dispatcher's own, as it is.
class Work final : public Gate {
 public:
  explicit Work(std::uint64_t seed) : admission_({kHeldMost, true, kLongestAdvice, 1, 0.05}, seed) {}
  Verdict asked(Millis now, Millis, int held, Millis worked) override {
    AdmissionDecision call = admission_.decide({now, held, 0, 0, worked}, 1, false);
    return {call.accepted, call.retryAfter};
  }
  void turnEnded(Millis now, Millis worked, std::size_t) override { admission_.recordTurn(now, worked); }
  void ended(Millis now) override { admission_.recordFinished(now); }

 private:
  AdmissionController admission_;
};

// CoDel (RFC 8289) over the time that a command lay unread, where a drop is a refusal.
class CoDel final : public Gate {
 public:
  Verdict asked(Millis now, Millis queued, int held, Millis) override {
    if (held >= kHeldMost) return {false, 0};
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

// Credits as Breakwater hands them out: a client sends only with one, and their number follows the delay.
// Idealised: clients learn of them at once and for nothing.
class Credits final : public Gate {
 public:
  Verdict asked(Millis, Millis, int held, Millis) override { return {held < kHeldMost, 0}; }
  void answered(Millis, Millis) override { --out_; }
  void turnEnded(Millis now, Millis worked, std::size_t unread) override {
    if (now < nextAt_) return;
    nextAt_ = now + 1;
    Millis delay = worked + static_cast<double>(unread) * 0.05;
    if (delay < kTarget) {
      credits_ += kGrowth * std::max(1.0, credits_ / 100);
    } else {
      credits_ = std::max(8.0, credits_ * std::max(0.5, 1 - kCut * (delay - kTarget) / kTarget));
    }
  }
  bool maySend(Millis) override {
    if (out_ >= credits_) return false;
    ++out_;
    return true;
  }

 private:
  static constexpr Millis kTarget = 20;
  static constexpr double kGrowth = 1;
  static constexpr double kCut = 0.2;
  double credits_{64};
  double out_{0};
  Millis nextAt_{0};
};

// A limit on commands that are in and unanswered, that follows the gradient of their delay, as in adaptive
// concurrency limits.
class Gradient final : public Gate {
 public:
  Verdict asked(Millis, Millis, int held, Millis) override {
    bool take = held < kHeldMost && in_ < limit_;
    if (take) ++in_;
    return {take, 0};
  }
  void answered(Millis, Millis spent) override {
    usual_ += (spent - usual_) / 600;
    double gradient = std::clamp(1.5 * usual_ / std::max(0.001, spent), 0.5, 1.0);
    double wanted = limit_ * gradient + std::sqrt(limit_);
    limit_ = std::clamp(limit_ + 0.2 * (wanted - limit_), 16.0, 2000.0);
  }
  void turnEnded(Millis, Millis, std::size_t) override { in_ = 0; }  // all that was read is answered

 private:
  double limit_{100};
  double in_{0};
  Millis usual_{1};
};

std::unique_ptr<Gate> gateNamed(const std::string& name, std::uint64_t seed) {
  if (name == "none") return std::make_unique<Always>();
  if (name == "work") return std::make_unique<Work>(seed);
  if (name == "codel") return std::make_unique<CoDel>();
  if (name == "credits") return std::make_unique<Credits>();
  if (name == "gradient") return std::make_unique<Gradient>();
  std::string known;
  for (const std::string& n : gateNames()) known += (known.empty() ? "" : ", ") + n;
  throw ConfigError("there is no gate '" + name + "'; there are " + known);
}

struct Client {
  Millis due{};
  int tries{0};
  Millis sentAt{-1};  // it waits for an answer since then; -1: it does not
  bool kept{false};
  bool taken{false};
  bool lost{false};
};

struct Due {
  Millis at{};
  std::uint32_t callback{};
  bool patience{false};
  int attempt{};
  bool operator>(const Due& o) const { return at > o.at; }
};

class Play {
 public:
  Play(const GatePlan& scenario, const std::string& name)
      : scenario_(scenario),
        gate_(gateNamed(name, scenario.seed)),
        randomEngine_(static_cast<std::mt19937::result_type>(scenario.seed)) {
    result_.gate = name;
    for (Millis t = 0; t < scenario.duration;) {
      bool surge = t >= scenario.surgeFrom && t < scenario.surgeUntil;
      t += -std::log(1 - uniform(randomEngine_)) * 1000 / (scenario.perSecond * (surge ? scenario.surge : 1));
      due_.push({t, static_cast<std::uint32_t>(clients_.size()), false, 0});
      clients_.push_back({t});
    }
  }

  GateResult play() {
    Millis end = scenario_.duration + kTail;
    bool stalled = scenario_.stallAt < 0;
    while (now_ < end) {
      clientsUntil(now_);
      if (!stalled && now_ >= scenario_.stallAt) {
        stalled = true;
        now_ += scenario_.stallFor;
        continue;
      }
      if (unread_.empty() && (ends_.empty() || ends_.front() > now_)) {
        Millis next = due_.empty() ? end : due_.top().at;
        if (!ends_.empty()) next = std::min(next, ends_.front());
        now_ = std::max(now_, next) + 1e-6;
        continue;
      }
      turn();
    }
    return finish();
  }

 private:
  static constexpr Millis kTail = 8000;
  static constexpr std::size_t kReadMost = 4096;

  // One turn of the loop: what has come is read, and answered at its end.
  void turn() {
    Millis began = now_;
    std::vector<std::pair<Command, Verdict>> answers;
    std::size_t many = std::min(unread_.size(), kReadMost);
    Millis work = scenario_.turn;
    for (; !ends_.empty() && ends_.front() <= began; ends_.pop_front()) {
      work += scenario_.end;
      --held_;
      gate_->ended(began);
    }
    for (std::size_t n = 0; n < many; ++n) {
      Command command = unread_.front();
      unread_.pop_front();
      // Whose client has left by then is refused unseen, as the dispatcher does.
      bool left = !waitsFor(command);
      Verdict verdict = left ? Verdict{false, 0} : gate_->asked(began, began - command.at, held_, work);
      work += scenario_.read + (verdict.take ? scenario_.take : scenario_.refuse);
      if (verdict.take) ++held_;
      answers.emplace_back(command, verdict);
    }
    now_ += work;
    clientsUntil(now_);
    for (const auto& [command, verdict] : answers) answer(command, verdict);
    gate_->turnEnded(now_, work, unread_.size());
  }

  bool waitsFor(const Command& command) const {
    const Client& c = clients_[command.callback];
    return c.sentAt >= 0 && std::abs(c.sentAt - command.at) < 1e-9;
  }

  void answer(const Command& command, const Verdict& verdict) {
    Client& c = clients_[command.callback];
    if (verdict.take) {
      ends_.push_back(now_ + scenario_.away);
      if (std::exchange(c.taken, true)) ++result_.doubled;
    }
    gate_->answered(now_, now_ - command.at);
    if (!waitsFor(command)) return;
    c.sentAt = -1;
    spent_.push_back(now_ - command.at);
    if (verdict.take) {
      c.kept = true;
      return;
    }
    ++result_.refused;
    again(command.callback,
          verdict.wait > 0 ? verdict.wait : scenario_.retryPause * (0.5 + uniform(randomEngine_)));
  }

  void again(std::uint32_t callback, Millis wait) {
    Client& c = clients_[callback];
    if (++c.tries > scenario_.retries) {
      c.lost = true;
      return;
    }
    due_.push({now_ + wait, callback, false, c.tries});
  }

  void clientsUntil(Millis until) {
    while (!due_.empty() && due_.top().at <= until) {
      Due d = due_.top();
      due_.pop();
      Client& c = clients_[d.callback];
      if (c.kept || c.lost || d.attempt != c.tries) continue;
      Millis kept = std::exchange(now_, d.at);
      if (d.patience) {
        if (c.sentAt >= 0) {
          c.sentAt = -1;
          ++result_.unanswered;
          again(d.callback, 0);
        }
      } else if (gate_->maySend(now_)) {
        c.sentAt = now_;
        unread_.push_back({d.callback, now_});
        due_.push({now_ + scenario_.patience, d.callback, true, d.attempt});
      } else {
        ++result_.refused;
        again(d.callback, scenario_.retryPause * (0.5 + uniform(randomEngine_)));
      }
      now_ = kept;
    }
  }

  GateResult finish() {
    std::sort(spent_.begin(), spent_.end());
    auto at = [&](double q) {
      return spent_.empty() ? 0.0
                            : spent_[static_cast<std::size_t>(q * static_cast<double>(spent_.size() - 1))];
    };
    result_.p50 = at(0.5);
    result_.p99 = at(0.99);
    std::uint64_t inSurge = 0, keptInSurge = 0;
    std::vector<bool> lossIn(static_cast<std::size_t>(scenario_.duration / 100) + 1);
    for (const Client& c : clients_) {
      ++result_.due;
      result_.kept += c.kept;
      if (c.due >= scenario_.surgeFrom && c.due < scenario_.surgeUntil) {
        ++inSurge;
        keptInSurge += c.kept;
      }
      if (!c.kept) lossIn[std::min(lossIn.size() - 1, static_cast<std::size_t>(c.due / 100))] = true;
    }
    result_.keptInSurge = inSurge == 0 ? 1 : static_cast<double>(keptInSurge) / static_cast<double>(inSurge);
    result_.calmAfter = -1;
    std::size_t quiet = 0;
    for (auto n = static_cast<std::size_t>(scenario_.surgeUntil / 100); n + 1 < lossIn.size(); ++n) {
      quiet = lossIn[n] ? 0 : quiet + 1;
      if (quiet < 10) continue;
      result_.calmAfter = static_cast<double>(n - 9) * 100 - scenario_.surgeUntil;
      break;
    }
    return result_;
  }

  const GatePlan& scenario_;
  std::unique_ptr<Gate> gate_;
  std::mt19937 randomEngine_;
  Millis now_{0};
  std::vector<Client> clients_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::deque<Command> unread_;
  std::deque<Millis> ends_;
  int held_{0};
  std::vector<Millis> spent_;
  GateResult result_;
};

}  // namespace

const std::vector<std::string>& gateNames() {
  static const std::vector<std::string> names{"none", "work", "codel", "credits", "gradient"};
  return names;
}

GateResult playGate(const GatePlan& scenario, const std::string& gate) { return Play(scenario, gate).play(); }

std::string tableOf(const std::vector<GateResult>& rows) {
  std::string text =
      "gate       kept    in surge  doubled  refused  unanswered  p50 ms   p99 ms   calm after ms\n";
  for (const GateResult& r : rows) {
    char line[200];
    std::snprintf(
        line, sizeof line, "%-9s %.4f  %.4f  %8llu %8llu %11llu %7.2f %8.1f  %8.0f\n", r.gate.c_str(),
        static_cast<double>(r.kept) / static_cast<double>(std::max<std::uint64_t>(1, r.due)), r.keptInSurge,
        static_cast<unsigned long long>(r.doubled), static_cast<unsigned long long>(r.refused),
        static_cast<unsigned long long>(r.unanswered), r.p50, r.p99, r.calmAfter);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
