#pragma once

#include <vector>

#include "policy/round_clock.h"
#include "settings/deployment_settings.h"

// Decides whether a tenant exceeds its quota at this dispatcher.
//
// Owns: a token bucket for each tenant. Input: accepted messages. Query: whether a tenant is over quota.
namespace stonewing {

class Quota {
 public:
  // The referenced objects must outlive the Quota.
  Quota(const DeploymentSettings& settings, const RoundClock& clock);

  // Whether the tenant had less than one token left after its last message; false for unknown tenants.
  bool isOver(TenantId tenant) const;
  // Counts an accepted message of the tenant. Returns whether the message is over quota.
  bool recordAccepted(TenantId tenant);

 private:
  struct Bucket {
    double tokens{0};  // messages
    Millis refilledAt{0};
    double acceptedCount{0};
  };

  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  std::vector<Bucket> buckets_;  // by tenant id
};

}  // namespace stonewing
