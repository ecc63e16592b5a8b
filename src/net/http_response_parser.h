#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace stonewing {

// Whether more bytes may arrive on a stream.
enum class StreamState { open, ended };

// Parses one HTTP/1.x response that arrives in pieces. The body may have a Content-Length, be chunked, or end
// with the connection. Interim responses (1xx) before it are skipped. The parser stores positions and the
// decoded chunks; the caller stores the bytes and passes all of them at each call.
class HttpResponseParser {
 public:
  enum class Progress {
    needsMore,  // the response is incomplete; never returned once the stream has ended
    complete,
    malformed,  // not HTTP, truncated, or over a limit of the parser; parse must not be called again
  };

  // `bytes`: all that has arrived for this response, from its first byte on.
  Progress parse(std::string_view bytes, StreamState stream);

  // The status code; 0 until the status line is complete.
  int status() const { return status_; }
  // Whether the server allows another request on the connection. Valid once the response is complete.
  bool keepsAlive() const { return keepsAlive_; }
  // The value of the first header of that name (case-insensitive); empty if there is none or the head is
  // incomplete. It refers to `bytes`, which must be those of the last call of parse.
  std::string_view header(std::string_view bytes, std::string_view name) const;
  // The body of a complete response. It refers to `bytes`, or to the parser's memory if the body is
  // chunked.
  std::string_view body(std::string_view bytes) const;
  // The part of the body that has arrived, of a response that need not be complete; empty if the head is not.
  std::string partialBody(std::string_view bytes) const;
  // The length of the complete response in bytes. Any bytes after it belong to no request.
  std::size_t length() const { return end_; }
  // The minimum length of the whole response in bytes, as far as its head announces it.
  std::size_t announcedLength() const { return bodyStart_ + (extendsToEnd_ ? 0 : bodyLength_); }

 private:
  Progress parseHeads(std::string_view bytes);
  Progress parseStatusLine(std::string_view bytes);
  Progress parseHeaders(std::string_view bytes);
  Progress findBodyStart(std::string_view bytes);
  Progress readBodyFraming(std::string_view bytes);
  bool hasContradictingLengths(std::string_view bytes) const;
  void skipInterimResponse();
  Progress parseChunks(std::string_view bytes);
  Progress parseTrailers(std::string_view bytes, std::size_t position);
  // The data of the chunk that has not arrived completely.
  std::string_view partOfNextChunk(std::string_view bytes) const;

  // Positions in the caller's bytes.
  std::size_t start_{0};         // of the status line; moves past interim responses
  std::size_t headersStart_{0};  // 0: the status line is incomplete
  std::size_t bodyStart_{0};     // 0: the head is incomplete
  std::size_t end_{0};           // of the first byte after the complete response
  std::size_t nextChunk_{0};     // of the first chunk that is not decoded yet
  std::size_t bodyLength_{0};    // of a body that is not chunked
  std::string decodedBody_;      // of a chunked body
  int status_{0};
  bool keepsAlive_{true};
  bool isChunked_{false};
  bool extendsToEnd_{false};  // the body has no stated length and ends with the connection
};

}  // namespace stonewing
