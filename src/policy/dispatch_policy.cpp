#include "policy/dispatch_policy.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <stdexcept>
#include <utility>

#include "policy/idempotency.h"

namespace stonewing {
namespace {

constexpr double kRetryDelayShare = 0.5;  // delay of a retry after an error, as a share of p50

// Whether the attempt reached no server that would have executed it.
bool isProvablyNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connectFailed || isUnsent(outcome);
}

// Whether the attempt was sent and may still be executed later.
bool isUncertain(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::reset ||
         outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::unattributed;
}

}  // namespace

DispatchPolicy::DispatchPolicy(DeploymentSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      zones_(settings_, hashId(seed)),
      latencies_(clock_, random_),
      healthCheckQueue_(clock_),
      pacer_(settings_, clock_, random_, latencies_),
      limiter_(settings_, clock_, pacer_),
      slowStart_(settings_, clock_, random_, pacer_, healthCheckQueue_),
      outliers_(settings_, clock_, latencies_, healthCheckQueue_, zones_),
      endpoints_(settings_, clock_, zones_, limiter_),
      requests_(clock_),
      connections_(settings_, clock_, pacer_),
      trust_(clock_),
      plausibility_(clock_),
      listChanges_(clock_, settings_.drainGrace),
      healthChecker_(settings_, clock_, healthCheckQueue_, endpoints_, outliers_, slowStart_, zones_),
      ordering_(settings_, clock_),
      messages_(clock_, zones_, ordering_),
      quota_(settings_, clock_),
      retryBudget_(settings_),
      forecast_(settings_, clock_, slowStart_),
      shedder_(settings_, clock_, random_, forecast_, zones_, messages_),
      canceller_(settings_, clock_, latencies_, outliers_, requests_, messages_),
      selector_(settings_, clock_, requests_, limiter_, pacer_, slowStart_, outliers_, zones_),
      hedging_(settings_, clock_, latencies_, requests_, retryBudget_, messages_, selector_),
      scheduler_(settings_, clock_, latencies_, messages_, ordering_, selector_) {}

PolicyState DispatchPolicy::state() const {
  return {.messages = messages_.all(),
          .endpoints = endpoints_.endpoints(),
          .routes = endpoints_.routes(),
          .destinations = endpoints_.destinations(),
          .zones = zones_,
          .orderedQueueCount = ordering_.queueCount(),
          .messagesInFlight = messages_.inFlight(),
          .requestsInFlight = requests_.inFlight(),
          .reusableIdleTime = connections_.reusableIdleTime(),
          .timeoutScale = canceller_.timeoutScale()};
}

void DispatchPolicy::beginRound(Millis now) { clock_.beginRound(now); }

void DispatchPolicy::recordTimerFired() { clock_.recordTimerFired(); }

void DispatchPolicy::beginEndpointList() { endpoints_.beginList(); }

void DispatchPolicy::addEndpoint(EndpointId id, DestinationId destination, KindId kind, ZoneId zone,
                                 double weight, EndpointState state) {
  endpoints_.add(id, destination, kind, zone, weight, state);
}

void DispatchPolicy::commitEndpointList(bool isComplete) {
  clock_.requireScan();
  endpoints_.commitList(isComplete ? ListScope::complete : ListScope::partial);
  for (const auto& [id, endpoint] : endpoints_.endpoints()) {
    bool isImpaired = endpoint.route->recovery.isOutage() || endpoint.failures.consecutiveFailures() > 0;
    if (endpoint.state == EndpointState::ready && isImpaired) healthCheckQueue_.add(id);
  }
  for (auto& [id, route] : endpoints_.routes()) pacer_.beginPacing(route);
  shedder_.resetScan();
  eraseUnusedState();
}

void DispatchPolicy::eraseUnusedState() {
  const std::deque<Endpoint*>& idle = connections_.idleEndpoints();
  std::set<const Endpoint*> inUse(idle.begin(), idle.end());
  for (const auto& [id, message] : messages_.all()) {
    for (const Attempt& attempt : message.attempts) inUse.insert(attempt.endpoint);
  }
  endpoints_.eraseRemoved(inUse);
  ordering_.eraseUnused();
}

void DispatchPolicy::acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                                   DestinationId destination, Millis deadline) {
  // The adapter sends this text to its client, so the text keeps the terms of that protocol.
  if (type.value >= settings_.types.size()) throw std::out_of_range("a callback of an unknown traffic type");
  Message& message = messages_.accept(id, type, tenant, key, endpoints_.destination(destination), deadline);
  message.overQuota = quota_.recordAccepted(tenant);
  ordering_.recordAccepted(id, message);
  messages_.updateIndexes(id, message);
  shedder_.resetScan();
}

