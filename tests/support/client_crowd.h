#pragma once

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/loopback.h"

namespace stonewing::testing {

// What each connection of a crowd does.
struct CrowdBehaviour {
  enum class AfterSending {
    repeat,     // sends the bytes again and again, as fast as the socket accepts them
    stay,       // sends them once and keeps the connection
    reset,      // sends them once, resets the connection, and comes again on a new one
    awaitClose  // sends them once and waits for the dispatcher to close, then comes again on a new one
  };

  std::string bytes;
  AfterSending afterSending{AfterSending::repeat};
  bool readsReplies{false};
  // Bytes written at a time, and the pause between two writes of one connection.
  std::size_t bytesPerWrite{64 * 1024};
  std::chrono::milliseconds writePause{0};
};

// Many connections to one port that behave alike, driven by one thread. A connection that ends is opened
// again.
class ClientCrowd {
 public:
  ClientCrowd(std::uint16_t port, int connections, CrowdBehaviour behaviour)
      : port_(port), behaviour_(std::move(behaviour)), connections_(static_cast<std::size_t>(connections)) {
    thread_ = std::thread([this] { run(); });
  }
  ~ClientCrowd() { stop(); }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Closes all connections and waits for the thread.
  void stop() {
    stops_ = true;
    if (thread_.joinable()) thread_.join();
  }
  // Bytes sent so far on all connections. A crowd that has sent nothing has shown nothing.
  std::uint64_t sentBytes() const { return sentBytes_; }

 private:
  using Clock = std::chrono::steady_clock;

  struct Connection {
    int fd{-1};
    std::size_t sent{0};  // of the bytes of the behaviour, in this repetition
    Clock::time_point nextWriteAt{};
  };

  void run() {
    while (!stops_) {
      std::vector<pollfd> polled;
      for (Connection& connection : connections_) {
        if (connection.fd < 0) open(connection);
        polled.push_back({connection.fd, eventsOf(connection), 0});
      }
      ::poll(polled.data(), polled.size(), 2);
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if (polled[i].fd >= 0 && polled[i].revents != 0) serve(connections_[i], polled[i].revents);
      }
    }
    for (Connection& connection : connections_) close(connection);
  }

  void open(Connection& connection) {
    connection = {connectToLoopback(port_), 0, {}};
    if (connection.fd >= 0) ::fcntl(connection.fd, F_SETFL, O_NONBLOCK);
  }

  void close(Connection& connection) {
    if (connection.fd >= 0) ::close(connection.fd);
    connection.fd = -1;
  }

  bool hasAllSent(const Connection& connection) const { return connection.sent >= behaviour_.bytes.size(); }

  short eventsOf(const Connection& connection) const {
    bool reads =
        behaviour_.readsReplies || behaviour_.afterSending == CrowdBehaviour::AfterSending::awaitClose;
    bool writes = !hasAllSent(connection) && Clock::now() >= connection.nextWriteAt;
    return static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
  }

  void serve(Connection& connection, short events) {
    if ((events & POLLIN) != 0 && !read(connection)) return close(connection);
    if ((events & (POLLERR | POLLHUP)) != 0) return close(connection);
    if ((events & POLLOUT) != 0) write(connection);
  }

  static bool read(const Connection& connection) {
    char chunk[64 * 1024];
    ssize_t size = ::recv(connection.fd, chunk, sizeof chunk, 0);
    return size > 0 || (size < 0 && errno == EAGAIN);
  }

  void write(Connection& connection) {
    std::size_t size = std::min(behaviour_.bytesPerWrite, behaviour_.bytes.size() - connection.sent);
    ssize_t sent = ::send(connection.fd, behaviour_.bytes.data() + connection.sent, size, MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN) return close(connection);
    if (sent < 0) return;
    sentBytes_ += static_cast<std::uint64_t>(sent);
    connection.sent += static_cast<std::size_t>(sent);
    connection.nextWriteAt = Clock::now() + behaviour_.writePause;
    if (!hasAllSent(connection)) return;
    if (behaviour_.afterSending == CrowdBehaviour::AfterSending::repeat) connection.sent = 0;
    if (behaviour_.afterSending == CrowdBehaviour::AfterSending::reset) reset(connection);
  }

  void reset(Connection& connection) {
    linger discard{1, 0};
    ::setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    close(connection);
  }

  std::uint16_t port_;
  CrowdBehaviour behaviour_;
  std::vector<Connection> connections_;  // used by the thread alone
  std::atomic<bool> stops_{false};
  std::atomic<std::uint64_t> sentBytes_{0};
  std::thread thread_;
};

}  // namespace stonewing::testing
