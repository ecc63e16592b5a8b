#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stonewing {
namespace {

constexpr double kResponseWeight = 1.0 / 8;  // of each response in the moving average of successes
// The same for a failed connection, which occupies a request for its whole time-out.
constexpr double kConnectFailedWeight = 0.4;
constexpr double kOutageSuccessShare = 0.5;  // at or below this share of successes a route is in outage
// In overload windows: a longer Retry-After does not come from a rate limit.
constexpr double kMaxRateLimitWindows = 1.4;
// In overload windows: after a shorter time without a success no slow start is needed.
constexpr double kShortOutageWindows = 2;
// Share of the overload threshold that all dispatchers together plan to use. The rest is for estimates of the
// route's capacity that are too high, and for health checks and requests that meet by chance.
constexpr double kOverloadBudgetShare = 0.55;
constexpr double kMinSendsPerWindow = 1;        // per overload window, of all dispatchers together
constexpr double kFurtherMessageWeight = 0.25;  // of each further message of a batch, in requests
// Largest weight of a batch during warm-up, in requests. A full batch would be an overload by itself.
constexpr double kMaxBatchWeight = 2;
// Intervals are multiplied by a random factor from kMinJitter to kMinJitter + kJitterRange, so that
// dispatchers do not send at the same times.
constexpr double kMinJitter = 0.75;
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

// A single failure is no evidence of an outage, nor are a few in a row on a route where some requests fail
// all the time. In an outage most requests fail.
void SlowStart::recordFailure(Route& route, Millis sentAt, AttemptOutcome outcome) {
  RouteRecovery& recovery = route.recovery;
  if (recovery.outage_) recovery.outageConfirmed_ = true;
  // The route has completed an attempt since this one was sent. It may be busy, or this attempt may have
  // failed by chance, but the route is not in outage.
  if (recovery.outage_ || recovery.lastSuccessAt_ > sentAt) return;
  recovery.successShare_ *=
      1 - (outcome == AttemptOutcome::connectFailed ? kConnectFailedWeight : kResponseWeight);
  if (recovery.successShare_ > kOutageSuccessShare) return;
  recovery.outageConfirmed_ = true;
  beginOutage(route);
}

// Begins an outage if a rate limit does not explain the rejection: its Retry-After is longer than the period
// of any rate limit, or the route has rejected everything for long. A few rejections in a row are not enough:
// they also occur where other dispatchers use up a rate limit, and a slow start after them would waste
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
  // A success of an endpoint that did not hang counts as a success of the route, so that attempts still
  // pending at a hung endpoint do not begin the outage again.
  if (!endpoint.failures.isUnresponsive()) route.recovery.lastSuccessAt_ = clock_.now();
}

void SlowStart::recordUnresponsive(Route& route) { beginOutage(route); }

void SlowStart::beginOutage(Route& route) {
  RouteRecovery& recovery = route.recovery;
  recovery.outage_ = true;
  recovery.warmingUp_ = false;
  recovery.nextSendAt_ =
      std::max(route.pacing.retryAfterUntil(), clock_.now()) + sendInterval(route) * random_.uniform();
  healthChecks_.addAll(route);
}

void SlowStart::endOutage(Route& route) {
  RouteRecovery& recovery = route.recovery;
  recovery.outage_ = false;
  recovery.warmingUp_ =
      clock_.now() - recovery.lastSuccessAt_ > kShortOutageWindows * settings_.overloadWindow;
  recovery.warmUpStartedAt_ = recovery.recentSuccessesAt_ = clock_.now();
  recovery.nextSendAt_ = clock_.now() + sendInterval(route) * random_.uniform();
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

Millis SlowStart::closedUntil(const Route& route) const {
  const RouteRecovery& recovery = route.recovery;
  if (recovery.warmingUp_)
    return std::min(recovery.nextSendAt_, recovery.warmUpStartedAt_ + settings_.slowStartDuration);
  bool mayEndNow = route.requestsInFlight > 0 || route.healthChecks.isPending();
  return recovery.outage_ && !mayEndNow ? recovery.nextSendAt_ : clock_.now();
}

bool SlowStart::mayGrowBatch(const Route& route, int batchSize) const {
  if (!route.recovery.isLimited()) return true;
  return 1 + kFurtherMessageWeight * batchSize <=
         std::max(kMaxBatchWeight, settings_.overloadWindow / sendInterval(route));
}

void SlowStart::recordSend(Route& route) {
  if (!route.recovery.isLimited()) return;
  route.recovery.nextSendAt_ =
      clock_.now() + sendInterval(route) * (kMinJitter + kJitterRange * random_.uniform());
}

void SlowStart::recordBatchedMessage(Route& route) {
  if (!route.recovery.isLimited()) return;
  route.recovery.nextSendAt_ += kFurtherMessageWeight * sendInterval(route);
}

// The time between two sends. During the warm-up the rate grows linearly from the initial share to the full
// rate. If this dispatcher's share of the capacity is not known, all dispatchers together send about
// kMinSendsPerWindow per overload window.
Millis SlowStart::sendInterval(const Route& route) const {
  const RouteRecovery& recovery = route.recovery;
  double warmUpProgress =
      recovery.warmingUp_
          ? std::clamp((clock_.now() - recovery.warmUpStartedAt_) / settings_.slowStartDuration, 0.0, 1.0)
          : 0;
  double fullRate = kOverloadBudgetShare * settings_.overloadThreshold * provenCapacityShare(route) / 1000;
  double minRate = kMinSendsPerWindow / settings_.dispatcherCount / settings_.overloadWindow;
  double rate = std::max(minRate, fullRate * (settings_.slowStartInitialShare +
                                              (1 - settings_.slowStartInitialShare) * warmUpProgress));
  double growth = recovery.warmingUp_
                      ? fullRate * (1 - settings_.slowStartInitialShare) / settings_.slowStartDuration
                      : 0;
  return growth > 0 ? (std::sqrt(rate * rate + 2 * growth) - rate) / growth : 1 / rate;
}

// This dispatcher's share of the route's capacity, in requests per second: the estimate of RatePacer or, if
// higher, the rate at which requests of this dispatcher succeeded before the outage.
double SlowStart::provenCapacityShare(const Route& route) const {
  // At least an overload window, since one or two successes are no evidence of a rate.
  Millis span = std::clamp(clock_.uptime(), settings_.overloadWindow, settings_.slowStartDuration);
  return std::max(route.recovery.recentSuccesses_ / span * 1000, pacer_.capacityShare(route));
}

}  // namespace stonewing
