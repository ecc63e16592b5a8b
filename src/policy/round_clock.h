#pragma once

#include <optional>

#include "base/ids.h"

// The time of the policy, in milliseconds of the host's clock, and the timer that the policy requests.
//
// Owns: the time and number of the current round, the earliest time at which something is due, and the timer
// requested from the host. Input: beginning and end of each round. Queries: the time, and whether a given
// time has been reached; of the times not reached yet, the earliest is remembered and becomes the next timer.
namespace stonewing {

class RoundClock {
 public:
  // now must not be earlier than in the previous round.
  void beginRound(Millis now) {
    now_ = now;
    ++round_;
    nextWakeAt_ = -1;
    if (startedAt_ < 0) startedAt_ = now;
    if (timerSetFor_ <= now) timerSetFor_ = -1;
  }

  Millis now() const { return now_; }
  // Milliseconds since the first round.
  Millis uptime() const { return now_ - startedAt_; }
  // Counts from 1; 0 before the first round.
  int round() const { return round_; }

  // Whether the given time has been reached; if not, requests a call of the policy at that time.
  bool isReached(Millis at) {
    if (at > now_ && (nextWakeAt_ < 0 || at < nextWakeAt_)) nextWakeAt_ = at;
    return now_ >= at;
  }
  // Requests a call of the policy at the given time, if it is in the future.
  void wakeAt(Millis at) { isReached(at); }

  // Whether no pending attempt can be due yet, so that no scan over the pending attempts is needed. Unless
  // there is new information on an attempt, a route or the endpoint list, nothing is due before the earliest
  // time that the last round had to wait for.
  bool canSkipScan() { return !isReached(scanDueAt_); }
  // Call on new information on an attempt, a route or the endpoint list: pending attempts are scanned again.
  void requireScan() { scanDueAt_ = -1; }

  void recordAttemptSent() { lastAttemptRound_ = round_; }
  // Also correct for a timer that fires slightly early due to rounding: the next round then requests it
  // again.
  void recordTimerFired() { timerSetFor_ = -1; }

  // Ends a round. Returns the time to set the host's timer to, or nothing if the timer already set is early
  // enough.
  std::optional<Millis> endRound() {
    // An attempt sent in this round may be due before the times that were checked so far.
    scanDueAt_ = lastAttemptRound_ == round_ ? -1 : nextWakeAt_;
    if (nextWakeAt_ < 0 || (timerSetFor_ > now_ && timerSetFor_ <= nextWakeAt_)) return std::nullopt;
    timerSetFor_ = nextWakeAt_;
    return nextWakeAt_;
  }

 private:
  Millis now_{0};
  Millis startedAt_{-1};  // -1: before the first round
  int round_{0};
  Millis nextWakeAt_{-1};   // -1: nothing will be due
  Millis timerSetFor_{-1};  // -1: no timer is set
  Millis scanDueAt_{-1};
  int lastAttemptRound_{-1};
};

}  // namespace stonewing
