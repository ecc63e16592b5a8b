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
    if (route.recovery.isOutage()) ++route.healthChecks.turn_;
    route.healthChecks.pending_ = true;
    slowStart_.recordSend(route);
    zones_.recordHealthCheck(clock_.now(), endpoint->zone);
    return SendHealthCheck{*id};
  }
  return std::nullopt;
}

// One at a time in a route; the others are looked at again when that has ended. In an outage the endpoints
// take turns, else only those that fail are checked.
bool HealthChecker::needsCheck(const Endpoint& endpoint) const {
  const Route& route = *endpoint.route;
  if (endpoint.state != EndpointState::ready || route.healthChecks.pending_) return false;
  if (!route.recovery.isOutage()) return endpoint.failures.consecutiveFailures() >= kFailuresToEject;
  return route.endpoints[route.healthChecks.turn_ % route.endpoints.size()] == &endpoint;
}

Millis HealthChecker::dueAt(const Endpoint& endpoint) const {
  const Route& route = *endpoint.route;
  // All dispatchers together check an endpoint about once in an overload window.
  Millis rest = std::min(settings_.slowStartDuration, settings_.overloadWindow * settings_.dispatcherCount);
  Millis restsUntil = std::max(outliers_.ejectionEndsAt(endpoint), endpoint.failures.lastFailureAt() + rest);
  return std::max({route.recovery.isLimited() ? route.recovery.nextSendAt() : restsUntil,
                   route.pacing.retryAfterUntil(), route.pacing.backoffUntil(),
                   zones_.healthCheckAllowedFrom(endpoint.zone)});
}

}  // namespace stonewing
