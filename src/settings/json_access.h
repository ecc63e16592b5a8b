#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"

// Access to the fields of JSON settings, for the settings readers only. A missing value, or one of the wrong
// type, throws a SettingsError that names the setting.
namespace stonewing::settings_json {

using nlohmann::json;

constexpr double kMillisPerSecond = 1000.0;

// Parses the whole text as a JSON object.
json parseObject(std::string_view text);

// The value at a path of keys joined by dots. The reference is valid as long as `object` exists.
const json& requireValue(const json& object, const std::string& path);

// The value at a path of keys joined by dots, converted to T.
template <class T>
T require(const json& object, const std::string& path) {
  try {
    return requireValue(object, path).get<T>();
  } catch (const json::exception&) {
    throw SettingsError("setting '" + path + "' has the wrong JSON type");
  }
}

// The value of one key, converted to T, or `fallback` if the object has no such key.
template <class T>
T valueOr(const json& object, const std::string& key, T fallback) {
  return object.contains(key) ? require<T>(object, key) : std::move(fallback);
}

// As require() and valueOr(), for a value in seconds, which is converted to milliseconds.
Millis requireSeconds(const json& object, const std::string& path);
Millis secondsOr(const json& object, const std::string& key, double fallbackSeconds);

// The words separated by commas, for an error text.
std::string commaSeparated(const std::vector<std::string>& words);

}  // namespace stonewing::settings_json
