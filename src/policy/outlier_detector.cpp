#include "policy/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

constexpr double kUnresponsiveFactor = 3;      // multiple of p95 without a response: the attempt is overdue
constexpr double kMinP95ObjectiveShare = 0.3;  // of the latency objective; a lower p95 counts as this much
// An endpoint counts as unresponsive after this many attempts were cancelled since its last response.
constexpr int kUnresponsiveTimeouts = 4;

}  // namespace

void OutlierDetector::recordFailure(Endpoint& endpoint, AttemptOutcome outcome) {
  int weight = outcome == AttemptOutcome::connectFailed ? kFailuresToEject : 1;
  recordFailures(endpoint, endpoint.failures.consecutiveFailures_ + weight);
}

void OutlierDetector::recordHealthCheckFailure(Endpoint& endpoint) {
  recordFailures(endpoint, endpoint.failures.consecutiveFailures_ + 1);
}

void OutlierDetector::recordFailures(Endpoint& endpoint, int consecutiveFailures) {
  endpoint.failures.consecutiveFailures_ = consecutiveFailures;
  endpoint.failures.lastFailureAt_ = clock_.now();
  healthChecks_.add(endpoint.id);
  zones_.recordFailures(clock_.now(), endpoint.id, endpoint.destination->id, endpoint.zone,
                        consecutiveFailures);
}

void OutlierDetector::recordDelivery(Endpoint& endpoint) {
  recordSuccess(endpoint);
  zones_.recordSuccess(clock_.now(), endpoint.id, endpoint.zone, true);
  endpoint.failures.lastSuccessAt_ = clock_.now();
}

void OutlierDetector::recordHealthCheckSuccess(Endpoint& endpoint) {
  recordSuccess(endpoint);
  zones_.recordSuccess(clock_.now(), endpoint.id, endpoint.zone, false);
}

void OutlierDetector::recordSuccess(Endpoint& endpoint) const {
  FailureHistory& failures = endpoint.failures;
  failures.consecutiveFailures_ = failures.consecutiveTimeouts_ = 0;
  failures.unresponsive_ = false;
}

void OutlierDetector::recordTimeout(Endpoint& endpoint, Millis sentAt) const {
  if (endpoint.failures.consecutiveTimeouts_++ == 0) endpoint.failures.firstTimeoutSentAt_ = sentAt;
}

bool OutlierDetector::isEjected(const Endpoint& endpoint) const {
  if (endpoint.failures.consecutiveFailures_ < kFailuresToEject) return false;
  return settings_.mayHealthCheck || clock_.now() < ejectionEndsAt(endpoint) ||
         endpoint.requests.inFlight() > 0;
}

Millis OutlierDetector::ejectionEndsAt(const Endpoint& endpoint) const {
  const FailureHistory& failures = endpoint.failures;
  return failures.lastFailureAt_ +
         std::min(settings_.slowStartDuration, settings_.overloadWindow * failures.consecutiveFailures_);
}

Millis OutlierDetector::unresponsiveAfter(const Route& route, const TrafficType& type) const {
  return kUnresponsiveFactor *
         std::max(latencies_.typicalLatency(route, type).p95, kMinP95ObjectiveShare * type.latencyObjective);
}

void OutlierDetector::detectUnresponsive(const MessageRegistry& messages, SlowStart& slowStart) {
  if (clock_.canSkipScan() || std::exchange(scannedRound_, clock_.round()) == clock_.round()) return;
  for (MessageId id : messages.withPendingAttempts()) {
    const Message& message = messages.at(id);
    for (const Attempt& attempt : message.attempts) {
      if (!attempt.pending || message.responseStarted) continue;
      Millis threshold = unresponsiveAfter(*attempt.endpoint->route, trafficTypeOf(settings_, message));
      checkAttempt(attempt, threshold, slowStart);
    }
  }
}

void OutlierDetector::checkAttempt(const Attempt& attempt, Millis threshold, SlowStart& slowStart) {
  Endpoint& endpoint = *attempt.endpoint;
  Route& route = *endpoint.route;
  FailureHistory& failures = endpoint.failures;
  bool isOverdue = clock_.isReached(attempt.sentAt + threshold);
  if (isOverdue && !route.recovery.isOutage() && route.recovery.lastSuccessAt() <= attempt.sentAt)
    slowStart.recordUnresponsive(route);
  // One endpoint of several may hang while the others respond. This shows in an attempt that is still pending
  // after the threshold has passed without a success of the endpoint, or in several attempts cancelled since
  // its last response. Without the second rule, a hung endpoint would go undetected while all concurrent
  // requests are in use: attempts are then cancelled before any of them has been pending for that long.
  Millis since = failures.consecutiveTimeouts_ >= kUnresponsiveTimeouts
                     ? std::min(failures.firstTimeoutSentAt_, attempt.sentAt)
                     : attempt.sentAt;
  int requiredRequests = failures.lastSuccessAt_ <= since ? 1 : kFailuresToEject;
  if (failures.unresponsive_ || endpoint.requests.inFlight() < requiredRequests) return;
  if (!clock_.isReached(std::max(since, failures.lastSuccessAt_) + threshold)) return;
  failures.unresponsive_ = true;
  recordFailures(endpoint, std::max(failures.consecutiveFailures_, kFailuresToEject));
  if (!route.recovery.isOutage() && route.recovery.lastSuccessAt() <= since &&
      route.hasAllFailed(kFailuresToEject))
    slowStart.recordUnresponsive(route);
}

}  // namespace stonewing
