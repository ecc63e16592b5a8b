#include "policy/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

constexpr double kSilenceFactor = 3;               // without a response for so many p95: silent
constexpr double kMinSilenceObjectiveShare = 0.3;  // p95 counts as at least this much of the objective
constexpr int kTimeoutsOfSilence = 4;  // attempts cancelled since its last response that count as silence

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

Millis OutlierDetector::silenceThreshold(const Route& route, const TrafficType& type) const {
  return kSilenceFactor * std::max(latencies_.typicalLatency(route, type).p95,
                                   kMinSilenceObjectiveShare * type.latencyObjective);
}

void OutlierDetector::detectUnresponsive(const MessageRegistry& messages, SlowStart& slowStart) {
  if (clock_.isQuiet() || std::exchange(scannedRound_, clock_.round()) == clock_.round()) return;
  for (MessageId id : messages.withPendingAttempts()) {
    const Message& message = messages.at(id);
    for (const Attempt& attempt : message.attempts) {
      if (!attempt.pending || message.responseStarted) continue;
      Millis silence = silenceThreshold(*attempt.endpoint->route, trafficTypeOf(settings_, message));
      checkAttempt(attempt, silence, slowStart);
    }
  }
}

void OutlierDetector::checkAttempt(const Attempt& attempt, Millis silence, SlowStart& slowStart) {
  Endpoint& endpoint = *attempt.endpoint;
  Route& route = *endpoint.route;
  FailureHistory& failures = endpoint.failures;
  bool isSilent = clock_.isReached(attempt.sentAt + silence);
  if (isSilent && !route.recovery.isOutage() && route.recovery.lastSuccessAt() <= attempt.sentAt)
    slowStart.recordSilence(route);
  // One endpoint of several hangs: by a request that no later one overtook, or by several cancelled since its
  // last response. Without the latter, with all concurrent requests in use, attempts would be cancelled
  // before one is pending for long enough.
  Millis since = failures.consecutiveTimeouts_ >= kTimeoutsOfSilence
                     ? std::min(failures.firstTimeoutSentAt_, attempt.sentAt)
                     : attempt.sentAt;
  int enoughRequests = failures.lastSuccessAt_ <= since ? 1 : kFailuresToEject;
  if (failures.unresponsive_ || endpoint.requests.inFlight() < enoughRequests) return;
  if (!clock_.isReached(std::max(since, failures.lastSuccessAt_) + silence)) return;
  failures.unresponsive_ = true;
  recordFailures(endpoint, std::max(failures.consecutiveFailures_, kFailuresToEject));
  if (!route.recovery.isOutage() && route.recovery.lastSuccessAt() <= since &&
      route.hasAllFailed(kFailuresToEject))
    slowStart.recordSilence(route);
}

}  // namespace stonewing
