#include <algorithm>
#include <string>

#include "settings/json_access.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

using namespace settings_json;

// The field of an endpoint's load report that carries its rate limit.
constexpr const char* kRateLimitReportField = "x1";
// For settings that state no drain grace: the shortest that deployments are known to state.
constexpr double kDefaultDrainGraceSeconds = 0.5;

[[noreturn]] void throwWrongValue(const std::string& type, const std::string& key, const json& value,
                                  const std::string& allowed) {
  throw SettingsError("setting '" + key + "' of class '" + type + "' is " + value.dump() + "; it must be " +
                      allowed);
}

Millis requirePositiveSeconds(const json& row, const std::string& type, const std::string& key) {
  Millis value = requireSeconds(row, key);
  if (value <= 0) throwWrongValue(type, key, row[key], "more than 0");
  return value;
}

DeduplicationScope readDeduplicationScope(const json& row, const std::string& type) {
  std::string group = require<std::string>(row, "group");
  if (group == "zone") return DeduplicationScope::zone;
  // A cell is a destination, which consists of all endpoints that a message may be sent to.
  if (group == "all" || group == "cell") return DeduplicationScope::destination;
  throwWrongValue(type, "group", group, "\"all\", \"zone\" or \"cell\"");
}

void readIdempotency(const json& row, const std::string& name, TrafficType& type) {
  std::string effect = require<std::string>(row, "effect");
  if (effect == "safe") {
    type.idempotency = Idempotency::idempotent;
  } else if (effect == "keyed") {
    type.idempotency = Idempotency::idempotentWithKey;
    type.deduplicationWindow = requireSeconds(row, "repeat-window-s");
    if (type.deduplicationWindow < 0) {
      throwWrongValue(name, "repeat-window-s", row["repeat-window-s"], "0 or more");
    }
    type.deduplicationScope = readDeduplicationScope(row, name);
  } else if (effect == "unsafe") {
    type.idempotency = Idempotency::nonIdempotent;
  } else {
    throwWrongValue(name, "effect", effect, "\"safe\", \"keyed\" or \"unsafe\"");
  }
}

TrafficType readTrafficType(const json& row) {
  TrafficType type;
  auto name = valueOr<std::string>(row, "name", "");
  type.latencyObjective = requirePositiveSeconds(row, name, "aim-s");
  type.deadlineAfter = requirePositiveSeconds(row, name, "deadline-s");
  type.priorityWeight = valueOr(row, "importance", 1.0);
  type.lateWeightShare = valueOr(row, "late-worth", 0.0);
  type.ordered = valueOr(row, "keep-order", false);
  readIdempotency(row, name, type);
  return type;
}

std::vector<TrafficType> readTrafficTypes(const json& settings) {
  std::vector<TrafficType> types;
  for (const json& row : require<json>(settings, "request-classes")) types.push_back(readTrafficType(row));
  if (types.empty()) {
    throw SettingsError("setting 'request-classes' is empty; it must list at least one class");
  }
  return types;
}

// Reads three lists that are indexed by kind, of which each may be shorter than the others.
std::vector<EndpointKindSettings> readKinds(const json& settings, const json& family) {
  auto separateRoutes = valueOr(family, "kind-apart", std::vector<bool>{});
  auto batchSizes = valueOr(family, "per-call", std::vector<int>{});
  std::size_t namedKinds = valueOr(settings, "kinds", json::array()).size();
  std::vector<EndpointKindSettings> kinds(std::max({namedKinds, separateRoutes.size(), batchSizes.size()}));
  for (std::size_t kind = 0; kind < separateRoutes.size(); ++kind)
    kinds[kind].hasRoutePerEndpoint = separateRoutes[kind];
  for (std::size_t kind = 0; kind < batchSizes.size(); ++kind) {
    kinds[kind].maxBatchSize = std::max(1, batchSizes[kind]);
  }
  return kinds;
}

