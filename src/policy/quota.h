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
  // Both outlive it.
  Quota(const DeploymentSettings& settings, const RoundClock& clock);

  // Whether the tenant was over quota when its last message was accepted; false for unknown tenants.
  bool isOver(TenantId tenant) const;
  // Counts a message of the tenant; returns whether it is over quota.
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
