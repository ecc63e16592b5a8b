#include "settings/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

#include "base/errors.h"

namespace stonewing {
namespace {

using nlohmann::json;

constexpr double kMillisPerSecond = 1000.0;

const json& need(const json& from, const std::string& path) {
  const json* at = &from;
  std::size_t begin = 0;
  while (begin <= path.size()) {
    std::size_t end = std::min(path.find('.', begin), path.size());
    std::string key = path.substr(begin, end - begin);
    if (!at->is_object() || !at->contains(key)) throw SettingsError("the settings lack '" + path + "'");
    at = &(*at)[key];
    begin = end + 1;
  }
  return *at;
}

template <class T>
T get(const json& from, const std::string& path) {
  try {
    return need(from, path).get<T>();
  } catch (const json::exception&) {
    throw SettingsError("setting '" + path + "' is of the wrong kind");
  }
}

Millis millis(const json& from, const std::string& path) {
  return get<double>(from, path) * kMillisPerSecond;
}

template <class T>
T orElse(const json& from, const std::string& key, T otherwise) {
  return from.contains(key) ? get<T>(from, key) : otherwise;
}

json parsed(std::string_view text) {
  json facts = json::parse(text, nullptr, false);
  if (facts.is_discarded() || !facts.is_object()) throw SettingsError("the settings are not a JSON object");
  return facts;
}

std::vector<std::string> names(const json& rows) {
  std::vector<std::string> found;
  for (const json& row : rows) found.push_back(orElse<std::string>(row, "name", ""));
  return found;
}

[[noreturn]] void wrong(const std::string& type, const std::string& key, const json& value,
                        const std::string& right) {
  throw SettingsError("setting '" + key + "' of class '" + type + "' is " + value.dump() + "; it must be " +
                      right);
}

TrafficType trafficType(const json& row) {
  TrafficType t;
  auto name = orElse<std::string>(row, "name", "");
  t.latencyObjective = millis(row, "aim-s");
  if (t.latencyObjective <= 0) wrong(name, "aim-s", row["aim-s"], "more than 0");
  t.deadlineAfter = millis(row, "deadline-s");
  if (t.deadlineAfter <= 0) wrong(name, "deadline-s", row["deadline-s"], "more than 0");
  t.priorityWeight = orElse(row, "importance", 1.0);
  t.lateWeightShare = orElse(row, "late-worth", 0.0);
  t.ordered = orElse(row, "keep-order", false);
  std::string effect = get<std::string>(row, "effect");
  if (effect == "safe") {
    t.idempotency = Idempotency::idempotent;
  } else if (effect == "keyed") {
    t.idempotency = Idempotency::idempotentWithKey;
    t.deduplicationWindow = millis(row, "repeat-window-s");
    if (t.deduplicationWindow < 0) wrong(name, "repeat-window-s", row["repeat-window-s"], "0 or more");
    std::string group = get<std::string>(row, "group");
    // A cell is a destination: all the endpoints that a message may go to.
    if (group != "all" && group != "zone" && group != "cell")
      wrong(name, "group", group, "\"all\", \"zone\" or \"cell\"");
    t.deduplicatesWithinZone = group == "zone";
  } else if (effect == "unsafe") {
    t.idempotency = Idempotency::nonIdempotent;
  } else {
    wrong(name, "effect", effect, "\"safe\", \"keyed\" or \"unsafe\"");
  }
  return t;
}

}  // namespace

DeploymentSettings readDeploymentSettings(std::string_view text) {
  const json facts = parsed(text);
  DeploymentSettings terms;
  for (const json& row : get<json>(facts, "request-classes")) terms.types.push_back(trafficType(row));
  if (terms.types.empty())
    throw SettingsError("setting 'request-classes' is empty; it must name a class or more");
  const json family = get<json>(facts, "family-info");
  auto apart = orElse(family, "kind-apart", std::vector<bool>{});
  auto perCall = orElse(family, "per-call", std::vector<int>{});
  std::size_t kinds = std::max({orElse(facts, "kinds", json::array()).size(), apart.size(), perCall.size()});
  for (std::size_t k = 0; k < kinds; ++k) {
    terms.kinds.push_back({k < apart.size() && apart[k], k < perCall.size() ? std::max(1, perCall[k]) : 1});
  }
  std::string decay = orElse<std::string>(family, "decay", "linear");
  if (decay != "linear" && decay != "halving")
    throw SettingsError("setting 'decay' has unknown value " + decay);
  terms.decay = decay == "halving" ? WeightDecay::halving : WeightDecay::linear;
  terms.maxConcurrentRequests = get<int>(family, "call-slots");
  if (facts.contains("orgs")) {
    for (const json& org : get<json>(facts, "orgs")) {
      terms.tenantQuotaPerSecond.push_back(get<double>(org, "quota-per-s"));
    }
  }
  terms.overQuotaWeightShare = orElse(facts, "over-share-worth", 1.0);
  const json limits = get<json>(facts, "limits");
  terms.maxInFlight = get<int>(limits, "open-cap");
  terms.maxAttempts = get<int>(limits, "max-attempts");
  terms.mayHedge = orElse(limits, "may-duplicate", false);
  terms.mayHealthCheck = orElse(limits, "probes", false);
  terms.mayCancel = orElse(limits, "cancel", false);
  terms.mayAdviseRetryAfter = orElse(limits, "retry-after", false);
  terms.maxRetryAfter = orElse(limits, "max-retry-after-s", 0.0) * kMillisPerSecond;
  terms.connectionIdleTimeout = orElse(limits, "conn-idle-s", 0.0) * kMillisPerSecond;
  terms.dispatcherCount = std::max(1, orElse(facts, "replicas-of-me", 1));
  terms.dispatcherIndex = orElse(facts, "me", std::uint32_t{0});
  terms.zone = ZoneId{orElse(facts, "zone", std::uint8_t{0})};
  terms.hasReportedWeights = orElse<std::string>(facts, "weight-source", "off") != "off";
  const auto reported = readNameTables(text).loadReportFields;
  terms.reportsRateLimit = std::find(reported.begin(), reported.end(), "x1") != reported.end();
  terms.slowStartInitialShare = get<double>(facts, "rules.cold-from");
  terms.slowStartDuration = millis(facts, "rules.cold-s");
  terms.overloadThreshold = get<double>(facts, "rules.fall-multiple");
  terms.overloadWindow = millis(facts, "rules.fall-s");
  const json rules = get<json>(facts, "rules");
  terms.orderingPause = orElse(rules, "order-pause-s", 0.0) * kMillisPerSecond;
  return terms;
}

namespace {

std::string listed(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

ZoneFailoverSettings::Priorities readTiers(const json& rows, const std::vector<std::string>& zones,
                                           const std::string& key) {
  ZoneFailoverSettings::Priorities tiers;
  std::vector<ZoneId> seen;
  if (!rows.is_array() || rows.empty()) {
    throw SettingsError(
        "'" + key + "' must be a list of tiers, best first, each a list of rooms: [[\"a\"], [\"b\", \"c\"]]");
  }
  for (const json& row : rows) {
    if (!row.is_array() || row.empty())
      throw SettingsError("each tier of '" + key + "' must be a list of rooms: [\"a\"]");
    tiers.emplace_back();
    for (const json& name : row) {
      auto at =
          name.is_string() ? std::find(zones.begin(), zones.end(), name.get<std::string>()) : zones.end();
      if (at == zones.end()) {
        throw SettingsError("'" + key + "' names " + name.dump() + ", which is no room; the rooms are " +
                            listed(zones));
      }
      ZoneId zone{static_cast<std::uint8_t>(at - zones.begin())};
      if (std::find(seen.begin(), seen.end(), zone) != seen.end()) {
        throw SettingsError("'" + key + "' names " + name.dump() + " twice; a room stands in one tier");
      }
      seen.push_back(zone);
      tiers.back().push_back(zone);
    }
  }
  return tiers;
}

// Every key of an object that is known; another one is named with those there are.
void onlyKeys(const json& object, const std::string& name, const std::vector<std::string>& known) {
  if (!object.is_object()) throw SettingsError("'" + name + "' must be an object with " + listed(known));
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end())
      throw SettingsError("'" + name + "." + key + "' is not known; there are " + listed(known));
  }
}

double numberIn(const json& object, const std::string& name, const std::string& key, double otherwise,
                double least, double most) {
  if (!object.contains(key)) return otherwise;
  const json& value = object[key];
  if (!value.is_number() || value.get<double>() < least || value.get<double>() > most) {
    throw SettingsError("'" + name + "." + key + "' is " + value.dump() + "; it must be a number from " +
                        json(least).dump() + " to " + json(most).dump());
  }
  return value.get<double>();
}

}  // namespace

