#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

// Parses the commands of RESP2, the Redis protocol. A command is an array of bulk strings, called words here.
// Limits: 16 words in a command, and kMaxWordBytes bytes in a word.
namespace stonewing {

// The maximum size of a word of a command, and so of a message's body.
inline constexpr std::size_t kMaxWordBytes = 64 * 1024;
// The maximum size of a whole command: a body, the other words and the protocol's own bytes.
inline constexpr std::size_t kMaxCommandBytes = kMaxWordBytes + 8 * 1024;

enum class RespParseResult {
  needsMore,  // the command is incomplete
  complete,
  malformed,  // not RESP2, or over a limit; returned as soon as the bytes show it
};

// Parses the command at the start of `bytes`, in place. If it is complete, `words` refer to `bytes`, and
// `used` is the number of bytes of the command; otherwise both are unspecified. They are parameters so that a
// connection can reuse the vector's memory for its next command.
RespParseResult parseRespCommand(std::string_view bytes, std::vector<std::string_view>& words,
                                 std::size_t& used);

}  // namespace stonewing
