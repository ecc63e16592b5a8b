#pragma once

#include <netinet/in.h>

#include <string>

#include "storage/message_store.h"

namespace stonewing {

// An endpoint as discovery describes it: who it is, and where it is reached.
struct DiscoveredEndpoint {
  EndpointRecord record;
  sockaddr_in address{};
  std::string authority;  // the address as the endpoint list words it, for the Host header
};

}  // namespace stonewing
