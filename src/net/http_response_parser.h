#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace stonewing {

// Whether more bytes may come on a stream.
enum class StreamState { open, ended };

// Parses one HTTP/1.x response that arrives piece by piece: with Content-Length, in chunks, or up to the end
// of the connection. Interim responses (1xx) before it are skipped. The parser keeps positions and the
// decoded chunks; the bytes stay with the caller, who passes all of them at each call.
class HttpResponseParser {
 public:
  enum class Progress {
    needsMore,  // the response is not whole; not returned once the stream has ended
    complete,
    malformed,  // not HTTP, cut off, or beyond the parser's limits; no further call makes sense
  };

  // `bytes`: all that has arrived for this response, from its first byte on.
  Progress parse(std::string_view bytes, StreamState stream);

  // The status code; 0 until the status line is whole.
  int status() const { return status_; }
  // Whether the server allows another request on the connection. Valid once the response is complete.
  bool keepsAlive() const { return keepsAlive_; }
  // The value of the first header of that name (in any case of letters); empty where there is none or the
  // head is not whole. It refers to `bytes`, which must be those of the last call of parse.
  std::string_view header(std::string_view bytes, std::string_view name) const;
  // The body of a complete response. It refers to `bytes`, or to the parser where the body came in chunks.
  std::string_view body(std::string_view bytes) const;
  // How many bytes the complete response takes; bytes behind it belong to no request.
  std::size_t length() const { return end_; }
  // The least length of the whole response, in bytes, as far as its head states it.
  std::size_t announcedLength() const { return bodyStart_ + (extendsToEnd_ ? 0 : bodyLength_); }

 private:
  Progress parseHeads(std::string_view bytes);
  Progress parseStatusLine(std::string_view bytes);
  Progress parseHeaders(std::string_view bytes);
  Progress findBodyStart(std::string_view bytes);
  Progress readBodyFraming(std::string_view bytes);
  void skipInterimResponse();
  Progress parseChunks(std::string_view bytes);
  Progress parseTrailers(std::string_view bytes, std::size_t position);

  // Positions in the caller's bytes.
  std::size_t start_{0};         // of the status line; moves past interim responses
  std::size_t headersStart_{0};  // 0: the status line is not whole
  std::size_t bodyStart_{0};     // 0: the head is not whole
  std::size_t end_{0};           // one past the response, once it is complete
  std::size_t nextChunk_{0};     // of the first chunk that is not decoded yet
  std::size_t bodyLength_{0};    // of a body that is not chunked
  std::string decodedBody_;      // of a chunked body
  int status_{0};
  bool keepsAlive_{true};
  bool isChunked_{false};
  bool extendsToEnd_{false};  // the body has no stated length and ends with the connection
};

}  // namespace stonewing
