#pragma once

#include "policy/random_source.h"
#include "policy/round_clock.h"
#include "policy/route.h"

// Knows what latency is typical of an endpoint, of a route and of everything that this dispatcher sends.
//
// Owns: the latency samples. Input: the latency of each successful attempt. Queries: quantiles.
namespace stonewing {

class LatencyTracker {
 public:
  // Both outlive it.
  LatencyTracker(const RoundClock& clock, RandomSource& random) : clock_(clock), random_(random) {}

  // A message was delivered after so many milliseconds. May draw random numbers.
  void recordSuccess(Endpoint& endpoint, Route& route, Millis latency);

  // By the route's own samples, by those of the whole dispatcher or, with too few of both, by the latency
  // objective of the traffic type.
  LatencyQuantiles typicalLatency(const Route& route, const TrafficType& type) const;
  // The same of one endpoint; its route's while it has too few samples.
  Millis typicalP95(const Endpoint& endpoint, const TrafficType& type) const;

  // Whether a response that took so long is late by what the route usually takes.
  static bool isLate(const Route& route, Millis latency);
  // From this latency on a response is late.
  Millis lateFrom(const Route& route, const TrafficType& type) const;

 private:
  void add(LatencyReservoir& reservoir, Millis latency);

  const RoundClock& clock_;
  RandomSource& random_;
  LatencyReservoir all_;
};

}  // namespace stonewing
