#pragma once

#include <cstddef>
#include <map>

#include "policy/destination.h"
#include "policy/endpoint.h"
#include "policy/message.h"
#include "policy/route.h"
#include "policy/zone_failover.h"

namespace stonewing {

// A read-only view of the policy's state, for hosts, reports and tests. Cheap to create. The references stay
// valid as long as the policy; the objects that they refer to change with each input and decision.
struct PolicyState {
  const std::map<MessageId, Message>& messages;
  const std::map<EndpointId, Endpoint>& endpoints;
  const std::map<RouteId, Route>& routes;
  const std::map<DestinationId, Destination>& destinations;
  const ZoneFailover& zones;
  std::size_t orderedQueueCount;  // ordering keys with a queue
  int messagesInFlight;
  int requestsInFlight;
  Millis reusableIdleTime;  // connections idle for no longer than this are assumed to work
  double timeoutScale;      // from 0 to 1; falls with each attempt that is cancelled for lack of a response
};

}  // namespace stonewing
