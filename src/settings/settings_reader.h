#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/deployment_settings.h"
#include "settings/name_tables.h"

// Reads settings text (JSON) into plain types. Only the implementation of these functions contains the keys
// of the settings. For invalid settings, each function throws SettingsError, whose text names the setting,
// what is wrong with it and, where possible, which values are allowed.
namespace stonewing {

// Reads the settings of a deployment. Unknown keys are ignored.
DeploymentSettings readDeploymentSettings(std::string_view text);

// Reads the names from the same settings. Unknown keys are ignored.
NameTables readNameTables(std::string_view text);

// Reads an operator's zone failover settings (the object `rooms` of the configuration, as JSON). `zones`: the
// names of all zones, by ZoneId. Unknown keys and unknown zones are errors. Empty text: zone failover is off.
ZoneFailoverSettings readZoneFailoverSettings(std::string_view text, const std::vector<std::string>& zones);

}  // namespace stonewing
