#pragma once

#include <netinet/in.h>

#include <string>

#include "storage/message_store.h"

namespace stonewing {

// The process that an endpoint runs as. A new process may listen at the address of one that has gone, for the
// same endpoint or for another.
struct EndpointProcess {
  sockaddr_in address{};
  Millis startedWall{0};  // when it started, in Unix milliseconds; 0: long ago, or unknown

  bool operator==(const EndpointProcess& other) const {
    return hasSameAddress(other) && startedWall == other.startedWall;
  }
  bool hasSameAddress(const EndpointProcess& other) const {
    return address.sin_addr.s_addr == other.address.sin_addr.s_addr &&
           address.sin_port == other.address.sin_port;
  }
};

// An endpoint as discovery describes it: its identity and its process.
struct DiscoveredEndpoint {
  EndpointRecord record;
  EndpointProcess process;
  std::string authority;  // the address as spelled in the endpoint list, for the Host header
};

}  // namespace stonewing
