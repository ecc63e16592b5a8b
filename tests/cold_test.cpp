// A destination that comes back cold bears N + 2 root N + 2 calls in the span that the settings name, N being
// what they allow it then: of all dispatchers together, few or hundreds, which know nothing of each other.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <queue>
#include <random>

#include "bench_free.h"

namespace stonewing::testing {
namespace {

constexpr Millis kStep = 20;
constexpr Millis kOutFrom = 15000;
constexpr Millis kBack = 23000;
constexpr Millis kUntil = 36000;

struct World {
  int dispatchers{};
  double capacity{};  // calls a second
  double load{0.7};   // of it, all together
  bool probes{true};
  bool reports{true};
  bool restarts{false};  // half of them while the destination is out
  bool late{false};      // connections come up to a second late
};

// The most calls in a span beside what is borne then: above 1 the destination falls, and the rule is broken
// where over two thirds of them came from dispatchers that had been told of the outage.
struct Push {
  double most{0};
  double byTold{0};  // the most of a span of which over two thirds came from such
};

Push worst(const World& w, std::uint32_t seed) {
  DeploymentSettings terms = plainTerms();
  terms.types[0].deadlineAfter = 6000;
  terms.maxConcurrentRequests = 20;
  terms.maxInFlight = 2000;
  terms.dispatcherCount = w.dispatchers;
  terms.mayHealthCheck = w.probes;
  terms.mayHedge = true;
  terms.maxAttempts = 12;
  terms.reportsRateLimit = w.reports;
  struct End {
    Millis at;
    int who;
    int born;  // by which process of that dispatcher
    std::variant<SendAttempt, SendHealthCheck> what;
    Millis sent;
    bool good;
    bool operator<(const End& o) const { return at > o.at; }
  };
  std::mt19937 chance(seed);
  auto draw = [&] { return static_cast<double>(chance()) / 4294967296.0; };
  std::vector<std::unique_ptr<DispatchPolicy>> all;
  auto begin = [&](int who, Millis now) {
    terms.dispatcherIndex = static_cast<std::uint32_t>(who);
    auto rules =
        std::make_unique<DispatchPolicy>(terms, seed * 1000 + static_cast<std::uint32_t>(who) + all.size());
    rules->beginRound(now);
    rules->beginEndpointList();
    for (std::uint64_t n = 1; n <= 2; ++n)
      rules->addEndpoint(endpoint(n), DestinationId{1}, KindId{0}, ZoneId{0}, 1, EndpointState::ready);
    rules->commitEndpointList(true);
    return rules;
  };
  std::vector<double> shares;
  double sum = 0;
  for (int n = 0; n < w.dispatchers; ++n) {
    all.push_back(begin(n, 0));
    shares.push_back(1 / std::pow(n + 1, 0.7));  // uneven: some get several times the mean
    sum += shares.back();
  }
  std::priority_queue<End> ends;
  std::vector<int> born(all.size(), 0);
  std::vector<bool> told(all.size(), false);
  std::vector<std::pair<Millis, bool>>
      arrivals;  // calls and health checks that reach it from its return on; by told
  std::uint32_t next = 1;
  for (Millis now = kStep; now < kUntil; now += kStep) {
    for (auto& rules : all) rules->beginRound(now);
    if (w.restarts && std::abs(now - (kOutFrom + 4000)) < kStep / 2) {
      for (std::size_t n = 0; n < all.size(); n += 2) {
        all[n] = begin(static_cast<int>(n), now);
        ++born[n];
      }
    }
    for (; !ends.empty() && ends.top().at <= now; ends.pop()) {
      const End& e = ends.top();
      auto n = static_cast<std::size_t>(e.who);
      if (e.born != born[n]) continue;  // of a process that is no more
      if (!e.good) told[n] = true;
      AttemptOutcome ending = e.good ? AttemptOutcome::completed : AttemptOutcome::connectFailed;
      LoadReport report = e.good && w.reports ? LoadReport{w.capacity, 0.6} : LoadReport{};
      if (const auto* check = std::get_if<SendHealthCheck>(&e.what)) {
        all[n]->recordHealthCheckOutcome(check->endpoint, ending, report);
      } else {
        const auto& send = std::get<SendAttempt>(e.what);
        all[n]->recordAttemptOutcome(send.message, send.attempt, ending, now - e.sent, e.good, 0, report);
      }
    }
    for (std::size_t n = 0; n < all.size(); ++n) {
      double rate = w.capacity * w.load * shares[n] / sum * kStep / 1000;
      int many = std::poisson_distribution<int>(rate)(chance);
      for (; many > 0; --many)
        all[n]->acceptMessage(MessageId{next++}, TrafficTypeId{0}, TenantId{0}, OrderingKey{0},
                              DestinationId{1}, now + 6000);
      int lastCall = -1;
      while (auto d = all[n]->nextDecision()) {
        if (const auto* cancel = std::get_if<CancelAttempt>(&*d)) {
          all[n]->recordAttemptOutcome(cancel->message, cancel->attempt, AttemptOutcome::cancelled, 100,
                                       false, 0, {});
        }
        const auto* send = std::get_if<SendAttempt>(&*d);
        const auto* check = std::get_if<SendHealthCheck>(&*d);
        if (send == nullptr && check == nullptr) continue;
        if (send != nullptr) {
          const auto& launches = all[n]->state().messages.at(send->message).attempts;
          int call = launches.at(static_cast<std::size_t>(send->attempt)).requestId;
          if (std::exchange(lastCall, call) == call) continue;
        }
        Millis arrives = now + 40 + (w.late && draw() < 0.3 ? 1000 * draw() : 0);
        bool out = arrives >= kOutFrom && arrives < kBack;
        if (arrives >= kBack) arrivals.emplace_back(arrives, told[n]);
        End end{out ? arrives + 200 : arrives + 40, static_cast<int>(n), born[n], {}, now, !out};
        if (send != nullptr) {
          end.what = *send;
        } else {
          end.what = *check;
        }
        ends.push(end);
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  Push push;
  double byTold = 0;
  for (std::size_t i = 0, j = 0; j < arrivals.size() && arrivals[j].first < kBack + terms.slowStartDuration;
       ++j) {
    byTold += arrivals[j].second;
    while (arrivals[i].first <= arrivals[j].first - terms.overloadWindow) byTold -= arrivals[i++].second;
    double warm = std::min(1.0, (arrivals[j].first - kBack) / terms.slowStartDuration);
    double may = w.capacity * (terms.slowStartInitialShare + (1 - terms.slowStartInitialShare) * warm);
    double n = terms.overloadThreshold * may * terms.overloadWindow / 1000;
    auto many = static_cast<double>(j - i + 1);
    double part = many / (n + 2 * std::sqrt(n) + 2);
    push.most = std::max(push.most, part);
    if (byTold > many * 2 / 3) push.byTold = std::max(push.byTold, part);
  }
  return push;
}

TEST(Cold, IsNotPushedOverByAnyNumberOfDispatchersTogether) {
  for (int dispatchers : {3, 20, 30, 300}) {
    for (double capacity : {2.0, 10.0, 60.0}) {
      for (int form = 0; form < 5; ++form) {
        World w{dispatchers, capacity};
        w.probes = form != 1;
        w.reports = form != 2;
        w.restarts = form == 3;
        w.late = form == 4;
        Push push;
        std::uint32_t seeds = capacity < 5 && dispatchers < 100 ? 12 : 1;  // few calls: the most chance
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
          Push p = worst(w, seed);
          push = {std::max(p.most, push.most), std::max(p.byTold, push.byTold)};
        }
        EXPECT_LE(push.byTold, 1) << dispatchers << " dispatchers, " << capacity << ", form " << form;
        std::cout << dispatchers << " " << capacity << " form " << form << ": " << push.most << " "
                  << push.byTold << "\n";
      }
    }
  }
}

}  // namespace
}  // namespace stonewing::testing
