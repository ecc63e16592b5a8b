#include "settings/json_access.h"

#include <algorithm>

namespace stonewing::settings_json {

json parseObject(std::string_view text) {
  json object = json::parse(text, nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    throw SettingsError("the settings are not a JSON object");
  }
  return object;
}

const json& requireValue(const json& object, const std::string& path) {
  const json* value = &object;
  std::size_t begin = 0;
  while (begin <= path.size()) {
    std::size_t end = std::min(path.find('.', begin), path.size());
    std::string key = path.substr(begin, end - begin);
    if (!value->is_object() || !value->contains(key)) {
      throw SettingsError("required setting '" + path + "' is missing");
    }
    value = &(*value)[key];
    begin = end + 1;
  }
  return *value;
}

Millis requireSeconds(const json& object, const std::string& path) {
  return require<double>(object, path) * kMillisPerSecond;
}

Millis secondsOr(const json& object, const std::string& key, double fallbackSeconds) {
  return valueOr(object, key, fallbackSeconds) * kMillisPerSecond;
}

std::string commaSeparated(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ", ";
    text += word;
  }
  return text;
}

}  // namespace stonewing::settings_json
