#pragma once

#include <optional>
#include <set>
#include <utility>

#include "policy/round_clock.h"
#include "policy/route.h"

// Holds the endpoints that HealthChecker is to examine for a health check, now or at a later time.
//
// Owns: the endpoints whose state has changed, and those whose health check is not due yet. Input: changes of
// endpoints and routes, from the modules that make these changes. Query: the next endpoint to examine.
namespace stonewing {

class HealthCheckQueue {
 public:
  // The clock must outlive the queue.
  explicit HealthCheckQueue(RoundClock& clock) : clock_(clock) {}

  // The endpoint's state has changed. Ids that are no longer known are allowed.
  void add(EndpointId id) { candidates_.insert(id); }
  // The route's state has changed: health checks of its endpoints may be due sooner.
  void addAll(const Route& route) {
    clock_.requireScan();
    for (const Endpoint* endpoint : route.endpoints) candidates_.insert(endpoint->id);
  }
  // The endpoint's health check is due at that time; the endpoint is examined again then.
  void schedule(Millis due, EndpointId id) { scheduled_.insert({due, id}); }

  // Removes and returns the next endpoint to examine; nothing if there is none.
  std::optional<EndpointId> pop() {
    if (candidates_.empty()) return std::nullopt;
    return candidates_.extract(candidates_.begin()).value();
  }
  // Moves the scheduled endpoints whose time has come to the candidates.
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