// After a restart, an attempt that was pending may have been executed. So it counts for idempotency and for
// the number of attempts.
void DispatchPolicy::recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt,
                                          bool provablyNotExecuted) {
  Message& message = messages_.at(id);
  message.attempts.push_back({.endpoint = &endpoints_.at(endpoint),
                              .sentAt = sentAt,
                              .pending = false,
                              .provablyNotExecuted = provablyNotExecuted});
  if (!provablyNotExecuted) ordering_.recordEarlierAttempt(message);
  shedder_.recordEarlierAttempt(id);
  messages_.updateIndexes(id, message);
}

void DispatchPolicy::cancelMessage(MessageId id) { messages_.finish(id); }

void DispatchPolicy::recordConnectionIdleTime(MessageId id, int attempt, Millis idleTime) {
  if (Message* message = messages_.find(id))
    message->attempts.at(static_cast<std::size_t>(attempt)).connectionIdleTime = idleTime;
}

void DispatchPolicy::recordSendTime(MessageId id, int attempt) {
  if (Message* message = messages_.find(id))
    message->attempts.at(static_cast<std::size_t>(attempt)).sentAt = clock_.now();
}

void DispatchPolicy::recordResponseStarted(MessageId id, int attempt) {
  if (findAttempt(id, attempt) != nullptr) messages_.at(id).responseStarted = true;
}

Attempt* DispatchPolicy::findAttempt(MessageId id, int attempt) {
  Message* message = messages_.find(id);
  if (message == nullptr || attempt >= static_cast<int>(message->attempts.size())) return nullptr;
  return &message->attempts[static_cast<std::size_t>(attempt)];
}

void DispatchPolicy::recordAttemptOutcome(MessageId id, int attemptNumber, AttemptOutcome outcome,
                                          Millis latency, bool isFinal, Millis retryAfter,
                                          LoadReport report) {
  Attempt* attempt = findAttempt(id, attemptNumber);
  if (attempt == nullptr || !attempt->pending) return;
  Message& message = messages_.at(id);
  AttemptReport result{outcome, latency, retryAfter, report};
  attempt->pending = message.responseStarted = false;
  attempt->provablyNotExecuted = isProvablyNotExecuted(outcome);
  clock_.requireScan();
  if (Endpoint* idleEndpoint = requests_.endAttempt(*attempt)) connections_.addIdleEndpoint(*idleEndpoint);
  zones_.recordAttemptEnd(attempt->isSpillover);
  connections_.recordAttemptEnd(*attempt->endpoint);
  applyResult(message, *attempt, result);
  if (isUncertain(outcome)) ordering_.recordUncertainOutcome(message);
  message.retryNotBefore = clock_.now() + retryDelay(message, *attempt, result);
  messages_.updateIndexes(id, message);
  shedder_.recordAttemptEnd(id, message);
  if (outcome != AttemptOutcome::cancelled && !isUnsent(outcome)) resetScans();
  if (isFinal || outcome == AttemptOutcome::completed) messages_.finish(id);
  messages_.eraseFinished(id);
}

