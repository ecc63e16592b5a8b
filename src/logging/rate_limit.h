#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/ids.h"

namespace stonewing::log {

// Bounds how many lines the events of one kind write, so that a log at a level that stands in service cannot
// fill a disk. A token bucket: `burst` lines at once, `perSecond` in the long run. Not thread-safe.
class RateLimit {
 public:
  RateLimit(double perSecond, double burst) : perSecond_(perSecond), burst_(burst), tokens_(burst) {}

  // Whether another line may be written at `now` (steady clock, milliseconds). A line that may not is counted
  // as suppressed.
  bool allow(Millis now) {
    constexpr Millis kMillisPerSecond = 1000;
    tokens_ = std::min(burst_, tokens_ + perSecond_ * std::max(0.0, now - lastAt_) / kMillisPerSecond);
    lastAt_ = now;
    if (tokens_ < 1) {
      ++suppressed_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // The number of lines suppressed since the last call.
  std::uint64_t takeSuppressed() { return std::exchange(suppressed_, 0); }

 private:
  double perSecond_;
  double burst_;
  double tokens_;
  Millis lastAt_{0};
  std::uint64_t suppressed_{0};
};

}  // namespace stonewing::log
