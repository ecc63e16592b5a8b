#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "policy/concurrency_limiter.h"
#include "policy/destination.h"
#include "policy/endpoint.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Holds the endpoints, routes and destinations of the endpoint list, and the order of preference among the
// endpoints of a destination.
//
// Owns: the endpoints, routes and destinations. The maps' nodes are stable: pointers to destinations stay
// valid as long as the registry exists, pointers to endpoints and routes until eraseRemoved() deletes them.
namespace stonewing {

// complete: endpoints that were not added are removed. partial: those endpoints stay as they are.
enum class ListScope { complete, partial };

class EndpointRegistry {
 public:
  // All arguments must outlive the registry.
  EndpointRegistry(const DeploymentSettings& settings, const RoundClock& clock, ZoneFailover& zones,
                   const ConcurrencyLimiter& limiter)
      : settings_(settings), clock_(clock), zones_(zones), limiter_(limiter) {}

  // For an endpoint list, or a part of one, call beginList(), add() for each endpoint, then commitList().
  void beginList() { listed_.clear(); }
  void add(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
           EndpointState state);
  void commitList(ListScope scope);
  // Deletes the endpoints that have been removed for long and are not in use, with the routes that only they
  // have. New endpoints get new ids all day, so without this the maps would grow without bound.
  void eraseRemoved(const std::set<const Endpoint*>& inUse);

  // Creates the destination at its first use.
  Destination& destination(DestinationId id);
  // Returns null for an id that is not known.
  Endpoint* find(EndpointId id);
  const Endpoint* find(EndpointId id) const;
  // The id must be known.
  Endpoint& at(EndpointId id) { return endpoints_.at(id); }
  const std::map<EndpointId, Endpoint>& endpoints() const { return endpoints_; }
  std::map<RouteId, Route>& routes() { return routes_; }
  const std::map<RouteId, Route>& routes() const { return routes_; }
  const std::map<DestinationId, Destination>& destinations() const { return destinations_; }

 private:
  Route& routeOf(const Endpoint& endpoint);
  void rankEndpoints(Destination& destination) const;

  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  ZoneFailover& zones_;
  const ConcurrencyLimiter& limiter_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<RouteId, Route> routes_;
  std::map<DestinationId, Destination> destinations_;
  std::set<EndpointId> listed_;  // endpoints added since beginList()
};

}  // namespace stonewing
