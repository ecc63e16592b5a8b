#pragma once

#include <optional>

#include "policy/decision.h"
#include "policy/endpoint_registry.h"
#include "policy/health_check_queue.h"
#include "policy/outlier_detector.h"
#include "policy/round_clock.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which endpoint gets a health check, and when. One health check at a time tests whether a route has
// recovered. If messages were sent as this test, their attempts would probably be lost.
//
// Owns: the RouteHealthChecks of each route. Input: outcomes of health checks. Query: the next check.
namespace stonewing {

class HealthChecker {
 public:
  // All arguments must outlive the health checker.
  HealthChecker(const DeploymentSettings& settings, RoundClock& clock, HealthCheckQueue& queue,
                EndpointRegistry& endpoints, const OutlierDetector& outliers, SlowStart& slowStart,
                ZoneFailover& zones)
      : settings_(settings),
        clock_(clock),
        queue_(queue),
        endpoints_(endpoints),
        outliers_(outliers),
        slowStart_(slowStart),
        zones_(zones) {}

  // The pending health check of the route has ended, with any outcome.
  void recordOutcome(Route& route) {
    route.healthChecks.pending_ = false;
    queue_.addAll(route);
  }
  // Returns the next health check that is due and marks it as pending; nothing if none is due. May draw a
  // random number.
  std::optional<Decision> next();

 private:
  bool needsCheck(const Endpoint& endpoint) const;
  Millis dueAt(const Endpoint& endpoint) const;

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  HealthCheckQueue& queue_;
  EndpointRegistry& endpoints_;
  const OutlierDetector& outliers_;
  SlowStart& slowStart_;
  ZoneFailover& zones_;
};

}  // namespace stonewing
