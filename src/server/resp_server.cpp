#include "server/resp_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <tuple>
#include <utility>

#include "base/bytes.h"
#include "logging/log.h"
#include "net/http_client_connection.h"

namespace stonewing {
namespace {

constexpr std::size_t kWordsMost = 16;
constexpr std::size_t kLineMost = 32;
constexpr std::size_t kCommandMost = kBodyMost + 8 * 1024;
constexpr std::size_t kUnsentMost = 64 * 1024;  // a client that does not read its answers is not read either
constexpr int kBacklog = 1024;
constexpr int kAcceptsATurn = 64;
constexpr Millis kAcceptPause = 20;
constexpr Millis kLinger = 1000;  // for a client to read the error before its connection is gone
// A client waits 400 ms for an answer. One that leaves half a command or an answer lying for longer holds a
// place for nothing, and a few hundred such would shut all others out.
constexpr Millis kHalfDone = 1000;
// A connection without a command may be closed after 2 s; clients open another when they need it. Those that
// never say anything go first, for they come by hundreds; those that keep one for good would add up all day.
constexpr Millis kSilent = 2200;
constexpr Millis kIdle = 5000;
constexpr Millis kFresh = 50;
constexpr Millis kClientWaits = 400;      // for an answer to what it has sent
constexpr std::size_t kPlacesFreed = 16;  // a part of the places that idle clients fail before all are taken
constexpr std::size_t kDroppedMost = 1024 * 1024;  // of what still comes behind an error

// "*3\r\n" or "$12\r\n" at `at`.
RespParseResult readCount(std::string_view bytes, std::size_t& at, char sign, std::size_t most,
                          std::size_t& count) {
  if (at >= bytes.size()) return RespParseResult::needsMore;
  if (bytes[at] != sign) return RespParseResult::malformed;
  std::size_t feed = bytes.find('\n', at);
  if (feed == std::string_view::npos)
    return bytes.size() - at > kLineMost ? RespParseResult::malformed : RespParseResult::needsMore;
  if (feed - at < 3 || feed - at > kLineMost || bytes[feed - 1] != '\r') return RespParseResult::malformed;
  auto number = parseWholeNumber(bytes.substr(at + 1, feed - at - 2));
  if (!number || *number > most) return RespParseResult::malformed;
  count = *number;
  at = feed + 1;
  return RespParseResult::complete;
}

}  // namespace

RespParseResult parseRespCommand(std::string_view bytes, std::vector<std::string_view>& words,
                                 std::size_t& used) {
  words.clear();
  std::size_t at = 0;
  std::size_t n = 0;
  RespParseResult got = readCount(bytes, at, '*', kWordsMost, n);
  if (got == RespParseResult::complete && n == 0) return RespParseResult::malformed;
  for (std::size_t i = 0; got == RespParseResult::complete && i < n; ++i) {
    std::size_t length = 0;
    got = readCount(bytes, at, '$', kBodyMost, length);
    if (got != RespParseResult::complete) break;
    if (bytes.size() < at + length + 2) {
      if (bytes.size() > at + length && bytes[at + length] != '\r') return RespParseResult::malformed;
      return at + length > kCommandMost ? RespParseResult::malformed : RespParseResult::needsMore;
    }
    if (bytes.substr(at + length, 2) != "\r\n") return RespParseResult::malformed;
    words.push_back(bytes.substr(at, length));
    at += length + 2;
  }
  used = at;
  return got;
}

class RespServer::ClientConnection : public EventHandler {
 public:
  ClientConnection(RespServer& intake, int fd) : intake_(intake), fd_(fd), usedAt(intake.loop_.now()) {}
  ~ClientConnection() override { close(); }

  bool watch() { return intake_.loop_.watch(fd_, *this); }

