#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "policy/decision.h"
#include "settings/deployment_settings.h"

// The policy of one dispatcher in the model: either DispatchPolicy, as the real dispatcher uses it, or a
// simple baseline that it is compared with. The baselines belong to the testbed; the real dispatcher has none
// of them.
namespace stonewing::lab {

struct EndpointListEntry {
  EndpointId id{};
  DestinationId destination{};
  ZoneId zone{};
  double weight{1};
  EndpointState state{EndpointState::ready};
};

// The calls that the model makes; they mean the same as those of DispatchPolicy. Times are milliseconds of
// the model's virtual clock.
class LabPolicy {
 public:
  virtual ~LabPolicy() = default;
  virtual void beginRound(Millis now) = 0;
  virtual void updateEndpointList(const std::vector<EndpointListEntry>& entries, bool isWhole) = 0;
  virtual void acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                             DestinationId destination, Millis deadline) = 0;
  virtual void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt,
                                    bool provablyNotExecuted) = 0;
  virtual void recordConnectionIdleTime(MessageId id, int attempt, Millis idle) = 0;
  virtual void recordAttemptOutcome(MessageId id, int attempt, AttemptOutcome outcome, Millis latency,
                                    bool isFinal, Millis retryAfter, LoadReport report) = 0;
  virtual void recordHealthCheckOutcome(EndpointId id, AttemptOutcome outcome, LoadReport report) = 0;
  virtual void cancelMessage(MessageId id) = 0;
  virtual void recordTimerFired() = 0;
  virtual std::optional<Decision> nextDecision() = 0;
  virtual bool mayStartAttempt(MessageId id, int attempt) const = 0;
  virtual int requestOf(MessageId id, int attempt) const = 0;  // attempts of one batch have the same
  virtual int messagesInFlight() const = 0;
};

// Makes the policy of that name: "ours" is DispatchPolicy, the others are baselines. Throws ConfigError,
// which lists the names of policyNames(), if there is no such policy.
std::unique_ptr<LabPolicy> makePolicy(const std::string& name, const DeploymentSettings& settings,
                                      std::uint64_t seed);
// All names that makePolicy() accepts, "ours" first.
const std::vector<std::string>& policyNames();

}  // namespace stonewing::lab
