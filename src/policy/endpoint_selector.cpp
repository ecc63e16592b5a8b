#include "policy/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "policy/idempotency.h"

namespace stonewing {
namespace {

// Requests that a route must have free below its limit for a hedge, which must not take the last one.
constexpr int kSpareRequestsForHedge = 2;

// A hedge avoids every endpoint that the message has an attempt at, other attempts only those where one is
// pending.
bool hasConflictingAttempt(const Message& message, const Endpoint& endpoint, AttemptKind kind) {
  return std::any_of(message.attempts.begin(), message.attempts.end(), [&](const Attempt& attempt) {
    return attempt.endpoint == &endpoint && (kind == AttemptKind::hedge || attempt.pending);
  });
}

}  // namespace

Endpoint* EndpointSelector::select(const Message& message, AttemptKind kind) {
  const std::vector<Endpoint*>& ranking = message.destination->ranking;
  auto rankingSize = static_cast<double>(ranking.size());
  Endpoint* best = nullptr;
  std::tuple<bool, bool, int> lowestCost;
  for (Endpoint* candidate : ranking) {
    const Endpoint& endpoint = *candidate;
    if (hasConflictingAttempt(message, endpoint, kind)) continue;
    if (!mayAttemptAt(settings_, message, endpoint, clock_.now())) continue;
    if (kind == AttemptKind::hedge && !mayHedgeAt(endpoint)) continue;
    if (!mayUseZone(endpoint) || !isAvailable(endpoint)) continue;
    // An endpoint that has its share of the route's limit in flight is used only after those that have less.
    int endpointShare = std::max(1, static_cast<int>(std::ceil(endpoint.route->limit.value() / rankingSize)));
    int inFlight = endpoint.requests.inFlight();
    bool hasFullShare = !mayJoinBatch(endpoint) && inFlight >= endpointShare;
    auto cost = std::tuple(outliers_.isEjected(endpoint), hasFullShare, hasFullShare ? inFlight : 0);
    if (best == nullptr || cost < lowestCost) {
      best = candidate;
      lowestCost = cost;
    }
  }
  return best;
}

bool EndpointSelector::mayHedgeAt(const Endpoint& endpoint) const {
  const Route& route = *endpoint.route;
  return !route.recovery.isLimited() && route.pacing.consecutiveRejections() <= 0 &&
         route.limit.value() >= route.requestsInFlight + kSpareRequestsForHedge &&
         !outliers_.isEjected(endpoint);
}

bool EndpointSelector::mayJoinBatch(const Endpoint& endpoint) const {
  const EndpointRequests& requests = endpoint.requests;
  if (requests.batchRound() != clock_.round() || requests.batchSize() >= endpoint.maxBatchSize) return false;
  return slowStart_.mayGrowBatch(*endpoint.route, requests.batchSize());
}

bool EndpointSelector::isAvailable(const Endpoint& endpoint) {
  if (mayJoinBatch(endpoint)) return true;
  Route& route = *endpoint.route;
  return pacer_.mayRequest(route) && slowStart_.mayRequest(route) &&
         limiter_.hasCapacity(route, endpoint, requests_.inFlight());
}

// A lost zone gets no attempts, a recovering zone as many as its ramp allows, and spillover from other zones
// is limited. The time from which an attempt is allowed may change with later events, so the policy checks
// again within an overload window.
bool EndpointSelector::mayUseZone(const Endpoint& endpoint) {
  return clock_.isReached(std::min(zones_.attemptAllowedFrom(endpoint.destination->id, endpoint.zone),
                                   clock_.now() + settings_.overloadWindow));
}

}  // namespace stonewing
