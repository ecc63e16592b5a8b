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
// Delay until connections are accepted again after a failure, such as a lack of descriptors.
constexpr Millis kAcceptRetryMs = 20;
// The longest time between two calls of onTick.
constexpr Millis kMaxTickMs = 1000;
// One in this many of the allowed connections stays free: idle clients are closed before the limit is
// reached.
constexpr std::size_t kReservedDivisor = 16;

// The memory of one whole command and of the replies that its client may have.
constexpr std::size_t kMinMemoryBytes = 2 * kMaxCommandBytes;

// The client of the greatest rank is evicted first: one that lingers after its last reply, then one that is
// preferred for eviction, then the one that has been idle for longest.
std::tuple<bool, bool, Millis> evictionRank(const ClientConnection& client, Millis now) {
  return {client.isLingering(), client.isPreferredForEviction(now), client.idleFor(now)};
}

// What a client's memory costs the others: its bytes times how long it has been in the middle of a command,
// or has not read its replies. A client that was active in this turn counts for a millisecond.
double memoryCost(const ClientConnection& client, Millis now) {
  constexpr Millis kMinDuration = 1;
  return static_cast<double>(client.memoryBytes()) * std::max(kMinDuration, client.idleFor(now));
}

}  // namespace

// A client connection together with the server's data about it.
class RespServer::Client final : public ClientConnection {
 public:
  using ClientConnection::ClientConnection;

  // In clients_; valid until the element is erased.
  std::list<std::unique_ptr<Client>>::iterator position{};
  // The key in deadlines_; negative while the client is not in it.
  Millis scheduledDeadline{-1};
};

RespServer::RespServer(EventLoop& loop, std::size_t maxClients, std::size_t maxMemoryBytes,
                       CommandHandler handler)
    : loop_(loop),
      maxClients_(std::max<std::size_t>(1, maxClients)),
      maxMemoryBytes_(std::max(maxMemoryBytes, kMinMemoryBytes)),
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
    throw std::system_error(errno, std::generic_category(), "cannot listen on the client address");
  }
  if (!listener_.watch(*this))
    throw std::system_error(errno, std::generic_category(), "cannot register the client listener with epoll");
}

// Accepts up to a whole backlog of connections before closing the listener. Closing it resets the connections
// that still wait to be accepted, and all that their clients have sent is lost; after a delayed turn there
// may be many of them.
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
    ++next;  // advanced first, since drainIfIdle may erase the client
    client.drainIfIdle();
  }
  // Clients that are still connected have a shorter inactivity time-out while the server drains.
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

CommandReply RespServer::execute(const std::vector<std::string_view>& words, CommandSource source) {
  return handler_(words, source);
}

void RespServer::onRepliesPending(ClientConnection& client) { clientsWithReplies_.push_back(&client); }

void RespServer::onMemoryChanged(std::size_t before, std::size_t after) {
  memoryBytes_ -= before;
  memoryBytes_ += after;
  peakMemoryBytes_ = std::max(peakMemoryBytes_, memoryBytes_);
}

void RespServer::onAcknowledgementsChanged(AcknowledgementChanges changes) {
  auto append = [](std::vector<MessageId>& all, const std::vector<MessageId>& added) {
    all.insert(all.end(), added.begin(), added.end());
  };
  append(acknowledgements_.written, changes.written);
  append(acknowledgements_.dropped, changes.dropped);
}

// The casts to Client are safe here and below: addClient creates no connection of another type.
void RespServer::onDeadlineChanged(ClientConnection& connection) {
  auto& client = static_cast<Client&>(connection);
  Millis deadline = client.inactivityDeadline();
  if (deadline == client.scheduledDeadline) return;
  deadlines_.erase({client.scheduledDeadline, &client});
  client.scheduledDeadline = deadline;
  deadlines_.insert({deadline, &client});
}

