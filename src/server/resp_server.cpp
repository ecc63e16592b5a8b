#include "server/resp_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <system_error>
#include <tuple>

#include "logging/log.h"

namespace stonewing {
namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptsPerTurn = 64;
// Until the next try after accept has failed, for want of a descriptor for instance.
constexpr Millis kAcceptRetryMs = 20;
// The longest time between two calls of onTick.
constexpr Millis kMaxTickMs = 1000;
// One part in so many of the places is kept free by retiring idle clients, before all places are taken.
constexpr std::size_t kReservedShare = 16;

// Whom to evict first, by comparison: a client that lingers after its last reply, then one that is preferred,
// then the one that is idle for longest.
std::tuple<bool, bool, Millis> evictionRank(const ClientConnection& client, Millis now) {
  return {client.isLingering(), client.isPreferredForEviction(now), client.idleFor(now)};
}

}  // namespace

// A client connection with the server's own records of it.
class RespServer::Client final : public ClientConnection {
 public:
  using ClientConnection::ClientConnection;

  std::list<std::unique_ptr<Client>>::iterator self{};  // stays valid until it is erased from the list
  Millis scheduledDeadline{-1};                         // its key in deadlines_; below 0: not there yet
};

RespServer::RespServer(EventLoop& loop, std::size_t maxClients, std::size_t maxBufferedBytes,
                       CommandHandler handler)
    : loop_(loop),
      maxClients_(std::max<std::size_t>(1, maxClients)),
      maxBufferedBytes_(std::max(maxBufferedBytes, kMaxCommandBytes)),
      handler_(std::move(handler)),
      listener_(loop) {}

RespServer::~RespServer() { closeListener(); }

void RespServer::listen(const sockaddr_in& address) {
  listener_.reset(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int fd = listener_.get();
  int on = 1;
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, kBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot listen");
  }
  if (!listener_.watch(*this)) throw std::system_error(errno, std::generic_category(), "cannot watch");
}

// Whoever waits to be accepted when the listener closes is reset, with all it has sent, and a turn that came
// late finds many of them: so a whole backlog is accepted first.
void RespServer::stopListening() {
  constexpr int kMaxRounds = kBacklog / kAcceptsPerTurn;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (acceptPending() == AcceptProgress::done) break;
  }
  closeListener();
}

void RespServer::closeListener() { listener_.close(); }

void RespServer::drain() {
  isDraining_ = true;
  for (auto next = clients_.begin(); next != clients_.end();) {
    Client& client = **next;
    ++next;  // first, since the client may be erased
    client.drainIfIdle();
  }
  // Those that stay for a moment have less time now.
  for (auto& client : clients_) onDeadlineChanged(*client);
}

void RespServer::sendReplies(const IsDecided& isDecided, const ReplacementReply& replacement) {
  for (ClientConnection* client : std::exchange(clientsWithReplies_, {})) {
    if (client == nullptr) continue;
    if (client->awaitsDecision(isDecided)) {
      clientsWithReplies_.push_back(client);
    } else {
      client->sendReplies(replacement);
    }
  }
}

CommandReply RespServer::execute(const std::vector<std::string_view>& words, bool clientHasLeft) {
  return handler_(words, clientHasLeft);
}

void RespServer::onRepliesPending(ClientConnection& client) { clientsWithReplies_.push_back(&client); }

void RespServer::onBufferedBytesChanged(std::size_t before, std::size_t after) {
  bufferedBytes_ -= before;
  bufferedBytes_ += after;
}

// Every connection that names this server as its owner is a Client, as addClient makes no other.
void RespServer::onDeadlineChanged(ClientConnection& connection) {
  auto& client = static_cast<Client&>(connection);
  Millis deadline = client.inactivityDeadline();
  if (deadline == client.scheduledDeadline) return;
  deadlines_.erase({client.scheduledDeadline, &client});
  client.scheduledDeadline = deadline;
  deadlines_.insert({deadline, &client});
}

void RespServer::onClosed(ClientConnection& connection) {
  auto& client = static_cast<Client&>(connection);
  ClientConnection* none = nullptr;
  std::replace(clientsWithReplies_.begin(), clientsWithReplies_.end(), &connection, none);
  deadlines_.erase({client.scheduledDeadline, &client});
  auto self = client.self;
  loop_.deferDeletion(std::move(*self));
  clients_.erase(self);
}

