#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace stonewing {

// Names from the settings, each at the index of its id, and the settings that only the program around the
// policy needs, not the policy itself.
struct NameTables {
  std::vector<std::string> trafficTypes;      // by TrafficTypeId
  std::vector<std::string> tenants;           // by TenantId
  std::vector<std::string> kinds;             // by KindId
  std::vector<std::string> zones;             // by ZoneId
  std::vector<std::string> loadReportFields;  // fields of an endpoint's load report, in the report's order
  Millis connectTimeout{};                    // milliseconds; 0: no limit in the settings
};

}  // namespace stonewing
