#pragma once

#include <cstdint>

#include "support/loopback.h"

namespace stonewing::testing {

// A port of the loopback address that the system gives to nobody else while this object lives. A server that
// sets SO_REUSEADDR, as the dispatcher does, can listen on it; while none does, connections are refused.
// Without this, a test that runs at the same time could get the port between two starts of a dispatcher.
class ReservedPort {
 public:
  ReservedPort() : socket_(internal::makeSocket()) {
    sockaddr_in address = internal::loopbackAddress(0);
    bool isBound = ::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    port_ = isBound ? localPort(socket_) : 0;
  }
  ~ReservedPort() { ::close(socket_); }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  std::uint16_t port() const { return port_; }  // 0 where none could be had

 private:
  int socket_;  // bound and never listening
  std::uint16_t port_;
};

}  // namespace stonewing::testing
