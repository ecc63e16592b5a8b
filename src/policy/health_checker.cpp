#include "policy/health_checker.h"

#include <algorithm>

namespace stonewing {

std::optional<Decision> HealthChecker::next() {
  if (!settings_.mayHealthCheck) return std::nullopt;
  queue_.collectDue();
  while (auto id = queue_.pop()) {
    Endpoint* endpoint = endpoints_.find(*id);
    if (endpoint == nullptr || !needsCheck(*endpoint)) continue;
    Millis due = dueAt(*endpoint);
    if (!clock_.isReached(due)) {
      queue_.schedule(due, *id);
      continue;
    }
    Route& route = *endpoint->route;
    if (route.recovery.isOutage()) ++route.healthChecks.nextEndpointIndex_;
    route.healthChecks.pending_ = true;
    slowStart_.recordSend(route);
    zones_.recordHealthCheck(clock_.now(), endpoint->zone);
    return SendHealthCheck{*id};
  }
  return std::nullopt;
}

// A route has one health check at a time; recordOutcome() has its other endpoints examined again. In an
// outage the endpoints of the route take turns, otherwise only failing endpoints are checked.
bool HealthChecker::needsCheck(const Endpoint& endpoint) const {
  const Route& route = *endpoint.route;
  if (endpoint.state != EndpointState::ready || route.healthChecks.pending_) return false;
  if (!route.recovery.isOutage()) return endpoint.failures.consecutiveFailures() >= kFailuresToEject;
  return route.endpoints[route.healthChecks.nextEndpointIndex_ % route.endpoints.size()] == &endpoint;
}

Millis HealthChecker::dueAt(const Endpoint& endpoint) const {
  const Route& route = *endpoint.route;
  // With this interval, all dispatchers together check an endpoint about once in an overload window.
  Millis checkInterval =
      std::min(settings_.slowStartDuration, settings_.overloadWindow * settings_.dispatcherCount);
  Millis nextCheckAt =
      std::max(outliers_.ejectionEndsAt(endpoint), endpoint.failures.lastFailureAt() + checkInterval);
  return std::max({route.recovery.isLimited() ? route.recovery.nextSendAt() : nextCheckAt,
                   route.pacing.retryAfterUntil(), route.pacing.backoffUntil(),
                   zones_.healthCheckAllowedFrom(endpoint.zone)});
}

}  // namespace stonewing
