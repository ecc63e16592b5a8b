#pragma once

#include <cstddef>
#include <deque>

#include "policy/attempt.h"
#include "policy/attempt_report.h"
#include "policy/rate_pacer.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides for how long an idle connection may be reused, and which idle connections are closed.
//
// Owns: the reusable idle time, the ConnectionUse of each endpoint, the endpoints that became idle. Input:
// requests, and results of attempts together with the idle time of their connection. Queries: the reusable
// idle time, whether a connection has been idle too long, the next endpoint whose idle connection is closed.
// Without this module, idle connections would fill the endpoints' connection tables, and requests would be
// sent on connections that died unnoticed: such a request fails and may have been executed.
namespace stonewing {

class ConnectionReuse {
 public:
  // All arguments must outlive this object.
  ConnectionReuse(const DeploymentSettings& settings, const RoundClock& clock, const RatePacer& pacer)
      : settings_(settings),
        clock_(clock),
        pacer_(pacer),
        reusableIdleTime_(settings.connectionIdleTimeout) {}

  // A connection that has been idle for at most so many milliseconds is assumed to work.
  Millis reusableIdleTime() const { return reusableIdleTime_; }
  // How long the connection that the next request to the endpoint uses has been idle; 0 for a new connection.
  Millis idleTime(const Endpoint& endpoint) const;
  // Whether the idle connection at the endpoint should be closed before the next request there.
  bool isIdleTooLong(const Endpoint& endpoint) const;

  // A request is opened at the endpoint.
  void recordRequest(Endpoint& endpoint);
  // An attempt has ended: a connection to the endpoint may be idle from now on.
  void recordAttemptEnd(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = clock_.now(); }
  // Adapts the reusable idle time to the result of an attempt. Call before RatePacer and SlowStart record
  // that result: their earlier state is read.
  void recordResult(const Attempt& attempt, const AttemptReport& result);
  // The endpoint has no request in flight any more. It must stay registered while idleEndpoints() lists it.
  void addIdleEndpoint(Endpoint& endpoint) { idleEndpoints_.push_back(&endpoint); }
  // The endpoint has no idle connection any more.
  void recordClosed(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = -1; }

  // Returns the next endpoint whose idle connection should be closed, and records it as closed; null if there
  // is none. endpointCount: number of all known endpoints.
  Endpoint* popEndpointToClose(std::size_t endpointCount);
  // Endpoints that popEndpointToClose() has yet to examine.
  const std::deque<Endpoint*>& idleEndpoints() const { return idleEndpoints_; }

 private:
  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  const RatePacer& pacer_;
  Millis reusableIdleTime_;
  int requestCount_{0};
  std::deque<Endpoint*> idleEndpoints_;
};

}  // namespace stonewing
