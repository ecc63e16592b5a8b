#pragma once

#include <cstddef>
#include <optional>

#include "base/ids.h"
#include "net/event_loop.h"
#include "storage/message_store.h"

namespace stonewing {

// Measures the turns of the event loop: the work in each turn, which admission uses to detect overload, and
// the turn's duration, which is logged if it is too long. Work is the processor time of the thread plus the
// time spent on writing the journal. The duration is no measure of overload: a process that was stopped in
// the middle of a turn only has many commands to read, and if admission rejected these, messages would be
// lost that could still be delivered.
//
// Used on the event loop's thread only; the loop and the store must outlive this object. Times are in
// milliseconds.
class TurnMonitor {
 public:
  TurnMonitor(const EventLoop& loop, const MessageStore& store) : loop_(loop), store_(store) {}

  // Starts the measurement. Work done before this call counts for no turn.
  void start() { workAtTurnStart_ = totalWork(); }

  // To be called in this order in each turn: before events are dispatched, after that, and after decisions.
  void beginTurn() { turnBeganAt_ = steadyNow(); }
  void recordDispatched() { dispatchedAt_ = steadyNow(); }
  void recordDecided() { decidedAt_ = steadyNow(); }
  // Ends the measurement of the turn's work and returns it.
  Millis takeTurnWork();
  // Logs a turn that took too long, with the durations of its parts. After a log line, further slow turns are
  // only counted for a few seconds; the next line states their number.
  void logIfSlow(std::size_t messagesInFlight, std::size_t clients);

  // The work in this turn so far; 0 as long as the turn is short.
  Millis workThisTurn() const;

 private:
  Millis totalWork() const;

  const EventLoop& loop_;
  const MessageStore& store_;
  Millis turnBeganAt_{0};
  Millis dispatchedAt_{0};
  Millis decidedAt_{0};
  Millis workAtTurnStart_{0};  // totalWork() at the end of the last turn; sleeping adds no work
  std::optional<Millis> slowTurnLoggedAt_;
  int slowTurns_{0};  // since the last log line
};

}  // namespace stonewing
