#pragma once

#include "policy/health_check_queue.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/round_clock.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which endpoints fail or hang while others of their destination work.
//
// Owns: the FailureHistory of each endpoint. Input: failures, successes and cancelled attempts. Queries:
// whether an endpoint is ejected; a scan of the pending attempts for endpoints and routes that became silent.
namespace stonewing {

// Failures in a row after which an endpoint is ejected while others of its destination work.
constexpr int kFailuresToEject = 2;

class OutlierDetector {
 public:
  // All outlive it.
  OutlierDetector(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
                  HealthCheckQueue& healthChecks, ZoneFailover& zones)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        healthChecks_(healthChecks),
        zones_(zones) {}

  // A failed connection counts as enough failures to eject at once: it holds a request for the whole
  // time-out, and is no chance.
  void recordFailure(Endpoint& endpoint, AttemptOutcome outcome);
  // Counts as one failure, whatever its outcome.
  void recordHealthCheckFailure(Endpoint& endpoint);
  // A message was delivered there: ends an ejection.
  void recordDelivery(Endpoint& endpoint);
  // The same, but nothing was delivered.
  void recordHealthCheckSuccess(Endpoint& endpoint);
  // An attempt sent at that time was cancelled, since no response came.
  void recordTimeout(Endpoint& endpoint, Millis sentAt) const;
  // The endpoint has shown nothing about its health, but gets as long a rest as after a failure.
  void restartEjection(Endpoint& endpoint) const { endpoint.failures.lastFailureAt_ = clock_.now(); }

  // Failing while others of its destination work: until a health check succeeds or, with none allowed, for a
  // while.
  bool isEjected(const Endpoint& endpoint) const;
  // When an endpoint that fails may be tried again.
  Millis ejectionEndsAt(const Endpoint& endpoint) const;

  // Finds routes and endpoints that went silent: a hung endpoint gives no late response to learn from. Scans
  // the pending attempts once a round, and again after resetScan().
  void detectUnresponsive(const MessageRegistry& messages, SlowStart& slowStart);
  void resetScan() { scannedRound_ = -1; }
  // After so many milliseconds without a response an attempt counts as silent.
  Millis silenceThreshold(const Route& route, const TrafficType& type) const;

 private:
  void recordFailures(Endpoint& endpoint, int consecutiveFailures);
  void recordSuccess(Endpoint& endpoint) const;
  void checkAttempt(const Attempt& attempt, Millis silence, SlowStart& slowStart);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  HealthCheckQueue& healthChecks_;
  ZoneFailover& zones_;
  int scannedRound_{-1};
};

}  // namespace stonewing
