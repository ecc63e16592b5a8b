#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"

// Access to the fields of JSON settings, for the settings readers alone. What is missing or of the wrong kind
// is a SettingsError that names the setting.
namespace stonewing::settings_json {

using nlohmann::json;

constexpr double kMillisPerSecond = 1000.0;

// The whole text as a JSON object.
json parseObject(std::string_view text);

// The value at a path of keys joined by dots. The reference lives as long as `object`.
const json& requireValue(const json& object, const std::string& path);

// The value at a path of keys, as T.
template <class T>
T require(const json& object, const std::string& path) {
  try {
    return requireValue(object, path).get<T>();
  } catch (const json::exception&) {
    throw SettingsError("setting '" + path + "' is of the wrong kind");
  }
}

// The value of one key as T, or the fallback where the object lacks the key.
template <class T>
T valueOr(const json& object, const std::string& key, T fallback) {
  return object.contains(key) ? require<T>(object, key) : std::move(fallback);
}

// A value that the settings state in seconds.
Millis requireSeconds(const json& object, const std::string& path);
Millis secondsOr(const json& object, const std::string& key, double fallbackSeconds);

// The words joined by commas, for an error text.
std::string joined(const std::vector<std::string>& words);

}  // namespace stonewing::settings_json
