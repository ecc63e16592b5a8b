#pragma once

#include <optional>

#include "base/ids.h"
#include "delivery/attempt_sender.h"
#include "policy/decision.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Asks the policy for its decisions, hands each to the part that carries it out, and keeps the timer that the
// policy has set. What a decision sends waits for the next commit of the journal. Lives on the event loop's
// thread; the references must outlive it. Times are milliseconds of the steady clock.
class DecisionExecutor {
 public:
  DecisionExecutor(DispatchPolicy& policy, AttemptSender& sender, MessageStore& store)
      : policy_(policy), sender_(sender), store_(store) {}

  // Executes decisions until there is none, or a turn's share of time is used up.
  void executeDecisions();
  // Whether the last call stopped for want of time.
  bool hasMore() const { return hasMore_; }

  // When the policy wants to be asked again; none where it has set no timer.
  std::optional<Millis> timerDue() const { return timerDue_; }
  // Whether the timer is due. A timer that is due is reported once.
  bool takeDueTimer(Millis now);

 private:
  void execute(const Decision& decision);
  void shed(const ShedMessage& decision);
  void fail(const FailMessage& decision);
  void logFinished(MessageId id, const char* result, Millis retryAfter) const;

  DispatchPolicy& policy_;
  AttemptSender& sender_;
  MessageStore& store_;
  std::optional<Millis> timerDue_;
  bool hasMore_{false};
};

}  // namespace stonewing
