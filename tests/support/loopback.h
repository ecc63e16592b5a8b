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

// Sockets on the loopback address, and waiting for what another process or thread does.
namespace stonewing::testing {

namespace internal {

// Reads on it end after 5 s, so that a test which waits in vain fails instead of hanging.
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

// A listening descriptor that the caller closes, or -1. Port 0 lets the system choose.
inline int listenOnLoopback(std::uint16_t port = 0, int backlog = 64) {
  int fd = internal::makeSocket();
  sockaddr_in address = internal::loopbackAddress(port);
  bool good =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(fd, backlog) == 0;
  return internal::closeUnless(good, fd);
}

// A connected descriptor that the caller closes, or -1.
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

// A port on which nothing listens just now.
inline std::uint16_t unusedPort() {
  int fd = listenOnLoopback();
  std::uint16_t port = localPort(fd);
  ::close(fd);
  return port;
}

// Sends what the socket takes; a connection that has ended is no error here.
inline void sendBytes(int fd, const std::string& bytes) {
  (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// What has arrived on a connection, waiting for its end for at most that many milliseconds. "FIN" or "RST" at
// the end of the text stands for the end of the connection, neither for one that is still open.
inline std::string receiveAvailable(int fd, Millis timeout = 0);

// Whether the condition becomes true within that many milliseconds; it is asked every 5 ms.
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
    int error = 0;  // a reset that follows an end already received shows here alone
    socklen_t errorSize = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &errorSize);
    if (!isOpen) received += size == 0 && error == 0 ? "FIN" : "RST";
    return !isOpen;
  });
  return received;
}

}  // namespace stonewing::testing
