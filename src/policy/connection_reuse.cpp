#include "policy/connection_reuse.h"

#include <algorithm>

namespace stonewing {
namespace {

// Multiplies the reusable idle time when an endpoint's connection table is full or an idle connection was
// dead.
constexpr double kDecreaseFactor = 0.35;
// The shortest reusable idle time, as a share of the idle timeout. Connections that were hardly idle break
// too, which shows nothing about idle ones.
constexpr double kMinShare = 0.025;
// Multiplies the reusable idle time for each connection that worked after a long idle time.
constexpr double kIncreaseFactor = 1.1;

}  // namespace

Millis ConnectionReuse::idleTime(const Endpoint& endpoint) const {
  Millis lastUsedAt = endpoint.connections.lastUsedAt_;
  return lastUsedAt >= 0 && endpoint.requests.inFlight() == 0 ? clock_.now() - lastUsedAt : 0;
}

bool ConnectionReuse::isIdleTooLong(const Endpoint& endpoint) const {
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
  // The endpoint rejected a request on a new connection without a load report, although responses carry one:
  // the cause is a full connection table, not a rate limit.
  bool isTableFull = result.outcome == AttemptOutcome::rejected && pacer_.hasSeenLoadReport() &&
                     result.report.rateLimit < 0 && result.retryAfter <= 0 && attempt.connectionIdleTime <= 0;
  // A failed connection to a route where attempts have completed recently also shows a full connection table.
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

// An idle connection stays open only if the next request to its endpoint is expected within the reusable idle
// time. The expected interval is the time between the last two requests there. While that is unknown, it is
// the average interval if this dispatcher's requests were spread evenly over all endpoints.
Endpoint* ConnectionReuse::popEndpointToClose(std::size_t endpointCount) {
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
