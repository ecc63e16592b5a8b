#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "base/ids.h"

// Sockets on the loopback address, and waiting for results of other processes or threads.
namespace stonewing::testing {

namespace internal {

// Reads on the socket time out after 5 s, so that a test that waits for missing data fails instead of
// hanging.
inline int makeSocket() {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  timeval receiveTimeout{5, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
  return fd;
}

inline sockaddr_in loopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int closeUnless(bool good, int fd) {
  if (good) return fd;
  ::close(fd);
  return -1;
}

}  // namespace internal

// Returns a listening descriptor, which the caller closes, or -1. With port 0 the system chooses a port.
inline int listenOnLoopback(std::uint16_t port = 0, int backlog = 64) {
  int fd = internal::makeSocket();
  sockaddr_in address = internal::loopbackAddress(port);
  bool good =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(fd, backlog) == 0;
  return internal::closeUnless(good, fd);
}

// Returns a connected descriptor, which the caller closes, or -1.
inline int connectToLoopback(std::uint16_t port) {
  int fd = internal::makeSocket();
  sockaddr_in address = internal::loopbackAddress(port);
  bool good = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  return internal::closeUnless(good, fd);
}

inline std::uint16_t localPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Returns a port on which no socket listens at present.
inline std::uint16_t unusedPort() {
  int fd = listenOnLoopback();
  std::uint16_t port = localPort(fd);
  ::close(fd);
  return port;
}

// Sends as many bytes as the socket accepts. A connection that has ended is not treated as an error.
inline void sendBytes(int fd, const std::string& bytes) {
  (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// Returns the bytes that have arrived on a connection, after waiting at most `timeout` milliseconds for its
// end. "FIN" or "RST" at the end of the text means that the connection has ended; without them it is still
// open.
inline std::string receiveAvailable(int fd, Millis timeout = 0);

// Returns whether the condition becomes true within `timeout` milliseconds; it is evaluated every 5 ms.
inline bool eventually(Millis timeout, const std::function<bool()>& condition) {
  for (Millis waited = 0; waited < timeout; waited += 5) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

inline std::string receiveAvailable(int fd, Millis timeout) {
  std::string received;
  eventually(timeout, [&] {
    char chunk[4096];
    ssize_t size;
    while ((size = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT)) > 0) {
      received.append(chunk, static_cast<std::size_t>(size));
    }
    bool isOpen = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    int error = 0;  // a reset after an end of stream that was already received is visible only here
    socklen_t errorSize = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &errorSize);
    if (!isOpen) received += size == 0 && error == 0 ? "FIN" : "RST";
    return !isOpen;
  });
  return received;
}

}  // namespace stonewing::testing