  void onEvents(std::uint32_t events) override {
    serve((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
    if (!gone_) intake_.settle(*this);
  }
  void serve(bool mayHaveEnded) {
    write();
    while (!gone_ && !closing_ && out_.size() <= kUnsentMost) {
      if (in_.empty()) usedAt = intake_.loop_.now();  // a command begins, if anything came
      ReadResult got = readAvailable(fd_, in_, kCommandMost, mayHaveEnded);
      if (got == ReadResult::broken) return finish();
      left_ = got == ReadResult::endOfStream;
      commands(left_);
      if (left_ && !owes()) return finish();
      if (left_) end();
      if (got == ReadResult::wouldBlock) break;
      if (got == ReadResult::more) {  // others have their turn first
        intake_.loop_.reschedule(fd_);
        break;
      }
    }
    count();
    if (!gone_ && closing_) discard();
    if (!gone_ && intake_.leaving_) drain();
  }

  Millis idleFor(Millis now) const { return now - usedAt; }
  // Who has handed in its message has what it came for, and who says nothing may never do. One that has
  // asked whether we are there is about to hand one in: closed now, that one fails. Danger: clients that come
  // once and keep their connection drive out those that have just come.
  bool goesFirst(Millis now) const { return handedIn_ || (!spoken_ && idleFor(now) >= kFresh); }
  std::size_t holds() const { return counted_; }
  // Between commands: nothing is read that is not answered, and no answer is left to write.
  bool between() const { return in_.empty() && !owes() && !closing_; }
  bool lingers() const { return closing_ && !owes(); }
  bool mayClose() const { return between() || lingers(); }
  // One that has just come is about to send; closed with no answer, it would have been refused for nothing.
  void drain() {
    bool fresh = !spoken_ && idleFor(intake_.loop_.now()) < kClientWaits;
    if (between() && !fresh && !speaks()) retire();
  }
  // Bytes have come that no event has told of yet; one will. It is not idle then.
  bool speaks() {
    char byte;
    if (::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) return false;
    usedAt = intake_.loop_.now();
    intake_.settle(*this);
    return true;
  }
  // Closed between commands. Danger: a command may arrive in this very moment, and a close over unread bytes
  // resets the connection, with the last answer if its client has not read it yet. So the end is said on our
  // side alone; what still comes is dropped, since it can no longer be answered, and its client sends it anew
  // elsewhere.
  void retire() {
    end();
    ::shutdown(fd_, SHUT_WR);
    intake_.settle(*this);
  }
  // When it is to be closed, if it does not move on.
  Millis patience() const {
    Millis silent = intake_.leaving_ ? kClientWaits : kSilent;
    return usedAt + (closing_ ? kLinger : !between() ? kHalfDone : spoken_ ? kIdle : silent);
  }
  void outOfPatience() {
    if (closing_ || !out_.empty()) return finish();
    if (between()) {
      if (!speaks()) retire();
      return;
    }
    refuse("-ERR half a command and no more\r\n");
    in_ = {};
    count();
    intake_.settle(*this);
  }
  bool waitsFor(const RespServer::IsDecided& decided) const {
    return std::any_of(answers_.begin(), answers_.end(),
                       [&](const CommandReply& a) { return a.ifAccepted && !decided(*a.ifAccepted); });
  }
  // What it was answered in this turn goes out.
  void send(const ReplacementReply& instead) {
    for (CommandReply& a : std::exchange(answers_, {})) {
      auto other = a.ifAccepted ? instead(*a.ifAccepted) : std::nullopt;
      out_.add(other ? std::move(*other) : std::move(a.text));
    }
    write();
    if (gone_) return;
    if (left_ && out_.empty()) return finish();
    if (intake_.leaving_) drain();
    if (!gone_) intake_.settle(*this);
  }
  void finish() {
    if (gone_) return;
    gone_ = true;
    close();
    intake_.gone(*this);
  }

 private:
  void close() {
    if (fd_ < 0) return;
    intake_.loop_.unwatch(fd_);
    ::close(std::exchange(fd_, -1));
    in_ = {};
    count();
  }
  // What it holds of a command, against the most that all may hold together.
  void count() {
    intake_.bytes_ += in_.size() - counted_;
    counted_ = in_.size();
  }
  bool owes() const { return !out_.empty() || !answers_.empty(); }
  void answer(CommandReply answer) {
    if (answers_.empty()) intake_.answering_.push_back(this);
    answers_.push_back(std::move(answer));
  }
  void commands(bool left) {
    std::size_t at = 0;
    while (!closing_) {
      std::size_t used = 0;
      RespParseResult got = parseRespCommand(std::string_view(in_).substr(at), words_, used);
      bool tooLong = got == RespParseResult::needsMore && in_.size() - at >= kCommandMost;
      if (got == RespParseResult::needsMore && !tooLong) break;
      if (got != RespParseResult::complete) {
        refuse("-ERR not a command, or over the limit of 65536 bytes\r\n");
        break;
      }
      usedAt = intake_.loop_.now();
      try {
        answer(intake_.answer_(words_, left));
        spoken_ = true;
        handedIn_ = handedIn_ || words_.size() > 1;
      } catch (const Error& problem) {
        refuse(std::string("-ERR ") + problem.what() + "\r\n");
      }
      at += used;
    }
    if (closing_ || at == in_.size()) {
      in_ = {};  // with its room: most of those that are connected say nothing at any time
    } else {
      in_.erase(0, at);
    }
  }
  void refuse(std::string error) {
    answer({std::move(error), std::nullopt});
    end();
  }
  void end() {
    closing_ = true;
    usedAt = intake_.loop_.now();
  }
  void write() {
    if (gone_ || out_.empty()) return;
    WriteBuffer::WriteResult wrote = out_.write(fd_);
    if (wrote == WriteBuffer::WriteResult::broken) finish();
    if (wrote == WriteBuffer::WriteResult::all && closing_ && answers_.empty()) ::shutdown(fd_, SHUT_WR);
  }
  // An error stands at the end of what we say. What still comes is read and dropped for a while: closing on
  // unread bytes would reset the connection, and the error with it.
  void discard() {
    std::string dropped;
    ReadResult got = readAvailable(fd_, dropped, kCommandMost);
    dropped_ += dropped.size();
    if (got == ReadResult::broken || (got == ReadResult::endOfStream && !owes())) return finish();
    left_ = left_ || got == ReadResult::endOfStream;
    // One that goes on regardless is read no more, for each byte costs us time; it still has its while to
    // read what we said.
    if (got == ReadResult::more && dropped_ <= kDroppedMost) intake_.loop_.reschedule(fd_);
  }

  RespServer& intake_;
  int fd_;
  std::string in_;
  WriteBuffer out_;
  std::vector<CommandReply> answers_;  // not sent yet
  std::vector<std::string_view> words_;
  std::size_t counted_{0};
  std::size_t dropped_{0};
  bool spoken_{false};
  bool handedIn_{false};  // a message, that was not refused as unreadable
  bool closing_{false};
  bool left_{false};  // it has ended its side
  bool gone_{false};

 public:
  Millis usedAt;
  Millis settled{-1};  // its place among those with patience
  std::list<std::unique_ptr<ClientConnection>>::iterator self{};
};

RespServer::RespServer(EventLoop& loop, std::size_t mostClients, std::size_t mostBytes, CommandHandler answer)
    : loop_(loop),
      most_(std::max<std::size_t>(1, mostClients)),
      mostBytes_(std::max(mostBytes, kCommandMost)),
      answer_(std::move(answer)) {}

RespServer::~RespServer() { closeListener(); }

void RespServer::listen(const sockaddr_in& at) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  if (fd_ < 0 || ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, kBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot listen");
  }
  if (!loop_.watch(fd_, *this)) throw std::system_error(errno, std::generic_category(), "cannot watch");
}

// Danger: who waits to be accepted when the listener closes is reset, with all it has sent. A turn that came
// late finds many of them.
void RespServer::stopListening() {
  for (int n = 0; n < kBacklog && accept(); n += kAcceptsATurn) {
  }
  closeListener();
}

void RespServer::closeListener() {
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(fd_);
  fd_ = -1;
}

void RespServer::drain() {
  leaving_ = true;
  for (auto at = clients_.begin(); at != clients_.end();) {
    (*at++)->drain();
  }
  // Those that stay for a moment have less patience now.
  for (auto& client : clients_) settle(*client);
}

void RespServer::sendReplies(const IsDecided& decided, const ReplacementReply& instead) {
  for (ClientConnection* client : std::exchange(answering_, {})) {
    if (client == nullptr) continue;
    if (client->waitsFor(decided)) {
      answering_.push_back(client);
    } else {
      client->send(instead);
    }
  }
}

void RespServer::gone(ClientConnection& client) {
  std::replace(answering_.begin(), answering_.end(), &client, static_cast<ClientConnection*>(nullptr));
  patience_.erase({client.settled, &client});
  auto at = client.self;
  loop_.deferDeletion(std::move(*at));
  clients_.erase(at);
}

void RespServer::settle(ClientConnection& client) {
  Millis patience = client.patience();
  if (patience == client.settled) return;
  patience_.erase({client.settled, &client});
  patience_.insert({client.settled = patience, &client});
}

// A connection may be closed between commands; clients open more when they need them. One that lingers after
// its last answer goes first, or last where it is only the others that are asked for.
RespServer::ClientConnection* RespServer::idlest(bool lingering) {
  ClientConnection* found = nullptr;
  for (auto& client : clients_) {
    if (!client->mayClose() || (!lingering && client->lingers())) continue;
    auto place = [&](const ClientConnection& c) {
      return std::tuple(c.lingers(), c.goesFirst(loop_.now()), c.idleFor(loop_.now()));
    };
    if (found == nullptr || place(*client) > place(*found)) found = client.get();
  }
  return found;
}

bool RespServer::closeIdlestClient() {
  ClientConnection* before = nullptr;
  for (ClientConnection* client; (client = idlest(true)) != nullptr && client != before; before = client) {
    if (!client->lingers() && client->speaks()) continue;  // now it is the last of them
    client->finish();
    return true;
  }
  return false;
}

// A few places are kept free by clients that are told of the end and given their while, so that hardly any
// has to be cut off for another.
void RespServer::retireIdlest() {
  std::size_t freed = most_ / kPlacesFreed;
  auto lingering = [](const auto& client) { return client->lingers(); };
  if (clients_.size() + freed <= most_) return;
  auto going = static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), lingering));
  if (clients_.size() - going + freed <= most_) return;
  ClientConnection* client = idlest(false);
  if (client != nullptr && !client->speaks()) client->retire();
}

