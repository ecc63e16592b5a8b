#include "lab/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "net/http_client_connection.h"

namespace stonewing::lab {
namespace {

constexpr std::size_t kMaxRequestBytes = 4 * 1024 * 1024;
constexpr int kBacklog = 1024;

sockaddr_in socketAddress(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

std::string_view HttpRequest::header(std::string_view name) const {
  std::string_view rest = head;
  while (!rest.empty()) {
    std::size_t lineEnd = std::min(rest.find("\r\n"), rest.size());
    std::string_view line = rest.substr(0, lineEnd);
    rest.remove_prefix(std::min(rest.size(), lineEnd + 2));
    if (line.size() <= name.size() || line[name.size()] != ':') continue;
    if (::strncasecmp(line.data(), name.data(), name.size()) != 0) continue;
    line.remove_prefix(name.size() + 1);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    return line;
  }
  return {};
}

HttpServerConnection::HttpServerConnection(EventLoop& loop, HttpServer& server, int fd)
    : loop_(loop),
      server_(server),
      fd_(fd),
      number_(server.wire_ != nullptr ? ++server.wire_->connectionCount : 0) {}

HttpServerConnection::~HttpServerConnection() {
  *isAlive_ = false;
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(fd_);
}

void HttpServerConnection::onEvents(std::uint32_t) {
  if (unresponsive_) return;
  write();
  if (fd_ >= 0) read();
}

void HttpServerConnection::read() {
  ReadResult result = readAvailable(fd_, in_, kMaxRequestBytes);
  while (!handlingRequest_ && fd_ >= 0) {
    std::size_t end = in_.find("\r\n\r\n");
    if (end == std::string::npos) break;
    HttpRequest request;
    std::size_t lineEnd = in_.find("\r\n");
    std::size_t first = in_.find(' ');
    std::size_t second = in_.find(' ', first + 1);
    request.method = in_.substr(0, first);
    request.target = in_.substr(first + 1, second - first - 1);
    request.head = in_.substr(std::min(lineEnd + 2, end), end - std::min(lineEnd + 2, end));
    std::size_t length = parseWholeNumber(request.header("Content-Length")).value_or(0);
    if (in_.size() < end + 4 + length) break;
    request.body = in_.substr(end + 4, length);
    in_.erase(0, end + 4 + length);
    handlingRequest_ = true;
    target_ = request.target;
    if (server_.wire_ != nullptr) {
      carryOut(server_.wire_->faults.onRequest(location(), previousResponse_), false);
      if (fd_ < 0) return;
      if (rejectByFault()) continue;
    }
    server_.handler_.requestReceived(server_, *this, std::move(request));
  }
  if (fd_ < 0) return;
  if (result == ReadResult::endOfStream || result == ReadResult::broken) return close();
  if (result == ReadResult::more) loop_.reschedule(fd_);
}

// Returns whether a fault answered the request with a rejection.
bool HttpServerConnection::rejectByFault() {
  if (!server_.wire_->faults.rejectsRequest(location())) return false;
  handlingRequest_ = false;
  carryOutNow({.bytes = kRejection, .isFault = true, .fault = FaultKind::rejectedRequest}, false);
  return true;
}

bool HttpServerConnection::peerClosed() const {
  if (fd_ < 0) return true;
  pollfd poll{fd_, POLLRDHUP, 0};
  return ::poll(&poll, 1, 0) > 0 && (poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpServerConnection::close() {
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
  server_.removeConnection(*this);
}

void HttpServerConnection::reset() {
  if (fd_ < 0) return;
  linger resetOnClose{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
  close();
}

void HttpServerConnection::setUnresponsive(bool on) {
  unresponsive_ = on;
  if (!on && fd_ >= 0) loop_.reschedule(fd_);
}

void HttpServerConnection::respond(std::string bytes, bool closeAfter) {
  if (fd_ < 0) return;
  handlingRequest_ = false;
  if (server_.wire_ == nullptr) return send(std::move(bytes), closeAfter);
  previousResponse_ = bytes;
  carryOut(server_.wire_->faults.onResponse(location(), bytes), closeAfter);
}

WireLocation HttpServerConnection::location() const {
  WireLocation location = server_.location_;
  location.source = responseSourceOf(target_);
  return location;
}

void HttpServerConnection::carryOut(const std::vector<WireWrite>& writes, bool closeAfter) {
  for (const WireWrite& write : writes) {
    // A response to delay is altered from now on, even if the dispatcher gives it up meanwhile.
    bool isDelaying = write.isFault && write.fault == FaultKind::delayedResponse;
    if (isDelaying) server_.wire_->onStrike(location(), write.fault, number_);
    if (write.delay <= 0) {
      carryOutNow(write, closeAfter);
      continue;
    }
    server_.wire_->timers.schedule(loop_.now() + write.delay, [this, write, closeAfter, alive = isAlive_] {
      if (*alive) carryOutNow(write, closeAfter);
    });
  }
}

void HttpServerConnection::carryOutNow(const WireWrite& write, bool closeAfter) {
  if (fd_ < 0 || peerClosed()) return;
  bool isDelayed = write.isFault && write.fault == FaultKind::delayedResponse;
  if (write.isFault && !isDelayed) server_.wire_->onStrike(location(), write.fault, number_);
  send(write.bytes, write.closesAfter || (closeAfter && (!write.isFault || isDelayed)));
}

void HttpServerConnection::send(std::string bytes, bool closeAfter) {
  if (fd_ < 0) return;
  closing_ = closing_ || closeAfter;
  out_.add(std::move(bytes));
  if (unresponsive_) return;
  write();
  if (fd_ >= 0 && !in_.empty()) loop_.reschedule(fd_);
}

void HttpServerConnection::write() {
  if (out_.empty()) {
    if (closing_) close();
    return;
  }
  auto result = out_.write(fd_);
  if (result == WriteBuffer::WriteResult::broken) return close();
  if (result == WriteBuffer::WriteResult::all && closing_) close();
}

HttpServer::HttpServer(EventLoop& loop, Handler& handler, const std::string& host, Wire* wire,
                       WireLocation location)
    : loop_(loop), handler_(handler), host_(host), wire_(wire), location_(location) {
  listen(kBacklog);
}

HttpServer::~HttpServer() {
  if (fd_ >= 0) {
    loop_.unwatch(fd_);
    ::close(fd_);
  }
  for (int fd : backlogFillers_) ::close(fd);
}

std::string HttpServer::address() const { return host_ + ":" + std::to_string(port_); }

void HttpServer::listen(int backlog) {
  UniqueFd listener = boundSocket();
  if (::listen(listener.get(), backlog) != 0 || !loop_.watch(listener.get(), *this))
    throw std::system_error(errno, std::generic_category(), "cannot listen at " + address());
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  ::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
  fd_ = listener.release();
  portHolder_.reset();
}

UniqueFd HttpServer::boundSocket() const {
  UniqueFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);  // beside portHolder_
  sockaddr_in wanted = socketAddress(host_, port_);
  if (!socket || ::bind(socket.get(), reinterpret_cast<sockaddr*>(&wanted), sizeof wanted) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot bind " + address());
  return socket;
}

void HttpServer::stop() {
  if (fd_ < 0) return;
  portHolder_ = boundSocket();
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
}

void HttpServer::onEvents(std::uint32_t) {
  if (unreachable_) return;
  while (fd_ >= 0) {
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_unique<HttpServerConnection>(loop_, *this, fd);
    if (!loop_.watch(fd, *connection)) continue;
    connections_.push_back(std::move(connection));
    HttpServerConnection& accepted = *connections_.back();
    if (!handler_.connectionOpened(*this, accepted)) {
      accepted.reset();
    } else {
      loop_.reschedule(fd);
    }
  }
}

void HttpServer::removeConnection(HttpServerConnection& connection) {
  auto at = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& open) { return open.get() == &connection; });
  if (at == connections_.end()) return;
  std::unique_ptr<HttpServerConnection> removed = std::move(*at);
  connections_.erase(at);
  handler_.connectionClosed(*this, *removed);
  loop_.deferDeletion(std::move(removed));
}

void HttpServer::setRefusing(bool on) {
  if (refusing_ == on) return;
  refusing_ = on;
  if (on) {
    stop();
    resetConnections();
  } else if (!acceptPaused_) {
    listen(kBacklog);
  }
}

void HttpServer::resetConnections() {
  while (!connections_.empty()) connections_.front()->reset();
}

void HttpServer::setAcceptPaused(bool on) {
  if (acceptPaused_ == on) return;
  acceptPaused_ = on;
  if (refusing_) return;
  if (on) {
    stop();
  } else {
    listen(kBacklog);
  }
}

// A listening socket with a full accept queue does not answer connection attempts. The server therefore
// shrinks its backlog to 0 and fills the queue with connections of its own.
void HttpServer::setUnreachable(bool on) {
  if (unreachable_ == on) return;
  unreachable_ = on;
  for (auto& connection : connections_) connection->setUnresponsive(on);
  if (fd_ < 0) return;
  if (!on) {
    for (int fd : std::exchange(backlogFillers_, {})) ::close(fd);
    ::listen(fd_, kBacklog);
    loop_.reschedule(fd_);
    return;
  }
  ::listen(fd_, 0);
  for (int n = 0; n < 3; ++n) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in ownAddress = socketAddress(host_, port_);
    if (fd < 0) break;
    (void)!::connect(fd, reinterpret_cast<sockaddr*>(&ownAddress), sizeof ownAddress);
    backlogFillers_.push_back(fd);
  }
}

}  // namespace stonewing::lab
