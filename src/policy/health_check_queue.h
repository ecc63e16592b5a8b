#pragma once

#include <optional>
#include <set>
#include <utility>

#include "policy/round_clock.h"
#include "policy/route.h"

// Which endpoints to examine for a health check, and when.
//
// Owns: the endpoints where something has changed, and those that are not due yet. Input: changes, by the
// modules that make them. Query: the next endpoint to examine, for HealthChecker.
namespace stonewing {

class HealthCheckQueue {
 public:
  explicit HealthCheckQueue(RoundClock& clock) : clock_(clock) {}  // outlives it

  // Something has changed at this endpoint; ids that are no longer known are allowed.
  void add(EndpointId id) { candidates_.insert(id); }
  // Something has changed by which the endpoints of a route may be due sooner.
  void addAll(const Route& route) {
    clock_.endQuiet();
    for (const Endpoint* endpoint : route.endpoints) candidates_.insert(endpoint->id);
  }
  // Look at this one again at that time.
  void schedule(Millis due, EndpointId id) { scheduled_.insert({due, id}); }

  // The next endpoint to look at; each is returned once.
  std::optional<EndpointId> pop() {
    if (candidates_.empty()) return std::nullopt;
    return candidates_.extract(candidates_.begin()).value();
  }
  // Moves those whose time has come to the candidates.
  void collectDue() {
    while (!scheduled_.empty() && clock_.isReached(scheduled_.begin()->first))
      candidates_.insert(scheduled_.extract(scheduled_.begin()).value().second);
  }

 private:
  RoundClock& clock_;
  std::set<EndpointId> candidates_;
  std::set<std::pair<Millis, EndpointId>> scheduled_;
};

}  // namespace stonewing
