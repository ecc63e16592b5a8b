#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace stonewing {

// Parses an unsigned number that consists of digits alone: no sign, no blanks, no other characters after it.
// No value for any other text, including the empty one, and for a number that does not fit into 64 bits.
std::optional<std::uint64_t> parseWholeNumber(std::string_view digits, int base = 10);

}  // namespace stonewing
