#include "logging/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/bytes.h"

namespace stonewing::log {
namespace {

Format format = Format::text;

spdlog::level::level_enum levelOf(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warn:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

nlohmann::json jsonOf(const Field& field) {
  return std::visit([](const auto& value) { return nlohmann::json(value); }, field.value);
}

// A value that holds blanks or quotes is put in quotes, as JSON has them.
std::string textOf(const Field& field) {
  const auto* text = std::get_if<std::string_view>(&field.value);
  bool plain =
      text == nullptr || (!text->empty() && text->find_first_of(" \"=\\\n\r\t") == std::string_view::npos);
  if (plain && text != nullptr) return std::string(*text);
  return jsonOf(field).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void open(const std::string& who, const std::string& level, const std::string& wanted) {
  auto known = spdlog::level::from_str(level);
  if (known == spdlog::level::off && level != "off") {
    throw ConfigError("there is no log level '" + level +
                      "'; there are trace, debug, info, warn, error and off");
  }
  if (wanted != "text" && wanted != "json") {
    throw ConfigError("there is no log format '" + wanted + "'; there are text and json");
  }
  format = wanted == "json" ? Format::json : Format::text;
  spdlog::set_default_logger(spdlog::stderr_logger_st(who));
  spdlog::set_level(known);
  if (format == Format::json) {
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","program":"%n",%v})");
  }
}

bool on(Level level) { return spdlog::should_log(levelOf(level)); }

std::string lineOf(Format as, std::string_view name, std::initializer_list<Field> fields) {
  if (as == Format::text) {
    std::string line(name);
    for (const Field& f : fields) line.append(" ").append(f.name).append("=").append(textOf(f));
    return line;
  }
  nlohmann::ordered_json row;
  row["event"] = name;
  for (const Field& f : fields) row[std::string(f.name)] = jsonOf(f);
  std::string object = row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  spdlog::log(levelOf(level), "{}", lineOf(format, name, fields));
}

}  // namespace stonewing::log