// Updates the state of the connection, the endpoint and its route by the result of an attempt.
void DispatchPolicy::applyResult(const Message& message, const Attempt& attempt,
                                 const AttemptReport& result) {
  Endpoint& endpoint = *attempt.endpoint;
  Route& route = *endpoint.route;
  connections_.recordResult(attempt, result);
  pacer_.recordLoadReport(route, endpoint, result.report);
  // Recorded for every outcome: a response that rejects only some messages of its batch may ask for a delay
  // too.
  pacer_.recordRetryAfter(route, result.retryAfter);
  if (result.outcome == AttemptOutcome::completed) {
    recordSuccess(endpoint, attempt.sentAt, result.latency);
    return;
  }
  if (result.outcome == AttemptOutcome::rejected) {
    applyRejection(attempt, result);
    return;
  }
  bool showsNothing = result.outcome == AttemptOutcome::cancelled ||
                      result.outcome == AttemptOutcome::unattributed || isUnsent(result.outcome);
  if (showsNothing) return;
  if (isStaleConnection(message, attempt, result)) return;
  // An attempt that timed out at the message's deadline may only have been sent late. It counts as a failure
  // only if a response would have been late by then.
  bool timedOutAtDeadline = result.outcome == AttemptOutcome::timeout && clock_.now() >= message.deadline;
  Millis lateThreshold = latencies_.lateThreshold(route, trafficTypeOf(settings_, message));
  if (timedOutAtDeadline && clock_.now() - attempt.sentAt <= lateThreshold) return;
  recordFailure(endpoint, attempt.sentAt, result.outcome);
}

// A rejection without a load report, by a route whose responses carry one, comes from this endpoint alone and
// not from the route's rate limit.
void DispatchPolicy::applyRejection(const Attempt& attempt, const AttemptReport& result) {
  Endpoint& endpoint = *attempt.endpoint;
  const Route& route = *endpoint.route;
  bool isByEndpointAlone =
      result.report.rateLimit < 0 && route.pacing.reportedRateLimit() >= 0 && result.retryAfter <= 0;
  if (isByEndpointAlone && route.endpoints.size() > 1) {
    outliers_.recordFailure(endpoint, result.outcome);
  } else {
    recordRejection(endpoint, attempt.sentAt, result.retryAfter);
  }
}

// A reset on a reused connection, sooner than a response usually comes, shows that the connection had already
// ended. It shows nothing about the endpoint.
bool DispatchPolicy::isStaleConnection(const Message& message, const Attempt& attempt,
                                       const AttemptReport& result) const {
  if (result.outcome != AttemptOutcome::reset || attempt.connectionIdleTime <= 0) return false;
  const TrafficType& type = trafficTypeOf(settings_, message);
  return result.latency < latencies_.typicalLatency(*attempt.endpoint->route, type).p50;
}

Millis DispatchPolicy::retryDelay(const Message& message, const Attempt& attempt,
                                  const AttemptReport& result) const {
  if (isStaleConnection(message, attempt, result)) return 0;
  // A host that lacked a resource may still lack it, so the retry is delayed although nothing was executed.
  if (attempt.provablyNotExecuted && result.outcome != AttemptOutcome::localResourceExhausted) return 0;
  const TrafficType& type = trafficTypeOf(settings_, message);
  return kRetryDelayShare * latencies_.typicalLatency(*attempt.endpoint->route, type).p50;
}

void DispatchPolicy::recordSuccess(Endpoint& endpoint, Millis sentAt, Millis latency) {
  Route& route = *endpoint.route;
  if (LatencyTracker::isLate(route, latency)) {
    limiter_.decrease(route, sentAt);
  } else {
    limiter_.recordTimelyResponse(route);
  }
  latencies_.recordSuccess(endpoint, route, latency);
  canceller_.recordSuccess();
  outliers_.recordDelivery(endpoint);
  slowStart_.recordSuccess(route, sentAt);
  pacer_.recordSuccess(route, sentAt);
}

void DispatchPolicy::recordFailure(Endpoint& endpoint, Millis sentAt, AttemptOutcome outcome) {
  outliers_.recordFailure(endpoint, outcome);
  // An error or a reset shows nothing about the load.
  if (outcome == AttemptOutcome::connectFailed || outcome == AttemptOutcome::timeout)
    limiter_.decrease(*endpoint.route, sentAt);
  slowStart_.recordFailure(*endpoint.route, sentAt, outcome);
}

void DispatchPolicy::recordRejection(Endpoint& endpoint, Millis sentAt, Millis retryAfter) {
  outliers_.restartEjection(endpoint);
  limiter_.decrease(*endpoint.route, sentAt);
  pacer_.recordRejection(*endpoint.route, retryAfter, sentAt);
  slowStart_.recordRejection(*endpoint.route, retryAfter);
}

