#include "delivery/attempt_sender.h"

#include <algorithm>
#include <set>
#include <utility>

#include "delivery/request_writer.h"

namespace stonewing {
namespace {

// Time limit for the remainder of a response after its beginning, in milliseconds; endpoints write a response
// in one go. Without this limit, a response head that does not end, or a body shorter than announced, would
// occupy the request and its share of the concurrency limit, and use up the time of its messages, until the
// attempt times out.
constexpr Millis kResponseCompletionMs = 250;

EndpointConnection& endpointConnection(HttpClientConnection& httpConnection) {
  return static_cast<EndpointConnection&>(httpConnection);  // the pool creates no other type
}

// The first response on a connection can only belong to its request. Any later one may be the repeat of an
// earlier response.
ResponseProof proofOf(const EndpointConnection& connection) {
  return connection.exchangeCount() == 1 ? ResponseProof::certain : ResponseProof::byOrderAlone;
}

}  // namespace

AttemptSender::AttemptSender(EventLoop& loop, DispatchPolicy& policy, MessageStore& store,
                             const DiscoveryClient& discovery, const DeploymentSettings& settings,
                             const NameTables& names, ConnectionLimits limits)
    : loop_(loop),
      policy_(policy),
      store_(store),
      discovery_(discovery),
      mayHedge_(settings.mayHedge),
      log_(discovery),
      recorder_(loop, policy, store, names, log_),
      confirmer_(loop, policy, store, recorder_, log_),
      requestJournal_(store, discovery),
      pool_(loop, *this, policy, settings, names, limits, log_) {}

void AttemptSender::sendAttempt(const SendAttempt& decision) {
  const StoredMessage* message = store_.find(decision.message);
  const auto& attempts = policy_.state().messages.at(decision.message).attempts;
  int request = attempts.at(static_cast<std::size_t>(decision.attempt)).requestId;
  Batch& batch = gatheredBatches_[request];
  batch.endpoint = decision.endpoint;
  batch.attempts.push_back({decision.message, decision.attempt, loop_.now() + decision.timeout,
                            message != nullptr ? message->reference : ""});
}

void AttemptSender::recordRequests() {
  for (auto& [request, batch] : std::exchange(gatheredBatches_, {})) assignConnection(std::move(batch));
  requestJournal_.recordReady();
}

void AttemptSender::assignConnection(Batch batch) {
  EndpointConnection& connection =
      pool_.acquire(batch.endpoint, discovery_.find(batch.endpoint), ConnectionPool::Reuse::nowOrSoon);
  // Endpoints store a batch under the id of its first message. If that message finished while the request
  // waited at the endpoint, the other messages counted as never delivered, although the response reported ok
  // for each of them. So the message with the latest time-out, which finishes last, is the first of the
  // batch.
  std::stable_sort(
      batch.attempts.begin(), batch.attempts.end(),
      [](const BatchedAttempt& a, const BatchedAttempt& b) { return a.timeoutAt > b.timeoutAt; });
  connection.attempts() = std::move(batch.attempts);
  connection.setSentAt(loop_.now());
  Millis idleTime = connection.isConnected() ? loop_.now() - connection.lastUsedAt() : 0;
  for (const BatchedAttempt& attempt : connection.attempts()) {
    log_.attemptSent(connection, attempt, loop_.now());
    policy_.recordConnectionIdleTime(attempt.message, attempt.attempt, idleTime);
    connectionOfAttempt_[{attempt.message, attempt.attempt}] = &connection;
  }
  bool isReady = connection.isConnected() && !connection.isWaitingForQuiet(loop_.now());
  if (!isReady) return pool_.update(connection);
  connection.setReadyAt(loop_.now());
  requestJournal_.add(connection);
}

// Called once the connection is ready, which may be long after its request was decided. By then the endpoint
// may be draining or may have sent a Retry-After, or the deduplication window of a retry may have ended. Such
// attempts are not sent. Returns false if none is left, and the connection was released.
bool AttemptSender::prepareRequest(EndpointConnection& connection) {
  if (!leadsToItsEndpoint(connection)) {
    finishAllAndRelease(connection, AttemptOutcome::notSent, CloseCause::notSent);
    return false;
  }
  for (BatchedAttempt& attempt : connection.attempts()) {
    if (attempt.isFinished() || policy_.mayStartAttempt(attempt.message, attempt.attempt)) continue;
    finishAttempt(connection, attempt, {AttemptOutcome::notSent});
  }
  connection.removeFinishedAttempts();
  if (connection.attempts().empty()) {
    release(connection, CloseCause::notSent);
    return false;
  }
  connection.setReadyAt(loop_.now());
  pool_.suspend(connection);
  requestJournal_.add(connection);
  return true;
}

void AttemptSender::sendRequests() {
  for (EndpointConnection* connection : requestJournal_.takeCommitted()) sendRequest(*connection);
}

bool AttemptSender::cancelUnsent(MessageId message) {
  const StoredMessage* stored = store_.find(message);
  if (stored == nullptr) return false;
  std::set<EndpointConnection*> connections;
  constexpr int kFirstAttempt = 0;
  auto first = connectionOfAttempt_.lower_bound({message, kFirstAttempt});
  for (auto entry = first; entry != connectionOfAttempt_.end() && entry->first.first == message; ++entry) {
    connections.insert(entry->second);
  }
  auto hasBegun = [](const EndpointConnection* connection) { return connection->isBusy(); };
  if (std::any_of(connections.begin(), connections.end(), hasBegun)) return false;
  if (hasSentAttempt(message, *stored)) return false;
  for (EndpointConnection* connection : connections) cancelUnsentOn(*connection, message);
  return true;
}

// Whether a request of the message was sent that may have been executed. The attempts whose requests wait on
// a connection are not among them.
bool AttemptSender::hasSentAttempt(MessageId id, const StoredMessage& message) const {
  return std::any_of(message.attempts.begin(), message.attempts.end(), [&](const AttemptRecord& attempt) {
    return !attempt.provablyNotExecuted && !connectionOfAttempt_.contains({id, attempt.number});
  });
}

void AttemptSender::cancelUnsentOn(EndpointConnection& connection, MessageId message) {
  for (BatchedAttempt& attempt : connection.attempts()) {
    if (attempt.message != message || attempt.isFinished()) continue;
    finishAttempt(connection, attempt, {AttemptOutcome::notSent});
  }
  if (connection.areAllAttemptsFinished()) release(connection, CloseCause::cancelled);
}

void AttemptSender::sendRequest(EndpointConnection& connection) {
  connection.removeFinishedAttempts();
  if (connection.attempts().empty()) return release(connection, CloseCause::cancelled);
  if (!connection.hasFailedToStart()) {
    if (!connection.isReusable()) return abandonUnusable(connection);
    if (!isStillSendable(connection)) {
      return finishAllAndRelease(connection, AttemptOutcome::notSent, CloseCause::notSent);
    }
    recordDelayedSend(connection);
    writeRequest(connection);
    connection.startExchange();
  }
  pool_.update(connection);
}

// The connection has ended since it was chosen or established, and the attempts would count as possibly
// executed; or the endpoint has sent unrequested bytes on it, which would count as the response. A new
// connection that ends before its first request counts as one that could not be established.
void AttemptSender::abandonUnusable(EndpointConnection& connection) {
  bool isNewConnection = connection.exchangeCount() == 0;
  handleUnreadBytes(connection);
  finishAllAndRelease(connection, isNewConnection ? AttemptOutcome::connectFailed : AttemptOutcome::notSent,
                      isNewConnection ? CloseCause::connectFailed : CloseCause::notSent);
}

// Whether the process that the connection was opened to is still that of its endpoint. Another one may listen
// at the address by now, for another destination or without the memory of what the first has executed.
bool AttemptSender::leadsToItsEndpoint(const EndpointConnection& connection) const {
  return ConnectionPool::isToProcessOf(connection, discovery_.find(connection.endpoint()));
}

// Whether the request may still be sent after the journal was written. A slow journal write may have delayed
// the request. Without this check, the request could reach an endpoint that is draining by now or has sent a
// Retry-After, or could be sent after the deduplication window of a retry.
bool AttemptSender::isStillSendable(const EndpointConnection& connection) const {
  if (!leadsToItsEndpoint(connection)) return false;
  if (loop_.now() <= connection.readyAt()) return true;  // not delayed
  return std::all_of(
      connection.attempts().begin(), connection.attempts().end(), [this](const BatchedAttempt& attempt) {
        return loop_.now() < attempt.timeoutAt && policy_.mayStartAttempt(attempt.message, attempt.attempt);
      });
}

// Moves the time of sending to the present if the journal delayed the request, or the time for which a kept
// connection had to be quiet. Without this, the delay would count as time for which the endpoint did not
// respond.
void AttemptSender::recordDelayedSend(EndpointConnection& connection) {
  bool isNewConnection = connection.exchangeCount() == 0;
  Millis expectedAt = isNewConnection ? connection.readyAt() : connection.sentAt();
  if (loop_.now() <= expectedAt) return;
  connection.setSentAt(loop_.now());
  for (const BatchedAttempt& attempt : connection.attempts()) {
    policy_.recordSendTime(attempt.message, attempt.attempt);
  }
}

// Composes the request of the attempts that the connection carries at this time: attempts may be cancelled
// until then.
void AttemptSender::writeRequest(EndpointConnection& connection) {
  connection.setWrittenAt(loop_.now());
  Millis latestTimeout = loop_.now();
  std::vector<const StoredMessage*> messages;
  for (const BatchedAttempt& attempt : connection.attempts()) {
    log_.attemptWritten(connection, attempt);
    latestTimeout = std::max(latestTimeout, attempt.timeoutAt);
    messages.push_back(store_.find(attempt.message));
  }
  const std::string& authority = discovery_.find(connection.endpoint())->authority;
  addMessageRequest(connection, authority, latestTimeout - loop_.now(), messages);
}

void AttemptSender::sendHealthCheck(EndpointId endpoint) {
  // Without this limit, simultaneous health checks of hundreds of endpoints that are down would use the
  // descriptors of all other connections.
  if (!pool_.mayStartHealthCheck()) {
    return policy_.recordHealthCheckOutcome(endpoint, AttemptOutcome::localResourceExhausted, {});
  }
  const DiscoveredEndpoint* target = discovery_.find(endpoint);
  EndpointConnection& connection = pool_.acquire(endpoint, target, ConnectionPool::Reuse::now);
  pool_.beginHealthCheck(connection);
  connection.setSentAt(loop_.now());
  if (!connection.hasFailedToStart()) {
    addHealthCheckRequest(connection, target->authority);
    connection.setWrittenAt(loop_.now());
    connection.startExchange();
  }
  pool_.update(connection);
}

void AttemptSender::closeIdleConnection(EndpointId endpoint) {
  pool_.closeIdle(endpoint, CloseCause::requestedByPolicy);
}

void AttemptSender::cancelAttempt(const CancelAttempt& decision) {
  std::pair key{decision.message, decision.attempt};
  auto found = connectionOfAttempt_.find(key);
  if (found == connectionOfAttempt_.end())
    return confirmer_.cancelDeferred(decision.message, decision.attempt);
  // If the loop is behind, the attempt's response may be in the socket's buffer, not yet read. If the
  // connection were closed with the response unread, the message would be attempted again after its delivery.
  found->second->readPending();
  found = connectionOfAttempt_.find(key);
  if (found == connectionOfAttempt_.end()) return;  // the response was read just now
  EndpointConnection& connection = *found->second;
  auto attempt = std::find_if(
      connection.attempts().begin(), connection.attempts().end(), [&](const BatchedAttempt& each) {
        return each.message == decision.message && each.attempt == decision.attempt && !each.isFinished();
      });
  if (attempt != connection.attempts().end()) cancelOnConnection(connection, *attempt);
  finishUselessAttempts(connection);
  if (connection.areAllAttemptsFinished()) release(connection, CloseCause::cancelled);
}

void AttemptSender::cancelOnConnection(EndpointConnection& connection, BatchedAttempt& attempt) {
  if (mustDeferCancel(connection, attempt)) {
    attempt.state = BatchedAttempt::State::cancelDeferred;
    log_.attemptCancelDeferred(attempt);
    return;
  }
  finishAttempt(connection, attempt, {outcomeOfInterruption(connection, AttemptOutcome::cancelled)});
}

// Whether the cancellation of an attempt must wait until its request can end. One message of a batch cannot
// be cancelled alone: the request stays at the endpoint for the other messages. If the policy were notified
// of the cancellation, it would attempt the message again while the request is pending: a second hedge, which
// not every deployment allows. For the first message of the batch, a response to that new attempt would also
// finish it while the remaining messages are at the endpoint. So the outcome is recorded with the
// outcome of the whole request, or at the message's deadline. If hedges are allowed, only the cancellation of
// the first message has to wait: otherwise, at endpoints that hang, one message that must not be retried
// would keep all other messages of the batch at the endpoint.
bool AttemptSender::mustDeferCancel(const EndpointConnection& connection,
                                    const BatchedAttempt& attempt) const {
  bool endsWithRequest = !mayHedge_ || &attempt == &connection.attempts().front();
  if (!endsWithRequest || !connection.isRequestWritten()) return false;
  if (loop_.now() >= recorder_.deadlineOf(attempt.message)) return false;
  return std::any_of(connection.attempts().begin(), connection.attempts().end(),
                     [&](const BatchedAttempt& other) { return &other != &attempt && other.isPending(); });
}

// Finishes the attempts of a request that has become useless because another of its attempts was finished.
void AttemptSender::finishUselessAttempts(EndpointConnection& connection) {
  std::vector<BatchedAttempt>& attempts = connection.attempts();
  auto isFinished = [](const BatchedAttempt& attempt) { return attempt.isFinished(); };
  bool isPartiallyWritten = connection.isBusy() && connection.isConnected() && !connection.isRequestWritten();
  // The remaining bytes of a partially written request would still be sent, with a message that is finished
  // or was recorded as not sent. If the request is aborted now, no message of the batch was executed.
  if (isPartiallyWritten && std::any_of(attempts.begin(), attempts.end(), isFinished)) {
    for (BatchedAttempt& attempt : attempts) finishAttempt(connection, attempt, {AttemptOutcome::notSent});
  }
  if (!connection.isRequestWritten()) return;
  // The first message may also be finished by another attempt. The endpoint still responds ok for the other
  // messages, but this counts for none of them. If they are cancelled together with the first message, they
  // may be sent again.
  bool isFirstFinished = !attempts.empty() && attempts.front().isFinished();
  bool isAnyPending = std::any_of(attempts.begin(), attempts.end(),
                                  [](const BatchedAttempt& attempt) { return attempt.isPending(); });
  if (!isFirstFinished && isAnyPending) return;
  for (BatchedAttempt& attempt : attempts) {
    if (attempt.isFinished()) continue;
    AttemptOutcome outcome = outcomeWithoutResponse(connection, AttemptOutcome::cancelled);
    finishAttempt(connection, attempt, {outcome});
  }
}

bool AttemptSender::mayStartExchange(HttpClientConnection& httpConnection) {
  EndpointConnection& connection = endpointConnection(httpConnection);
  return connection.isHealthCheck() || prepareRequest(connection);
}

// A request counts as executed from its last byte. An endpoint may read a retry so slowly that its
// deduplication window ends meanwhile. A request that is aborted before its last byte was not executed.
bool AttemptSender::mayContinueExchange(HttpClientConnection& httpConnection) {
  EndpointConnection& connection = endpointConnection(httpConnection);
  if (connection.isHealthCheck()) return true;
  bool mayAll = std::all_of(
      connection.attempts().begin(), connection.attempts().end(), [this](const BatchedAttempt& attempt) {
        return attempt.isFinished() || policy_.mayStartAttempt(attempt.message, attempt.attempt);
      });
  if (!mayAll) finishAllAndRelease(connection, AttemptOutcome::notSent, CloseCause::notSent);
  return mayAll;
}

void AttemptSender::onResponseStarted(HttpClientConnection& httpConnection) {
  EndpointConnection& connection = endpointConnection(httpConnection);
  if (connection.responseDueAt() || connection.status() == 0) return;
  connection.setResponseDueAt(loop_.now() + kResponseCompletionMs);
  pool_.update(connection);
}

void AttemptSender::onResponse(HttpClientConnection& httpConnection) {
  EndpointConnection& connection = endpointConnection(httpConnection);
  pool_.recordUse(connection);
  const ResponseArrival arrival = arrivalOf(connection);
  const bool isOutOfStep = !connection.unexpectedBytes().empty() || namesNoMessage(connection);
  const bool isTooEarly = proofOf(connection) == ResponseProof::byOrderAlone &&
                          policy_.isResponseTooEarly(connection.endpoint(), arrival);
  if (!isOutOfStep) policy_.recordResponse(connection.endpoint(), arrival, proofOf(connection));
  if (connection.isHealthCheck()) {
    AttemptOutcome outcome =
        isTooEarly ? AttemptOutcome::unattributed : healthCheckOutcome(connection.status());
    finishHealthCheck(connection, outcome, recorder_.loadReportOf(connection));
  } else {
    if (isRequestUnreadable(connection.status())) log_.requestUnreadable(connection);
    if (isOutOfStep) {
      recordOutOfStepResponse(connection);
    } else {
      recordResponse(connection, arrival);
    }
    connection.setConfirmedAt(confirmer_.confirmedAt(connection));
  }
  if (isOutOfStep) handleUnexpectedBytes(connection, connection.unexpectedBytes());
  connection.clearRequest();
  if (isOutOfStep) return release(connection, CloseCause::unexpectedBytes);
  if (!connection.isOpen()) return release(connection, CloseCause::endedByResponse);
  // Until the response is confirmed, the true one may still come.
  if (isTooEarly) connection.holdUntil(connection.confirmedAt());
  if (!policy_.quietBeforeReuse(connection.endpoint())) {
    return pool_.closeIdleConnection(connection, CloseCause::notTrusted);
  }
  pool_.update(connection);
}

// The time during which the process was stopped may have passed after the response had arrived.
ResponseArrival AttemptSender::arrivalOf(const EndpointConnection& connection) const {
  Millis passed = loop_.now() - connection.writtenAt() - loop_.stalledFor();
  return {.requestWrittenAt = connection.writtenAt(),
          .responseTime = std::max(0.0, passed),
          .isDelivery = isDelivery(connection)};
}

void AttemptSender::recordResponse(EndpointConnection& connection, const ResponseArrival& arrival) {
  std::vector<AttemptResult> results = readAttemptResults(connection);
  for (std::size_t i = 0; i < results.size(); ++i) {
    BatchedAttempt& attempt = connection.attempts()[i];
    if (proofOf(connection) == ResponseProof::certain) {
      finishAttempt(connection, attempt, results[i]);
      continue;
    }
    connectionOfAttempt_.erase({attempt.message, attempt.attempt});
    confirmer_.recordUnproven(connection, attempt, results[i], arrival);
  }
}

// A response that shows the connection to be out of step proves nothing, unless no other one can have been
// sent before it.
void AttemptSender::recordOutOfStepResponse(EndpointConnection& connection) {
  std::vector<AttemptResult> results = readAttemptResults(connection);
  bool isProven = proofOf(connection) == ResponseProof::certain;
  for (std::size_t i = 0; i < results.size(); ++i) {
    finishAttempt(connection, connection.attempts()[i], isProven ? results[i] : unattributed(results[i]));
  }
}

// The bytes may be the repeat of an earlier response, or the true response to a request for which a repeat
// was taken. So what they ask for is heeded, and what was concluded from the connection just before is taken
// back.
void AttemptSender::handleUnexpectedBytes(const EndpointConnection& connection, std::string_view bytes) {
  log_.unexpectedBytes(connection, bytes, loop_.now());
  policy_.recordUnexpectedBytes(connection.endpoint());
  if (Millis retryAfter = retryAfterOf(bytes); retryAfter > 0) {
    policy_.recordRetryAfter(connection.endpoint(), retryAfter);
  }
  confirmer_.contradict(connection);
}

// Handles a connection that was chosen for a request and on which bytes have arrived, or which has ended.
void AttemptSender::handleUnreadBytes(EndpointConnection& connection) {
  std::string unread = connection.readUnread();
  if (!unread.empty()) handleUnexpectedBytes(connection, unread);
}

// A missing resource of this process (a descriptor, space in the journal) is not a failure of the endpoint.
// If it counted as one, a full disk, or clients that use up all descriptors, would make every destination
// look down, and slow start would follow.
void AttemptSender::onBroken(HttpClientConnection& httpConnection) {
  EndpointConnection& connection = endpointConnection(httpConnection);
  if (connection.failure() == ConnectionFailure::unexpectedBytes) {
    handleUnexpectedBytes(connection, connection.unexpectedBytes());
  }
  AttemptOutcome outcome = AttemptOutcome::localResourceExhausted;
  if (connection.startFailure() == EndpointConnection::StartFailure::localResources) {
    log_.attemptResourceExhausted(connection);
  } else if (connection.hasUnsentAttempts() && connection.exchangeCount() > 0) {
    outcome = AttemptOutcome::notSent;
  } else {
    outcome = outcomeWithoutResponse(connection, AttemptOutcome::reset);
  }
  if (connection.isHealthCheck()) finishHealthCheck(connection, outcome);
  finishAllAndRelease(connection, outcome, causeOfBreak(connection));
}

// Why the sender closes a connection that broke, was not established in time or did not complete a response.
CloseCause AttemptSender::causeOfBreak(const EndpointConnection& connection) const {
  if (connection.startFailure() == EndpointConnection::StartFailure::localResources) {
    return CloseCause::localResources;
  }
  if (connection.failure() != ConnectionFailure::none) return closeCauseOf(connection.failure());
  if (!connection.isConnected()) return CloseCause::connectFailed;
  return CloseCause::incompleteResponse;
}

void AttemptSender::onTick() {
  log_.logCounters(loop_.now());
  confirmer_.onTick();
  pool_.followReusableIdleTime();
  while (EndpointConnection* connection = pool_.firstDue()) handleDue(*connection);
}

void AttemptSender::handleDue(EndpointConnection& connection) {
  if (connection.isRequestWritten()) {  // its response may have arrived and not been read
    std::size_t connectionsBefore = pool_.size();
    connection.readPending();
    if (pool_.size() < connectionsBefore) return;  // the connection was released
    if (!connection.isBusy() || loop_.now() < pool_.dueAt(connection)) return pool_.update(connection);
  }
  bool isResponseOverdue =
      connection.isBusy() && connection.responseDueAt() && loop_.now() >= *connection.responseDueAt();
  bool isConnectOverdue = loop_.now() >= pool_.connectDeadline(connection);
  if (connection.hasFailedToStart() || isResponseOverdue || isConnectOverdue) return onBroken(connection);
  if (connection.hasUnsentAttempts()) {
    prepareRequest(connection);
    return;
  }
  if (!connection.hasRequest()) {
    if (auto cause = connection.retirementCause()) return pool_.closeIdleConnection(connection, *cause);
    if (loop_.now() >= pool_.idleDeadline(connection)) {
      return pool_.closeIdleConnection(connection, CloseCause::idleTooLong);
    }
    return pool_.update(connection);
  }
  if (connection.isHealthCheck() && loop_.now() >= pool_.healthCheckDeadline(connection)) {
    finishHealthCheck(connection, AttemptOutcome::timeout);
    return release(connection, CloseCause::timedOut);
  }
  timeOutAttempts(connection);
  finishUselessAttempts(connection);
  if (connection.areAllAttemptsFinished()) return release(connection, CloseCause::timedOut);
  pool_.update(connection);
}

void AttemptSender::timeOutAttempts(EndpointConnection& connection) {
  for (BatchedAttempt& attempt : connection.attempts()) {
    if (attempt.isFinished() || loop_.now() < attempt.timeoutAt) continue;
    if (mustDeferCancel(connection, attempt)) attempt.state = BatchedAttempt::State::cancelDeferred;
    Millis deadline = recorder_.deadlineOf(attempt.message);
    if (!attempt.isPending() && loop_.now() < deadline) {
      attempt.timeoutAt = deadline;
      continue;
    }
    // If the connection was never established, nothing was sent, and the attempt's time at the endpoint had
    // not begun: the outcome is notSent.
    finishAttempt(connection, attempt, {outcomeOfInterruption(connection, AttemptOutcome::timeout)});
  }
}

void AttemptSender::finishAttempt(EndpointConnection& connection, BatchedAttempt& attempt,
                                  const AttemptResult& result) {
  connectionOfAttempt_.erase({attempt.message, attempt.attempt});
  confirmer_.record(connection, attempt, result);
}

void AttemptSender::finishAllAndRelease(EndpointConnection& connection, AttemptOutcome outcome,
                                        CloseCause cause) {
  for (BatchedAttempt& attempt : connection.attempts()) finishAttempt(connection, attempt, {outcome});
  connection.attempts().clear();
  release(connection, cause);
}

void AttemptSender::finishHealthCheck(EndpointConnection& connection, AttemptOutcome outcome,
                                      LoadReport report) {
  pool_.endHealthCheck(connection);
  policy_.recordHealthCheckOutcome(connection.endpoint(), outcome, report);
}

void AttemptSender::release(EndpointConnection& connection, CloseCause cause) {
  requestJournal_.remove(connection);
  for (const BatchedAttempt& attempt : connection.attempts()) {
    connectionOfAttempt_.erase({attempt.message, attempt.attempt});
  }
  pool_.release(connection, cause);
}

}  // namespace stonewing
