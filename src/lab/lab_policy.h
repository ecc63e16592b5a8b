#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "policy/decision.h"
#include "settings/deployment_settings.h"

// What decides for one dispatcher of the model: the product's own module, or one of the plain policies that
// it is compared with. Those are baselines of the laboratory; the dispatcher has none of them.
namespace stonewing::lab {

struct EndpointListEntry {
  EndpointId id{};
  DestinationId destination{};
  ZoneId zone{};
  double weight{1};
  EndpointState state{EndpointState::ready};
};

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
  virtual int requestOf(MessageId id, int attempt) const = 0;  // attempts of one call share its number
  virtual int messagesInFlight() const = 0;
};

// "ours", or a baseline by its name. Throws ConfigError with the names there are.
std::unique_ptr<LabPolicy> makePolicy(const std::string& name, const DeploymentSettings& settings,
                                      std::uint64_t seed);
const std::vector<std::string>& policyNames();

}  // namespace stonewing::lab
