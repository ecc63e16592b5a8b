#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

// The requests of RESP2, the Redis protocol: a command is an array of bulk strings. Limits: 16 words to a
// command and kMaxWordBytes bytes to a word.
namespace stonewing {

// The most bytes of a message's body, and of any other word of a command.
inline constexpr std::size_t kMaxWordBytes = 64 * 1024;
// The most bytes of a whole command: a body and what stands around it.
inline constexpr std::size_t kMaxCommandBytes = kMaxWordBytes + 8 * 1024;

enum class RespParseResult {
  needsMore,  // the command is not whole
  complete,
  malformed,  // not RESP2, or over a limit; seen as early as the bytes show it
};

// Parses the command at the start of `bytes`, in place. Once complete, `words` refer to `bytes`, and `used`
// is the number of bytes of the command; before that both are unspecified. They are parameters so that a
// connection keeps the vector's memory from one command to the next.
RespParseResult parseRespCommand(std::string_view bytes, std::vector<std::string_view>& words,
                                 std::size_t& used);

}  // namespace stonewing