WeightDecay readDecay(const json& family) {
  std::string decay = valueOr<std::string>(family, "decay", "linear");
  if (decay == "linear") return WeightDecay::linear;
  if (decay == "halving") return WeightDecay::halving;
  throw SettingsError("setting 'family-info.decay' is \"" + decay +
                      "\"; it must be \"linear\" or \"halving\"");
}

std::vector<double> readTenantQuotas(const json& settings) {
  std::vector<double> perSecond;
  if (!settings.contains("orgs")) return perSecond;
  for (const json& org : require<json>(settings, "orgs")) {
    perSecond.push_back(require<double>(org, "quota-per-s"));
  }
  return perSecond;
}

void readLimits(const json& limits, DeploymentSettings& deployment) {
  deployment.maxInFlight = require<int>(limits, "open-cap");
  deployment.maxAttempts = require<int>(limits, "max-attempts");
  deployment.mayHedge = valueOr(limits, "may-duplicate", false);
  deployment.mayHealthCheck = valueOr(limits, "probes", false);
  deployment.mayCancel = valueOr(limits, "cancel", false);
  deployment.mayAdviseRetryAfter = valueOr(limits, "retry-after", false);
  deployment.maxRetryAfter = secondsOr(limits, "max-retry-after-s", 0.0);
  deployment.connectionIdleTimeout = secondsOr(limits, "conn-idle-s", 0.0);
}

void readRecoveryRules(const json& settings, DeploymentSettings& deployment) {
  deployment.slowStartInitialShare = require<double>(settings, "rules.cold-from");
  deployment.slowStartDuration = requireSeconds(settings, "rules.cold-s");
  deployment.overloadThreshold = require<double>(settings, "rules.fall-multiple");
  deployment.overloadWindow = requireSeconds(settings, "rules.fall-s");
  deployment.orderingPause = secondsOr(require<json>(settings, "rules"), "order-pause-s", 0.0);
}

// A deployment that names no mode gets the shorter bounds.
DiscoveryKind readDiscoveryKind(const json& settings) {
  auto mode = valueOr<std::string>(settings, "registry-mode", "push");
  if (mode == "push") return DiscoveryKind::localAgent;
  if (mode == "ask") return DiscoveryKind::sharedServer;
  throw SettingsError("setting 'registry-mode' is \"" + mode + "\"; it must be \"push\" or \"ask\"");
}

void readDrainRules(const json& settings, DeploymentSettings& deployment) {
  deployment.drainGrace =
      secondsOr(require<json>(settings, "rules"), "drain-grace-s", kDefaultDrainGraceSeconds);
  deployment.discoveryKind = readDiscoveryKind(settings);
  if (deployment.drainGrace < 0) throw SettingsError("setting 'rules.drain-grace-s' must not be negative");
}

}  // namespace

DeploymentSettings readDeploymentSettings(std::string_view text) {
  const json settings = parseObject(text);
  DeploymentSettings deployment;
  deployment.types = readTrafficTypes(settings);
  const json family = require<json>(settings, "family-info");
  deployment.kinds = readKinds(settings, family);
  deployment.decay = readDecay(family);
  deployment.maxConcurrentRequests = require<int>(family, "call-slots");
  deployment.tenantQuotaPerSecond = readTenantQuotas(settings);
  deployment.overQuotaWeightShare = valueOr(settings, "over-share-worth", 1.0);
  readLimits(require<json>(settings, "limits"), deployment);
  deployment.dispatcherCount = std::max(1, valueOr(settings, "replicas-of-me", 1));
  deployment.dispatcherIndex = valueOr(settings, "me", std::uint32_t{0});
  deployment.zone = ZoneId{valueOr(settings, "zone", std::uint8_t{0})};
  deployment.hasReportedWeights = valueOr<std::string>(settings, "weight-source", "off") != "off";
  const auto reportFields = readNameTables(text).loadReportFields;
  deployment.reportsRateLimit =
      std::find(reportFields.begin(), reportFields.end(), kRateLimitReportField) != reportFields.end();
  readRecoveryRules(settings, deployment);
  readDrainRules(settings, deployment);
  return deployment;
}

}  // namespace stonewing
