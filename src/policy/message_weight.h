#pragma once

#include "policy/message.h"

namespace stonewing {

// The weight of the message if it is delivered at the given time (milliseconds of the policy's clock): the
// weight of its type, reduced if it is late or exceeded its tenant's quota; 0 after the deadline.
inline double weightAt(const DeploymentSettings& settings, const Message& message, Millis at) {
  const TrafficType& type = trafficTypeOf(settings, message);
  if (at > message.deadline) return 0;
  Millis late = at - (message.deadline - type.deadlineAfter) - type.latencyObjective;
  return type.priorityWeight * type.weightShareAt(late, settings.decay) *
         (message.overQuota ? settings.overQuotaWeightShare : 1);
}

}  // namespace stonewing
