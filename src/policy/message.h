#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "policy/attempt.h"
#include "policy/wait_queue.h"
#include "settings/deployment_settings.h"

namespace stonewing {

struct Destination;

// An accepted message. MessageRegistry owns it until it is finished and none of its attempts is pending.
struct Message {
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey orderingKey{};   // 0: none
  Destination* destination{};  // stays valid: destinations are never removed
  Millis deadline{};           // milliseconds of the policy's clock
  Millis retryNotBefore{};     // milliseconds of the policy's clock
  bool overQuota{false};
  bool finished{false};
  bool responseStarted{false};
  bool hedged{false};
  std::vector<Attempt> attempts;
  std::optional<WaitClass> waitClass;  // its list in the wait queue; none while an attempt is pending

  bool hasPendingAttempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.pending; });
  }
};

inline const TrafficType& trafficTypeOf(const DeploymentSettings& settings, const Message& message) {
  return settings.types.at(message.type.value);
}

}  // namespace stonewing