void RespServer::onClosed(ClientConnection& connection, ClientCloseCause cause) {
  auto& client = static_cast<Client&>(connection);
  log_.clientClosed(client.record(), cause, loop_.now());
  ClientConnection* noClient = nullptr;
  std::replace(clientsWithReplies_.begin(), clientsWithReplies_.end(), &connection, noClient);
  deadlines_.erase({client.scheduledDeadline, &client});
  auto position = client.position;
  loop_.deferDeletion(std::move(*position));
  clients_.erase(position);
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
      client->closeNow(ClientCloseCause::replaced);
      return true;
    }
    previous = client;  // it has unread bytes: it counts as active, and now ranks last
  }
}

// Closes the idlest client gracefully once the reserved connections are in use. Without this, more clients
// would have to be closed at once, without notice, to admit new ones.
void RespServer::closeIdlestGracefully() {
  std::size_t reserved = maxClients_ / kReservedDivisor;
  if (clients_.size() + reserved <= maxClients_) return;
  auto isLingering = [](const auto& client) { return client->isLingering(); };
  auto lingering = static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), isLingering));
  if (clients_.size() - lingering + reserved <= maxClients_) return;
  Client* client = findIdlest(Lingering::excluded);
  if (client != nullptr && !client->checkForUnreadBytes())
    client->closeGracefully(ClientCloseCause::replaced);
}

void RespServer::onEvents(std::uint32_t) {
  if (acceptPending() == AcceptProgress::mayHaveMore) listener_.reschedule();
}

RespServer::AcceptProgress RespServer::acceptPending() {
  retryAcceptAt_.reset();
  for (int count = 0; listener_.isOpen(); ++count) {
    if (count == kAcceptsPerTurn) return AcceptProgress::mayHaveMore;
    closeIdlestGracefully();
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

// Returns whether one more client can be accepted. At the limit, a client is evicted only if a connection
// waits to be accepted.
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
  ClientConnection::Owner& owner = *this;  // make_unique cannot convert to a private base
  auto client = std::make_unique<Client>(loop_, owner, fd, ++lastNumber_);
  log_.clientAccepted();
  if (!client->watch()) return;
  clients_.push_back(std::move(client));
  clients_.back()->position = std::prev(clients_.end());
  // Input is read in this turn, since the client may have sent its command and closed its side long ago.
  clients_.back()->onEvents(EPOLLIN | EPOLLRDHUP);
}

// epoll reports connections that already wait no second time, so accepting is retried after a delay.
void RespServer::onAcceptFailure(int error) {
  log::warn("client.accept_failed", {{"why", std::generic_category().message(error)}});
  closeIdlestClient();
  retryAcceptAt_ = loop_.now() + kAcceptRetryMs;
}

// Ends clients while the memory of all of them exceeds the limit, beginning with the one that has held the
// most for longest. Without a limit, a few hundred clients that each send most of a command would fill the
// memory.
void RespServer::evictForMemory() {
  while (memoryBytes_ > maxMemoryBytes_) {
    const Millis now = loop_.now();
    Client* greatest = nullptr;
    for (auto& client : clients_) {
      if (client->memoryBytes() == 0 || client->isBetweenCommands()) continue;
      if (greatest == nullptr || memoryCost(*client, now) > memoryCost(*greatest, now))
        greatest = client.get();
    }
    if (greatest == nullptr) return;
    greatest->endStalled(ClientCloseCause::outOfMemory);
  }
}

void RespServer::endStalledClients() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= loop_.now()) {
    Client& client = *deadlines_.begin()->second;
    if (loop_.now() < client.inactivityDeadline()) {
      onDeadlineChanged(client);
    } else {
      client.endStalled(ClientCloseCause::stalled);
    }
  }
}

void RespServer::onTick() {
  allowance_.beginTurn();
  log_.logCounters(loop_.now(), clients_.size(), memoryBytes_, peakMemoryBytes_);
  if (retryAcceptAt_ && loop_.now() >= *retryAcceptAt_) onEvents(0);
  endStalledClients();
}

Millis RespServer::due() const {
  Millis due = retryAcceptAt_.value_or(loop_.now() + kMaxTickMs);
  return deadlines_.empty() ? due : std::min(due, deadlines_.begin()->first);
}

}  // namespace stonewing
