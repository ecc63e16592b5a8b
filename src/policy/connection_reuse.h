#pragma once

#include <cstddef>
#include <deque>

#include "policy/attempt.h"
#include "policy/attempt_report.h"
#include "policy/rate_pacer.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// Decides for how long an idle connection may be reused, and which idle connections close.
//
// Owns: the reusable idle time, the ConnectionUse of each endpoint, the endpoints that became idle. Input:
// requests, and outcomes together with the idle time of their connection. Queries: the reusable idle time,
// whether a connection is too old, the next one to close. Without it, idle connections take places in the
// endpoint's connection table, and some have died unnoticed: what is sent on one of those fails and may have
// been executed.
namespace stonewing {

class ConnectionReuse {
 public:
  // All outlive it.
  ConnectionReuse(const DeploymentSettings& settings, const RoundClock& clock, const RatePacer& pacer)
      : settings_(settings),
        clock_(clock),
        pacer_(pacer),
        reusableIdleTime_(settings.connectionIdleTimeout) {}

  // Milliseconds; connections idle for no longer are thought to work.
  Millis reusableIdleTime() const { return reusableIdleTime_; }
  // For how long the connection that the next request takes has been idle; 0 for a new one.
  Millis idleTime(const Endpoint& endpoint) const;
  // Whether the idle connection at the endpoint should be closed before the next request there.
  bool isTooOld(const Endpoint& endpoint) const;

  // A request is opened at the endpoint.
  void recordRequest(Endpoint& endpoint);
  // A connection to the endpoint may be idle from now on.
  void recordAttemptEnd(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = clock_.now(); }
  // Learns from the result of an attempt. Call before RatePacer and SlowStart learn from it.
  void recordResult(const Attempt& attempt, const AttemptReport& result);
  // No request is in flight there any more. The endpoint must stay registered while listed in
  // idleEndpoints().
  void addIdle(Endpoint& endpoint) { idleEndpoints_.push_back(&endpoint); }
  // It has no idle connection any more.
  void recordClosed(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = -1; }

  // The next endpoint whose idle connection should close, marked as closed; null if there is none.
  // endpointCount: all endpoints known.
  Endpoint* popToClose(std::size_t endpointCount);
  // Those that popToClose() has yet to examine.
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