void RespServer::onEvents(std::uint32_t) {
  if (accept()) loop_.reschedule(fd_);
}

// Whether there may be more to accept at once.
bool RespServer::accept() {
  acceptAgain_ = -1;
  for (int n = 0; fd_ >= 0; ++n) {
    if (n == kAcceptsATurn) return true;
    retireIdlest();
    // Danger: with all places taken a client would be closed for nobody.
    pollfd listener{fd_, POLLIN, 0};
    if (clients_.size() >= most_ && ::poll(&listener, 1, 0) == 0) return false;
    if (clients_.size() >= most_ && !closeIdlestClient()) {
      acceptAgain_ = loop_.now() + kAcceptPause;
      return false;
    }
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // No descriptor left, say: the edge is gone, so the next try is by the clock.
        log::warn("client.accept_failed", {{"why", std::generic_category().message(errno)}});
        closeIdlestClient();
        acceptAgain_ = loop_.now() + kAcceptPause;
      }
      return false;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto client = std::make_unique<ClientConnection>(*this, fd);
    if (!client->watch()) continue;
    clients_.push_back(std::move(client));
    clients_.back()->self = std::prev(clients_.end());
    clients_.back()->onEvents(EPOLLIN | EPOLLRDHUP);  // in this turn: it may have sent, and ended, long ago
  }
  return false;
}

// Danger: a few hundred clients that each send most of a command would fill the memory. The one that began
// first gives way.
void RespServer::shedHalfDone() {
  while (bytes_ > mostBytes_) {
    ClientConnection* first = nullptr;
    for (auto& client : clients_) {
      if (client->holds() > 0 && (first == nullptr || client->usedAt < first->usedAt)) first = client.get();
    }
    if (first == nullptr) return;
    first->outOfPatience();
  }
}

void RespServer::onTick() {
  shedHalfDone();
  if (acceptAgain_ >= 0 && loop_.now() >= acceptAgain_) onEvents(0);
  while (!patience_.empty() && patience_.begin()->first <= loop_.now()) {
    ClientConnection& client = *patience_.begin()->second;
    if (loop_.now() < client.patience()) {
      settle(client);
    } else {
      client.outOfPatience();
    }
  }
}

Millis RespServer::due() const {
  Millis due = acceptAgain_ >= 0 ? acceptAgain_ : loop_.now() + kLinger;
  return patience_.empty() ? due : std::min(due, patience_.begin()->first);
}

}  // namespace stonewing
