#include "policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "policy/destination.h"

namespace stonewing {
namespace {

// Limits of a route and a destination, as shares of all concurrent requests of the dispatcher.
constexpr double kInitialShare = 0.5;
constexpr double kMaxShare = 0.75;  // one destination must not occupy all concurrent requests
constexpr double kDecreaseFactor = 0.75;

}  // namespace

void ConcurrencyLimiter::initialize(Route& route) const {
  route.limit.value_ = std::max(1.0, std::floor(settings_.maxConcurrentRequests * kInitialShare));
}

void ConcurrencyLimiter::recordTimelyResponse(Route& route) const {
  ConcurrencyLimit& limit = route.limit;
  if (++limit.timelyResponses_ < limit.value_) return;
  limit.timelyResponses_ = 0;
  limit.value_ =
      std::min(std::max(1.0, std::floor(settings_.maxConcurrentRequests * kMaxShare)), limit.value_ + 1);
}

void ConcurrencyLimiter::decrease(Route& route, Millis sentAt) const {
  ConcurrencyLimit& limit = route.limit;
  if (sentAt < limit.lastDecreaseAt_) return;
  limit.lastDecreaseAt_ = clock_.now();
  limit.timelyResponses_ = 0;
  limit.value_ = std::max(1.0, limit.value_ * kDecreaseFactor);
}

bool ConcurrencyLimiter::hasCapacity(const Route& route, const Endpoint& endpoint,
                                     int requestsInFlight) const {
  bool oneAtATime = route.pacing.consecutiveRejections() > 0 && !pacer_.isPaced(route);
  int limit = oneAtATime ? 1 : std::max(1, static_cast<int>(route.limit.value()));
  if (oneAtATime) {
    // Requests that hang at unresponsive endpoints show nothing about a rate limit. Unless they are left out
    // of the count, they block the route's other endpoints until they end.
    for (const Endpoint* routeEndpoint : route.endpoints)
      limit += routeEndpoint->failures.isUnresponsive() ? routeEndpoint->requests.inFlight() : 0;
  }
  if (requestsInFlight >= settings_.maxConcurrentRequests || route.requestsInFlight >= limit) return false;
  int maxForDestination = std::max(1, static_cast<int>(settings_.maxConcurrentRequests * kMaxShare));
  return endpoint.destination->requestsInFlight < maxForDestination;
}

}  // namespace stonewing
