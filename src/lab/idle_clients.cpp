#include "lab/idle_clients.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace stonewing::lab {
namespace {

constexpr Millis kReconnectDelay = 500;

}  // namespace

class IdleClients::Connection : public EventHandler {
 public:
  explicit Connection(IdleClients& owner) : owner_(owner) {}
  ~Connection() override { close(); }

  bool open(const sockaddr_in& address) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0) return false;
    bool isStarted = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
                     errno == EINPROGRESS;
    return isStarted && owner_.loop_.watch(fd_, *this);
  }

  void close() {
    if (fd_ < 0) return;
    owner_.loop_.unwatch(fd_);
    ::close(std::exchange(fd_, -1));
  }

  void onEvents(std::uint32_t events) override {
    if (fd_ < 0) return;
    bool isBroken = (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
    char byte = 0;
    if (isBroken || ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) owner_.reopen(*this);
  }

 private:
  IdleClients& owner_;
  int fd_{-1};
};

IdleClients::IdleClients(EventLoop& loop, TimerQueue& timers, std::string dispatcher,
                         std::function<void()> onClosed)
    : loop_(loop), timers_(timers), dispatcher_(std::move(dispatcher)), onClosed_(std::move(onClosed)) {}

IdleClients::~IdleClients() { *isAlive_ = false; }

void IdleClients::setCount(std::size_t count) {
  count_ = count;
  while (connections_.size() > count_) connections_.pop_back();
  while (connections_.size() < count_) open();
}

void IdleClients::open() {
  connections_.push_back(std::make_unique<Connection>(*this));
  auto address = parseAddress(dispatcher_);
  if (!address || !connections_.back()->open(*address)) reopen(*connections_.back());
}

void IdleClients::reopen(Connection& connection) {
  onClosed_();
  connection.close();
  timers_.schedule(loop_.now() + kReconnectDelay, [this, closed = &connection, alive = isAlive_] {
    if (!*alive) return;
    auto position = std::find_if(connections_.begin(), connections_.end(),
                                 [closed](const auto& candidate) { return candidate.get() == closed; });
    if (position == connections_.end()) return;
    connections_.erase(position);
    if (connections_.size() < count_) open();
  });
}

}  // namespace stonewing::lab
