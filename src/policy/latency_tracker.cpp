#include "policy/latency_tracker.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace stonewing {
namespace {

// Per reservoir; bounds its memory and the cost of computing a quantile.
constexpr std::size_t kMaxSamples = 512;
// For an endpoint or the dispatcher; fewer samples give no reliable p95.
constexpr std::size_t kMinSamples = 32;
// For a route; fewer than kMinSamples, since one dispatcher sends few messages to a route.
constexpr std::size_t kMinRouteSamples = 12;
// Computing the quantiles at each response would cost too much.
constexpr Millis kRecomputeIntervalMs = 2000;
constexpr double kHighQuantile = 0.95;
constexpr double kMedian = 0.5;
// p95 while there are too few samples, as a share of the latency objective.
constexpr double kDefaultP95Share = 0.6;
// A response is late if it takes more than this multiple of its route's p95.
constexpr double kLateFactor = 2;

Millis quantileOf(std::vector<Millis> samples, double fraction) {
  auto position =
      samples.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(samples.size()) * fraction);
  std::nth_element(samples.begin(), position, samples.end());
  return *position;
}

}  // namespace

void LatencyTracker::recordSuccess(Endpoint& endpoint, Route& route, Millis latency) {
  add(endpoint.latencies, latency);
  add(route.latencies, latency);
  add(ofDispatcher_, latency);
}

void LatencyTracker::add(LatencyReservoir& reservoir, Millis latency) {
  if (reservoir.samples_.size() < kMaxSamples) {
    reservoir.samples_.push_back(latency);
  } else {
    reservoir.samples_[random_.index(kMaxSamples)] = latency;
  }
  bool isSmall = reservoir.samples_.size() <= kMinSamples;
  if (!isSmall && clock_.now() - reservoir.computedAt_ < kRecomputeIntervalMs) return;
  reservoir.computedAt_ = clock_.now();
  reservoir.quantiles_ = {quantileOf(reservoir.samples_, kHighQuantile),
                          quantileOf(reservoir.samples_, kMedian),
                          *std::min_element(reservoir.samples_.begin(), reservoir.samples_.end())};
}

LatencyQuantiles LatencyTracker::typicalLatency(const Route& route, const TrafficType& type) const {
  if (route.latencies.size() >= kMinRouteSamples) return route.latencies.quantiles();
  LatencyQuantiles fallback{.p95 = type.latencyObjective * kDefaultP95Share,
                            .p50 = type.latencyObjective * kDefaultP95Share / kLateFactor};
  if (ofDispatcher_.size() >= kMinSamples) fallback = ofDispatcher_.quantiles();
  fallback.p95 = std::max(fallback.p95, route.latencies.quantiles().p95);
  return fallback;
}

Millis LatencyTracker::fastestResponse(const Route& route) {
  return route.latencies.size() >= kMinRouteSamples ? route.latencies.quantiles().fastest : 0;
}

Millis LatencyTracker::typicalP95(const Endpoint& endpoint, const TrafficType& type) const {
  if (endpoint.latencies.size() >= kMinSamples) return endpoint.latencies.quantiles().p95;
  return typicalLatency(*endpoint.route, type).p95;
}

bool LatencyTracker::isLate(const Route& route, Millis latency) {
  bool hasEnoughSamples = route.latencies.size() >= kMinRouteSamples;
  return hasEnoughSamples && latency > kLateFactor * route.latencies.quantiles().p95;
}

Millis LatencyTracker::lateThreshold(const Route& route, const TrafficType& type) const {
  return kLateFactor * typicalLatency(route, type).p95;
}

}  // namespace stonewing
