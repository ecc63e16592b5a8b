#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/deployment_settings.h"

namespace stonewing {

// Reads the settings text of an instance. Unknown keys are skipped; a missing needed one is named in the
// error.
DeploymentSettings readDeploymentSettings(std::string_view text);

// What the settings call things, each at the place of its number, and what only a host needs.
struct NameTables {
  std::vector<std::string> trafficTypes;
  std::vector<std::string> tenants;
  std::vector<std::string> kinds;
  std::vector<std::string> zones;
  std::vector<std::string> loadReportFields;  // fields of a load report
  Millis connectTimeout{};                    // 0: no limit stated
};
NameTables readNameTables(std::string_view text);

// Reads what an operator states of rooms, by the names of the zones; empty text: nothing. Throws
// SettingsError naming the key, what is wrong and what would be right.
ZoneFailoverSettings readZoneFailoverSettings(std::string_view text, const std::vector<std::string>& zones);

}  // namespace stonewing
