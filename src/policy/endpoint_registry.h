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

// The endpoints, routes and destinations as the endpoint list names them, and the order of preference among
// endpoints.
//
// Owns: these three. Its maps' nodes are stable: pointers to destinations stay valid for good, pointers to
// endpoints and routes until forgetRemoved() forgets them.
namespace stonewing {

// complete: endpoints that were not added are removed. partial: they stay as they are.
enum class ListScope { complete, partial };

class EndpointRegistry {
 public:
  // All outlive it.
  EndpointRegistry(const DeploymentSettings& settings, const RoundClock& clock, ZoneFailover& zones,
                   const ConcurrencyLimiter& limiter)
      : settings_(settings), clock_(clock), zones_(zones), limiter_(limiter) {}

  // One list, or one part of it, is given by beginList(), an add() for each endpoint, and commitList().
  void beginList() { listed_.clear(); }
  void add(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
           EndpointState state);
  void commitList(ListScope scope);
  // Endpoints come and go all day under new ids. Forgets those that no list has named for long and that are
  // not in use, with their routes.
  void forgetRemoved(const std::set<const Endpoint*>& inUse);

  // Created when it is first named.
  Destination& destination(DestinationId id);
  // Null for an id that is not known.
  Endpoint* find(EndpointId id);
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
  std::set<EndpointId> listed_;  // by the list that is being given
};

}  // namespace stonewing
