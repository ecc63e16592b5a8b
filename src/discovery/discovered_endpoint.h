#pragma once

#include <netinet/in.h>

#include <string>

#include "storage/message_store.h"

namespace stonewing {

// An endpoint as discovery describes it: its identity and its address.
struct DiscoveredEndpoint {
  EndpointRecord record;
  sockaddr_in address{};
  std::string authority;  // the address as spelled in the endpoint list, for the Host header
};

}  // namespace stonewing
