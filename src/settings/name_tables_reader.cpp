#include <string>

#include "settings/json_access.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

using namespace settings_json;

// The name of each row; empty for a row without one.
std::vector<std::string> namesOf(const json& rows) {
  std::vector<std::string> names;
  for (const json& row : rows) names.push_back(valueOr<std::string>(row, "name", ""));
  return names;
}

}  // namespace

NameTables readNameTables(std::string_view text) {
  const json settings = parseObject(text);
  NameTables names;
  names.trafficTypes = namesOf(require<json>(settings, "request-classes"));
  names.tenants = namesOf(valueOr(settings, "orgs", json::array()));
  names.kinds = valueOr(settings, "kinds", std::vector<std::string>{});
  names.zones = valueOr(settings, "zones", std::vector<std::string>{});
  if (settings.contains("report") && settings["report"].is_object()) {
    names.loadReportFields = valueOr(settings["report"], "fields", std::vector<std::string>{});
  }
  names.connectTimeout = secondsOr(require<json>(settings, "limits"), "connect-timeout-s", 0.0);
  return names;
}

}  // namespace stonewing
