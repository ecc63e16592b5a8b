#pragma once

#include <optional>

#include "base/ids.h"

// The time of the policy, in milliseconds of the host's clock, and the timer it wants.
//
// Owns: the time and number of the current round, the earliest time at which something comes due, the timer
// that the host was asked for. Input: beginning and end of each round. Queries: the time, and whether a given
// time has come; each time that has not come yet is remembered, so that the host calls again then.
namespace stonewing {

class RoundClock {
 public:
  // now does not run backwards.
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

  // Whether that time has come; if not, the policy is to be called again then.
  bool isReached(Millis at) {
    if (at > now_ && (nextWakeAt_ < 0 || at < nextWakeAt_)) nextWakeAt_ = at;
    return now_ >= at;
  }
  // The policy is to be called again at that time, if it lies ahead.
  void wakeAt(Millis at) { isReached(at); }

  // Whether no pending attempt can come due yet. Between two inputs that tell something of an attempt, a
  // route or the endpoint list, nothing comes due before the time that the last round asked to be woken at;
  // until then no scan over the pending attempts is needed.
  bool isQuiet() { return !isReached(quietUntil_); }
  // Something was learned of an attempt, a route or the endpoint list: pending attempts are scanned again.
  void endQuiet() { quietUntil_ = -1; }

  void recordAttemptSent() { lastAttemptRound_ = round_; }
  // Also when it fires a rounding early: then what is due is asked for again.
  void recordTimerFired() { timerSetFor_ = -1; }

  // Ends a round. Returns the time to set the host's timer to, or nothing where the timer already set will
  // do.
  std::optional<Millis> endRound() {
    // An attempt sent in this round may come due before the times that were asked about so far.
    quietUntil_ = lastAttemptRound_ == round_ ? -1 : nextWakeAt_;
    if (nextWakeAt_ < 0 || (timerSetFor_ > now_ && timerSetFor_ <= nextWakeAt_)) return std::nullopt;
    timerSetFor_ = nextWakeAt_;
    return nextWakeAt_;
  }

 private:
  Millis now_{0};
  Millis startedAt_{-1};  // -1: before the first round
  int round_{0};
  Millis nextWakeAt_{-1};   // -1: nothing comes due
  Millis timerSetFor_{-1};  // -1: no timer is set
  Millis quietUntil_{-1};
  int lastAttemptRound_{-1};
};

}  // namespace stonewing
