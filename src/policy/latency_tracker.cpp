#include "policy/latency_tracker.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace stonewing {
namespace {

constexpr std::size_t kMaxSamples = 512;       // of a reservoir; bounds its memory and the cost of a quantile
constexpr std::size_t kEnoughSamples = 32;     // of an endpoint or a dispatcher; fewer say little of a p95
constexpr std::size_t kEnoughForRoute = 12;    // fewer, since one dispatcher sends few messages to a route
constexpr Millis kRecomputeIntervalMs = 2000;  // quantiles cost too much to compute at each response
constexpr double kHighQuantile = 0.95;
constexpr double kMedian = 0.5;
constexpr double kUnknownP95Share = 0.6;  // of the latency objective, while nothing was measured
constexpr double kLateFactor = 2;         // a late response takes so many p95 of its route

Millis quantileOf(std::vector<Millis> samples, double share) {
  auto place = samples.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(samples.size()) * share);
  std::nth_element(samples.begin(), place, samples.end());
  return *place;
}

}  // namespace

void LatencyTracker::recordSuccess(Endpoint& endpoint, Route& route, Millis latency) {
  add(endpoint.latencies, latency);
  add(route.latencies, latency);
  add(all_, latency);
}

void LatencyTracker::add(LatencyReservoir& reservoir, Millis latency) {
  if (reservoir.samples_.size() < kMaxSamples) {
    reservoir.samples_.push_back(latency);
  } else {
    reservoir.samples_[random_.index(kMaxSamples)] = latency;
  }
  bool isSmall = reservoir.samples_.size() <= kEnoughSamples;
  if (!isSmall && clock_.now() - reservoir.computedAt_ < kRecomputeIntervalMs) return;
  reservoir.computedAt_ = clock_.now();
  reservoir.quantiles_ = {quantileOf(reservoir.samples_, kHighQuantile),
                          quantileOf(reservoir.samples_, kMedian)};
}

LatencyQuantiles LatencyTracker::typicalLatency(const Route& route, const TrafficType& type) const {
  if (route.latencies.size() >= kEnoughForRoute) return route.latencies.quantiles();
  LatencyQuantiles known{type.latencyObjective * kUnknownP95Share,
                         type.latencyObjective * kUnknownP95Share / kLateFactor};
  if (all_.size() >= kEnoughSamples) known = all_.quantiles();
  return {std::max(known.p95, route.latencies.quantiles().p95), known.p50};
}

Millis LatencyTracker::typicalP95(const Endpoint& endpoint, const TrafficType& type) const {
  if (endpoint.latencies.size() >= kEnoughSamples) return endpoint.latencies.quantiles().p95;
  return typicalLatency(*endpoint.route, type).p95;
}

bool LatencyTracker::isLate(const Route& route, Millis latency) {
  bool isKnown = route.latencies.size() >= kEnoughForRoute;
  return isKnown && latency > kLateFactor * route.latencies.quantiles().p95;
}

Millis LatencyTracker::lateFrom(const Route& route, const TrafficType& type) const {
  return kLateFactor * typicalLatency(route, type).p95;
}

}  // namespace stonewing
