#pragma once

#include "policy/health_check_queue.h"
#include "policy/random_source.h"
#include "policy/rate_pacer.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides when a route is in outage, and at which rate it receives requests while it recovers.
//
// Owns: the RouteRecovery of each route. Input: responses, failures, rejections and missing responses. Query:
// whether a route may receive a request now. Without slow start, the messages that wait for a recovering
// route would overload it. So requests keep an interval that holds their rate below this dispatcher's share
// of the route's capacity, and the rate grows while the route warms up.
namespace stonewing {

class SlowStart {
 public:
  // The referenced objects must outlive the SlowStart.
  SlowStart(const DeploymentSettings& settings, RoundClock& clock, RandomSource& random, RatePacer& pacer,
            HealthCheckQueue& healthChecks)
      : settings_(settings), clock_(clock), random_(random), pacer_(pacer), healthChecks_(healthChecks) {}

  // Records the success of an attempt sent at the given time. Ends an outage; a warm-up follows if the outage
  // was long and a failure confirmed it. May draw a random number.
  void recordSuccess(Route& route, Millis sentAt);
  // Records the failure of an attempt sent at the given time; enough failures begin an outage. A failed
  // connection counts more than other failures. May draw a random number, as may recordRejection(),
  // recordHealthCheckSuccess() and recordUnresponsive().
  void recordFailure(Route& route, Millis sentAt, AttemptOutcome outcome);
  // retryAfter: milliseconds from now. Call after RatePacer has recorded the rejection.
  void recordRejection(Route& route, Millis retryAfter);
  // Ends an outage.
  void recordHealthCheckSuccess(Route& route, const Endpoint& endpoint);
  // Confirms an outage, if there is one.
  void recordHealthCheckFailure(Route& route) { route.recovery.outageConfirmed_ = true; }
  // Begins an outage because no response has come for long. Its first success ends it without slow start,
  // unless a failure confirmed the outage before.
  void recordUnresponsive(Route& route);

  // Whether slow start allows a request to the route now. If not, the clock wakes the policy when it does,
  // except in an outage that only a health check can end. Ends a warm-up whose duration has passed.
  bool mayRequest(Route& route);
  // The time before which slow start allows no request to the route; it may be in the past. In an outage that
  // a pending response may end at any time, it is now.
  Millis closedUntil(const Route& route) const;
  // Whether one more message may join a request of this round that has batchSize messages.
  bool mayGrowBatch(const Route& route, int batchSize) const;
  // Records that a request or a health check is sent. May draw a random number.
  void recordSend(Route& route);
  // Records that a message joins a request that was already opened.
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
