#include "server/client_connection.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/errors.h"
#include "base/release_memory.h"

namespace stonewing {
namespace {

// Bytes read at a time. No further command of a client is executed while more than this many bytes of its
// replies are unsent. Without this, a client that never reads its replies would fill the memory with them.
constexpr std::size_t kMaxBytesHeld = std::size_t{16} * 1024;
// The same while the memory of all clients is scarce.
constexpr std::size_t kMaxBytesHeldIfScarce = std::size_t{4} * 1024;
// Nor is one executed while this many of its accepted messages wait for the journal.
constexpr std::size_t kMaxWaitingAcceptances = 512;
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

ClientConnection::ClientConnection(EventLoop& loop, Owner& owner, int fd, std::uint64_t number)
    : loop_(loop),
      owner_(owner),
      socket_(loop, fd),
      number_(number),
      connectedAt_(loop.now()),
      share_(owner.turnAllowance()),
      lastActiveAt_(loop.now()) {}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::onEvents(std::uint32_t events) {
  const bool mayHaveEnded = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (mayHaveEnded && !hasLeft_ && !isClosing_) checkForDeparture();
  if (isClosed_) return;
  serve(mayHaveEnded ? StreamEnd::possible : StreamEnd::notReported);
  if (!isClosed_) owner_.onDeadlineChanged(*this);
  owner_.onServed();
}

// Looks for the end of the connection ahead of its unread input. A client that has left submits its messages
// elsewhere, so those that are not read yet must not be accepted. After a reset no reply can reach it.
void ClientConnection::checkForDeparture() {
  pollfd socket{socket_.get(), POLLRDHUP, 0};
  if (::poll(&socket, 1, 0) <= 0) return;
  if ((socket.revents & (POLLERR | POLLHUP)) != 0) return closeNow(ClientCloseCause::resetByClient);
  hasLeft_ = (socket.revents & POLLRDHUP) != 0;
}

void ClientConnection::serve(StreamEnd streamEnd) {
  write();
  serveCommands(streamEnd);
  updateMemory();
  if (!isClosed_ && isClosing_) discardInput();
  if (!isClosed_ && owner_.isDraining()) drainIfIdle();
}

// Executes the client's commands until there are no more, or until they have to wait.
void ClientConnection::serveCommands(StreamEnd streamEnd) {
  bool isAllRead = false;
  while (isServing()) {
    if (executeCommands() == Progress::mustWait) return;
    if (!isServing() || isAllRead) return;
    if (hasInputEnded_) return finishInput();
    if (share_.readableBytes() == 0) return deferCommands();
    const ReadResult result = readInput(streamEnd);
    if (result == ReadResult::broken) return closeNow(ClientCloseCause::resetByClient);
    hasInputEnded_ = result == ReadResult::endOfStream;
    hasLeft_ = hasLeft_ || hasInputEnded_;
    isAllRead = result == ReadResult::wouldBlock;
  }
}

ReadResult ClientConnection::readInput(StreamEnd streamEnd) {
  if (received_.empty()) lastActiveAt_ = loop_.now();  // bytes read now begin a new command
  // Beyond one read the command is a long one. Without this, the buffer would grow to twice its size.
  if (received_.size() >= kMaxBytesHeld) received_.reserve(kMaxCommandBytes);
  const std::size_t before = received_.size();
  const std::size_t wanted = std::min(maxBytesHeld(), share_.readableBytes());
  const ReadResult result =
      readAvailable(socket_.get(), received_, std::min(before + wanted, kMaxCommandBytes), streamEnd);
  share_.recordRead(received_.size() - before);
  return result;
}

// Executes the complete commands among the received bytes. Progress::mustWait: some are left.
ClientConnection::Progress ClientConnection::executeCommands() {
  Progress progress = Progress::mayContinue;
  std::size_t position = 0;
  while (!isClosing_ && position < received_.size()) {
    std::size_t used = 0;
    const RespParseResult result =
        parseRespCommand(std::string_view(received_).substr(position), words_, used);
    if (result == RespParseResult::needsMore && received_.size() - position < kMaxCommandBytes) break;
    if (result != RespParseResult::complete) {
      rejectAndClose("-ERR not a command, or over the limit of 65536 bytes\r\n");
      break;
    }
    isHeldByReplies_ = hasTooManyReplies();
    if (isHeldByReplies_ || !share_.takeCommand()) {
      progress = Progress::mustWait;
      break;
    }
    executeCommand();
    position += used;
  }
  if (isClosing_ || position == received_.size()) {
    // Frees the buffer's memory as well, since most connected clients are idle at any time.
    releaseMemory(received_);
  } else {
    received_.erase(0, position);
  }
  // Commands that wait for replies to be sent are executed once that is done.
  if (progress == Progress::mustWait && !isHeldByReplies_) deferCommands();
  return progress;
}

void ClientConnection::executeCommand() {
  lastActiveAt_ = loop_.now();
  ++commands_;
  try {
    addReply(owner_.execute(words_, {number_, clientSide()}));
    hasSentCommand_ = true;
    hasSubmitted_ = hasSubmitted_ || words_.size() > 1;
  } catch (const Error& problem) {
    rejectAndClose(std::string("-ERR ") + problem.what() + "\r\n");
  }
}

// Leaves the client's next commands for the next turn, so that other clients are served before.
void ClientConnection::deferCommands() {
  ++deferrals_;
  owner_.onDeferred();
  socket_.reschedule();
}

// All input is read and its commands are executed. The client may have shut down only its sending side and
// still read, so it gets its remaining replies.
void ClientConnection::finishInput() {
  if (replies_.empty()) return closeNow(ClientCloseCause::endedByClient);
  releaseMemory(received_);
  startClosing(ClientCloseCause::endedByClient);
}

bool ClientConnection::hasTooManyReplies() const {
  return replies_.size() > maxBytesHeld() || replies_.waitingAcceptances() >= kMaxWaitingAcceptances;
}

// Reads and drops the input of a connection that is closing. Closing a socket with unread bytes would reset
// the connection, and the client could lose its last reply.
void ClientConnection::discardInput() {
  std::string discarded;
  const std::size_t maxBytes = std::min(maxBytesHeld(), share_.readableBytes());
  const ReadResult result = readAvailable(socket_.get(), discarded, maxBytes);
  share_.recordRead(discarded.size());
  discardedBytes_ += discarded.size();
  const bool isDone = result == ReadResult::endOfStream && replies_.empty();
  if (result == ReadResult::broken || isDone) return closeNow(ClientCloseCause::resetByClient);
  hasInputEnded_ = hasInputEnded_ || result == ReadResult::endOfStream;
  // Beyond the limit the client's input stays unread; the client still has kLingerMs to read its last reply.
  if (result == ReadResult::more && discardedBytes_ <= kMaxDiscardedBytes) socket_.reschedule();
}

void ClientConnection::write() {
  if (isClosed_ || !replies_.hasReady()) return;
  const ReplyQueue::WriteResult result = replies_.write(socket_.get(), acknowledgements_);
  reportAcknowledgements();
  if (result == ReplyQueue::WriteResult::broken) return closeNow(ClientCloseCause::resetByClient);
  if (isLingering()) ::shutdown(socket_.get(), SHUT_WR);
}

bool ClientConnection::awaitsDecision(const IsDecided& isDecided) const {
  return replies_.awaitsDecision(isDecided);
}

void ClientConnection::sendReplies(const ReplacementReply& replacement) {
  replies_.makeReady([&](MessageId id) { return replacement(id, clientSide()); }, acknowledgements_);
  write();
  if (isClosed_) return;
  reportAcknowledgements();
  if (hasInputEnded_ && isLingering()) return closeNow(ClientCloseCause::endedByClient);
  if (isHeldByReplies_ && !hasTooManyReplies()) socket_.reschedule();
  updateMemory();
  if (owner_.isDraining()) drainIfIdle();
  if (!isClosed_) owner_.onDeadlineChanged(*this);
}

void ClientConnection::drainIfIdle() {
  const bool isNew = !hasSentCommand_ && idleFor(loop_.now()) < kClientTimeoutMs;
  if (isBetweenCommands() && !isNew && !checkForUnreadBytes()) closeGracefully(ClientCloseCause::draining);
}

void ClientConnection::closeGracefully(ClientCloseCause cause) {
  startClosing(cause);
  ::shutdown(socket_.get(), SHUT_WR);
  owner_.onDeadlineChanged(*this);
}

void ClientConnection::closeNow(ClientCloseCause cause) {
  if (isClosed_) return;
  isClosed_ = true;
  const ClientCloseCause firstCause = closeCause_.value_or(cause);
  closeCause_ = firstCause;
  owner_.onClosed(*this, firstCause);
  close();
}

void ClientConnection::close() {
  if (!socket_.isOpen()) return;
  socket_.close();
  releaseMemory(received_);
  replies_.drop(acknowledgements_);
  reportAcknowledgements();
  updateMemory();
}

void ClientConnection::endStalled(ClientCloseCause cause) {
  if (isClosing_ || replies_.hasReady()) return closeNow(cause);
  if (isBetweenCommands()) {
    if (!checkForUnreadBytes()) closeGracefully(ClientCloseCause::idle);
    return;
  }
  rejectAndClose("-ERR half a command and no more\r\n");
  closeCause_ = cause;
  releaseMemory(received_);
  updateMemory();
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

std::size_t ClientConnection::maxBytesHeld() const {
  return owner_.isMemoryScarce() ? kMaxBytesHeldIfScarce : kMaxBytesHeld;
}

Millis ClientConnection::allowedInactivity() const {
  if (isClosing_) return kLingerMs;
  if (!isBetweenCommands()) return kIncompleteCommandTimeoutMs;
  if (hasSentCommand_) return kIdleTimeoutMs;
  return owner_.isDraining() ? kClientTimeoutMs : kSilentTimeoutMs;
}

void ClientConnection::addReply(const CommandReply& reply) {
  if (!replies_.hasWaiting()) owner_.onRepliesPending(*this);
  replies_.add(reply);
}

void ClientConnection::rejectAndClose(std::string error) {
  addReply({std::move(error), std::nullopt});
  startClosing(ClientCloseCause::protocolError);
}

void ClientConnection::startClosing(ClientCloseCause cause) {
  if (!closeCause_) closeCause_ = cause;
  isClosing_ = true;
  lastActiveAt_ = loop_.now();
}

void ClientConnection::updateMemory() {
  const std::size_t after = heapBytes(received_) + replies_.memoryBytes();
  const std::size_t before = std::exchange(memoryBytes_, after);
  if (before != after) owner_.onMemoryChanged(before, after);
}

void ClientConnection::reportAcknowledgements() {
  if (acknowledgements_.written.empty() && acknowledgements_.dropped.empty()) return;
  owner_.onAcknowledgementsChanged(std::exchange(acknowledgements_, {}));
}

ClientRecord ClientConnection::record() const {
  return {.number = number_,
          .age = loop_.now() - connectedAt_,
          .commands = commands_,
          .deferrals = deferrals_,
          .unreadBytes = received_.size(),
          .unsentBytes = replies_.size()};
}

}  // namespace stonewing
