#pragma once

#include <cstddef>
#include <map>

#include "policy/destination.h"
#include "policy/endpoint.h"
#include "policy/message.h"
#include "policy/route.h"
#include "policy/zone_failover.h"

namespace stonewing {

// A read-only view of what the policy knows, for hosts, reports and tests. Cheap to make. The references stay
// valid as long as the policy; what they refer to changes with each input and decision.
struct PolicyState {
  const std::map<MessageId, Message>& messages;
  const std::map<EndpointId, Endpoint>& endpoints;
  const std::map<RouteId, Route>& routes;
  const std::map<DestinationId, Destination>& destinations;
  const ZoneFailover& zones;
  std::size_t orderedQueueCount;  // ordering keys that a queue is kept for
  int messagesInFlight;
  int requestsInFlight;
  Millis reusableIdleTime;  // connections idle for no longer are thought to work
  double timeoutScale;      // from 0 to 1; falls with attempts that stay unanswered
};

}  // namespace stonewing
