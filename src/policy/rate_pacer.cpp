#include "policy/rate_pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/destination.h"

namespace stonewing {
namespace {

// Doublings of the backoff and of the interval. More could keep a route closed for good.
constexpr double kMaxDoublings = 4;
constexpr double kDoublingsUndoneBySuccess = 0.35;  // of the backoff
// Overload windows in which a route only rejects, longer than under any rate limit.
constexpr double kRejectingAllWindows = 3;
constexpr double kBackoffShare = 0.75;  // of the interval at this dispatcher's share, for the first backoff
// Upper bound of that interval if no limit is reported: this share of p50, times the number of dispatchers.
constexpr double kUnknownIntervalShare = 0.16;
constexpr double kBurstRequests = 1;  // requests that may be sent early to a paced route
// Halvings added by a report that nothing of the limit remains, or undone by a report that all of it remains.
constexpr double kReportStep = 0.05;
// Share of the limit that remains while all dispatchers together use the limit well. Reports of more raise
// the rate, reports of less lower it.
constexpr double kTargetRemainingShare = 0.5;
constexpr double kRejectionStep = 0.5;    // halvings added by a rejection
constexpr double kRecoveryWindows = 1;    // overload windows in which one halving is undone
constexpr double kAcceptedShare = 0.5;    // of the accepted rate, assumed to be within the route's capacity
constexpr double kWeightShare = 1 / 1.5;  // a listed weight may exceed the capacity by up to half
constexpr double kMinRate = 1e-9;         // requests per second; keeps divisions finite

}  // namespace

void RatePacer::beginPacing(Route& route) {
  RequestPacing& pacing = route.pacing;
  if (pacing.nextPacedRequestAt_ >= 0 || !isPaced(route)) return;
  pacing.nextPacedRequestAt_ =
      std::max(0.0, clock_.now() - random_.uniform() * kBurstRequests * requestInterval(route));
}

bool RatePacer::isPaced(const Route& route) const {
  double reported = route.pacing.reportedRateLimit_;
  return (reported > 0 || (reported < 0 && settings_.reportsRateLimit)) && reportedRateShare(route) > 0;
}

Millis RatePacer::closedUntil(const Route& route) {
  const RequestPacing& pacing = route.pacing;
  return std::max({pacing.retryAfterUntil_, pacing.backoffUntil_, pacing.nextPacedRequestAt_});
}

bool RatePacer::mayRequest(const Route& route) { return clock_.isReached(closedUntil(route)); }

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
        pacing.nextPacedRequestAt_, clock_.now() + retryAfter + requestInterval(route) * random_.uniform());
  } else {
    pacing.backoffUntil_ = std::max(pacing.backoffUntil_, clock_.now() + retryAfter + drawBackoff(route));
  }
}

void RatePacer::recordSuccess(Route& route, Millis sentAt) {
  RequestPacing& pacing = route.pacing;
  pacing.rejectedSince_ = -1;
  if (sentAt >= pacing.lastRejectionAt_)
    pacing.consecutiveRejections_ = std::max(0.0, pacing.consecutiveRejections_ - kDoublingsUndoneBySuccess);
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

// Dispatchers carry unequal loads, so the share is the higher of an even share of the reported limit and a
// part of the rate that this dispatcher accepted for the route, on the assumption that limits are sized for
// the expected load. The accepted rate does not count in full, since it includes surges and retries by
// clients.
double RatePacer::capacityShare(const Route& route) const {
  auto endpointShare = static_cast<double>(route.endpoints.size()) /
                       std::max(1.0, static_cast<double>(route.destination->ranking.size()));
  double accepted = kAcceptedShare * endpointShare * route.destination->acceptedCount /
                    std::max(settings_.slowStartDuration, clock_.uptime());
  return std::max({reportedRateShare(route), accepted * 1000, kMinRate});
}

// This dispatcher's even share of the reported limit or, without a report, of the highest listed weight of
// the route's endpoints, in requests per second; 0 if the route has no limit or none is known.
double RatePacer::reportedRateShare(const Route& route) const {
  double reported = route.pacing.reportedRateLimit_;
  if (reported < 0 && settings_.hasReportedWeights) {
    for (const Endpoint* endpoint : route.endpoints)
      reported = std::max(reported, endpoint->weight * kWeightShare);
  }
  return std::max(0.0, reported) / settings_.dispatcherCount;
}

// At most the slow-start duration. Without this bound, noise in the reports that amounts to a limit near zero
// would keep the route closed.
Millis RatePacer::requestInterval(const Route& route) const {
  return std::min(settings_.slowStartDuration, 1000 * std::exp2(route.pacing.rateHalvings_) /
                                                   std::max(kMinRate, reportedRateShare(route)));
}

// A rate limit can be lower than the rate of one request at a time, from one dispatcher or from all together.
// If rejected requests count against the limit too, the dispatchers would then use it up with requests that
// are rejected, and no dispatcher would get a message through. So below one request in flight the rate is
// reduced by a backoff between requests, which a rejection doubles and a success shortens. Backoffs longer
// than the interval at this dispatcher's share of the limit would leave the limit unused.
Millis RatePacer::drawBackoff(const Route& route) {
  Millis interval = 1000 / capacityShare(route);
  if (reportedRateShare(route) <= 0) {
    interval = std::min(interval, latencies_.typicalLatency(route, settings_.types.front()).p50 *
                                      std::max(1.0, kUnknownIntervalShare * settings_.dispatcherCount));
  }
  return interval * kBackoffShare * std::exp2(route.pacing.consecutiveRejections_ - 1) *
         (0.5 + random_.uniform());
}

void RatePacer::recoverRate(Route& route) {
  RequestPacing& pacing = route.pacing;
  Millis elapsed = clock_.now() - std::exchange(pacing.rateHalvingsAt_, clock_.now());
  if (pacing.rateHalvings_ <= 0) return;
  pacing.rateHalvings_ =
      std::max(0.0, pacing.rateHalvings_ - elapsed / (kRecoveryWindows * settings_.overloadWindow));
}

}  // namespace stonewing
