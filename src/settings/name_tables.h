#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace stonewing {

// The names that the settings give to things, each at the index of its id, and what only the host of a policy
// needs to know.
struct NameTables {
  std::vector<std::string> trafficTypes;      // by TrafficTypeId
  std::vector<std::string> tenants;           // by TenantId
  std::vector<std::string> kinds;             // by KindId
  std::vector<std::string> zones;             // by ZoneId
  std::vector<std::string> loadReportFields;  // fields of an endpoint's load report, in its order
  Millis connectTimeout{};                    // milliseconds; 0: the settings state no limit
};

}  // namespace stonewing
