#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

// The log in one vocabulary: an event's name and its fields (docs/log.md lists them). As text, a line reads
// "time level event field=value ..."; as JSON, each line is one object. Nothing is built for a level that is
// off.
namespace stonewing::log {

enum class Level { debug, info, warn, error };
enum class Format { text, json };

struct Field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double> value;

  Field(std::string_view name, std::string_view text) : name(name), value(text) {}
  Field(std::string_view name, const std::string& text) : name(name), value(std::string_view(text)) {}
  Field(std::string_view name, const char* text) : name(name), value(std::string_view(text)) {}
  Field(std::string_view name, double number) : name(name), value(number) {}
  template <class T>
  requires std::is_integral_v<T> Field(std::string_view name, T number)
      : name(name), value(static_cast<std::int64_t>(number)) {}
};

// level: trace, debug, info, warn, error or off. Throws ConfigError with the words there are.
void open(const std::string& who, const std::string& level, const std::string& format);
bool on(Level level);
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

inline void debug(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (on(Level::debug)) event(Level::debug, name, fields);
}
inline void info(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (on(Level::info)) event(Level::info, name, fields);
}
inline void warn(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (on(Level::warn)) event(Level::warn, name, fields);
}
inline void error(std::string_view name, std::initializer_list<Field> fields = {}) {
  if (on(Level::error)) event(Level::error, name, fields);
}

// The line without its time and level; apart for tests.
std::string lineOf(Format format, std::string_view name, std::initializer_list<Field> fields);

}  // namespace stonewing::log
