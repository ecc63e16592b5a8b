#include "net/http_client_connection.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/release_memory.h"

namespace stonewing {
namespace {

// A response of up to this size is read even if the budget is exceeded, and its memory is kept for the next
// one.
constexpr std::size_t kOrdinaryResponseBytes = std::size_t{4} * 1024;

int makeSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

bool isEnded(ReadResult result) { return result == ReadResult::endOfStream || result == ReadResult::broken; }

}  // namespace

bool HttpClientConnection::open(const sockaddr_in& address) {
  socket_.reset(makeSocket());
  // Without this, idle clients could use up all descriptors, and no message could be delivered any more.
  bool isExhausted = !socket_.isOpen() && (errno == EMFILE || errno == ENFILE);
  if (isExhausted && loop_.tryFreeDescriptor()) socket_.reset(makeSocket());
  isOutOfResources_ = !socket_.isOpen();
  if (isOutOfResources_) return false;

  int on = 1;
  ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int result = ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result == 0 || errno == EINPROGRESS) {
    isOutOfResources_ = !socket_.watch(*this);
    if (!isOutOfResources_) return true;
  }
  socket_.close();
  return false;
}

void HttpClientConnection::startExchange() {
  isBusy_ = true;
  received_.clear();
  parser_ = {};
  if (!socket_.isOpen() || !isConnected_) return;
  // Unsent bytes are written again in the next turn, which also reports a connection that has failed.
  if (unsent_.write(socket_.get()) != WriteBuffer::WriteResult::all) socket_.reschedule();
}

void HttpClientConnection::close() { socket_.close(); }

void HttpClientConnection::readPending() {
  if (socket_.isOpen() && isConnected_ && isBusy_) read(StreamEnd::possible);
}

void HttpClientConnection::checkIdle() {
  if (socket_.isOpen() && isConnected_ && !isBusy_) read(StreamEnd::possible);
}

std::string HttpClientConnection::readUnread() {
  std::string unread;
  if (socket_.isOpen() && isConnected_) readAvailable(socket_.get(), unread, maxResponseBytes_);
  return unread;
}

bool HttpClientConnection::isReusable() const {
  if (!socket_.isOpen()) return false;
  char byte;
  bool hasNothingToRead = ::recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
  return hasNothingToRead && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::fail(ConnectionFailure failure) {
  failure_ = failure;
  close();
  observer_.onBroken(*this);
  if (!socket_.isOpen()) releaseReceived();
}

void HttpClientConnection::onEvents(std::uint32_t events) {
  bool isPartlyWritten = isConnected_ && isBusy_ && !unsent_.empty();
  if (!isConnected_ && !finishConnecting(events)) return;
  if (isPartlyWritten && !observer_.mayContinueExchange(*this)) return;
  if (!unsent_.empty()) write();
  if (!socket_.isOpen()) return;
  bool mayHaveEnded = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  read(mayHaveEnded ? StreamEnd::possible : StreamEnd::notReported);
}

// Returns whether the connection is established and its exchange may begin. If connecting failed, reports
// that to the observer and returns false.
bool HttpClientConnection::finishConnecting(std::uint32_t events) {
  if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return false;
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0 || (events & EPOLLERR) != 0) {
    fail(ConnectionFailure::connectFailed);
    return false;
  }
  if ((events & EPOLLOUT) == 0) return false;
  isConnected_ = true;
  return observer_.mayStartExchange(*this);
}

void HttpClientConnection::write() {
  if (unsent_.write(socket_.get()) != WriteBuffer::WriteResult::broken) return;
  // A server may respond, or close, before it has read the whole request, so its response is read before the
  // connection counts as broken.
  read(StreamEnd::possible);
  if (socket_.isOpen() && isBusy_) fail(ConnectionFailure::endedByPeer);
}

void HttpClientConnection::read(StreamEnd streamEnd) {
  ReadResult result = readAvailable(socket_.get(), received_, maxResponseBytes_, streamEnd);
  updateMemory();
  if (!isBusy_) return readIdle(result);
  if (received_.empty() && !isEnded(result)) return;
  HttpResponseParser::Progress progress = parseReceived(result);
  if (progress == HttpResponseParser::Progress::needsMore && !isEnded(result)) {
    if (result == ReadResult::more) socket_.reschedule();
    observer_.onResponseStarted(*this);
    return;
  }
  if (progress == HttpResponseParser::Progress::complete) return finishExchange(result);
  fail(isEnded(result) ? ConnectionFailure::endedByPeer : ConnectionFailure::malformedResponse);
}

// An idle connection that ends, or on which bytes arrive, cannot be used again.
void HttpClientConnection::readIdle(ReadResult result) {
  if (!unexpectedBytes().empty()) return fail(ConnectionFailure::unexpectedBytes);
  if (result != ReadResult::wouldBlock) fail(ConnectionFailure::endedByPeer);
}

HttpResponseParser::Progress HttpClientConnection::parseReceived(ReadResult result) {
  StreamState stream = result == ReadResult::endOfStream ? StreamState::ended : StreamState::open;
  HttpResponseParser::Progress progress = parser_.parse(received_, stream);
  // A response may announce gigabytes and go on arriving, so it counts as malformed as soon as it announces
  // more bytes than allowed.
  bool isTooLong = parser_.announcedLength() > maxResponseBytes_ ||
                   (result == ReadResult::more && received_.size() >= maxResponseBytes_);
  if (progress == HttpResponseParser::Progress::needsMore && (isTooLong || isOverBudget())) {
    return HttpResponseParser::Progress::malformed;
  }
  return progress;
}

void HttpClientConnection::finishExchange(ReadResult result) {
  // Stays open for another exchange only if no bytes are left to read and the whole request was sent.
  wasRequestWritten_ = unsent_.empty();
  bool hasExtraBytes = !unexpectedBytes().empty() || result == ReadResult::more;
  if (isEnded(result) || !parser_.keepsAlive() || hasExtraBytes || !wasRequestWritten_) close();
  isBusy_ = false;
  ++exchangeCount_;
  observer_.onResponse(*this);
  // The memory of a large response would otherwise be kept for as long as the connection rests.
  if (!isBusy_ && received_.capacity() > kOrdinaryResponseBytes) releaseReceived();
}

bool HttpClientConnection::isOverBudget() const {
  return budget_ != nullptr && budget_->isExceeded() && received_.size() > kOrdinaryResponseBytes;
}

void HttpClientConnection::updateMemory() {
  const std::size_t before = std::exchange(memoryBytes_, received_.capacity());
  if (budget_ != nullptr) budget_->change(before, memoryBytes_);
}

void HttpClientConnection::releaseReceived() {
  releaseMemory(received_);
  parser_ = {};
  const std::size_t before = std::exchange(memoryBytes_, 0);
  if (budget_ != nullptr) budget_->change(before, 0);
}

}  // namespace stonewing
