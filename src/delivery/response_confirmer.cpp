#include "delivery/response_confirmer.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

// Between two looks at a response that is not confirmed in time.
constexpr Millis kConfirmIntervalMs = 100;

}  // namespace

void ResponseConfirmer::record(const EndpointConnection& connection, BatchedAttempt& attempt,
                               const AttemptResult& result) {
  if (!isFurtherDelivery(attempt, result)) return recorder_.record(connection, attempt, result);
  recordFurtherDelivery(connection, attempt, result);
  unconfirmed_.removeDelivery(attempt.message);
  recorder_.recordFinalOutcome(attempt.message);
}

void ResponseConfirmer::recordUnproven(const EndpointConnection& connection, BatchedAttempt& attempt,
                                       const AttemptResult& result, const ResponseArrival& arrival) {
  if (isFurtherDelivery(attempt, result)) return recordFurtherDelivery(connection, attempt, result);
  ResponseDoubt doubt;
  if (!attempt.isFinished()) {
    doubt = policy_.responseDoubt(attempt.message, attempt.attempt, result.outcome,
                                  OutcomeRecorder::isFinal(result));
  }
  // There is no time to confirm a response at the deadline. A claim that the attempt was not executed then
  // counts for nothing; of a delivery, the platform is notified too.
  Millis deadline = recorder_.deadlineOf(attempt.message);
  Millis confirmAt = std::min(loop_.now() + doubt.confirmAfter, deadline - OutcomeRecorder::kMaxReadDelayMs);
  bool isDeferred = doubt.handling == ResponseHandling::deferUntilConfirmed;
  if (doubt.handling == ResponseHandling::conclude || confirmAt <= loop_.now()) {
    bool isVoid = isDeferred && !OutcomeRecorder::isFinal(result);
    return recorder_.record(connection, attempt, isVoid ? unattributed(result) : result);
  }

  UnconfirmedResponse response{.end = recorder_.describe(connection, attempt, result),
                               .arrival = arrival,
                               .handling = doubt.handling,
                               .confirmAt = confirmAt,
                               .deadline = deadline,
                               .attempts = recorder_.attemptsOf(attempt.message)};
  attempt.state = BatchedAttempt::State::finished;
  if (isDeferred) {
    policy_.recordRetryAfter(response.end.endpoint, result.retryAfter);
  } else {
    recorder_.recordInPolicy(response.end);
  }
  unconfirmed_.add(std::move(response));
}

// Whether another attempt delivered a message whose delivery is not confirmed yet.
bool ResponseConfirmer::isFurtherDelivery(const BatchedAttempt& attempt, const AttemptResult& result) const {
  return OutcomeRecorder::isFinal(result) && unconfirmed_.containsDelivery(attempt.message);
}

void ResponseConfirmer::recordFurtherDelivery(const EndpointConnection& connection, BatchedAttempt& attempt,
                                              const AttemptResult& result) {
  if (attempt.isFinished()) return;
  attempt.state = BatchedAttempt::State::finished;
  recorder_.recordInPolicy(recorder_.describe(connection, attempt, result));
}

void ResponseConfirmer::contradict(const EndpointConnection& connection) {
  for (UnconfirmedResponse& response : unconfirmed_.takeOf(connection.number())) {
    contradicted_.push_back(std::move(response));
  }
}

void ResponseConfirmer::cancelDeferred(MessageId message, int attempt) {
  if (auto deferred = unconfirmed_.takeDeferred(message, attempt)) {
    endDeferred(std::move(*deferred), AttemptOutcome::cancelled);
  }
}

void ResponseConfirmer::onTick() {
  std::erase_if(contradicted_, [this](const UnconfirmedResponse& each) { return takeBack(each); });
  while (auto response = unconfirmed_.takeConfirmed(loop_.now())) confirm(std::move(*response));
}

std::optional<Millis> ResponseConfirmer::due() const {
  if (!contradicted_.empty()) return loop_.now();
  return unconfirmed_.nextConfirmAt();
}

void ResponseConfirmer::confirm(UnconfirmedResponse response) {
  if (!policy_.confirmResponse(response.end.endpoint, response.arrival)) {
    return keepUnconfirmed(std::move(response));
  }
  log_.responseConfirmed(response.end);
  if (response.handling == ResponseHandling::deferUntilConfirmed) return recorder_.record(response.end);
  recorder_.recordFinalOutcome(response.end.message);
}

// Nothing has contradicted the response, and that proves nothing. Its message is not sent again, since it was
// delivered unless the response is a repeat. It waits until the endpoint responds to a later request; the
// platform is notified at its deadline otherwise, which does no harm if it was delivered. An attempt whose
// outcome is deferred occupies a request, so it ends now.
void ResponseConfirmer::keepUnconfirmed(UnconfirmedResponse response) {
  if (!std::exchange(response.isLate, true)) log_.responseUnconfirmed(response.end);
  if (response.handling == ResponseHandling::deferUntilConfirmed) {
    return endDeferred(std::move(response), AttemptOutcome::unattributed);
  }
  Millis lastConfirmAt = response.deadline - OutcomeRecorder::kMaxReadDelayMs;
  if (loop_.now() >= lastConfirmAt) {
    return store_.addPendingNotification(response.end.message, FinalOutcome::failed, 0);
  }
  response.confirmAt = std::min(lastConfirmAt, loop_.now() + kConfirmIntervalMs);
  unconfirmed_.add(std::move(response));
}

// Returns false if the message cannot be continued yet, since another attempt of it has not ended.
bool ResponseConfirmer::takeBack(const UnconfirmedResponse& response) {
  bool isDeferred = response.handling == ResponseHandling::deferUntilConfirmed;
  if (!isDeferred && policy_.state().messages.contains(response.end.message)) return false;
  log_.responseTakenBack(response.end);
  if (isDeferred) {
    endDeferred(response, AttemptOutcome::unattributed);
  } else {
    continueMessage(response);
  }
  return true;
}

void ResponseConfirmer::endDeferred(UnconfirmedResponse response, AttemptOutcome outcome) {
  response.end.result = {outcome};
  response.end.report = {};
  recorder_.record(response.end);
}

// The message goes on as it would after a restart: each attempt that was not refused may have been executed.
void ResponseConfirmer::continueMessage(const UnconfirmedResponse& response) {
  MessageId id = response.end.message;
  const StoredMessage* message = store_.find(id);
  if (message == nullptr) return;
  const auto& endpoints = policy_.state().endpoints;
  bool isAnyEndpointForgotten =
      std::any_of(response.attempts.begin(), response.attempts.end(),
                  [&](const EarlierAttempt& attempt) { return !endpoints.contains(attempt.endpoint); });
  if (isAnyEndpointForgotten) return store_.addPendingNotification(id, FinalOutcome::failed, 0);
  policy_.acceptMessage(id, message->type, message->tenant, message->orderingKey, message->destination,
                        response.deadline);
  for (const EarlierAttempt& attempt : response.attempts) {
    policy_.recordEarlierAttempt(id, attempt.endpoint, attempt.sentAt, attempt.provablyNotExecuted);
  }
}

}  // namespace stonewing
