#pragma once

#include <chrono>

#include "base/ids.h"

// The two clocks of the program, both in milliseconds. They are not comparable with each other.
namespace stonewing {

// Time since an unspecified start; it never steps back. Decisions and timers use it.
inline Millis steadyNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Time since the Unix epoch; the host may step it. Times that are stored beyond the life of the process use
// it.
inline Millis wallNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace stonewing
