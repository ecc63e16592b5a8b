#pragma once

#include <vector>

#include "base/ids.h"
#include "policy/wait_queue.h"

namespace stonewing {

struct Endpoint;

// A destination of messages. EndpointRegistry owns it and writes the ranking. MessageRegistry writes the wait
// queue and the count of accepted messages, RequestTracker the count of requests in flight.
struct Destination {
  DestinationId id{};
  // Ready endpoints, the preferred ones first. Rebuilt with each endpoint list, before EndpointRegistry
  // deletes any endpoint, so the pointers stay valid.
  std::vector<Endpoint*> ranking;
  int acceptedCount{0};
  int requestsInFlight{0};  // including those at draining endpoints
  WaitQueue waitQueue;
};

}  // namespace stonewing
