#include "policy/delivery_forecast.h"

#include <algorithm>

#include "policy/latency_tracker.h"
#include "policy/rate_pacer.h"

namespace stonewing {

EarliestDelivery DeliveryForecast::earliest(const Destination& destination) const {
  if (destination.ranking.empty()) return {clock_.now(), 0};
  auto deliveryBy = [this](const Endpoint* endpoint) {
    const Route& route = *endpoint->route;
    return EarliestDelivery{sentAt(route), LatencyTracker::fastestResponse(route)};
  };
  EarliestDelivery earliest = deliveryBy(destination.ranking.front());
  for (const Endpoint* endpoint : destination.ranking) {
    EarliestDelivery delivery = deliveryBy(endpoint);
    if (delivery.answeredAt() < earliest.answeredAt()) earliest = delivery;
  }
  return earliest;
}

Millis DeliveryForecast::opensAt(const Destination& destination) const {
  if (destination.ranking.empty()) return clock_.now();
  Millis earliest = opensAt(*destination.ranking.front()->route);
  for (const Endpoint* endpoint : destination.ranking)
    earliest = std::min(earliest, opensAt(*endpoint->route));
  return earliest;
}

// A Retry-After is kept by every dispatcher that gets it. The other waits are this dispatcher's share of what
// the route takes from all, and another dispatcher may find it open sooner.
Millis DeliveryForecast::opensAt(const Route& route) const {
  Millis limitedUntil = route.recovery.isLimited() ? route.recovery.nextSendAt() : 0;
  Millis ownWait = std::max(RatePacer::closedUntil(route), limitedUntil) - clock_.now();
  Millis anyWait = std::max(0.0, ownWait) / settings_.dispatcherCount;
  return std::max(clock_.now() + anyWait, route.pacing.retryAfterUntil());
}

Millis DeliveryForecast::sentAt(const Route& route) const {
  return std::max({clock_.now(), RatePacer::closedUntil(route), slowStart_.closedUntil(route)});
}

}  // namespace stonewing
