#pragma once

#include "policy/message.h"

namespace stonewing {

// What it is worth to deliver the message at that time (milliseconds of the policy's clock): its type's
// weight, less what lateness takes away and what exceeding the tenant's quota costs; 0 after the deadline.
inline double weightAt(const DeploymentSettings& settings, const Message& message, Millis at) {
  const TrafficType& type = trafficTypeOf(settings, message);
  if (at > message.deadline) return 0;
  Millis late = at - (message.deadline - type.deadlineAfter) - type.latencyObjective;
  return type.priorityWeight * type.weightShareAt(late, settings.decay) *
         (message.overQuota ? settings.overQuotaWeightShare : 1);
}

}  // namespace stonewing
