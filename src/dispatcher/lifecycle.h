#pragma once

#include <optional>

#include "base/ids.h"

// The states of a dispatcher from start to exit, and the conditions for the transitions between them.
namespace stonewing {

// In the order in which a dispatcher passes through them; it never returns to an earlier state.
enum class LifecycleState {
  recovering,         // messages that an earlier process accepted are read from the journal
  serving,            // normal work
  draining,           // shutdown was requested; messages are still accepted while clients switch over
  finishing,          // no messages are accepted any more; those in flight are still attempted
  awaitingResponses,  // no new attempts are sent; pending responses may still arrive
  ended,              // the process exits
};

// The state's name in the log.
const char* nameOf(LifecycleState state);

// The kinds of work that a shutdown waits for.
struct UnfinishedWork {
  bool messagesInFlight{false};
  bool pendingNotifications{false};
  bool requestsInFlight{false};
  bool clientsConnected{false};
};

// Decides when a dispatcher changes its state. Does no I/O and reads no clock: the caller passes the time, in
// milliseconds of the steady clock. The caller also carries out the actions of a transition and then calls
// enter().
class Lifecycle {
 public:
  LifecycleState state() const { return state_; }
  bool isEnded() const { return state_ == LifecycleState::ended; }
  // Whether new messages may be accepted.
  bool mayAcceptMessages() const { return state_ <= LifecycleState::draining; }
  // Whether decisions may be made and attempts be sent.
  bool mayDecide() const { return state_ < LifecycleState::awaitingResponses; }

  // Requests the shutdown. All deadlines of the shutdown count from the first call; later calls do nothing.
  void requestShutdown(Millis now);
  bool isShutdownRequested() const { return shutdownRequestedAt_.has_value(); }

  // The state to enter next; no value while the present state continues. Never ends `recovering`, which only
  // a call of enter() does. To be called again after each transition, since several can be due at once.
  std::optional<LifecycleState> nextState(Millis now, const UnfinishedWork& work) const;
  // Enters `next`, which must not be earlier than the present state.
  void enter(LifecycleState next);

  // The time at which the present state ends even if work is left; no value if the state has no time limit.
  std::optional<Millis> deadline() const;

 private:
  LifecycleState state_{LifecycleState::recovering};
  std::optional<Millis> shutdownRequestedAt_;
};

}  // namespace stonewing
