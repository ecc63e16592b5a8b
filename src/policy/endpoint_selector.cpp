#include "policy/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "policy/idempotency.h"

namespace stonewing {
namespace {

constexpr int kSpareRequestsForHedge = 2;  // below the limit; a hedge must not fill a route

bool wasUsed(const Message& message, const Endpoint& endpoint, AttemptKind kind) {
  return std::any_of(message.attempts.begin(), message.attempts.end(), [&](const Attempt& attempt) {
    return attempt.endpoint == &endpoint && (kind == AttemptKind::hedge || attempt.pending);
  });
}

}  // namespace

Endpoint* EndpointSelector::select(const Message& message, AttemptKind kind) {
  const std::vector<Endpoint*>& ranking = message.destination->ranking;
  auto rankingSize = static_cast<double>(ranking.size());
  Endpoint* best = nullptr;
  std::tuple<bool, bool, int> bestPlace;
  for (Endpoint* candidate : ranking) {
    const Endpoint& endpoint = *candidate;
    if (wasUsed(message, endpoint, kind)) continue;
    if (!mayAttemptAt(settings_, message, endpoint, clock_.now())) continue;
    if (kind == AttemptKind::hedge && !isFitForHedge(endpoint)) continue;
    if (!mayUseZone(endpoint) || !isOpen(endpoint)) continue;
    // An endpoint's part of the limit is enough for it; beyond that the next in the ranking goes first.
    int enough = std::max(1, static_cast<int>(std::ceil(endpoint.route->limit.value() / rankingSize)));
    int inFlight = endpoint.requests.inFlight();
    bool hasEnough = !mayJoinBatch(endpoint) && inFlight >= enough;
    auto place = std::tuple(outliers_.isEjected(endpoint), hasEnough, hasEnough ? inFlight : 0);
    if (best == nullptr || place < bestPlace) {
      best = candidate;
      bestPlace = place;
    }
  }
  return best;
}

bool EndpointSelector::isFitForHedge(const Endpoint& endpoint) const {
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

bool EndpointSelector::isOpen(const Endpoint& endpoint) {
  if (mayJoinBatch(endpoint)) return true;
  Route& route = *endpoint.route;
  return pacer_.mayRequest(route) && slowStart_.mayRequest(route) &&
         limiter_.hasCapacity(route, endpoint, requests_.inFlight());
}

// A lost zone gets nothing, one that returns is fed along its ramp, and messages of other zones keep to their
// part of a zone. How long a message has to wait is not known, so it is asked again within an overload
// window.
bool EndpointSelector::mayUseZone(const Endpoint& endpoint) {
  return clock_.isReached(std::min(zones_.attemptAllowedFrom(endpoint.destination->id, endpoint.zone),
                                   clock_.now() + settings_.overloadWindow));
}

}  // namespace stonewing