ZoneFailoverSettings readZoneFailoverSettings(std::string_view text, const std::vector<std::string>& zones) {
  ZoneFailoverSettings terms;
  if (text.empty()) return terms;
  const json rooms = json::parse(text, nullptr, false);
  onlyKeys(rooms, "rooms", {"tiers", "destinations", "spill", "return"});
  if (!rooms.contains("tiers"))
    throw SettingsError("'rooms' needs 'tiers', such as [[\"a\"], [\"b\", \"c\"]]");
  terms.priorities = readTiers(rooms["tiers"], zones, "rooms.tiers");
  const json destinations = rooms.value("destinations", json::object());
  if (!destinations.is_object())
    throw SettingsError("'rooms.destinations' must be an object: {\"7\": [[\"b\"], [\"a\"]]}");
  for (const auto& [name, tiers] : destinations.items()) {
    std::uint16_t number{};
    auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc() || end != name.data() + name.size())
      throw SettingsError("'rooms.destinations' names \"" + name +
                          "\"; a destination is a number from 0 to 65535");
    terms.destinations[DestinationId{number}] = readTiers(tiers, zones, "rooms.destinations." + name);
  }
  const json spill = rooms.value("spill", json::object());
  onlyKeys(spill, "rooms.spill", {"share", "slots", "per_s"});
  terms.spilloverShare = numberIn(spill, "rooms.spill", "share", terms.spilloverShare, 0, 100);
  terms.spilloverRequestShare = numberIn(spill, "rooms.spill", "slots", terms.spilloverRequestShare, 0, 1);
  terms.spilloverPerSecond = numberIn(spill, "rooms.spill", "per_s", terms.spilloverPerSecond, 0, 1e6);
  const json back = rooms.value("return", json::object());
  onlyKeys(back, "rooms.return", {"climb_s", "from"});
  terms.recoveryRampDuration = numberIn(back, "rooms.return", "climb_s", 0, 0, 86400) * kMillisPerSecond;
  terms.recoveryRampInitialShare = numberIn(back, "rooms.return", "from", 0, 0, 1);
  return terms;
}

NameTables readNameTables(std::string_view text) {
  const json facts = parsed(text);
  NameTables host;
  host.trafficTypes = names(get<json>(facts, "request-classes"));
  host.tenants = names(orElse(facts, "orgs", json::array()));
  host.kinds = orElse(facts, "kinds", std::vector<std::string>{});
  host.zones = orElse(facts, "zones", std::vector<std::string>{});
  if (facts.contains("report") && facts["report"].is_object()) {
    host.loadReportFields = orElse(facts["report"], "fields", std::vector<std::string>{});
  }
  host.connectTimeout = orElse(get<json>(facts, "limits"), "connect-timeout-s", 0.0) * kMillisPerSecond;
  return host;
}

}  // namespace stonewing
