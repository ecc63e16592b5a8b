#include "policy/rate_pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/destination.h"

namespace stonewing {
namespace {

constexpr double kMaxDoublings = 4;  // of the backoff and of the interval; more would shut a route for good
constexpr double kRejectionRelief = 0.35;       // of a doubling, undone by a success
constexpr double kRejectingAllWindows = 3;      // overload windows of rejections alone that no limit explains
constexpr double kBackoffShare = 0.75;          // of the interval by our share, for the first backoff
constexpr double kUnknownIntervalShare = 0.16;  // of p50 for each dispatcher, where no limit is reported
constexpr double kBurstRequests = 1;            // requests at a paced route that may go ahead of their time
constexpr double kReportStep = 0.05;  // halvings by a report that nothing (or all) of the limit remains
constexpr double kTargetRemainingShare = 0.5;  // at which all dispatchers together use the limit well
constexpr double kRejectionStep = 0.5;         // halvings by a rejection
constexpr double kRecoveryWindows = 1;         // overload windows that undo one halving
constexpr double kAcceptedShare = 0.5;    // of what we accepted for it, thought to be within its capacity
constexpr double kWeightShare = 1 / 1.5;  // a listed weight may be up to half too high
constexpr double kMinRate = 1e-9;         // requests a second; keeps divisions finite

}  // namespace

void RatePacer::beginPacing(Route& route) {
  RequestPacing& pacing = route.pacing;
  if (pacing.nextPacedRequestAt_ >= 0 || !isPaced(route)) return;
  pacing.nextPacedRequestAt_ =
      std::max(0.0, clock_.now() - random_.share() * kBurstRequests * requestInterval(route));
}

bool RatePacer::isPaced(const Route& route) const {
  double reported = route.pacing.reportedRateLimit_;
  return (reported > 0 || (reported < 0 && settings_.reportsRateLimit)) && reportedRateShare(route) > 0;
}

bool RatePacer::mayRequest(const Route& route) {
  const RequestPacing& pacing = route.pacing;
  return clock_.isReached(
      std::max({pacing.retryAfterUntil_, pacing.backoffUntil_, pacing.nextPacedRequestAt_}));
}

void RatePacer::recordRequest(Route& route) {
  RequestPacing& pacing = route.pacing;
  recoverRate(route);
  if (isPaced(route)) {
    Millis interval = requestInterval(route);
    pacing.nextPacedRequestAt_ =
        std::max(pacing.nextPacedRequestAt_, clock_.now() - kBurstRequests * interval) + interval;
  } else if (pacing.consecutiveRejections_ > 0) {
    pacing.backoffUntil_ = std::max(pacing.backoffUntil_, clock_.now() + drawBackoff(route));
  }
}

void RatePacer::recordRetryAfter(Route& route, Millis retryAfter) {
  route.pacing.retryAfterUntil_ = std::max(route.pacing.retryAfterUntil_, clock_.now() + retryAfter);
}

void RatePacer::recordRejection(Route& route, Millis retryAfter, Millis sentAt) {
  RequestPacing& pacing = route.pacing;
  if (pacing.rejectedSince_ < 0) pacing.rejectedSince_ = clock_.now();
  if (sentAt >= pacing.lastRejectionAt_)
    pacing.consecutiveRejections_ = std::min(pacing.consecutiveRejections_ + 1, kMaxDoublings);
  pacing.lastRejectionAt_ = clock_.now();
  if (isPaced(route)) {
    recoverRate(route);
    pacing.rateHalvings_ = std::min(pacing.rateHalvings_ + kRejectionStep, kMaxDoublings);
    pacing.nextPacedRequestAt_ = std::max(
        pacing.nextPacedRequestAt_, clock_.now() + retryAfter + requestInterval(route) * random_.share());
  } else {
    pacing.backoffUntil_ = std::max(pacing.backoffUntil_, clock_.now() + retryAfter + drawBackoff(route));
  }
}

void RatePacer::recordSuccess(Route& route, Millis sentAt) {
  RequestPacing& pacing = route.pacing;
  pacing.rejectedSince_ = -1;
  if (sentAt >= pacing.lastRejectionAt_)
    pacing.consecutiveRejections_ = std::max(0.0, pacing.consecutiveRejections_ - kRejectionRelief);
}

void RatePacer::recordLoadReport(Route& route, const Endpoint& endpoint, LoadReport report) {
  RequestPacing& pacing = route.pacing;
  if (report.rateLimit < 0) return;
  pacing.reportedRateLimit_ = report.rateLimit;
  loadReportSeen_ = true;
  recoverRate(route);
  if (report.rateLimit <= 0 || report.remainingShare < 0) return;
  double minHalvings = endpoint.maxBatchSize > 1 ? 0 : -kMaxDoublings;
  pacing.rateHalvings_ +=
      kReportStep * (kTargetRemainingShare - std::min(1.0, report.remainingShare)) / kTargetRemainingShare;
  pacing.rateHalvings_ = std::clamp(pacing.rateHalvings_, minHalvings, kMaxDoublings);
}

bool RatePacer::isRejectingAll(const Route& route) const {
  return route.pacing.consecutiveRejections_ >= kMaxDoublings &&
         clock_.now() - route.pacing.rejectedSince_ > kRejectingAllWindows * settings_.overloadWindow;
}

// Dispatchers carry unequal loads, so besides our even share of a reported limit a share of what we accepted
// for the route counts: limits are made for what comes. Not all of it, since surges and retries by clients
// are accepted too.
double RatePacer::capacityShare(const Route& route) const {
  auto part = static_cast<double>(route.endpoints.size()) /
              std::max(1.0, static_cast<double>(route.destination->ranking.size()));
  double accepted = kAcceptedShare * part * route.destination->acceptedCount /
                    std::max(settings_.slowStartDuration, clock_.uptime());
  return std::max({reportedRateShare(route), accepted * 1000, kMinRate});
}

// Our even share of the reported limit, requests a second; 0 where there is none.
double RatePacer::reportedRateShare(const Route& route) const {
  double reported = route.pacing.reportedRateLimit_;
  if (reported < 0 && settings_.hasReportedWeights) {
    for (const Endpoint* endpoint : route.endpoints)
      reported = std::max(reported, endpoint->weight * kWeightShare);
  }
  return std::max(0.0, reported) / settings_.dispatcherCount;
}

// Bounded by the slow-start duration. Without this, noise that reads as a limit near zero would keep a route
// shut.
Millis RatePacer::requestInterval(const Route& route) const {
  return std::min(settings_.slowStartDuration, 1000 * std::exp2(route.pacing.rateHalvings_) /
                                                   std::max(kMinRate, reportedRateShare(route)));
}

// A rate limit can lie below one request after the other, at one dispatcher or at all together, and rejected
// requests can use it up: then all dispatchers keep the route shut for each other. So the limit goes on below
// one request in flight as a backoff between requests, doubled by a rejection and reduced by a success.
// Backoffs longer than the interval by our share of the limit would leave the limit unused.
Millis RatePacer::drawBackoff(const Route& route) {
  Millis interval = 1000 / capacityShare(route);
  if (reportedRateShare(route) <= 0) {
    interval = std::min(interval, latencies_.typicalLatency(route, settings_.types.front()).p50 *
                                      std::max(1.0, kUnknownIntervalShare * settings_.dispatcherCount));
  }
  return interval * kBackoffShare * std::exp2(route.pacing.consecutiveRejections_ - 1) *
         (0.5 + random_.share());
}

void RatePacer::recoverRate(Route& route) {
  RequestPacing& pacing = route.pacing;
  Millis elapsed = clock_.now() - std::exchange(pacing.rateHalvingsAt_, clock_.now());
  if (pacing.rateHalvings_ <= 0) return;
  pacing.rateHalvings_ =
      std::max(0.0, pacing.rateHalvings_ - elapsed / (kRecoveryWindows * settings_.overloadWindow));
}

}  // namespace stonewing