void DispatchPolicy::recordHealthCheckOutcome(EndpointId id, AttemptOutcome outcome, LoadReport report) {
  Endpoint* endpoint = endpoints_.find(id);
  if (endpoint == nullptr) return;
  Route& route = *endpoint->route;
  healthChecker_.recordOutcome(route);
  shedder_.resetScan();
  if (outcome == AttemptOutcome::localResourceExhausted) {
    outliers_.restartEjection(*endpoint);
    return;
  }
  pacer_.recordLoadReport(route, *endpoint, report);
  if (outcome == AttemptOutcome::completed) {
    slowStart_.recordHealthCheckSuccess(route, *endpoint);
    outliers_.recordHealthCheckSuccess(*endpoint);
  } else {
    slowStart_.recordHealthCheckFailure(route);
    outliers_.recordHealthCheckFailure(*endpoint);
  }
}

// A response changes the latencies and times of success that pending attempts are compared with, so the
// modules have to scan the pending attempts again.
void DispatchPolicy::resetScans() {
  outliers_.resetScan();
  canceller_.resetScan();
  hedging_.resetScan();
}

bool DispatchPolicy::mayStartAttempt(MessageId id, int attemptNumber) const {
  const Message* message = messages_.find(id);
  if (message == nullptr || message->finished || !listChanges_.mayBeginAttempts()) return false;
  const Attempt& attempt = message->attempts.at(static_cast<std::size_t>(attemptNumber));
  const Endpoint& endpoint = *attempt.endpoint;
  return endpoint.state == EndpointState::ready && clock_.now() >= endpoint.route->pacing.retryAfterUntil() &&
         mayStillAttempt(settings_, *message, attempt, clock_.now());
}

void DispatchPolicy::recordResponse(EndpointId id, const ResponseArrival& response, ResponseProof proof) {
  if (Endpoint* endpoint = endpoints_.find(id)) plausibility_.recordResponse(*endpoint, response, proof);
}

void DispatchPolicy::recordUnexpectedBytes(EndpointId id) {
  trust_.recordUnexpectedBytes(id);
  if (Endpoint* endpoint = endpoints_.find(id)) ResponsePlausibility::recordUnexpectedBytes(*endpoint);
}

void DispatchPolicy::recordRetryAfter(EndpointId id, Millis retryAfter) {
  if (Endpoint* endpoint = endpoints_.find(id)) pacer_.recordRetryAfter(*endpoint->route, retryAfter);
  shedder_.resetScan();
}

std::optional<Millis> DispatchPolicy::quietBeforeReuse(EndpointId id) const {
  const Endpoint* endpoint = endpoints_.find(id);
  if (endpoint != nullptr && ResponsePlausibility::needsProof(*endpoint)) return std::nullopt;
  return trust_.quietBeforeReuse(id, endpoints_.endpoints().size());
}

ResponseDoubt DispatchPolicy::responseDoubt(MessageId id, int attemptNumber, AttemptOutcome outcome,
                                            bool isFinal) const {
  const Message* message = messages_.find(id);
  if (message == nullptr || message->finished) return {};
  const TrafficType& type = trafficTypeOf(settings_, *message);
  ResponseHandling handling = handlingOf(type, outcome, isFinal);
  if (handling == ResponseHandling::conclude) return {};
  const Attempt& attempt = message->attempts.at(static_cast<std::size_t>(attemptNumber));
  return {handling, confirmationTime(handling, latencies_.typicalP95(*attempt.endpoint, type))};
}

bool DispatchPolicy::isResponseTooEarly(EndpointId id, const ResponseArrival& response) const {
  const Endpoint* endpoint = endpoints_.find(id);
  return endpoint != nullptr && ResponsePlausibility::isTooEarly(*endpoint, response);
}

// Of an endpoint that is not known any more, nothing could show that it responds.
bool DispatchPolicy::confirmResponse(EndpointId id, const ResponseArrival& response) {
  Endpoint* endpoint = endpoints_.find(id);
  return endpoint == nullptr || plausibility_.confirm(*endpoint, response);
}

