#pragma once

#include <optional>

#include "base/ids.h"

// The states of a dispatcher from start to exit, and when it goes from one to the next.
namespace stonewing {

// In this order; a state that was left is never entered again.
enum class LifecycleState {
  recovering,         // messages that an earlier process accepted are read from the journal
  serving,            // normal work
  draining,           // the end was requested; messages are still accepted while clients move elsewhere
  finishing,          // nothing is accepted any more; what is in flight is still attempted
  awaitingResponses,  // no new attempts; responses that are pending may still arrive
  ended,              // the process exits
};

// The state's name in the log.
const char* nameOf(LifecycleState state);

// What a dispatcher that is to end still has to wait for.
struct UnfinishedWork {
  bool messagesInFlight{false};
  bool pendingNotifications{false};
  bool requestsInFlight{false};
  bool clientsConnected{false};
};

// Decides when a dispatcher changes its state. Does no I/O and reads no clock: it is given the time, in
// milliseconds of the steady clock. The caller carries out what a transition needs and then enters the state.
class Lifecycle {
 public:
  LifecycleState state() const { return state_; }
  bool isEnded() const { return state_ == LifecycleState::ended; }
  // Whether new messages may be accepted.
  bool mayAcceptMessages() const { return state_ <= LifecycleState::draining; }
  // Whether decisions are made, and with them attempts sent.
  bool mayDecide() const { return state_ < LifecycleState::awaitingResponses; }

  // Notes that the process is to end. The time of the first call counts; all deadlines start with it.
  void requestEnd(Millis now);
  bool isEndRequested() const { return endRequestedAt_.has_value(); }

  // The state to enter next, or none where the present one lasts. `recovering` ends only by enter(). To be
  // asked again after each transition: several can be due at once.
  std::optional<LifecycleState> nextState(Millis now, const UnfinishedWork& work) const;
  // Enters `next`, which is no earlier state than the present one.
  void enter(LifecycleState next);

  // The time at which the present state ends whatever work is left; none where it has no such limit.
  std::optional<Millis> deadline() const;

 private:
  LifecycleState state_{LifecycleState::recovering};
  std::optional<Millis> endRequestedAt_;
};

}  // namespace stonewing
