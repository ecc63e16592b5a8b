#include "policy/endpoint_registry.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "policy/random_source.h"

namespace stonewing {
namespace {

// A removed endpoint is deleted after so many slow-start durations: by then, the state recorded for it is out
// of date.
constexpr double kRetentionSlowStarts = 4;
// Set in the id of a route that has a single endpoint, which keeps these ids apart from ids of destinations.
constexpr std::uint64_t kSingleEndpointRouteBit = std::uint64_t{1} << 63;

RouteId singleEndpointRoute(EndpointId id) { return RouteId{id.value | kSingleEndpointRouteBit}; }

}  // namespace

void EndpointRegistry::add(EndpointId id, DestinationId destinationId, KindId kind, ZoneId zone,
                           double weight, EndpointState state) {
  Endpoint& endpoint = endpoints_[id];
  endpoint.id = id;
  endpoint.destination = &destination(destinationId);
  endpoint.kind = kind;
  endpoint.zone = zone;
  endpoint.weight = weight;
  endpoint.state = state;
  endpoint.maxBatchSize = kind.value < settings_.kinds.size() ? settings_.kinds[kind.value].maxBatchSize : 1;
  endpoint.route = &routeOf(endpoint);
  endpoint.route->destination = endpoint.destination;
  listed_.insert(id);
}

Route& EndpointRegistry::routeOf(const Endpoint& endpoint) {
  std::size_t kind = endpoint.kind.value;
  bool hasOwnRoute = kind < settings_.kinds.size() && settings_.kinds[kind].hasRoutePerEndpoint;
  RouteId id = hasOwnRoute ? singleEndpointRoute(endpoint.id) : RouteId{endpoint.destination->id.value};
  auto [entry, isNew] = routes_.try_emplace(id);
  if (isNew) limiter_.initialize(entry->second);
  return entry->second;
}

void EndpointRegistry::commitList(ListScope scope) {
  for (auto& [id, destination] : destinations_) destination.ranking.clear();
  for (auto& [id, route] : routes_) route.endpoints.clear();
  zones_.beginEndpointList();
  for (auto& [id, endpoint] : endpoints_) {
    if (scope == ListScope::complete && !listed_.contains(id)) endpoint.state = EndpointState::removed;
    if (endpoint.state != EndpointState::ready) continue;
    endpoint.route->endpoints.push_back(&endpoint);
    endpoint.destination->ranking.push_back(&endpoint);
    zones_.addEndpoint(id, endpoint.destination->id, endpoint.zone);
  }
  zones_.commitEndpointList(clock_.now());
  for (auto& [id, destination] : destinations_) rankEndpoints(destination);
}

// Sorts the endpoints into an order that is fixed for each destination and dispatcher. Zones of better
// priority go first, by default this dispatcher's own zone, since traffic between zones takes time
// and costs money. Within a priority, each dispatcher has a different order: with one order for all
// dispatchers, their requests would concentrate on the same endpoints.
void EndpointRegistry::rankEndpoints(Destination& destination) const {
  auto rank = [&](const Endpoint* endpoint) {
    return std::tuple(zones_.priority(endpoint->destination->id, endpoint->zone),
                      hashId(endpoint->id.value ^ hashId(settings_.dispatcherIndex)), endpoint->id);
  };
  std::sort(destination.ranking.begin(), destination.ranking.end(),
            [&](const Endpoint* left, const Endpoint* right) { return rank(left) < rank(right); });
}

void EndpointRegistry::eraseRemoved(const std::set<const Endpoint*>& inUse) {
  Millis retentionPeriod = kRetentionSlowStarts * settings_.slowStartDuration;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    Endpoint& endpoint = entry->second;
    if (endpoint.state != EndpointState::removed) {
      endpoint.removedAt = -1;
    } else if (endpoint.removedAt < 0) {
      endpoint.removedAt = clock_.now();
    }
    bool isExpired = endpoint.removedAt >= 0 && clock_.now() - endpoint.removedAt >= retentionPeriod;
    if (!isExpired || inUse.contains(&endpoint)) {
      ++entry;
      continue;
    }
    routes_.erase(singleEndpointRoute(endpoint.id));
    entry = endpoints_.erase(entry);
  }
}

Destination& EndpointRegistry::destination(DestinationId id) {
  Destination& destination = destinations_[id];
  destination.id = id;
  return destination;
}

Endpoint* EndpointRegistry::find(EndpointId id) {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const Endpoint* EndpointRegistry::find(EndpointId id) const {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

}  // namespace stonewing
