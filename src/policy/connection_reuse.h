#pragma once

#include <cstddef>
#include <deque>

#include "policy/attempt.h"
#include "policy/decision.h"
#include "policy/round_clock.h"
#include "policy/route.h"
#include "settings/deployment_settings.h"

// For how long an idle connection may be reused, and which idle connections close.
//
// Owns: the reusable idle time, the ConnectionUse of each endpoint, the endpoints that became idle. It is
// told of requests and of outcomes by the idle time of their connection. An idle connection takes a place in
// the endpoint's table, and may have died unseen: what is sent on it then fails and may have been executed.
namespace stonewing {

class ConnectionReuse {
 public:
  // Both outlive it.
  ConnectionReuse(const DeploymentSettings& settings, const RoundClock& clock)
      : settings_(settings), clock_(clock), reusableIdleTime_(settings.connectionIdleTimeout) {}

  // Milliseconds; connections idle for no longer are thought to work.
  Millis reusableIdleTime() const { return reusableIdleTime_; }
  // For how long the connection that the next request takes has been idle; 0 for a new one.
  Millis idleTime(const Endpoint& endpoint) const;
  // Whether the idle connection at the endpoint should be closed before the next request there.
  bool isTooOld(const Endpoint& endpoint) const;

  void recordRequest(Endpoint& endpoint);
  void recordAttemptEnd(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = clock_.now(); }
  // Learns from an outcome. Call before RatePacer and SlowStart learn from it; loadReportSeen: whether an
  // earlier response carried a load report.
  void recordOutcome(const Attempt& attempt, AttemptOutcome outcome, Millis retryAfter, LoadReport report,
                     bool loadReportSeen);
  // No request is in flight there any more. The endpoint must stay registered while listed in
  // idleEndpoints().
  void addIdle(Endpoint& endpoint) { idleEndpoints_.push_back(&endpoint); }
  // It has no idle connection any more.
  void recordClosed(Endpoint& endpoint) { endpoint.connections.lastUsedAt_ = -1; }

  // The next endpoint whose idle connection should close, marked as closed; null if there is none.
  // endpointCount: all endpoints known.
  Endpoint* popToClose(std::size_t endpointCount);
  const std::deque<Endpoint*>& idleEndpoints() const { return idleEndpoints_; }

 private:
  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  Millis reusableIdleTime_;
  int requestCount_{0};
  std::deque<Endpoint*> idleEndpoints_;
};

}  // namespace stonewing
