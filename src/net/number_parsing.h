#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace stonewing {

// Reads an unsigned number that consists of digits alone: no sign, no blanks, nothing behind it. No value
// for any other text, the empty one included, and for a number that does not fit into 64 bits.
std::optional<std::uint64_t> parseWholeNumber(std::string_view digits, int base = 10);

}  // namespace stonewing