// Asks the modules in the order of urgency: first for final answers to clients, then for cancellations, which
// free requests, then for attempts and health checks, which occupy requests.
std::optional<Decision> DispatchPolicy::nextDecision() {
  outliers_.detectUnresponsive(messages_, slowStart_);
  if (auto decision = shedder_.nextDueEnd()) return decision;
  if (auto decision = shedder_.nextEviction()) return decision;
  if (auto decision = canceller_.nextLosing()) return decision;
  if (auto decision = canceller_.nextStuck()) return decision;
  if (listChanges_.mayBeginAttempts()) {
    if (auto decision = nextHedge()) return decision;
    if (auto decision = nextAttempt()) return decision;
  }
  if (auto decision = nextIdleConnection()) return decision;
  if (auto decision = healthChecker_.next()) return decision;
  return nextTimer();
}

std::optional<Decision> DispatchPolicy::nextHedge() {
  std::optional<PlannedAttempt> planned = hedging_.next();
  if (!planned) return std::nullopt;
  return sendAttempt(*planned, AttemptKind::hedge);
}

std::optional<Decision> DispatchPolicy::nextAttempt() {
  std::optional<PlannedAttempt> planned = scheduler_.next();
  if (!planned) return std::nullopt;
  Endpoint& endpoint = *planned->endpoint;
  if (connections_.isIdleTooLong(endpoint)) {
    connections_.recordClosed(endpoint);
    return CloseIdleConnection{endpoint.id};
  }
  return sendAttempt(*planned, AttemptKind::regular);
}

std::optional<Decision> DispatchPolicy::nextIdleConnection() {
  const Endpoint* endpoint = connections_.popEndpointToClose(endpoints_.endpoints().size());
  if (endpoint == nullptr) return std::nullopt;
  return CloseIdleConnection{endpoint->id};
}

std::optional<Decision> DispatchPolicy::nextTimer() {
  std::optional<Millis> wakeAt = clock_.endRound();
  if (!wakeAt) return std::nullopt;
  return SetTimer{*wakeAt};
}

Decision DispatchPolicy::sendAttempt(const PlannedAttempt& planned, AttemptKind kind) {
  Message& message = messages_.at(planned.message);
  Endpoint& endpoint = *planned.endpoint;
  const Route& route = *endpoint.route;
  Millis idleTime = connections_.idleTime(endpoint);
  joinOrOpenRequest(endpoint);
  if (message.attempts.empty()) {
    retryBudget_.recordFirstAttempt();
  } else if (kind == AttemptKind::hedge || mayHaveExecuted(message)) {
    retryBudget_.recordRetry();
  }
  Millis timeout = canceller_.attemptTimeout(message, route);
  message.hedged = message.hedged || kind == AttemptKind::hedge;
  bool isSpillover = zones_.recordAttempt(clock_.now(), endpoint.destination->id, endpoint.zone);
  message.attempts.push_back({.endpoint = &endpoint,
                              .sentAt = clock_.now(),
                              .connectionIdleTime = idleTime,
                              .requestId = endpoint.requests.batchRequestId(),
                              .isHedge = kind == AttemptKind::hedge,
                              .isSpillover = isSpillover});
  messages_.updateIndexes(planned.message, message);
  clock_.wakeAt(clock_.now() + outliers_.unresponsiveAfter(route, trafficTypeOf(settings_, message)));
  clock_.recordAttemptSent();
  int attemptNumber = static_cast<int>(message.attempts.size()) - 1;
  return SendAttempt{planned.message, endpoint.id, attemptNumber, timeout};
}

// Adds a message to the request opened at the endpoint in this round, or opens a new request.
void DispatchPolicy::joinOrOpenRequest(Endpoint& endpoint) {
  Route& route = *endpoint.route;
  if (selector_.mayJoinBatch(endpoint)) {
    requests_.join(endpoint);
    slowStart_.recordBatchedMessage(route);
    return;
  }
  requests_.open(endpoint);
  connections_.recordRequest(endpoint);
  slowStart_.recordSend(route);
  pacer_.recordRequest(route);
}

}  // namespace stonewing
