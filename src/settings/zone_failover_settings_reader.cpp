#include <algorithm>
#include <charconv>
#include <string>

#include "settings/json_access.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

using namespace settings_json;

constexpr double kMaxSpilloverShare = 100;
constexpr double kMaxSpilloverPerSecond = 1e6;
constexpr double kMaxRampSeconds = 86400;  // a day

void requireKnownKey(const std::string& name, const std::string& key,
                     const std::vector<std::string>& allowedKeys) {
  if (std::find(allowedKeys.begin(), allowedKeys.end(), key) != allowedKeys.end()) return;
  throw SettingsError("'" + name + "." + key + "' is an unknown key; the allowed keys are " +
                      commaSeparated(allowedKeys));
}

// Throws SettingsError unless `object` is a JSON object that has only keys of `allowedKeys`.
void requireKnownKeys(const json& object, const std::string& name,
                      const std::vector<std::string>& allowedKeys) {
  if (!object.is_object())
    throw SettingsError("'" + name + "' must be a JSON object with keys from " + commaSeparated(allowedKeys));
  for (const auto& [key, value] : object.items()) requireKnownKey(name, key, allowedKeys);
}

struct Range {
  double lowest{};
  double highest{};
};

// The number at `key` of the object, or `fallback` if there is none. `name`: the path of the object in the
// configuration, for the error text.
double numberOr(const json& object, const std::string& name, const std::string& key, double fallback,
                Range range) {
  if (!object.contains(key)) return fallback;
  const json& value = object[key];
  if (!value.is_number() || value.get<double>() < range.lowest || value.get<double>() > range.highest) {
    throw SettingsError("'" + name + "." + key + "' is " + value.dump() + "; it must be a number from " +
                        json(range.lowest).dump() + " to " + json(range.highest).dump());
  }
  return value.get<double>();
}

ZoneId readZone(const json& name, const std::vector<std::string>& zones, const std::string& key) {
  auto found = zones.end();
  if (name.is_string()) found = std::find(zones.begin(), zones.end(), name.get<std::string>());
  if (found == zones.end()) {
    throw SettingsError("'" + key + "' contains the unknown zone " + name.dump() + "; the zones are " +
                        commaSeparated(zones));
  }
  return ZoneId{static_cast<std::uint8_t>(found - zones.begin())};
}

bool contains(const ZoneFailoverSettings::Priorities& priorities, ZoneId zone) {
  return std::any_of(priorities.begin(), priorities.end(), [&](const std::vector<ZoneId>& samePriority) {
    return std::find(samePriority.begin(), samePriority.end(), zone) != samePriority.end();
  });
}

ZoneFailoverSettings::Priorities readPriorities(const json& rows, const std::vector<std::string>& zones,
                                                const std::string& key) {
  if (!rows.is_array() || rows.empty()) {
    throw SettingsError("'" + key +
                        "' must be a list of tiers, the highest priority first, each a list of zones, such "
                        "as [[\"a\"], [\"b\", \"c\"]]");
  }
  ZoneFailoverSettings::Priorities priorities;
  for (const json& row : rows) {
    if (!row.is_array() || row.empty()) {
      throw SettingsError("each tier of '" + key + "' must be a list of zones, such as [\"a\"]");
    }
    priorities.emplace_back();
    for (const json& name : row) {
      ZoneId zone = readZone(name, zones, key);
      if (contains(priorities, zone)) {
        throw SettingsError("'" + key + "' contains the zone " + name.dump() +
                            " twice; each zone may be in one tier only");
      }
      priorities.back().push_back(zone);
    }
  }
  return priorities;
}

DestinationId readDestination(const std::string& name) {
  std::uint16_t number{};
  const char* nameEnd = name.data() + name.size();
  auto [end, error] = std::from_chars(name.data(), nameEnd, number);
  if (error != std::errc() || end != nameEnd) {
    throw SettingsError("'rooms.destinations' has the key \"" + name +
                        "\"; each key must be a destination, a number from 0 to 65535");
  }
  return DestinationId{number};
}

std::map<DestinationId, ZoneFailoverSettings::Priorities> readDestinations(
    const json& destinations, const std::vector<std::string>& zones) {
  if (!destinations.is_object()) {
    throw SettingsError(
        "'rooms.destinations' must be a JSON object of tiers by destination, such as {\"7\": [[\"b\"], "
        "[\"a\"]]}");
  }
  std::map<DestinationId, ZoneFailoverSettings::Priorities> priorities;
  for (const auto& [name, rows] : destinations.items()) {
    DestinationId destination = readDestination(name);
    priorities[destination] = readPriorities(rows, zones, "rooms.destinations." + name);
  }
  return priorities;
}

void readSpillover(const json& spillover, ZoneFailoverSettings& failover) {
  const std::string name = "rooms.spill";
  requireKnownKeys(spillover, name, {"share", "slots", "per_s"});
  failover.spilloverShare =
      numberOr(spillover, name, "share", failover.spilloverShare, {0, kMaxSpilloverShare});
  failover.spilloverRequestShare = numberOr(spillover, name, "slots", failover.spilloverRequestShare, {0, 1});
  failover.spilloverPerSecond =
      numberOr(spillover, name, "per_s", failover.spilloverPerSecond, {0, kMaxSpilloverPerSecond});
}

void readRecoveryRamp(const json& recovery, ZoneFailoverSettings& failover) {
  const std::string name = "rooms.return";
  requireKnownKeys(recovery, name, {"climb_s", "from"});
  failover.recoveryRampDuration =
      numberOr(recovery, name, "climb_s", 0, {0, kMaxRampSeconds}) * kMillisPerSecond;
  failover.recoveryRampInitialShare = numberOr(recovery, name, "from", 0, {0, 1});
}

}  // namespace

ZoneFailoverSettings readZoneFailoverSettings(std::string_view text, const std::vector<std::string>& zones) {
  ZoneFailoverSettings failover;
  if (text.empty()) return failover;
  const json table = json::parse(text, nullptr, false);
  requireKnownKeys(table, "rooms", {"tiers", "destinations", "spill", "return"});
  if (!table.contains("tiers")) {
    throw SettingsError("'rooms' needs 'tiers', a list of tiers of zones such as [[\"a\"], [\"b\", \"c\"]]");
  }
  failover.priorities = readPriorities(table["tiers"], zones, "rooms.tiers");
  failover.destinations = readDestinations(table.value("destinations", json::object()), zones);
  readSpillover(table.value("spill", json::object()), failover);
  readRecoveryRamp(table.value("return", json::object()), failover);
  return failover;
}

}  // namespace stonewing
