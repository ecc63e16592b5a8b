#include "net/resp_parser.h"

#include <cstdint>
#include <optional>

#include "net/number_parsing.h"

namespace stonewing {
namespace {

constexpr std::size_t kMaxWords = 16;
constexpr std::size_t kMaxCountLineBytes = 32;
constexpr std::size_t kMinCountLineBytes = 3;  // the type byte, a digit and '\r' before the '\n'
constexpr std::string_view kLineEnd = "\r\n";

constexpr char kArrayTypeByte = '*';
constexpr char kBulkStringTypeByte = '$';

// A line such as "*3\r\n" or "$12\r\n".
struct CountLine {
  RespParseResult result{RespParseResult::needsMore};
  std::size_t count{0};  // valid if complete
  std::size_t end{0};    // the position after the line, valid if complete
};

CountLine parseCountLine(std::string_view bytes, std::size_t start, char typeByte, std::size_t maxCount) {
  constexpr CountLine kMalformed{RespParseResult::malformed};
  if (start >= bytes.size()) return {};
  if (bytes[start] != typeByte) return kMalformed;
  std::size_t lineEnd = bytes.find('\n', start);
  if (lineEnd == std::string_view::npos) {
    return bytes.size() - start > kMaxCountLineBytes ? kMalformed : CountLine{};
  }
  std::size_t length = lineEnd - start;
  if (length < kMinCountLineBytes || length > kMaxCountLineBytes) return kMalformed;
  if (bytes[lineEnd - 1] != '\r') return kMalformed;
  std::optional<std::uint64_t> count = parseWholeNumber(bytes.substr(start + 1, length - 2));
  if (!count || *count > maxCount) return kMalformed;
  return {RespParseResult::complete, *count, lineEnd + 1};
}

// Whether the word of `length` bytes at `start` has arrived completely, with its line end.
RespParseResult checkWord(std::string_view bytes, std::size_t start, std::size_t length) {
  std::size_t end = start + length;
  if (bytes.size() >= end + kLineEnd.size()) {
    bool isTerminated = bytes.substr(end, kLineEnd.size()) == kLineEnd;
    return isTerminated ? RespParseResult::complete : RespParseResult::malformed;
  }
  if (bytes.size() > end && bytes[end] != '\r') return RespParseResult::malformed;
  return end > kMaxCommandBytes ? RespParseResult::malformed : RespParseResult::needsMore;
}

}  // namespace

RespParseResult parseRespCommand(std::string_view bytes, std::vector<std::string_view>& words,
                                 std::size_t& used) {
  words.clear();
  CountLine header = parseCountLine(bytes, 0, kArrayTypeByte, kMaxWords);
  if (header.result != RespParseResult::complete) return header.result;
  if (header.count == 0) return RespParseResult::malformed;

  std::size_t position = header.end;
  for (std::size_t i = 0; i < header.count; ++i) {
    CountLine length = parseCountLine(bytes, position, kBulkStringTypeByte, kMaxWordBytes);
    if (length.result != RespParseResult::complete) return length.result;
    RespParseResult word = checkWord(bytes, length.end, length.count);
    if (word != RespParseResult::complete) return word;
    words.push_back(bytes.substr(length.end, length.count));
    position = length.end + length.count + kLineEnd.size();
  }
  used = position;
  return RespParseResult::complete;
}

}  // namespace stonewing
