#include "net/http_response_parser.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "net/number_parsing.h"

namespace stonewing {
namespace {

// Limits, in bytes, on the memory that a server's response can use. Without them, a head that never ends
// would fill the memory.
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{1} << 30;
constexpr std::uint64_t kMaxContentLength = std::uint64_t{1} << 40;

constexpr std::string_view kProtocol = "HTTP/1.";
// "HTTP/1.x nnn": the version digit, a blank, and three digits of the status code.
constexpr std::size_t kVersionPosition = kProtocol.size();
constexpr std::size_t kStatusPosition = kVersionPosition + 2;
constexpr std::size_t kStatusDigits = 3;
constexpr std::size_t kMinStatusLine = kStatusPosition + kStatusDigits;

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::string_view kLineEnd = "\r\n";

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
  });
}

std::string_view trimmed(std::string_view text) {
  auto isBlank = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

// Whether a header's value, a comma-separated list, contains `word`.
bool listContains(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    std::size_t comma = std::min(value.find(','), value.size());
    if (equalsIgnoringCase(trimmed(value.substr(0, comma)), word)) return true;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

// Whether the line begins with a name of visible characters and a colon. Bytes that are not HTTP rarely do.
bool isHeaderLine(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view name = line.substr(0, colon);
  return std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Parses the size in a chunk's first line, "1a;extension=value"; no value if it is malformed or over the
// limit.
std::optional<std::size_t> parseChunkSize(std::string_view line) {
  line = trimmed(line);
  std::string_view digits = trimmed(line.substr(0, line.find(';')));
  std::optional<std::uint64_t> size = parseWholeNumber(digits, 16);
  if (!size || *size > kMaxChunkBytes) return std::nullopt;
  return size;
}

// The progress for a line that begins at `position` and whose end has not arrived yet.
HttpResponseParser::Progress progressOfPartialLine(std::string_view bytes, std::size_t position) {
  bool isTooLong = bytes.size() - position > kMaxHeadBytes;
  return isTooLong ? HttpResponseParser::Progress::malformed : HttpResponseParser::Progress::needsMore;
}

}  // namespace

HttpResponseParser::Progress HttpResponseParser::parse(std::string_view bytes, StreamState stream) {
  bool hasEnded = stream == StreamState::ended;
  Progress progress = parseHeads(bytes);
  if (progress != Progress::complete) return hasEnded ? Progress::malformed : progress;

  if (isChunked_) {
    progress = parseChunks(bytes);
  } else if (extendsToEnd_) {
    progress = hasEnded ? Progress::complete : Progress::needsMore;
    bodyLength_ = bytes.size() - bodyStart_;
    end_ = bytes.size();
  } else {
    progress = bytes.size() - bodyStart_ >= bodyLength_ ? Progress::complete : Progress::needsMore;
    end_ = bodyStart_ + bodyLength_;
  }
  return progress == Progress::needsMore && hasEnded ? Progress::malformed : progress;
}

// Parses the head of the final response, and those of interim responses before it.
HttpResponseParser::Progress HttpResponseParser::parseHeads(std::string_view bytes) {
  while (bodyStart_ == 0) {
    Progress progress = Progress::complete;
    if (headersStart_ == 0) progress = parseStatusLine(bytes);
    if (progress == Progress::complete) progress = parseHeaders(bytes);
    if (progress != Progress::complete) return progress;
  }
  return Progress::complete;
}

HttpResponseParser::Progress HttpResponseParser::parseStatusLine(std::string_view bytes) {
  std::string_view line = bytes.substr(start_);
  std::size_t lineEnd = line.find('\n');
  // Input that is not HTTP is rejected at its first wrong byte, without waiting for the end of the line.
  std::size_t compared = std::min(line.size(), kProtocol.size());
  if (line.substr(0, compared) != kProtocol.substr(0, compared)) return Progress::malformed;
  if (std::min(lineEnd, line.size()) > kMaxHeadBytes) return Progress::malformed;
  if (lineEnd == std::string_view::npos) return Progress::needsMore;

  line = trimmed(line.substr(0, lineEnd));
  if (line.size() < kMinStatusLine) return Progress::malformed;
  char version = line[kVersionPosition];
  if ((version != '0' && version != '1') || line[kVersionPosition + 1] != ' ') return Progress::malformed;
  if (line.size() > kMinStatusLine && line[kMinStatusLine] != ' ') return Progress::malformed;
  std::optional<std::uint64_t> status = parseWholeNumber(line.substr(kStatusPosition, kStatusDigits));
  if (!status || *status < 100) return Progress::malformed;

  status_ = static_cast<int>(*status);
  keepsAlive_ = version == '1';
  headersStart_ = start_ + lineEnd + 1;
  return Progress::complete;
}

HttpResponseParser::Progress HttpResponseParser::parseHeaders(std::string_view bytes) {
  Progress progress = findBodyStart(bytes);
  if (progress != Progress::complete) return progress;
  if (status_ >= kFirstFinalStatus) return readBodyFraming(bytes);
  // The dispatcher never requests an upgrade.
  if (status_ == kSwitchingProtocols) return Progress::malformed;
  skipInterimResponse();
  return Progress::complete;
}

// Checks each header line, and sets bodyStart_ to the position after the empty line that ends the headers.
HttpResponseParser::Progress HttpResponseParser::findBodyStart(std::string_view bytes) {
  std::size_t lineStart = headersStart_;
  for (;;) {
    std::size_t lineEnd = bytes.find('\n', lineStart);
    if (std::min(lineEnd, bytes.size()) - start_ > kMaxHeadBytes) return Progress::malformed;
    if (lineEnd == std::string_view::npos) return Progress::needsMore;
    std::string_view line = trimmed(bytes.substr(lineStart, lineEnd - lineStart));
    lineStart = lineEnd + 1;
    if (line.empty()) {
      bodyStart_ = lineStart;
      return Progress::complete;
    }
    if (!isHeaderLine(line)) return Progress::malformed;
  }
}

void HttpResponseParser::skipInterimResponse() {
  start_ = bodyStart_;
  headersStart_ = 0;
  bodyStart_ = 0;
  status_ = 0;
}

// Whether the headers state two different lengths of the body, so that its end is unknown.
bool HttpResponseParser::hasContradictingLengths(std::string_view bytes) const {
  std::string_view first = header(bytes, "Content-Length");
  for (std::size_t lineStart = headersStart_; lineStart < bodyStart_;) {
    std::size_t lineEnd = bytes.find('\n', lineStart);
    std::string_view line = bytes.substr(lineStart, lineEnd - lineStart);
    lineStart = lineEnd + 1;
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    bool isLength = equalsIgnoringCase(trimmed(line.substr(0, colon)), "Content-Length");
    if (isLength && trimmed(line.substr(colon + 1)) != first) return true;
  }
  return false;
}

// Determines from the headers how the body ends and whether the connection stays open.
HttpResponseParser::Progress HttpResponseParser::readBodyFraming(std::string_view bytes) {
  std::string_view connection = header(bytes, "Connection");
  if (listContains(connection, "close")) keepsAlive_ = false;
  if (listContains(connection, "keep-alive")) keepsAlive_ = true;

  if (hasContradictingLengths(bytes)) return Progress::malformed;
  std::string_view coding = header(bytes, "Transfer-Encoding");
  std::string_view contentLength = header(bytes, "Content-Length");
  if (!coding.empty()) {
    if (!equalsIgnoringCase(coding, "chunked")) return Progress::malformed;
    // A machine before the server may have gone by the length instead, and see another end of the response.
    if (!contentLength.empty()) keepsAlive_ = false;
    isChunked_ = true;
    nextChunk_ = bodyStart_;
  } else if (!contentLength.empty()) {
    std::optional<std::uint64_t> length = parseWholeNumber(contentLength);
    if (!length || *length > kMaxContentLength) return Progress::malformed;
    bodyLength_ = *length;
  } else if (status_ != kNoContent && status_ != kNotModified) {
    extendsToEnd_ = true;
    keepsAlive_ = false;
  }
  return Progress::complete;
}

// Decodes the chunks that have arrived completely, up to the last one, whose size is 0.
HttpResponseParser::Progress HttpResponseParser::parseChunks(std::string_view bytes) {
  for (;;) {
    std::size_t lineEnd = bytes.find('\n', nextChunk_);
    if (lineEnd == std::string_view::npos) return progressOfPartialLine(bytes, nextChunk_);
    std::optional<std::size_t> size = parseChunkSize(bytes.substr(nextChunk_, lineEnd - nextChunk_));
    if (!size) return Progress::malformed;
    std::size_t dataStart = lineEnd + 1;
    if (*size == 0) return parseTrailers(bytes, dataStart);
    std::size_t dataEnd = dataStart + *size;
    if (bytes.size() < dataEnd + kLineEnd.size()) return Progress::needsMore;
    if (bytes.substr(dataEnd, kLineEnd.size()) != kLineEnd) return Progress::malformed;
    decodedBody_.append(bytes.substr(dataStart, *size));
    nextChunk_ = dataEnd + kLineEnd.size();
  }
}

// Skips the trailers after the last chunk, up to the empty line that ends the response.
HttpResponseParser::Progress HttpResponseParser::parseTrailers(std::string_view bytes, std::size_t position) {
  for (;;) {
    std::size_t lineEnd = bytes.find('\n', position);
    if (lineEnd == std::string_view::npos) return progressOfPartialLine(bytes, position);
    bool isEmpty = trimmed(bytes.substr(position, lineEnd - position)).empty();
    position = lineEnd + 1;
    if (isEmpty) {
      end_ = position;
      return Progress::complete;
    }
  }
}

std::string_view HttpResponseParser::header(std::string_view bytes, std::string_view name) const {
  if (bodyStart_ == 0) return {};
  for (std::size_t lineStart = headersStart_; lineStart < bodyStart_;) {
    std::size_t lineEnd = bytes.find('\n', lineStart);
    std::string_view line = bytes.substr(lineStart, lineEnd - lineStart);
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos && equalsIgnoringCase(trimmed(line.substr(0, colon)), name)) {
      return trimmed(line.substr(colon + 1));
    }
    lineStart = lineEnd + 1;
  }
  return {};
}

std::string_view HttpResponseParser::body(std::string_view bytes) const {
  return isChunked_ ? std::string_view(decodedBody_) : bytes.substr(bodyStart_, bodyLength_);
}

std::string HttpResponseParser::partialBody(std::string_view bytes) const {
  if (bodyStart_ == 0 || bodyStart_ > bytes.size()) return "";
  if (!isChunked_) return std::string(bytes.substr(bodyStart_, bodyLength_));
  return decodedBody_ + std::string(partOfNextChunk(bytes));
}

std::string_view HttpResponseParser::partOfNextChunk(std::string_view bytes) const {
  std::size_t lineEnd = bytes.find('\n', nextChunk_);
  if (lineEnd == std::string_view::npos) return {};
  std::optional<std::size_t> size = parseChunkSize(bytes.substr(nextChunk_, lineEnd - nextChunk_));
  return size ? bytes.substr(lineEnd + 1, *size) : std::string_view{};
}

}  // namespace stonewing
