#include "policy/zone_loss_detector.h"

#include <algorithm>

namespace stonewing {
namespace {

// Share of a zone's endpoints that has to fail. A smaller share is left to outlier detection, endpoint by
// endpoint.
constexpr double kFailingShare = 0.5;
// So many failing endpoints are enough in a zone of any size: in a large zone the traffic of one dispatcher
// may never reach half of the endpoints within useful time.
constexpr std::size_t kFailingEndpoints = 3;
// Destinations that failing endpoints have to belong to, if the zone serves as many. Without this, one
// destination that is down everywhere would be mistaken for a lost zone.
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

// A zone that still delivers, however little or late, is degraded and not lost: its endpoints are ejected
// one by one, and only what the others cannot take goes to other zones.
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
