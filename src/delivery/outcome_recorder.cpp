#include "delivery/outcome_recorder.h"

#include <algorithm>

#include "delivery/load_report.h"

namespace stonewing {
namespace {

bool isProvablyNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connectFailed || isUnsent(outcome);
}

}  // namespace

Millis OutcomeRecorder::deadlineOf(MessageId message) const {
  const auto& messages = policy_.state().messages;
  auto found = messages.find(message);
  return found == messages.end() || found->second.finished ? 0 : found->second.deadline;
}

LoadReport OutcomeRecorder::loadReportOf(const EndpointConnection& connection) const {
  if (connection.status() == 0) return {};
  return parseLoadReport(connection.header("X-Load"), names_.loadReportFields);
}

AttemptEnd OutcomeRecorder::describe(const EndpointConnection& connection, const BatchedAttempt& attempt,
                                     const AttemptResult& result) const {
  return {.message = attempt.message,
          .attempt = attempt.attempt,
          .reference = attempt.reference,
          .result = result,
          .endpoint = connection.endpoint(),
          .connection = connection.number(),
          .exchange = connection.exchangeCount(),
          .status = connection.status(),
          .sentAt = connection.sentAt(),
          .endedAt = loop_.now(),
          .report = loadReportOf(connection)};
}

std::vector<EarlierAttempt> OutcomeRecorder::attemptsOf(MessageId message) const {
  std::vector<EarlierAttempt> attempts;
  const auto& messages = policy_.state().messages;
  auto found = messages.find(message);
  if (found == messages.end()) return attempts;
  for (const Attempt& attempt : found->second.attempts) {
    attempts.push_back(
        {attempt.endpoint->id, attempt.sentAt, !attempt.pending && attempt.provablyNotExecuted});
  }
  return attempts;
}

// Determined before the policy is notified of the outcome: after that the message may have no deadline any
// more.
OutcomeRecorder::Arrival OutcomeRecorder::arrivalOf(MessageId message) const {
  return loop_.now() < deadlineOf(message) - kMaxReadDelayMs ? Arrival::onTime : Arrival::maybeLate;
}

void OutcomeRecorder::record(const EndpointConnection& connection, BatchedAttempt& attempt,
                             const AttemptResult& result) {
  if (!attempt.isFinished()) {
    attempt.state = BatchedAttempt::State::finished;
    record(describe(connection, attempt, result));
    return;
  }
  // The attempt was cancelled or timed out before. If its message was delivered after all, no further attempt
  // may be sent for it.
  if (!isFinal(result) || store_.find(attempt.message) == nullptr) return;
  Arrival arrival = arrivalOf(attempt.message);
  policy_.cancelMessage(attempt.message);
  recordFinalOutcome(attempt.message, arrival);
}

void OutcomeRecorder::record(const AttemptEnd& end) {
  Arrival arrival = arrivalOf(end.message);
  recordInPolicy(end);
  if (isFinal(end.result)) recordFinalOutcome(end.message, arrival);
}

void OutcomeRecorder::recordInPolicy(const AttemptEnd& end) {
  const AttemptResult& result = end.result;
  if (isProvablyNotExecuted(result.outcome)) store_.recordNotExecuted(end.message, end.attempt);
  log_.attemptFinished(end, loop_.now());
  bool isMessageFinished = isFinal(result) || store_.find(end.message) == nullptr;
  Millis retryAfter = std::max(0.0, result.retryAfter - (loop_.now() - end.endedAt));
  policy_.recordAttemptOutcome(end.message, end.attempt, result.outcome, end.endedAt - end.sentAt,
                               isMessageFinished, retryAfter, end.report);
}

// A response that was written just after the message's deadline delivers nothing, and the platform must still
// be notified. When it arrives, it cannot be distinguished from a response written just before the deadline.
// A notification of a delivered message does no harm.
void OutcomeRecorder::recordFinalOutcome(MessageId message, Arrival arrival) {
  if (arrival == Arrival::onTime) return store_.recordDelivered(message);
  store_.addPendingNotification(message, FinalOutcome::failed, 0);
}

}  // namespace stonewing
