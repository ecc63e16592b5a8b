#include "dispatcher/turn_monitor.h"

#include <ctime>
#include <utility>

#include "logging/log.h"

namespace stonewing {
namespace {

// Reading the thread's processor time costs a system call, so it is not read in turns shorter than this.
constexpr Millis kMinMeasuredTurn = 5;
constexpr Millis kSlowTurn = 100;  // a quarter of the time that a client waits for its reply
// Slow turns are logged no more often than this. Without this limit, an overload would fill the log.
constexpr Millis kSlowTurnLogInterval = 5000;
constexpr Millis kMillisPerSecond = 1000;
constexpr Millis kNanosPerMilli = 1e6;

}  // namespace

Millis TurnMonitor::totalWork() const {
  timespec spent{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<Millis>(spent.tv_sec) * kMillisPerSecond +
         static_cast<Millis>(spent.tv_nsec) / kNanosPerMilli + store_.writingTime();
}

Millis TurnMonitor::workThisTurn() const {
  if (steadyNow() - turnBeganAt_ < kMinMeasuredTurn) return 0;
  return totalWork() - workAtTurnStart_;
}

Millis TurnMonitor::takeTurnWork() {
  const Millis previousWork = std::exchange(workAtTurnStart_, totalWork());
  return workAtTurnStart_ - previousWork;
}

void TurnMonitor::logIfSlow(std::size_t messagesInFlight, std::size_t clients) {
  const Millis turnDuration = steadyNow() - turnBeganAt_;
  if (turnDuration < kSlowTurn) return;
  ++slowTurns_;
  if (slowTurnLoggedAt_ && loop_.now() < *slowTurnLoggedAt_ + kSlowTurnLogInterval) return;
  slowTurnLoggedAt_ = loop_.now();
  const Millis dispatchDuration = dispatchedAt_ - turnBeganAt_;
  const Millis decisionDuration = decidedAt_ - dispatchedAt_;
  log::warn("event_loop.slow", {{"turn_ms", turnDuration},
                                {"reading_ms", dispatchDuration},
                                {"deciding_ms", decisionDuration},
                                {"rest_ms", turnDuration - dispatchDuration - decisionDuration},
                                {"turns", std::exchange(slowTurns_, 0)},
                                {"in_flight", messagesInFlight},
                                {"clients", clients}});
}

}  // namespace stonewing
