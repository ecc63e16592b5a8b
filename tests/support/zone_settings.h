#pragma once

#include "support/policy_harness.h"

namespace stonewing::testing {

constexpr ZoneId kOwnZone{0}, kNearZone{1}, kFarZone{2};  // in order of priority, highest first

// Three zones, and a traffic type of each idempotency. The type with a key is deduplicated within a zone
// only.
inline DeploymentSettings zoneSettings() {
  DeploymentSettings settings = testSettings();
  settings.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey),
                    trafficType(Idempotency::nonIdempotent)};
  settings.types[1].deduplicationScope = DeduplicationScope::zone;
  settings.maxConcurrentRequests = 20;
  settings.zoneFailover.priorities = {{kOwnZone}, {kNearZone}, {kFarZone}};
  return settings;
}

}  // namespace stonewing::testing
