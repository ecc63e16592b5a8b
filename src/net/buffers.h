#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

// Non-blocking reads into a buffer, and a queue of bytes to write. Used on the event loop's thread alone.
namespace stonewing {

enum class ReadResult {
  wouldBlock,   // all bytes that have arrived are read
  more,         // more bytes may be there: `maxBytes` or the limit of one turn is reached
  endOfStream,  // the peer has closed its side; the bytes before that are in the buffer
  broken,       // the connection failed; the bytes before that are in the buffer
};

// Whether the event that led to a read reported the end of the stream or an error.
enum class StreamEnd {
  possible,     // the end or an error may follow the bytes: read until the socket reports it
  notReported,  // not reported: a read that does not fill its chunk is the last one
};

// Appends the bytes that have arrived on `fd` to `buffer`, until there are no more, the limit of one turn (64
// KiB) is reached, or `buffer` holds `maxBytes`. StreamEnd::notReported saves the last read, which would only
// find the socket empty.
ReadResult readAvailable(int fd, std::string& buffer, std::size_t maxBytes,
                         StreamEnd streamEnd = StreamEnd::possible);

// A queue of bytes to write to a socket, sent with gathering writes. The queue can share the ownership of a
// piece, so that a body that goes to several peers is stored once.
class WriteBuffer {
 public:
  enum class WriteResult {
    all,     // the buffer is empty
    part,    // the socket accepts no more now; write again at its next EPOLLOUT event
    broken,  // the connection failed; bytes that were not sent are still in the buffer
  };

  void add(std::string piece) { add(std::make_shared<const std::string>(std::move(piece))); }
  // The piece must not change until it is sent. An empty one is ignored.
  void add(std::shared_ptr<const std::string> piece);
  // Sends as much as the socket accepts, without blocking and without raising SIGPIPE.
  WriteResult write(int fd);

  bool empty() const { return pieces_.empty(); }
  // The number of bytes that are not sent yet.
  std::size_t size() const { return size_; }

 private:
  void removeSent(std::size_t bytes);

  std::deque<std::shared_ptr<const std::string>> pieces_;
  std::size_t firstPieceSent_{0};  // bytes of the first piece that are sent
  std::size_t size_{0};
};

}  // namespace stonewing
