#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "base/ids.h"

namespace stonewing {

// Decides whether one zone appears to be lost: several of its endpoints fail, they belong to several
// destinations, and no attempt or health check in the zone has succeeded since the first of these failures.
// It only sees the attempts and health checks of this dispatcher. Times are milliseconds of the caller's
// clock.
class ZoneLossDetector {
 public:
  // A new endpoint list: clearEndpoints(), addEndpoint() for each endpoint in service, then
  // forgetUnlistedFailures(). Failures recorded before are kept until then.
  void clearEndpoints();
  void addEndpoint(EndpointId endpoint, DestinationId destination);
  void forgetUnlistedFailures();

  bool hasEndpoints() const { return !endpoints_.empty(); }
  bool hasEndpoint(EndpointId endpoint) const { return endpoints_.contains(endpoint); }

  // The endpoint responded: it no longer counts as failing, and earlier failures are no evidence any more.
  void recordSuccess(Millis now, EndpointId endpoint);
  // The endpoint is failing. The caller must not report an endpoint after a single failure.
  void recordFailing(Millis now, EndpointId endpoint, DestinationId destination);
  // Only failures from now on count as evidence.
  void restart(Millis now) { failingSince_ = now; }

  bool indicatesLoss() const;

 private:
  struct Failure {
    DestinationId destination{};
    Millis lastAt{};
  };
  bool hasWorkedSinceFirstFailure() const { return lastSuccessAt_ && *lastSuccessAt_ >= failingSince_; }

  std::map<EndpointId, DestinationId> endpoints_;  // in service
  std::set<DestinationId> destinations_;           // of the endpoints in service
  std::map<EndpointId, Failure> failures_;         // of endpoints without a later success
  Millis failingSince_{0};                         // when the first failure that counts was recorded
  std::optional<Millis> lastSuccessAt_;
};

}  // namespace stonewing
