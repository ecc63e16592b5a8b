#include "policy/connection_reuse.h"

#include <algorithm>

namespace stonewing {
namespace {

constexpr double kDecreaseFactor = 0.35;  // of the reusable idle time, when a table is full or a connection
                                          // was dead
constexpr double kMinShare = 0.025;       // of the idle timeout; connections hardly idle also break
constexpr double kIncreaseFactor = 1.1;   // by each connection that worked after a long idle time

}  // namespace

Millis ConnectionReuse::idleTime(const Endpoint& endpoint) const {
  Millis lastUsedAt = endpoint.connections.lastUsedAt_;
  return lastUsedAt >= 0 && endpoint.requests.inFlight() == 0 ? clock_.now() - lastUsedAt : 0;
}

bool ConnectionReuse::isTooOld(const Endpoint& endpoint) const {
  Millis lastUsedAt = endpoint.connections.lastUsedAt_;
  return endpoint.requests.inFlight() == 0 && lastUsedAt >= 0 &&
         clock_.now() - lastUsedAt > reusableIdleTime_;
}

void ConnectionReuse::recordRequest(Endpoint& endpoint) {
  ConnectionUse& use = endpoint.connections;
  if (use.lastRequestAt_ >= 0) use.lastRequestInterval_ = clock_.now() - use.lastRequestAt_;
  use.lastRequestAt_ = clock_.now();
  ++requestCount_;
}

void ConnectionReuse::recordResult(const Attempt& attempt, const AttemptReport& result) {
  Millis minIdleTime = kMinShare * settings_.connectionIdleTimeout;
  // A new connection rejected without a report, where responses hold one: not by a rate limit, so the
  // endpoint's connection table is full.
  bool isTableFull = result.outcome == AttemptOutcome::rejected && pacer_.hasSeenLoadReport() &&
                     result.report.rateLimit < 0 && result.retryAfter <= 0 && attempt.connectionIdleTime <= 0;
  // A connection that fails where others complete: the same.
  const RouteRecovery& recovery = attempt.endpoint->route->recovery;
  isTableFull = isTableFull || (result.outcome == AttemptOutcome::connectFailed &&
                                recovery.lastSuccessAt() > clock_.now() - settings_.slowStartDuration);
  if (isTableFull) {
    reusableIdleTime_ *= kDecreaseFactor;
  } else if (attempt.connectionIdleTime > minIdleTime && result.outcome == AttemptOutcome::reset) {
    reusableIdleTime_ = std::min(reusableIdleTime_, kDecreaseFactor * attempt.connectionIdleTime);
  } else if (attempt.connectionIdleTime > kDecreaseFactor * reusableIdleTime_ &&
             result.outcome == AttemptOutcome::completed) {
    reusableIdleTime_ = std::min(settings_.connectionIdleTimeout, kIncreaseFactor * reusableIdleTime_);
  }
  reusableIdleTime_ = std::max(reusableIdleTime_, minIdleTime);
}

// A connection is kept only where the next request is expected while it is still good: after the last time
// between two requests there or, not known, by our requests spread over all endpoints.
Endpoint* ConnectionReuse::popToClose(std::size_t endpointCount) {
  while (!idleEndpoints_.empty()) {
    Endpoint& endpoint = *idleEndpoints_.front();
    idleEndpoints_.pop_front();
    const ConnectionUse& use = endpoint.connections;
    Millis averageInterval =
        clock_.uptime() * static_cast<double>(endpointCount) / std::max(1, requestCount_);
    Millis expectedInterval = use.lastRequestInterval_ >= 0 ? use.lastRequestInterval_ : averageInterval;
    if (endpoint.requests.inFlight() > 0 || use.lastUsedAt_ < 0 || expectedInterval <= reusableIdleTime_)
      continue;
    recordClosed(endpoint);
    return &endpoint;
  }
  return nullptr;
}

}  // namespace stonewing
