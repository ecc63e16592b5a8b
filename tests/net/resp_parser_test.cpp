#include "net/resp_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "support/resp_commands.h"

// The parser with client commands that arrive in pieces or are malformed.
namespace stonewing::testing {
namespace {

TEST(RespParser, ReadsACommandThatArrivesByteByByte) {
  std::string bytes = submitCommand("9b1f", "c=status,d=800,dest=7", std::string("a\r\n\0$", 5));
  std::vector<std::string_view> words;
  std::size_t used = 0;
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    ASSERT_EQ(parseRespCommand(std::string_view(bytes).substr(0, length), words, used),
              RespParseResult::needsMore)
        << length;
  }
  bytes += "*1";
  ASSERT_EQ(parseRespCommand(bytes, words, used), RespParseResult::complete);
  EXPECT_EQ(used, bytes.size() - 2);
  EXPECT_EQ(words.at(4), std::string_view("a\r\n\0$", 5));
}

TEST(RespParser, RejectsAMalformedCommandAtOnce) {
  for (const std::string malformed :
       {"PING\r\n", "*0\r\n", "*99\r\n", "*-1\r\n", "*1\n", "*1\r\n:3\r\n", "*1\r\n$65537\r\n",
        "*1\r\n$2\r\nabX", "*1\r\n$-1\r\n", "*x\r\n", "*1111111111111111111111111111111111"}) {
    std::vector<std::string_view> words;
    std::size_t used = 0;
    EXPECT_EQ(parseRespCommand(malformed, words, used), RespParseResult::malformed) << malformed;
  }
}

RC_GTEST_PROP(RespParser, ReturnsTheWordsThatWereWritten, (std::vector<std::string> words)) {
  if (words.empty()) words.push_back("x");
  if (words.size() > 16) words.resize(16);
  std::string bytes = respCommand(words);
  std::vector<std::string_view> read;
  std::size_t used = 0;
  RC_ASSERT(parseRespCommand(bytes, read, used) == RespParseResult::complete);
  RC_ASSERT(used == bytes.size());
  RC_ASSERT(std::vector<std::string>(read.begin(), read.end()) == words);
}

}  // namespace
}  // namespace stonewing::testing
