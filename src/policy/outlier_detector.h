#pragma once

#include "policy/health_check_queue.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/round_clock.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which endpoints fail or hang while other endpoints of their destination work.
//
// Owns: the FailureHistory of each endpoint. Input: failures, successes and cancelled attempts. Queries:
// whether an endpoint is ejected; a scan of the pending attempts for endpoints and routes that no longer
// respond.
namespace stonewing {

// Consecutive failures after which an endpoint is ejected while other endpoints of its destination work.
constexpr int kFailuresToEject = 2;

class OutlierDetector {
 public:
  // The referenced objects must outlive the OutlierDetector.
  OutlierDetector(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
                  HealthCheckQueue& healthChecks, ZoneFailover& zones)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        healthChecks_(healthChecks),
        zones_(zones) {}

  // A failed connection counts as enough failures to eject the endpoint at once: it occupies a request for
  // the whole time-out and is hardly ever a coincidence.
  void recordFailure(Endpoint& endpoint, AttemptOutcome outcome);
  // A failed health check counts as one failure for any outcome.
  void recordHealthCheckFailure(Endpoint& endpoint);
  // Records that the endpoint received a message successfully; ends an ejection.
  void recordDelivery(Endpoint& endpoint);
  // Ends an ejection too, but does not count as a delivery.
  void recordHealthCheckSuccess(Endpoint& endpoint);
  // Records that an attempt sent at the given time was cancelled for lack of a response.
  void recordTimeout(Endpoint& endpoint, Millis sentAt) const;
  // Restarts the ejection period, as a failure does, without counting a failure. For outcomes that show
  // nothing about the endpoint's health.
  void restartEjection(Endpoint& endpoint) const { endpoint.failures.lastFailureAt_ = clock_.now(); }

  // Whether the endpoint is ejected, so that others of its destination are preferred. An ejection lasts until
  // a health check succeeds or, where the settings permit no health checks, until ejectionEndsAt() and while
  // a request to the endpoint is in flight.
  bool isEjected(const Endpoint& endpoint) const;
  // The time from which a failing endpoint may receive an attempt without a successful health check.
  Millis ejectionEndsAt(const Endpoint& endpoint) const;

  // Finds routes and endpoints that no longer respond. A hung endpoint sends no late response that would show
  // the problem. Scans the pending attempts once a round, and again after resetScan().
  void detectUnresponsive(const MessageRegistry& messages, SlowStart& slowStart);
  void resetScan() { scannedRound_ = -1; }
  // The number of milliseconds without a response after which an attempt counts as unresponsive.
  Millis unresponsiveAfter(const Route& route, const TrafficType& type) const;

 private:
  void recordFailures(Endpoint& endpoint, int consecutiveFailures);
  void recordSuccess(Endpoint& endpoint) const;
  void checkAttempt(const Attempt& attempt, Millis threshold, SlowStart& slowStart);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  HealthCheckQueue& healthChecks_;
  ZoneFailover& zones_;
  int scannedRound_{-1};
};

}  // namespace stonewing
