#pragma once

#include <optional>

#include "base/ids.h"
#include "delivery/attempt_sender.h"
#include "policy/decision.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Gets the policy's decisions, passes each to the component that carries it out, and stores the timer that
// the policy has set. The requests of a decision are sent after the next commit of the journal. Used on the
// event loop's thread only; the objects passed to the constructor must outlive this one. Times are
// milliseconds of the steady clock.
class DecisionExecutor {
 public:
  DecisionExecutor(DispatchPolicy& policy, AttemptSender& sender, MessageStore& store)
      : policy_(policy), sender_(sender), store_(store) {}

  // Executes decisions until there are no more, or the time for decisions in one turn is used up.
  void executeDecisions();
  // Whether the last executeDecisions() stopped because its time was used up.
  bool hasMore() const { return hasMore_; }

  // When the policy's timer is due; no value if the policy has set none.
  std::optional<Millis> timerDue() const { return timerDue_; }
  // Whether the timer is due. Resets a timer that is due, so that it is reported once.
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
