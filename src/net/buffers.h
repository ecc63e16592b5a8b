#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

// Non-blocking reads into a buffer, and a queue of bytes to write. Both are used on the event loop's thread.
namespace stonewing {

enum class ReadResult {
  wouldBlock,   // everything that has arrived is read
  more,         // there may be more: the limit, or the share of this turn, is used up
  endOfStream,  // the peer has closed its side; what came before is in the buffer
  broken,       // the connection failed; what came before is in the buffer
};

// What the event that led to a read says about the end of the stream.
enum class StreamEnd {
  possible,     // an end or an error may be behind the bytes: read until the socket says so
  notReported,  // nothing was reported: a read that does not fill its buffer was the last one
};

// Appends what has arrived on `fd` to `buffer`, until there is no more, the share of one turn (64 KiB) is
// used, or `buffer` holds `maxBytes`. `streamEnd` saves the read that would only find the socket empty.
ReadResult readAvailable(int fd, std::string& buffer, std::size_t maxBytes,
                         StreamEnd streamEnd = StreamEnd::possible);

// Bytes that wait to be written to a socket, sent with gathering writes. A piece may be shared with its
// maker, so that one body that goes to several peers is stored once.
class WriteBuffer {
 public:
  enum class WriteResult {
    all,     // the buffer is empty
    part,    // the socket takes no more now; its next writable event is the time to go on
    broken,  // the connection failed; what was not sent is still in the buffer
  };

  void add(std::string piece) { add(std::make_shared<const std::string>(std::move(piece))); }
  // The piece must not change until it is sent. An empty one is ignored.
  void add(std::shared_ptr<const std::string> piece);
  // Sends as much as the socket takes, without blocking and without SIGPIPE.
  WriteResult write(int fd);

  bool empty() const { return pieces_.empty(); }
  // Bytes not sent yet.
  std::size_t size() const { return size_; }

 private:
  void removeSent(std::size_t bytes);

  std::deque<std::shared_ptr<const std::string>> pieces_;
  std::size_t firstPieceSent_{0};  // bytes of the first piece that are sent
  std::size_t size_{0};
};

}  // namespace stonewing
