#include "delivery/outcome_recorder.h"

#include "delivery/load_report.h"

namespace stonewing {
namespace {

// A message's deadline counts from the time at which its client sent it, but this process counts from the
// time at which it read the message. This is the longest difference, in milliseconds, that goes unnoticed:
// EventLoop::stalledFor detects a longer delay.
constexpr Millis kMaxReadDelay = 100;

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

void OutcomeRecorder::record(const EndpointConnection& connection, BatchedAttempt& attempt,
                             const AttemptResult& result) {
  bool wasFinished = attempt.isFinished();
  attempt.state = BatchedAttempt::State::finished;
  bool isFinal = result.scope == OutcomeScope::message || result.outcome == AttemptOutcome::completed;
  MessageId message = attempt.message;
  // Determined before the policy is notified of the outcome: after that the message may have no deadline any
  // more.
  Arrival arrival = loop_.now() < deadlineOf(message) - kMaxReadDelay ? Arrival::onTime : Arrival::maybeLate;
  if (wasFinished) {
    // The attempt was cancelled or timed out before, and its message was delivered after all: no further
    // attempt may be sent for it.
    if (!isFinal || store_.find(message) == nullptr) return;
    policy_.cancelMessage(message);
    recordFinalOutcome(message, arrival);
    return;
  }
  if (isProvablyNotExecuted(result.outcome)) store_.recordNotExecuted(message, attempt.attempt);
  LoadReport report = loadReportOf(connection);
  log_.attemptFinished(connection, attempt, result, report, loop_.now());
  bool isMessageFinished = isFinal || store_.find(message) == nullptr;
  policy_.recordAttemptOutcome(message, attempt.attempt, result.outcome, loop_.now() - connection.sentAt(),
                               isMessageFinished, result.retryAfter, report);
  if (isFinal) recordFinalOutcome(message, arrival);
}

// A response that was written just after the message's deadline delivers nothing, and the platform must still
// be notified. When it arrives, it cannot be distinguished from a response written just before the deadline.
// A notification of a delivered message does no harm.
void OutcomeRecorder::recordFinalOutcome(MessageId message, Arrival arrival) {
  if (arrival == Arrival::onTime) return store_.recordDelivered(message);
  store_.addPendingNotification(message, FinalOutcome::failed, 0);
}

}  // namespace stonewing
