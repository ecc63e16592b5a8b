#pragma once

#include <algorithm>
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
    if (!current_ || now >= periodBeganAt_ + period_) {
      previous_ = current_;
      current_.reset();
      periodBeganAt_ = now;
    }
    current_ = current_ ? std::min(*current_, value) : value;
  }

  // No value before the first add().
  std::optional<Millis> value() const {
    if (current_ && previous_) return std::min(*current_, *previous_);
    return current_;
  }

 private:
  Millis period_;
  Millis periodBeganAt_{0};
  std::optional<Millis> current_;
  std::optional<Millis> previous_;
};

}  // namespace stonewing
