#include "delivery/outcome_recorder.h"

#include "delivery/load_report.h"

namespace stonewing {
namespace {

// A message's deadline counts from when its client sent it, and our clock from when we read it. That is so
// much later at the most, in milliseconds: a longer delay is noticed (EventLoop::stalledFor).
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
  // Before the policy hears of the outcome: after that the message may have no deadline any more.
  Arrival arrival = loop_.now() < deadlineOf(message) - kMaxReadDelay ? Arrival::onTime : Arrival::maybeLate;
  if (wasFinished) {
    // Cancelled or timed out before, and now it was delivered after all: nothing more may be sent for it.
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

// A response that was written when the message's deadline had just passed delivers nothing, and the platform
// must still be notified. On arrival it cannot be distinguished from one written just before. A notification
// for a message that was delivered does no harm.
void OutcomeRecorder::recordFinalOutcome(MessageId message, Arrival arrival) {
  if (arrival == Arrival::onTime) return store_.recordDelivered(message);
  store_.addPendingNotification(message, FinalOutcome::failed, 0);
}

}  // namespace stonewing
