#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

// The log of all programs, on standard error: an event has a name and fields, which docs/log.md lists. As
// text, a line reads "time level event field=value ..."; as JSON, each line is one object. Nothing is
// formatted for a level that is off. To be used from one thread, the event loop's.
namespace stonewing::log {

enum class Level { debug, info, warn, error };
enum class Format { text, json };

// A field of an event. It refers to the text it is given, and lives no longer than the call that logs it.
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
// `formatName`: text or json. Throws ConfigError, with the words that are allowed, for any other.
void open(const std::string& programName, const std::string& levelName, const std::string& formatName);
// Whether events of the level are logged.
bool isEnabled(Level level);
// Logs an event. The functions below do so only where their level is enabled.
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

// The line of an event without its time and level, for tests. As JSON, it is the inside of an object, without
// braces.
std::string lineOf(Format format, std::string_view name, std::initializer_list<Field> fields);

}  // namespace stonewing::log
