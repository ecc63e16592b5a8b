#include "logging/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/errors.h"

namespace stonewing::log {
namespace {

// Set once by open().
Format activeFormat = Format::text;

spdlog::level::level_enum toSpdlogLevel(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warn:
      return spdlog::level::warn;
    case Level::error:
      break;
  }
  return spdlog::level::err;
}

nlohmann::json toJson(const Field& field) {
  return std::visit([](const auto& value) { return nlohmann::json(value); }, field.value);
}

// Whether a text can be written to a line without quotes: it is not empty and contains no blank, quote,
// equals sign, backslash, tab or line break.
bool needsNoQuotes(std::string_view text) {
  return !text.empty() && text.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
}

// The value of a field in the text format. Texts that need quotes are quoted as in JSON.
std::string toText(const Field& field) {
  const auto* text = std::get_if<std::string_view>(&field.value);
  if (text != nullptr && needsNoQuotes(*text)) return std::string(*text);
  return toJson(field).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void open(const std::string& programName, const std::string& levelName, const std::string& formatName) {
  auto level = spdlog::level::from_str(levelName);
  // from_str returns `off` for an unknown name.
  if (level == spdlog::level::off && levelName != "off") {
    throw ConfigError("unknown log level '" + levelName +
                      "'; it must be trace, debug, info, warn, error or off");
  }
  if (formatName != "text" && formatName != "json") {
    throw ConfigError("unknown log format '" + formatName + "'; it must be text or json");
  }
  activeFormat = formatName == "json" ? Format::json : Format::text;
  spdlog::set_default_logger(spdlog::stderr_logger_st(programName));
  spdlog::set_level(level);
  if (activeFormat == Format::json) {
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","program":"%n",%v})");
  }
}

bool isEnabled(Level level) { return spdlog::should_log(toSpdlogLevel(level)); }

std::string formatEvent(Format format, std::string_view name, std::initializer_list<Field> fields) {
  if (format == Format::text) {
    std::string line(name);
    for (const Field& field : fields) {
      line.append(" ").append(field.name).append("=").append(toText(field));
    }
    return line;
  }
  nlohmann::ordered_json eventJson;
  eventJson["event"] = name;
  for (const Field& field : fields) eventJson[std::string(field.name)] = toJson(field);
  std::string serialized = eventJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return serialized.substr(
      1, serialized.size() - 2);  // without the braces; the log pattern set in open() adds them
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  spdlog::log(toSpdlogLevel(level), "{}", formatEvent(activeFormat, name, fields));
}

}  // namespace stonewing::log
