#include "policy/zone_loss_detector.h"

#include <algorithm>

namespace stonewing {
namespace {

// Share of a zone's endpoints that has to fail. If fewer fail, outlier detection ejects them one by one.
constexpr double kFailingShare = 0.5;
// Number of failing endpoints that is enough in a zone of any size. Without this, a dispatcher could miss the
// loss of a large zone or detect it too late, since its own traffic may not reach half of the endpoints in
// time.
constexpr std::size_t kFailingEndpoints = 3;
// Number of destinations that the failing endpoints have to belong to, if the zone has as many. Without this,
// a destination that fails in every zone would be mistaken for a lost zone.
constexpr std::size_t kFailingDestinations = 2;

}  // namespace

void ZoneLossDetector::clearEndpoints() {
  endpoints_.clear();
  destinations_.clear();
}

void ZoneLossDetector::addEndpoint(EndpointId endpoint, DestinationId destination) {
  endpoints_[endpoint] = destination;
  destinations_.insert(destination);
}

void ZoneLossDetector::forgetUnlistedFailures() {
  std::erase_if(failures_, [&](const auto& failure) { return !endpoints_.contains(failure.first); });
}

void ZoneLossDetector::recordSuccess(Millis now, EndpointId endpoint) {
  lastSuccessAt_ = now;
  failures_.erase(endpoint);
}

void ZoneLossDetector::recordFailing(Millis now, EndpointId endpoint, DestinationId destination) {
  if (failures_.empty() || hasWorkedSinceFirstFailure()) failingSince_ = now;
  failures_[endpoint] = {destination, now};
}

// A zone in which some attempts still succeed, however few or late, is degraded and not lost: its failing
// endpoints are ejected one by one, and only the traffic that its other endpoints cannot take goes to other
// zones.
bool ZoneLossDetector::indicatesLoss() const {
  if (failures_.empty() || hasWorkedSinceFirstFailure()) return false;
  std::set<DestinationId> failingDestinations;
  std::size_t failingEndpoints = 0;
  for (const auto& [endpoint, failure] : failures_) {
    if (failure.lastAt < failingSince_) continue;
    ++failingEndpoints;
    failingDestinations.insert(failure.destination);
  }
  if (failingDestinations.size() < std::min(kFailingDestinations, destinations_.size())) return false;
  if (failingEndpoints >= kFailingEndpoints) return true;
  return static_cast<double>(failingEndpoints) >= kFailingShare * static_cast<double>(endpoints_.size());
}

}  // namespace stonewing
