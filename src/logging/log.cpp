#include "logging/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/errors.h"

namespace stonewing::log {
namespace {

// Set once by open.
Format activeFormat = Format::text;

spdlog::level::level_enum levelOf(Level level) {
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

nlohmann::json jsonOf(const Field& field) {
  return std::visit([](const auto& value) { return nlohmann::json(value); }, field.value);
}

// Whether a text can stand in a line as it is: not empty, and without blanks, quotes and the like.
bool isPlain(std::string_view text) {
  return !text.empty() && text.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
}

// A value for a line of text. Texts that are not plain are quoted as in JSON.
std::string textOf(const Field& field) {
  const auto* text = std::get_if<std::string_view>(&field.value);
  if (text != nullptr && isPlain(*text)) return std::string(*text);
  return jsonOf(field).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void open(const std::string& programName, const std::string& levelName, const std::string& formatName) {
  auto level = spdlog::level::from_str(levelName);
  // from_str returns `off` for a name it does not know.
  if (level == spdlog::level::off && levelName != "off") {
    throw ConfigError("there is no log level '" + levelName +
                      "'; there are trace, debug, info, warn, error and off");
  }
  if (formatName != "text" && formatName != "json") {
    throw ConfigError("there is no log format '" + formatName + "'; there are text and json");
  }
  activeFormat = formatName == "json" ? Format::json : Format::text;
  spdlog::set_default_logger(spdlog::stderr_logger_st(programName));
  spdlog::set_level(level);
  if (activeFormat == Format::json) {
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","program":"%n",%v})");
  }
}

bool isEnabled(Level level) { return spdlog::should_log(levelOf(level)); }

std::string lineOf(Format format, std::string_view name, std::initializer_list<Field> fields) {
  if (format == Format::text) {
    std::string line(name);
    for (const Field& field : fields) {
      line.append(" ").append(field.name).append("=").append(textOf(field));
    }
    return line;
  }
  nlohmann::ordered_json row;
  row["event"] = name;
  for (const Field& field : fields) row[std::string(field.name)] = jsonOf(field);
  std::string object = row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);  // without its braces; the pattern of open adds them
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  spdlog::log(levelOf(level), "{}", lineOf(activeFormat, name, fields));
}

}  // namespace stonewing::log
