#include "dispatcher/decision_executor.h"

#include <variant>

#include "base/overloaded.h"
#include "logging/log.h"
#include "net/event_loop.h"

namespace stonewing {
namespace {

// The time for decisions in one turn. Thousands of messages finish at once if a destination is removed, or if
// a restart finds many messages in flight. If all these decisions were made in one turn, unrelated clients
// and endpoints would have to wait for it. The remaining decisions are made in the next turns, so that events
// are read and replies are sent in between.
constexpr Millis kDecisionTimePerTurn = 20;
constexpr int kDecisionsPerClockRead = 64;  // a clock read for each decision would cost more than it saves
constexpr Millis kNoRetryAfter = 0;

}  // namespace

void DecisionExecutor::executeDecisions() {
  const Millis stopAt = steadyNow() + kDecisionTimePerTurn;
  hasMore_ = false;
  int executed = 0;
  while (const std::optional<Decision> decision = policy_.nextDecision()) {
    execute(*decision);
    ++executed;
    if (executed % kDecisionsPerClockRead != 0 || steadyNow() < stopAt) continue;
    hasMore_ = true;
    break;
  }
}

bool DecisionExecutor::takeDueTimer(Millis now) {
  if (!timerDue_ || now < *timerDue_) return false;
  timerDue_.reset();
  return true;
}

void DecisionExecutor::execute(const Decision& decision) {
  std::visit(
      Overloaded{
          [this](const SendAttempt& send) { sender_.sendAttempt(send); },
          [this](const CancelAttempt& cancel) { sender_.cancelAttempt(cancel); },
          [this](const ShedMessage& decided) { shed(decided); },
          [this](const FailMessage& decided) { fail(decided); },
          [this](const SendHealthCheck& healthCheck) { sender_.sendHealthCheck(healthCheck.endpoint); },
          [this](const CloseIdleConnection& close) { sender_.closeIdleConnection(close.endpoint); },
          [this](const SetTimer& timer) { timerDue_ = timer.at; },
      },
      decision);
}

void DecisionExecutor::shed(const ShedMessage& decision) {
  logFinished(decision.message, "shed", decision.retryAfter);
  store_.addPendingNotification(decision.message, FinalOutcome::shed, decision.retryAfter);
}

void DecisionExecutor::fail(const FailMessage& decision) {
  logFinished(decision.message, "failed", kNoRetryAfter);
  store_.addPendingNotification(decision.message, FinalOutcome::failed, kNoRetryAfter);
}

void DecisionExecutor::logFinished(MessageId id, const char* result, Millis retryAfter) const {
  const StoredMessage* message = store_.find(id);
  if (message == nullptr) return;
  log::debug("message.finished", {{"message", message->reference},
                                  {"result", result},
                                  {"destination", message->destination.value},
                                  {"attempts", message->attempts.size()},
                                  {"retry_after_ms", retryAfter}});
}

}  // namespace stonewing
