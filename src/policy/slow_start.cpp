#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stonewing {
namespace {

constexpr double kResponseWeight = 1.0 / 8;     // of each response in the running share that succeeds
constexpr double kConnectFailedWeight = 0.4;    // in place of it: it holds a request for its whole time-out
constexpr double kOutageSuccessShare = 0.5;     // at or below it a route is out
constexpr double kMaxRateLimitWindows = 1.4;    // overload windows; a longer Retry-After is no rate limit's
constexpr double kShortOutageWindows = 2;       // overload windows without a success that need no slow start
constexpr double kOverloadBudgetShare = 0.55;   // of the overload threshold; below two thirds, so that our
                                                // sends alone overload nothing
constexpr double kMinSendsPerWindow = 1;        // in an overload window from all dispatchers together
constexpr double kFurtherMessageWeight = 0.25;  // of a further message in a request, in requests
constexpr double kMaxBatchWeight = 2;  // of a request while warming up, in requests; a full batch would be
                                       // an overload of its own
constexpr double kMinJitter = 0.75;    // of an interval, so that dispatchers do not send in step
constexpr double kJitterRange = 0.5;

}  // namespace

void SlowStart::recordSuccess(Route& route, Millis sentAt) {
  RouteRecovery& recovery = route.recovery;
  if (!recovery.warmingUp_) {
    recovery.recentSuccesses_ =
        1 + recovery.recentSuccesses_ *
                std::exp(-(clock_.now() - recovery.recentSuccessesAt_) / settings_.slowStartDuration);
    recovery.recentSuccessesAt_ = clock_.now();
  }
  if (recovery.outage_ && recovery.outageConfirmed_) endOutage(route);
  recovery.lastSuccessAt_ = clock_.now();
  recovery.lastSuccessSentAt_ = std::max(recovery.lastSuccessSentAt_, sentAt);
  if (std::exchange(recovery.outage_, false)) healthChecks_.addAll(route);
  recovery.successShare_ += kResponseWeight * (1 - recovery.successShare_);
}

// One failure proves little, nor do a few in a row where a part of the requests breaks: an outage fails most.
void SlowStart::recordFailure(Route& route, Millis sentAt, AttemptOutcome outcome) {
  RouteRecovery& recovery = route.recovery;
  if (recovery.outage_) recovery.outageConfirmed_ = true;
  // Later attempts complete: the route is crowded or this one unlucky, but it is not out.
  if (recovery.outage_ || recovery.lastSuccessAt_ > sentAt) return;
  recovery.successShare_ *=
      1 - (outcome == AttemptOutcome::connectFailed ? kConnectFailedWeight : kResponseWeight);
  if (recovery.successShare_ > kOutageSuccessShare) return;
  recovery.outageConfirmed_ = true;
  beginOutage(route);
}

// An outage, not merely a rate limit: a wait longer than a limit's span, or rejections alone for long. A
// limit that others use up rejects us a few times in a row too, and a slow start after that would cost
// capacity.
void SlowStart::recordRejection(Route& route, Millis retryAfter) {
  RouteRecovery& recovery = route.recovery;
  bool isRejectingAll = pacer_.isRejectingAll(route);
  if (recovery.outage_) recovery.outageConfirmed_ = true;
  if (recovery.outage_) return;
  if (retryAfter <= kMaxRateLimitWindows * settings_.overloadWindow && !isRejectingAll) return;
  recovery.outageConfirmed_ = true;
  beginOutage(route);
}

void SlowStart::recordHealthCheckSuccess(Route& route, const Endpoint& endpoint) {
  if (route.recovery.outage_) endOutage(route);
  // Of an endpoint that hung: pending attempts there tell no more of the route.
  if (!endpoint.failures.isUnresponsive()) route.recovery.lastSuccessAt_ = clock_.now();
}

void SlowStart::recordSilence(Route& route) { beginOutage(route); }

