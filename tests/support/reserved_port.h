#pragma once

#include <cstdint>

#include "support/loopback.h"

namespace stonewing::testing {

// A port of the loopback address that the system assigns to no other socket while this object lives. A server
// that sets SO_REUSEADDR, as the dispatcher does, can listen on it; while no server listens, connections are
// refused. Without this, a test that runs at the same time could be assigned the port between two starts of a
// dispatcher.
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

  std::uint16_t port() const { return port_; }  // 0 if no port could be reserved

 private:
  int socket_;  // bound, but never listening
  std::uint16_t port_;
};

}  // namespace stonewing::testing
