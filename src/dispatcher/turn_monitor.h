#pragma once

#include <cstddef>
#include <optional>

#include "base/ids.h"
#include "net/event_loop.h"
#include "storage/message_store.h"

namespace stonewing {

// Measures the turns of the event loop: the work in them, which admission goes by, and their duration, which
// is logged where it is too long. Work is the thread's own processor time and the time that writing the
// journal took. A process that was stopped in the middle of a turn is not slow; it has much to read, and
// rejecting that would cost what could still be delivered.
//
// Lives on the event loop's thread; the loop and the store must outlive it. Times are in milliseconds.
class TurnMonitor {
 public:
  TurnMonitor(const EventLoop& loop, const MessageStore& store) : loop_(loop), store_(store) {}

  // Work done before this call belongs to no turn.
  void start() { workAtTurnStart_ = totalWork(); }

  // The parts of a turn, in this order.
  void beginTurn() { turnBeganAt_ = steadyNow(); }
  void recordDispatched() { dispatchedAt_ = steadyNow(); }
  void recordDecided() { decidedAt_ = steadyNow(); }
  // Ends the measurement of the turn's work and returns it.
  Millis takeTurnWork();
  // Logs a turn that took too long with its parts: the first at once, then every few seconds with the number
  // of such turns.
  void logIfSlow(std::size_t messagesInFlight, std::size_t clients);

  // The work in this turn so far; 0 in a turn that is still short.
  Millis workThisTurn() const;

 private:
  Millis totalWork() const;

  const EventLoop& loop_;
  const MessageStore& store_;
  Millis turnBeganAt_{0};
  Millis dispatchedAt_{0};
  Millis decidedAt_{0};
  Millis workAtTurnStart_{0};  // totalWork() at the end of the last turn; sleep adds nothing to it
  std::optional<Millis> slowTurnLoggedAt_;
  int slowTurns_{0};  // since the last log line
};

}  // namespace stonewing
