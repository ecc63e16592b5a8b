#include "net/http_response_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "support/dispatcher_settings.h"

// The parser with responses that arrive in pieces, are malformed or are random bytes.
namespace stonewing::testing {
namespace {

using Progress = HttpResponseParser::Progress;

TEST(HttpResponseParser, ReadsAResponseThatArrivesByteByByte) {
  struct Case {
    std::string bytes, body;
    int status;
    bool keepsAlive;
  };
  for (const Case& expected :
       {Case{kHttpOk, "ok", 200, true},
        Case{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Wait\r\nx-backoff-ms:  40 \r\n"
             "Content-Length: 0\r\n\r\n",
             "", 429, true},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n"
             "T: u\r\n\r\n",
             "abc", 200, true},
        // A length beside chunks: the chunks count, and the connection is not kept.
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
             "a", 200, false},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\na", "a", 200, true},
        Case{"HTTP/1.0 503 Full\r\nContent-Length: 1\r\n\r\nx", "x", 503, false},
        Case{"HTTP/1.1 500 Oh\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", "x", 500, false},
        Case{kHttpNoContent, "", 204, true}}) {
    HttpResponseParser parser;
    for (std::size_t length = 0; length < expected.bytes.size(); ++length) {
      ASSERT_EQ(parser.parse(std::string_view(expected.bytes).substr(0, length), StreamState::open),
                Progress::needsMore)
          << expected.bytes << length;
    }
    ASSERT_EQ(parser.parse(expected.bytes, StreamState::open), Progress::complete) << expected.bytes;
    EXPECT_EQ(parser.status(), expected.status);
    EXPECT_EQ(parser.body(expected.bytes), expected.body);
    EXPECT_EQ(parser.keepsAlive(), expected.keepsAlive);
    EXPECT_EQ(parser.length(), expected.bytes.size());
    EXPECT_EQ(parser.header(expected.bytes, "X-Backoff-Ms"), expected.status == 429 ? "40" : "");
  }
  HttpResponseParser parserUntilEnd;
  std::string open = "HTTP/1.1 200 OK\r\n\r\nall";
  EXPECT_EQ(parserUntilEnd.parse(open, StreamState::open), Progress::needsMore);
  EXPECT_EQ(parserUntilEnd.parse(open, StreamState::ended), Progress::complete);
  EXPECT_EQ(parserUntilEnd.body(open), "all");
}

TEST(HttpResponseParser, RejectsAMalformedResponse) {
  for (const std::string malformed :
       {"HTTQ", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 099 x\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 101 Go\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_EQ(HttpResponseParser().parse(malformed, StreamState::open), Progress::malformed) << malformed;
  }
  EXPECT_EQ(
      HttpResponseParser().parse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", StreamState::ended),
      Progress::malformed);
  EXPECT_EQ(HttpResponseParser().parse(std::string("HTTP/1.1 200 OK\r\nA: ") + std::string(20000, 'a'),
                                       StreamState::open),
            Progress::malformed);
}

RC_GTEST_PROP(HttpResponseParser, GivesTheSameResultWhereverTheBytesAreSplit,
              (std::string body, std::vector<std::uint8_t> sizes)) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Load: x1=3\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  HttpResponseParser parser;
  std::size_t arrived = 0;
  for (std::uint8_t size : sizes) {
    arrived = std::min(arrived + size, bytes.size());
    RC_ASSERT(parser.parse(std::string_view(bytes).substr(0, arrived), StreamState::open) ==
              (arrived < bytes.size() ? Progress::needsMore : Progress::complete));
  }
  RC_ASSERT(parser.parse(bytes, StreamState::open) == Progress::complete);
  RC_ASSERT(parser.body(bytes) == body);
}

RC_GTEST_PROP(HttpResponseParser, EndsWithinItsBytesWhenTheyAreNoise, (std::string noise)) {
  std::string bytes = "HTTP/1.1 200 OK\r\n" + noise;
  HttpResponseParser parser;
  parser.parse(bytes, StreamState::open);
  Progress end = parser.parse(bytes, StreamState::ended);
  RC_ASSERT(end != Progress::needsMore);
  if (end == Progress::complete) RC_ASSERT(parser.length() <= bytes.size());
}

}  // namespace
}  // namespace stonewing::testing
