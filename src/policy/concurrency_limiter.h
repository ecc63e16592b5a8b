#pragma once

#include "policy/rate_pacer.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Limits the concurrent requests to each route by additive increase, multiplicative decrease (AIMD).
//
// Owns: the ConcurrencyLimit of each route. Input: timely responses, signs of overload. Query: whether a
// route has capacity for one more request.
namespace stonewing {

class ConcurrencyLimiter {
 public:
  // All arguments must outlive the limiter.
  ConcurrencyLimiter(const DeploymentSettings& settings, const RoundClock& clock, const RatePacer& pacer)
      : settings_(settings), clock_(clock), pacer_(pacer) {}

  // Gives a new route its initial limit.
  void initialize(Route& route) const;
  // A response came in time. After as many timely responses as the limit's value, the limit grows by one.
  void recordTimelyResponse(Route& route) const;
  // An attempt sent at that time showed overload: a late response, a failed connection, a time-out or a
  // rejection. Ignored for attempts sent before the last decrease: they belong to the same overload, which
  // must lower the limit only once.
  void decrease(Route& route, Millis sentAt) const;
  // Whether the dispatcher, the endpoint's route and its destination have capacity for one more request.
  // requestsInFlight: requests of the whole dispatcher.
  bool hasCapacity(const Route& route, const Endpoint& endpoint, int requestsInFlight) const;

 private:
  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  const RatePacer& pacer_;
};

}  // namespace stonewing