RespServer::Client* RespServer::findIdlest(Lingering lingering) {
  Millis now = loop_.now();
  Client* idlest = nullptr;
  for (auto& client : clients_) {
    if (!client->isEvictable()) continue;
    if (lingering == Lingering::excluded && client->isLingering()) continue;
    if (idlest == nullptr || evictionRank(*client, now) > evictionRank(*idlest, now)) idlest = client.get();
  }
  return idlest;
}

bool RespServer::closeIdlestClient() {
  Client* previous = nullptr;
  for (;;) {
    Client* client = findIdlest(Lingering::included);
    if (client == nullptr || client == previous) return false;
    if (client->isLingering() || !client->checkForUnreadBytes()) {
      client->closeNow();
      return true;
    }
    previous = client;  // active after all, and the last in rank now
  }
}

// Keeps a few places free by closing idle clients gracefully, so that hardly any has to be cut off for
// another.
void RespServer::retireIdlest() {
  std::size_t reserved = maxClients_ / kReservedShare;
  if (clients_.size() + reserved <= maxClients_) return;
  auto isLingering = [](const auto& client) { return client->isLingering(); };
  auto lingering = static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), isLingering));
  if (clients_.size() - lingering + reserved <= maxClients_) return;
  Client* client = findIdlest(Lingering::excluded);
  if (client != nullptr && !client->checkForUnreadBytes()) client->closeGracefully();
}

void RespServer::onEvents(std::uint32_t) {
  if (acceptPending() == AcceptProgress::mayHaveMore) listener_.reschedule();
}

RespServer::AcceptProgress RespServer::acceptPending() {
  retryAcceptAt_.reset();
  for (int count = 0; listener_.isOpen(); ++count) {
    if (count == kAcceptsPerTurn) return AcceptProgress::mayHaveMore;
    retireIdlest();
    if (!evictForNewClient()) return AcceptProgress::done;
    int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      addClient(fd);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) onAcceptFailure(errno);
    return AcceptProgress::done;
  }
  return AcceptProgress::done;
}

// Whether there is a place for one more client. With all places taken, one is freed only where somebody waits
// for it.
bool RespServer::evictForNewClient() {
  if (clients_.size() < maxClients_) return true;
  pollfd listener{listener_.get(), POLLIN, 0};
  if (::poll(&listener, 1, 0) == 0) return false;
  if (closeIdlestClient()) return true;
  retryAcceptAt_ = loop_.now() + kAcceptRetryMs;
  return false;
}

void RespServer::addClient(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ClientConnection::Owner& owner = *this;  // a private base, so it is named here
  auto client = std::make_unique<Client>(loop_, owner, fd);
  if (!client->watch()) return;
  clients_.push_back(std::move(client));
  clients_.back()->self = std::prev(clients_.end());
  // In this turn: it may have sent its command, and ended, long ago.
  clients_.back()->onEvents(EPOLLIN | EPOLLRDHUP);
}

// The listener's event will not come again for those that wait already, so the next try is by the clock.
void RespServer::onAcceptFailure(int error) {
  log::warn("client.accept_failed", {{"why", std::generic_category().message(error)}});
  closeIdlestClient();
  retryAcceptAt_ = loop_.now() + kAcceptRetryMs;
}

// Without a limit, a few hundred clients that each send most of a command would fill the memory. The one that
// began first gives way.
void RespServer::evictIncompleteCommands() {
  while (bufferedBytes_ > maxBufferedBytes_) {
    Client* oldest = nullptr;
    for (auto& client : clients_) {
      if (client->bufferedBytes() == 0) continue;
      if (oldest == nullptr || client->lastActiveAt() < oldest->lastActiveAt()) oldest = client.get();
    }
    if (oldest == nullptr) return;
    oldest->endStalled();
  }
}

void RespServer::endStalledClients() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= loop_.now()) {
    Client& client = *deadlines_.begin()->second;
    if (loop_.now() < client.inactivityDeadline()) {
      onDeadlineChanged(client);
    } else {
      client.endStalled();
    }
  }
}

void RespServer::onTick() {
  evictIncompleteCommands();
  if (retryAcceptAt_ && loop_.now() >= *retryAcceptAt_) onEvents(0);
  endStalledClients();
}

Millis RespServer::due() const {
  Millis due = retryAcceptAt_.value_or(loop_.now() + kMaxTickMs);
  return deadlines_.empty() ? due : std::min(due, deadlines_.begin()->first);
}

}  // namespace stonewing
