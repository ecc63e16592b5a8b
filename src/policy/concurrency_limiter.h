#pragma once

#include "policy/rate_pacer.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides whether one more request fits at a route: additive increase, multiplicative decrease (AIMD).
//
// Owns: the ConcurrencyLimit of each route. Input: responses in time, signs of overload. Query: whether a
// route has capacity for one more request.
namespace stonewing {

class ConcurrencyLimiter {
 public:
  // All outlive it.
  ConcurrencyLimiter(const DeploymentSettings& settings, const RoundClock& clock, const RatePacer& pacer)
      : settings_(settings), clock_(clock), pacer_(pacer) {}

  // A new route begins with its initial limit.
  void begin(Route& route) const;
  // A response came in time: the limit grows by one for each limit's worth of them.
  void recordTimelyResponse(Route& route) const;
  // A late response, a time-out or a rejection of an attempt sent at that time. One episode decreases once:
  // attempts sent before the last decrease belong to the same trouble.
  void decrease(Route& route, Millis sentAt) const;
  // Whether one more request to that endpoint fits; requestsInFlight: those of the whole dispatcher.
  bool hasCapacity(const Route& route, const Endpoint& endpoint, int requestsInFlight) const;

 private:
  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  const RatePacer& pacer_;
};

}  // namespace stonewing
