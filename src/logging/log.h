#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

// Structured logging of all programs, to standard error. An event has a name and fields; docs/log.md lists
// them. In the text format, a line reads "time level event field=value ..."; in the JSON format, each line is
// one object. Events of a disabled level are not formatted. Not thread-safe: only the thread of the event
// loop may use it.
namespace stonewing::log {

enum class Level { debug, info, warn, error };
enum class Format { text, json };

// A field of an event. Holds a view of the text passed to it, so it must not outlive the call that logs it.
struct Field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double> value;

  Field(std::string_view name, std::string_view text) : name(name), value(text) {}
  Field(std::string_view name, const std::string& text) : name(name), value(std::string_view(text)) {}
  Field(std::string_view name, const char* text) : name(name), value(std::string_view(text)) {}
  Field(std::string_view name, double number) : name(name), value(number) {}
  template <std::integral T>
  Field(std::string_view name, T number) : name(name), value(static_cast<std::int64_t>(number)) {}
};

// Sets up the log, once, at the start of the program. `levelName`: trace, debug, info, warn, error or off.
// `formatName`: text or json. Throws ConfigError, which lists the allowed names, for any other name.
void open(const std::string& programName, const std::string& levelName, const std::string& formatName);
// Whether events of the level are logged.
bool isEnabled(Level level);
// Formats and logs an event. debug(), info(), warn() and error() call it only if their level is enabled.
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

inline void debug(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (isEnabled(Level::debug)) event(Level::debug, name, fields);
}
inline void info(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (isEnabled(Level::info)) event(Level::info, name, fields);
}
inline void warn(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (isEnabled(Level::warn)) event(Level::warn, name, fields);
}
inline void error(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (isEnabled(Level::error)) event(Level::error, name, fields);
}

// Formats an event without its time and level; declared here for tests. In the JSON format, the result is the
// content of an object without its braces.
std::string formatEvent(Format format, std::string_view name, std::initializer_list<Field> fields);

}  // namespace stonewing::log
