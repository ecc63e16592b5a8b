#include "net/buffers.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace stonewing {
namespace {

// Limit on the bytes that one connection reads in a turn, so that a busy connection leaves time for the
// others.
constexpr std::size_t kMaxBytesPerTurn = 64 * 1024;
constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kMaxPiecesPerWrite = 64;

bool isWouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

ReadResult readAvailable(int fd, std::string& buffer, std::size_t maxBytes, StreamEnd streamEnd) {
  std::size_t readInTurn = 0;
  while (readInTurn < kMaxBytesPerTurn && buffer.size() < maxBytes) {
    // Read into the stack and then copied, so that a peer that sends a few bytes does not make `buffer`
    // allocate a whole chunk.
    std::array<char, kReadChunkBytes> chunk;
    std::size_t wanted = std::min(kReadChunkBytes, maxBytes - buffer.size());
    ssize_t result = ::recv(fd, chunk.data(), wanted, 0);
    int error = errno;
    if (result == 0) return ReadResult::endOfStream;
    if (result < 0) {
      if (error == EINTR) continue;
      return isWouldBlock(error) ? ReadResult::wouldBlock : ReadResult::broken;
    }
    auto received = static_cast<std::size_t>(result);
    buffer.append(chunk.data(), received);
    readInTurn += received;
    // The socket is empty now. Bytes that arrive later, or the end of the stream, cause a new event.
    if (streamEnd == StreamEnd::notReported && received < wanted) return ReadResult::wouldBlock;
  }
  return ReadResult::more;
}

void WriteBuffer::add(std::shared_ptr<const std::string> piece) {
  if (piece->empty()) return;
  size_ += piece->size();
  pieces_.push_back(std::move(piece));
}

WriteBuffer::WriteResult WriteBuffer::write(int fd) {
  while (!pieces_.empty()) {
    std::array<iovec, kMaxPiecesPerWrite> parts;
    std::size_t count = 0;
    for (const auto& piece : pieces_) {
      if (count == kMaxPiecesPerWrite) break;
      std::size_t offset = count == 0 ? firstPieceSent_ : 0;
      parts[count++] = {const_cast<char*>(piece->data()) + offset, piece->size() - offset};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    ssize_t sent = ::sendmsg(fd, &message, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      return isWouldBlock(errno) ? WriteResult::part : WriteResult::broken;
    }
    removeSent(static_cast<std::size_t>(sent));
  }
  return WriteResult::all;
}

void WriteBuffer::removeSent(std::size_t bytes) {
  size_ -= bytes;
  firstPieceSent_ += bytes;
  while (!pieces_.empty() && firstPieceSent_ >= pieces_.front()->size()) {
    firstPieceSent_ -= pieces_.front()->size();
    pieces_.pop_front();
  }
}

}  // namespace stonewing
