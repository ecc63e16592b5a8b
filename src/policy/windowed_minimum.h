#pragma once

#include <algorithm>
#include <limits>
#include <optional>

#include "base/ids.h"

namespace stonewing {

// The smallest of the recent values: of those in the present period of time and in the one before. Values of
// older periods are forgotten only when a newer value is added, so that a minimum is known from the first
// value on.
class WindowedMinimum {
 public:
  // period: in milliseconds, above 0.
  explicit WindowedMinimum(Millis period) : period_(period) {}

  void add(Millis value, Millis now) {
    if (current_ == kNone || now >= periodBeganAt_ + period_) {
      previous_ = current_;
      current_ = kNone;
      periodBeganAt_ = now;
    }
    current_ = std::min(current_, value);
  }

  // No value before the first add().
  std::optional<Millis> value() const {
    if (current_ == kNone) return std::nullopt;
    return std::min(current_, previous_);
  }

 private:
  static constexpr Millis kNone = std::numeric_limits<Millis>::infinity();

  Millis period_;
  Millis periodBeganAt_{0};
  Millis current_{kNone};
  Millis previous_{kNone};
};

}  // namespace stonewing