void SlowStart::beginOutage(Route& route) {
  RouteRecovery& recovery = route.recovery;
  recovery.outage_ = true;
  recovery.warmingUp_ = false;
  recovery.nextSendAt_ =
      std::max(route.pacing.retryAfterUntil(), clock_.now()) + sendInterval(route) * random_.share();
  healthChecks_.addAll(route);
}

void SlowStart::endOutage(Route& route) {
  RouteRecovery& recovery = route.recovery;
  recovery.outage_ = false;
  recovery.warmingUp_ =
      clock_.now() - recovery.lastSuccessAt_ > kShortOutageWindows * settings_.overloadWindow;
  recovery.warmUpStartedAt_ = recovery.recentSuccessesAt_ = clock_.now();
  recovery.nextSendAt_ = clock_.now() + sendInterval(route) * random_.share();
  recovery.successShare_ = 1;
  pacer_.clearRejections(route);
  healthChecks_.addAll(route);
}

bool SlowStart::mayRequest(Route& route) {
  RouteRecovery& recovery = route.recovery;
  if (recovery.warmingUp_ && clock_.now() - recovery.warmUpStartedAt_ >= settings_.slowStartDuration) {
    recovery.warmingUp_ = recovery.outageConfirmed_ = false;
    healthChecks_.addAll(route);
  }
  if (!recovery.isLimited()) return true;
  if (recovery.outage_ && settings_.mayHealthCheck) return false;
  Millis opensAt = recovery.nextSendAt_;
  if (recovery.warmingUp_) {
    Millis warmUpEndsAt = recovery.warmUpStartedAt_ + settings_.slowStartDuration;
    opensAt = std::min(opensAt, warmUpEndsAt);
  }
  clock_.wakeAt(opensAt);
  return clock_.now() >= recovery.nextSendAt_;
}

bool SlowStart::mayGrowBatch(const Route& route, int batchSize) const {
  if (!route.recovery.isLimited()) return true;
  return 1 + kFurtherMessageWeight * batchSize <=
         std::max(kMaxBatchWeight, settings_.overloadWindow / sendInterval(route));
}

void SlowStart::recordSend(Route& route) {
  if (!route.recovery.isLimited()) return;
  route.recovery.nextSendAt_ =
      clock_.now() + sendInterval(route) * (kMinJitter + kJitterRange * random_.share());
}

void SlowStart::recordBatchedMessage(Route& route) {
  if (!route.recovery.isLimited()) return;
  route.recovery.nextSendAt_ += kFurtherMessageWeight * sendInterval(route);
}

// The time between two sends: the rate grows linearly from the initial share to the whole over the warm-up.
// Where our share is not known, all dispatchers together send about kMinSendsPerWindow in an overload window.
Millis SlowStart::sendInterval(const Route& route) const {
  const RouteRecovery& recovery = route.recovery;
  double warmShare =
      recovery.warmingUp_
          ? std::clamp((clock_.now() - recovery.warmUpStartedAt_) / settings_.slowStartDuration, 0.0, 1.0)
          : 0;
  double fullRate = kOverloadBudgetShare * settings_.overloadThreshold * provenCapacityShare(route) / 1000;
  double minRate = kMinSendsPerWindow / settings_.dispatcherCount / settings_.overloadWindow;
  double rate = std::max(minRate, fullRate * (settings_.slowStartInitialShare +
                                              (1 - settings_.slowStartInitialShare) * warmShare));
  double growth = recovery.warmingUp_
                      ? fullRate * (1 - settings_.slowStartInitialShare) / settings_.slowStartDuration
                      : 0;
  return growth > 0 ? (std::sqrt(rate * rate + 2 * growth) - rate) / growth : 1 / rate;
}

// Our share of the route's capacity, requests a second, by what it did for us before the outage if that is
// more.
double SlowStart::provenCapacityShare(const Route& route) const {
  // At least an overload window: one or two successes alone prove no rate.
  Millis span = std::clamp(clock_.uptime(), settings_.overloadWindow, settings_.slowStartDuration);
  return std::max(route.recovery.recentSuccesses_ / span * 1000, pacer_.capacityShare(route));
}

}  // namespace stonewing
