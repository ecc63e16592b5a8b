#include "server/client_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/errors.h"

namespace stonewing {
namespace {

// No further command of a client is read while more than this many bytes of its replies are unsent. Without
// this, a client that never reads its replies would fill the memory with them.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;
// Limit on the input that is read and dropped while a connection is closing. Each byte costs time, and a
// client may never stop sending.
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;

// Time for a client to read its last reply before the connection is closed.
constexpr Millis kLingerMs = 1000;
// A client waits this long for a reply.
constexpr Millis kClientTimeoutMs = 400;
// A client that leaves a command incomplete, or a reply unread, for this long occupies a connection without
// using it. A few hundred of them would leave no connection for other clients.
constexpr Millis kIncompleteCommandTimeoutMs = 1000;
// The server may close a connection after 2 s without a command; clients open another when they need it.
// Connections that never sent a command have the shorter time-out, since there can be hundreds of them. Those
// that sent one have a time-out as well, since clients that never close theirs would add up over a day.
constexpr Millis kSilentTimeoutMs = 2200;
constexpr Millis kIdleTimeoutMs = 5000;
// A client that has sent nothing for this long after it connected is not expected to send a command soon.
constexpr Millis kNewClientGraceMs = 50;

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Owner& owner, int fd)
    : loop_(loop), owner_(owner), socket_(loop, fd), lastActiveAt_(loop.now()) {}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::onEvents(std::uint32_t events) {
  bool mayHaveEnded = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  serve(mayHaveEnded ? StreamEnd::possible : StreamEnd::notReported);
  if (!isClosed_) owner_.onDeadlineChanged(*this);
}

void ClientConnection::serve(StreamEnd streamEnd) {
  write();
  while (!isClosed_ && !isClosing_ && unsent_.size() <= kMaxUnsentBytes) {
    ReadResult result = readCommands(streamEnd);
    if (isClosed_) return;
    if (result == ReadResult::wouldBlock) break;
    if (result == ReadResult::more) {  // other connections are served before the remaining input
      socket_.reschedule();
      break;
    }
  }
  updateBufferedBytes();
  if (!isClosed_ && isClosing_) discardInput();
  if (!isClosed_ && owner_.isDraining()) drainIfIdle();
}

// Reads one share of input and executes its commands.
ReadResult ClientConnection::readCommands(StreamEnd streamEnd) {
  if (received_.empty()) lastActiveAt_ = loop_.now();  // bytes read now begin a new command
  ReadResult result = readAvailable(socket_.get(), received_, kMaxCommandBytes, streamEnd);
  if (result == ReadResult::broken) {
    closeNow();
    return result;
  }
  hasInputEnded_ = result == ReadResult::endOfStream;
  executeCommands();
  if (!hasInputEnded_) return result;
  // The client may have shut down only its sending side and still read, so it gets its remaining replies.
  if (hasRepliesLeft()) {
    startClosing();
  } else {
    closeNow();
  }
  return result;
}

void ClientConnection::executeCommands() {
  std::size_t position = 0;
  while (!isClosing_) {
    std::size_t used = 0;
    RespParseResult result = parseRespCommand(std::string_view(received_).substr(position), words_, used);
    if (result == RespParseResult::needsMore && received_.size() - position < kMaxCommandBytes) break;
    if (result != RespParseResult::complete) {
      rejectAndClose("-ERR not a command, or over the limit of 65536 bytes\r\n");
      break;
    }
    executeCommand();
    position += used;
  }
  if (isClosing_ || position == received_.size()) {
    // Frees the buffer's memory as well, since most connected clients are idle at any time.
    received_ = {};
  } else {
    received_.erase(0, position);
  }
}

void ClientConnection::executeCommand() {
  lastActiveAt_ = loop_.now();
  try {
    addReply(owner_.execute(words_, hasInputEnded_));
    hasSentCommand_ = true;
    hasSubmitted_ = hasSubmitted_ || words_.size() > 1;
  } catch (const Error& problem) {
    rejectAndClose(std::string("-ERR ") + problem.what() + "\r\n");
  }
}

// Reads and drops the input of a connection that is closing. Closing a socket with unread bytes would reset
// the connection, and the client could lose its last reply.
void ClientConnection::discardInput() {
  std::string discarded;
  ReadResult result = readAvailable(socket_.get(), discarded, kMaxCommandBytes);
  discardedBytes_ += discarded.size();
  bool isDone = result == ReadResult::endOfStream && !hasRepliesLeft();
  if (result == ReadResult::broken || isDone) return closeNow();
  hasInputEnded_ = hasInputEnded_ || result == ReadResult::endOfStream;
  // Beyond the limit the client's input stays unread; the client still has kLingerMs to read its last reply.
  if (result == ReadResult::more && discardedBytes_ <= kMaxDiscardedBytes) socket_.reschedule();
}

void ClientConnection::write() {
  if (isClosed_ || unsent_.empty()) return;
  WriteBuffer::WriteResult result = unsent_.write(socket_.get());
  if (result == WriteBuffer::WriteResult::broken) closeNow();
  bool isLastReply = isClosing_ && replies_.empty();
  if (result == WriteBuffer::WriteResult::all && isLastReply) ::shutdown(socket_.get(), SHUT_WR);
}

bool ClientConnection::awaitsDecision(const IsDecided& isDecided) const {
  return std::any_of(replies_.begin(), replies_.end(), [&](const CommandReply& reply) {
    return reply.submittedMessage && !isDecided(*reply.submittedMessage);
  });
}

void ClientConnection::sendReplies(const ReplacementReply& replacement) {
  for (CommandReply& reply : std::exchange(replies_, {})) {
    std::optional<std::string> newText =
        reply.submittedMessage ? replacement(*reply.submittedMessage) : std::nullopt;
    unsent_.add(newText ? std::move(*newText) : std::move(reply.text));
  }
  write();
  if (isClosed_) return;
  if (hasInputEnded_ && unsent_.empty()) return closeNow();
  if (owner_.isDraining()) drainIfIdle();
  if (!isClosed_) owner_.onDeadlineChanged(*this);
}

void ClientConnection::drainIfIdle() {
  bool isNew = !hasSentCommand_ && idleFor(loop_.now()) < kClientTimeoutMs;
  if (isBetweenCommands() && !isNew && !checkForUnreadBytes()) closeGracefully();
}

void ClientConnection::closeGracefully() {
  startClosing();
  ::shutdown(socket_.get(), SHUT_WR);
  owner_.onDeadlineChanged(*this);
}

void ClientConnection::closeNow() {
  if (isClosed_) return;
  isClosed_ = true;
  close();
  owner_.onClosed(*this);
}

void ClientConnection::close() {
  if (!socket_.isOpen()) return;
  socket_.close();
  received_ = {};
  updateBufferedBytes();
}

void ClientConnection::endStalled() {
  if (isClosing_ || !unsent_.empty()) return closeNow();
  if (isBetweenCommands()) {
    if (!checkForUnreadBytes()) closeGracefully();
    return;
  }
  rejectAndClose("-ERR half a command and no more\r\n");
  received_ = {};
  updateBufferedBytes();
  owner_.onDeadlineChanged(*this);
}

bool ClientConnection::checkForUnreadBytes() {
  char byte;
  if (::recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) return false;
  lastActiveAt_ = loop_.now();
  owner_.onDeadlineChanged(*this);
  return true;
}

bool ClientConnection::isPreferredForEviction(Millis now) const {
  return hasSubmitted_ || (!hasSentCommand_ && idleFor(now) >= kNewClientGraceMs);
}

Millis ClientConnection::allowedInactivity() const {
  if (isClosing_) return kLingerMs;
  if (!isBetweenCommands()) return kIncompleteCommandTimeoutMs;
  if (hasSentCommand_) return kIdleTimeoutMs;
  return owner_.isDraining() ? kClientTimeoutMs : kSilentTimeoutMs;
}

void ClientConnection::addReply(CommandReply reply) {
  if (replies_.empty()) owner_.onRepliesPending(*this);
  replies_.push_back(std::move(reply));
}

void ClientConnection::rejectAndClose(std::string error) {
  addReply({std::move(error), std::nullopt});
  startClosing();
}

void ClientConnection::startClosing() {
  isClosing_ = true;
  lastActiveAt_ = loop_.now();
}

void ClientConnection::updateBufferedBytes() {
  std::size_t before = std::exchange(bufferedBytes_, received_.size());
  if (before != bufferedBytes_) owner_.onBufferedBytesChanged(before, bufferedBytes_);
}

}  // namespace stonewing
