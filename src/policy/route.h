#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "policy/endpoint.h"

namespace stonewing {

using RouteId = Id<struct RouteTag, std::uint64_t>;

// The AIMD limit on concurrent requests. ConcurrencyLimiter alone writes it.
class ConcurrencyLimit {
 public:
  double value() const { return value_; }

 private:
  friend class ConcurrencyLimiter;
  double value_{1};
  int timelyResponses_{0};  // since the limit last changed
  Millis lastDecreaseAt_{0};
};

// The rate limits of one route, as reported or inferred from rejections. RatePacer alone writes it.
class RequestPacing {
 public:
  Millis retryAfterUntil() const { return retryAfterUntil_; }
  Millis backoffUntil() const { return backoffUntil_; }
  double consecutiveRejections() const { return consecutiveRejections_; }
  double rateHalvings() const { return rateHalvings_; }
  // Requests per second; 0: the route has no limit; below 0: no limit was reported yet.
  double reportedRateLimit() const { return reportedRateLimit_; }

 private:
  friend class RatePacer;
  Millis retryAfterUntil_{0};
  Millis backoffUntil_{0};
  Millis nextPacedRequestAt_{-1};    // keeps all dispatchers together within a reported limit
  double rateHalvings_{0};           // of this dispatcher's even share of that limit; below 0: doublings
  Millis rateHalvingsAt_{0};         // when the halvings were last updated
  double consecutiveRejections_{0};  // doublings of the backoff
  Millis rejectedSince_{-1};         // the first rejection since the last success; -1: none
  Millis lastRejectionAt_{0};
  double reportedRateLimit_{-1};
};

// Outage and recovery of one route. SlowStart alone writes it.
class RouteRecovery {
 public:
  bool isOutage() const { return outage_; }
  bool isWarmingUp() const { return warmingUp_; }
  bool isLimited() const { return outage_ || warmingUp_; }
  Millis lastSuccessAt() const { return lastSuccessAt_; }
  Millis lastSuccessSentAt() const { return lastSuccessSentAt_; }
  Millis nextSendAt() const { return nextSendAt_; }

 private:
  friend class SlowStart;
  bool outage_{false};
  bool outageConfirmed_{false};  // by a failure, not only by missing responses
  bool warmingUp_{false};
  Millis warmUpStartedAt_{0};
  Millis nextSendAt_{0};  // the earliest next request during an outage or a warm-up
  double successShare_{1};
  Millis lastSuccessAt_{0};
  Millis lastSuccessSentAt_{0};
  double recentSuccesses_{0};  // exponentially decaying count
  Millis recentSuccessesAt_{0};
};

// Health checks of one route. HealthChecker alone writes it.
class RouteHealthChecks {
 public:
  bool isPending() const { return pending_; }

 private:
  friend class HealthChecker;
  bool pending_{false};
  std::size_t nextEndpointIndex_{0};  // modulo their number, the index of the endpoint to check next
};

// The unit to which limits and outages apply: a destination or, if the endpoint kind has separate routes
// (hasRoutePerEndpoint), one of its endpoints. EndpointRegistry owns it and writes the endpoints,
// RequestTracker writes the requests in flight.
struct Route {
  // Ready endpoints. Rebuilt with each endpoint list, before any endpoint is forgotten, so the pointers stay
  // valid.
  std::vector<Endpoint*> endpoints;
  Destination* destination{};  // stays valid: destinations are never removed
  int requestsInFlight{0};
  ConcurrencyLimit limit;
  RequestPacing pacing;
  RouteRecovery recovery;
  RouteHealthChecks healthChecks;
  LatencyReservoir latencies;

  bool hasAllFailed(int times) const {
    return std::all_of(endpoints.begin(), endpoints.end(), [&](const Endpoint* endpoint) {
      return endpoint->failures.consecutiveFailures() >= times;
    });
  }
};

}  // namespace stonewing
