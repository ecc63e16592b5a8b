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

// Rate limits as one route showed them. RatePacer alone writes it.
class RequestPacing {
 public:
  Millis retryAfterUntil() const { return retryAfterUntil_; }
  Millis backoffUntil() const { return backoffUntil_; }
  double consecutiveRejections() const { return consecutiveRejections_; }
  double rateHalvings() const { return rateHalvings_; }
  // Requests a second; 0: it has no limit, below 0: none was reported yet.
  double reportedRateLimit() const { return reportedRateLimit_; }

 private:
  friend class RatePacer;
  Millis retryAfterUntil_{0};
  Millis backoffUntil_{0};
  Millis nextPacedRequestAt_{-1};    // so that all dispatchers together keep to a reported limit
  double rateHalvings_{0};           // halvings of our even share of that limit; below 0 doublings
  Millis rateHalvingsAt_{0};         // when they last changed
  double consecutiveRejections_{0};  // doublings of the backoff
  Millis rejectedSince_{-1};         // since then nothing completed; -1: the last response was none
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
  bool outageConfirmed_{false};  // by a failure, not only by silence
  bool warmingUp_{false};
  Millis warmUpStartedAt_{0};
  Millis nextSendAt_{0};  // no request before, while it is out or warming up
  double successShare_{1};
  Millis lastSuccessAt_{0};
  Millis lastSuccessSentAt_{0};
  double recentSuccesses_{0};  // fading count
  Millis recentSuccessesAt_{0};
};

// Health checks of one route. HealthChecker alone writes it.
class RouteHealthChecks {
 private:
  friend class HealthChecker;
  bool pending_{false};
  std::size_t turn_{0};  // whose turn it is among its endpoints
};

// What limits and outages belong to: a destination, or one endpoint of it where the endpoint kind keeps
// routes apart. EndpointRegistry owns it and writes the endpoints, RequestTracker the requests in flight.
struct Route {
  // Ready endpoints. Rebuilt with each endpoint list, before any is forgotten, so the pointers stay valid.
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
