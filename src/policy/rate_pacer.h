#pragma once

#include "policy/decision.h"
#include "policy/latency_tracker.h"
#include "policy/random_source.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides when the next request to a route may be sent, from the rate limits that the route reports or that
// its rejections imply.
//
// Owns: the RequestPacing of each route. Input: requests, rejections, successes, Retry-After and load
// reports. Queries: whether a route is open, and this dispatcher's share of its capacity.
namespace stonewing {

class RatePacer {
 public:
  // The referenced objects must outlive the RatePacer.
  RatePacer(const DeploymentSettings& settings, RoundClock& clock, RandomSource& random,
            const LatencyTracker& latencies)
      : settings_(settings), clock_(clock), random_(random), latencies_(latencies) {}

  // Delays the first paced request of a route by a random time. Without this, dispatchers that start at the
  // same time would all send at the same time. Call after each endpoint list; only the first call for a paced
  // route has an effect.
  void beginPacing(Route& route);
  // Whether the route's rate limit is known; its requests then keep an interval even before any rejection.
  bool isPaced(const Route& route) const;
  // The time before which no request to the route is sent; it may be in the past, and only later requests and
  // responses postpone it.
  static Millis closedUntil(const Route& route);
  // Whether the rate limits allow a request now; if not, the clock wakes the policy when they do.
  bool mayRequest(const Route& route);

  // Records that a request is sent. May draw a random number.
  void recordRequest(Route& route);
  // retryAfter: milliseconds from now; 0 if the response has none.
  void recordRetryAfter(Route& route, Millis retryAfter);
  // Records the rejection of an attempt sent at the given time. Draws a random number.
  void recordRejection(Route& route, Millis retryAfter, Millis sentAt);
  // Records the success of an attempt sent at the given time; shortens the backoff.
  void recordSuccess(Route& route, Millis sentAt);
  // Call when an outage ends: rejections during the outage do not indicate a rate limit.
  void clearRejections(Route& route) { route.pacing.consecutiveRejections_ = 0; }
  // The endpoint may have been removed from the list, and the route may have no endpoint left.
  void recordLoadReport(Route& route, const Endpoint& endpoint, LoadReport report);

  // Whether any response has carried a load report.
  bool hasSeenLoadReport() const { return loadReportSeen_; }
  // Whether the route has rejected everything for longer than a rate limit would.
  bool isRejectingAll(const Route& route) const;
  // This dispatcher's share of the route's capacity, in requests per second; above 0.
  double capacityShare(const Route& route) const;

 private:
  double reportedRateShare(const Route& route) const;
  Millis requestInterval(const Route& route) const;
  Millis drawBackoff(const Route& route);
  void recoverRate(Route& route);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  RandomSource& random_;
  const LatencyTracker& latencies_;
  bool loadReportSeen_{false};
};

}  // namespace stonewing
