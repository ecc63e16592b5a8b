#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/deployment_settings.h"
#include "settings/name_tables.h"

// Reads settings text (JSON) into plain types. The spelling of every setting stands here and nowhere else.
// Each function throws SettingsError, which names the setting, what is wrong with it and, where it can, what
// would be right.
namespace stonewing {

// Reads the settings of a deployment. Unknown keys are skipped.
DeploymentSettings readDeploymentSettings(std::string_view text);

// Reads the names from the same settings. Unknown keys are skipped.
NameTables readNameTables(std::string_view text);

// Reads what an operator states about zone failover (the `rooms` table of the configuration file, as JSON).
// The zones must be named in `zones`. Unknown keys are errors. Empty text: zone failover is off.
ZoneFailoverSettings readZoneFailoverSettings(std::string_view text, const std::vector<std::string>& zones);

}  // namespace stonewing
