#pragma once

#include <algorithm>
#include <optional>

#include "base/ids.h"

namespace stonewing {

// Remembers that discovery has rejected polls, since it has too many clients then and is to be polled rarely.
// If it rejects polls again soon after that was forgotten, it is remembered for twice as long. Times are
// milliseconds of the event loop's clock.
class RejectionMemory {
 public:
  static constexpr Millis kMinDuration = 4000;
  static constexpr Millis kMaxDuration = 64'000;

  void recordRejected(Millis now) {
    if (until_ && now >= *until_) duration_ = durationAfter(now - *until_);
    until_ = now + duration_;
  }
  bool isRecent(Millis now) const { return until_ && now < *until_; }
  // Another discovery is polled from now on.
  void reset() { *this = {}; }

 private:
  // How long to remember a rejection that comes so long after the last ones were forgotten.
  Millis durationAfter(Millis forgottenFor) const {
    return forgottenFor < duration_ ? std::min(2 * duration_, kMaxDuration) : kMinDuration;
  }

  Millis duration_{kMinDuration};
  std::optional<Millis> until_;
};

}  // namespace stonewing
