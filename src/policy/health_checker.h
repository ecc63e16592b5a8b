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

// Decides when which endpoint gets a health check. Whether a route has recovered is tested by one check at a
// time, so that no message is bound to an attempt that is likely lost.
//
// Owns: the RouteHealthChecks of each route. Input: outcomes of health checks. Query: the next check.
namespace stonewing {

class HealthChecker {
 public:
  // All outlive it.
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

  // The pending health check of the route has ended, with whatever result.
  void recordOutcome(Route& route) {
    route.healthChecks.pending_ = false;
    queue_.addAll(route);
  }
  // The next check that is due, marked as pending; nothing if there is none. May draw a random number.
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
