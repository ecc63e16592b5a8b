#pragma once

#include "policy/decision.h"
#include "policy/latency_tracker.h"
#include "policy/random_source.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides when the next request to a route may be sent, by the rate limits that the route reports or that its
// rejections show.
//
// Owns: the RequestPacing of each route. Input: requests, rejections, successes, Retry-After and load
// reports. Queries: whether a route is open, and our share of its capacity.
namespace stonewing {

class RatePacer {
 public:
  // All outlive it.
  RatePacer(const DeploymentSettings& settings, RoundClock& clock, RandomSource& random,
            const LatencyTracker& latencies)
      : settings_(settings), clock_(clock), random_(random), latencies_(latencies) {}

  // Delays the first paced request of a route at random. Without this, all dispatchers that start at one
  // moment would send at one moment. Call after each endpoint list; has an effect once a route.
  void beginPacing(Route& route);
  // Whether a known rate limit binds; then requests keep an interval even before any rejection.
  bool isPaced(const Route& route) const;
  // Whether a request may go by this module's rules; if not, the clock wakes the policy when it may.
  bool mayRequest(const Route& route);

  // A request goes out. May draw a random number.
  void recordRequest(Route& route);
  // retryAfter: milliseconds from now; 0 where the response holds none.
  void recordRetryAfter(Route& route, Millis retryAfter);
  // Of an attempt sent at that time. Draws a random number.
  void recordRejection(Route& route, Millis retryAfter, Millis sentAt);
  // Of an attempt sent at that time: shortens the backoff.
  void recordSuccess(Route& route, Millis sentAt);
  // An outage has ended: what was rejected in it says nothing any more.
  void clearRejections(Route& route) { route.pacing.consecutiveRejections_ = 0; }
  // The endpoint may have left the list since, and its route may have no endpoint left.
  void recordLoadReport(Route& route, const Endpoint& endpoint, LoadReport report);

  // Whether any response has carried a load report.
  bool hasSeenLoadReport() const { return loadReportSeen_; }
  // Whether it has rejected everything for longer than a rate limit explains.
  bool isRejectingAll(const Route& route) const;
  // Our share of what the route can do, requests a second, above 0.
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
