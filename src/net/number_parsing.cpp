#include "net/number_parsing.h"

#include <charconv>
#include <system_error>

namespace stonewing {

std::optional<std::uint64_t> parseWholeNumber(std::string_view digits, int base) {
  std::uint64_t value = 0;
  const char* last = digits.data() + digits.size();
  auto [end, error] = std::from_chars(digits.data(), last, value, base);
  if (error != std::errc() || end != last) return std::nullopt;
  return value;
}

}  // namespace stonewing
