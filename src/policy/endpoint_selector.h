#pragma once

#include "policy/concurrency_limiter.h"
#include "policy/message.h"
#include "policy/outlier_detector.h"
#include "policy/rate_pacer.h"
#include "policy/request_tracker.h"
#include "policy/round_clock.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Decides which endpoint gets the next attempt of a message: the first in the destination's ranking. An
// endpoint that is ejected, or that has its share of the route's limit in flight, is used only after the
// others.
//
// Owns nothing; queries the modules that limit endpoints, routes and zones.
namespace stonewing {

enum class AttemptKind { regular, hedge };

// An attempt that the policy plans to send. The endpoint stays valid until the next endpoint list.
struct PlannedAttempt {
  MessageId message{};
  Endpoint* endpoint{};
};

class EndpointSelector {
 public:
  // All arguments must outlive the selector.
  EndpointSelector(const DeploymentSettings& settings, RoundClock& clock, const RequestTracker& requests,
                   const ConcurrencyLimiter& limiter, RatePacer& pacer, SlowStart& slowStart,
                   const OutlierDetector& outliers, const ZoneFailover& zones)
      : settings_(settings),
        clock_(clock),
        requests_(requests),
        limiter_(limiter),
        pacer_(pacer),
        slowStart_(slowStart),
        outliers_(outliers),
        zones_(zones) {}

  // Returns null if no endpoint may be used now; then the clock wakes the policy when one may be used.
  Endpoint* select(const Message& message, AttemptKind kind);
  // Whether a message may join the request that was opened at the endpoint in this round.
  bool mayJoinBatch(const Endpoint& endpoint) const;
  // Whether a message may go to the endpoint now, in a new request or in one that it joins.
  bool isAvailable(const Endpoint& endpoint);

 private:
  bool mayUseZone(const Endpoint& endpoint);
  bool mayHedgeAt(const Endpoint& endpoint) const;

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const RequestTracker& requests_;
  const ConcurrencyLimiter& limiter_;
  RatePacer& pacer_;
  SlowStart& slowStart_;
  const OutlierDetector& outliers_;
  const ZoneFailover& zones_;
};

}  // namespace stonewing
