#pragma once

#include <vector>

#include "base/ids.h"
#include "policy/wait_queue.h"

namespace stonewing {

struct Endpoint;

// A destination of messages. EndpointRegistry owns it and writes the ranking, MessageRegistry writes what
// waits for it and the count of accepted messages, RequestTracker the requests in flight.
struct Destination {
  DestinationId id{};
  // Ready endpoints in the fixed order of preference. Rebuilt with each endpoint list, before any endpoint is
  // forgotten, so the pointers stay valid.
  std::vector<Endpoint*> ranking;
  int acceptedCount{0};
  int requestsInFlight{0};  // also those at endpoints that drain
  WaitQueue waitQueue;
};

}  // namespace stonewing
