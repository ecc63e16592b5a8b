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

struct ListRow {
  EndpointId id{};
  DestinationId destination{};
  ZoneId room{};
  double weight{1};
  EndpointState phase{EndpointState::ready};
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void roundBegins(Millis now) = 0;
  virtual void list(const std::vector<ListRow>& rows, bool whole) = 0;
  virtual void taken(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                     DestinationId destination, Millis outerLimit) = 0;
  virtual void launchedBefore(MessageId id, EndpointId endpoint, Millis sent, bool neverRan) = 0;
  virtual void goesOutOn(MessageId id, int launch, Millis idle) = 0;
  virtual void launchEnded(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool over,
                           Millis wait, LoadReport report) = 0;
  virtual void probeEnded(EndpointId id, AttemptOutcome ending, LoadReport report) = 0;
  virtual void clientGone(MessageId id) = 0;
  virtual void woken() = 0;
  virtual std::optional<Decision> next() = 0;
  virtual bool mayBegin(MessageId id, int launch) const = 0;
  virtual int callOf(MessageId id, int launch) const = 0;  // attempts of one call share its number
  virtual int held() const = 0;
};

// "ours", or a baseline by its name. Throws ConfigError with the names there are.
std::unique_ptr<Policy> policyNamed(const std::string& name, const DeploymentSettings& terms,
                                    std::uint64_t seed);
const std::vector<std::string>& policyNames();

}  // namespace stonewing::lab
