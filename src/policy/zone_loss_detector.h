#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "base/ids.h"

namespace stonewing {

// Decides, for one zone, whether its endpoints look lost together: several of them fail, they belong to
// several destinations, and nothing in the zone has worked since the first of them failed. It sees only what
// this dispatcher attempts. No clock of its own; times are milliseconds of the dispatcher's clock.
class ZoneLossDetector {
 public:
  // A new endpoint list: clearEndpoints(), addEndpoint() for each endpoint in service, then
  // forgetUnlistedFailures(). The failures known so far are kept in between.
  void clearEndpoints();
  void addEndpoint(EndpointId endpoint, DestinationId destination);
  void forgetUnlistedFailures();

  bool hasEndpoints() const { return !endpoints_.empty(); }
  bool hasEndpoint(EndpointId endpoint) const { return endpoints_.contains(endpoint); }

  // The endpoint answered: it no longer counts as failing, and failures before now are no evidence any more.
  void recordSuccess(Millis now, EndpointId endpoint);
  // The endpoint is failing. The caller has checked that one failure alone is not reported.
  void recordFailing(Millis now, EndpointId endpoint, DestinationId destination);
  // Only what fails from now on is evidence.
  void restart(Millis now) { failingSince_ = now; }

  bool indicatesLoss() const;

 private:
  struct Failure {
    DestinationId destination{};
    Millis lastAt{};
  };
  bool hasWorkedSinceFirstFailure() const { return lastSuccessAt_ && *lastSuccessAt_ >= failingSince_; }

  std::map<EndpointId, DestinationId> endpoints_;  // in service
  std::set<DestinationId> destinations_;           // those that the endpoints in service belong to
  std::map<EndpointId, Failure> failures_;         // of endpoints that have not worked since
  Millis failingSince_{0};                         // when the first of the failures that count was seen
  std::optional<Millis> lastSuccessAt_;
};

}  // namespace stonewing
