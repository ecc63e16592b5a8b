#pragma once

#include "policy/health_check_queue.h"
#include "policy/random_source.h"
#include "policy/rate_pacer.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides when a route is out of service, and how much it gets while it recovers.
//
// Owns: the RouteRecovery of each route. Input: responses, failures, rejections and silence. Query: whether a
// route may get a request now. A route that recovers would be overloaded by all that waits for it. So
// requests keep an interval that holds them below our share of what the route takes, and that share grows
// while it warms up.
namespace stonewing {

class SlowStart {
 public:
  // All outlive it.
  SlowStart(const DeploymentSettings& settings, RoundClock& clock, RandomSource& random, RatePacer& pacer,
            HealthCheckQueue& healthChecks)
      : settings_(settings), clock_(clock), random_(random), pacer_(pacer), healthChecks_(healthChecks) {}

  // An attempt sent at that time succeeded: ends an outage, with a warm-up where it lasted and a failure
  // confirmed it. May draw a random number.
  void recordSuccess(Route& route, Millis sentAt);
  // An attempt sent at that time failed; enough of them begin an outage. A failed connection counts for more
  // than another failure. May draw a random number, as the next four.
  void recordFailure(Route& route, Millis sentAt, AttemptOutcome outcome);
  // retryAfter: milliseconds from now. Call after RatePacer has recorded the rejection.
  void recordRejection(Route& route, Millis retryAfter);
  // Ends an outage.
  void recordHealthCheckSuccess(Route& route, const Endpoint& endpoint);
  // Confirms an outage, if there is one.
  void recordHealthCheckFailure(Route& route) { route.recovery.outageConfirmed_ = true; }
  // Nothing was heard for long: an outage that a first success ends without slow start, unless a failure
  // confirms it before.
  void recordSilence(Route& route);

  // Whether the route may get a request by this module's rules; if not, the clock wakes the policy when it
  // may. Ends a warm-up whose time is up.
  bool mayRequest(Route& route);
  // Whether one more message may join a request that holds so many, sent in this round.
  bool mayGrowBatch(const Route& route, int batchSize) const;
  // A request or health check goes out. May draw a random number.
  void recordSend(Route& route);
  // A message joins a request that goes out anyway.
  void recordBatchedMessage(Route& route);

 private:
  void beginOutage(Route& route);
  void endOutage(Route& route);
  Millis sendInterval(const Route& route) const;
  double provenCapacityShare(const Route& route) const;

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  RandomSource& random_;
  RatePacer& pacer_;
  HealthCheckQueue& healthChecks_;
};

}  // namespace stonewing
