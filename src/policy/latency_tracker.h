#pragma once

#include "policy/random_source.h"
#include "policy/round_clock.h"
#include "policy/route.h"

// Tracks the typical latency of each endpoint, of each route and of the whole dispatcher.
//
// Owns: the latency samples. Input: the latency of each successful attempt. Queries: quantiles.
namespace stonewing {

class LatencyTracker {
 public:
  // Both arguments must outlive the tracker.
  LatencyTracker(const RoundClock& clock, RandomSource& random) : clock_(clock), random_(random) {}

  // A message was delivered with this latency, in milliseconds. May draw random numbers.
  void recordSuccess(Endpoint& endpoint, Route& route, Millis latency);

  // From the route's own samples or, while it has too few, from those of the whole dispatcher or, while that
  // has too few, from the latency objective of the traffic type.
  LatencyQuantiles typicalLatency(const Route& route, const TrafficType& type) const;
  // The route has never been seen to respond sooner than this. 0 while it has too few samples: what other
  // routes or the settings suggest is no reason to end a message that this route may still answer.
  static Millis fastestResponse(const Route& route);
  // p95 of an endpoint, or of its route while the endpoint has too few samples.
  Millis typicalP95(const Endpoint& endpoint, const TrafficType& type) const;

  // Whether a response with this latency is late compared with other responses of the route. False while the
  // route has too few samples.
  static bool isLate(const Route& route, Millis latency);
  // A response with a latency above this is late.
  Millis lateThreshold(const Route& route, const TrafficType& type) const;

 private:
  void add(LatencyReservoir& reservoir, Millis latency);

  const RoundClock& clock_;
  RandomSource& random_;
  LatencyReservoir ofDispatcher_;
};

}  // namespace stonewing
