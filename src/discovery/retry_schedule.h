#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/ids.h"

// When discovery is polled, and for how long an answer is waited for. All times are milliseconds.
//
// The bound: after a poll that failed, was rejected or timed out, an endpoint change reaches this dispatcher
// within kMaxNotificationDelay after discovery has it and can be reached, whatever delays came before. So the
// longest chain of steps has to end within that: a watch that has fallen silent, the delay after it, a
// rejection, the delay after that and an answer, with time for the process's turns between them; or a
// connection that does not come up or a response that stays incomplete, the longest delay, and the same
// rejection.
namespace stonewing::discovery_timing {

constexpr Millis kMaxNotificationDelay = 6000;

// Discovery holds a watch open for so long until it answers that nothing has changed.
constexpr Millis kWatchTimeout = 2000;
// A watch that is unanswered so long after its time will not be answered.
constexpr Millis kResponseGrace = 500;
// Without a limit of its own, a connection that never comes up would use up the time of a whole watch.
constexpr Millis kConnectTimeout = 500;
// From the first byte of a response to its last; discovery writes it in one go. Without this limit a response
// that trickles would be waited for forever.
constexpr Millis kResponseTimeout = 1000;

// The delay after a failure, doubled by each further one.
constexpr Millis kMinRetryDelay = 50;
constexpr Millis kMaxRetryDelay = 1000;
// The delay after a rejection. Discovery then has too many clients: hundreds that started, or lost their
// watch, at once. Spread thinly from the first delay on they are all served; with short delays first they
// would keep one another out.
constexpr Millis kRejectionDelay = 1800;
// Delays are multiplied by a random factor from 1 - kDelaySpread to 1 + kDelaySpread.
constexpr double kDelaySpread = 0.5;

// For an answer that discovery gives at once, on a busy core.
constexpr Millis kAnswerTime = 250;
// For the process's own turns between the steps, where it shares its core.
constexpr Millis kTurnsTime = 400;

constexpr Millis longest(Millis delay) { return delay * (1 + kDelaySpread); }
constexpr Millis kAfterRejection = longest(kRejectionDelay) + kAnswerTime + kTurnsTime;
static_assert(kWatchTimeout + kResponseGrace + longest(kMinRetryDelay) + kAfterRejection <=
              kMaxNotificationDelay);
static_assert(kConnectTimeout + longest(kMaxRetryDelay) + kAfterRejection <= kMaxNotificationDelay);
static_assert(kResponseTimeout + longest(kMaxRetryDelay) + kAfterRejection <= kMaxNotificationDelay);

// Delays before polls that follow an unsuccessful one. They are random, since dispatchers that failed
// together must not come back together.
class RetrySchedule {
 public:
  explicit RetrySchedule(std::uint64_t seed)
      : random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  Millis delayAfterFailure() { return nextDelay(kMinRetryDelay, kMaxRetryDelay); }
  Millis delayAfterRejection() { return nextDelay(kRejectionDelay, kRejectionDelay); }
  // A poll succeeded, or discovery moved: delays begin at the shortest again.
  void reset() { delay_ = 0; }

 private:
  Millis nextDelay(Millis shortest, Millis longest) {
    delay_ = std::clamp(2 * delay_, shortest, longest);
    std::uniform_real_distribution<double> factor(1 - kDelaySpread, 1 + kDelaySpread);
    return delay_ * factor(random_);
  }

  Millis delay_{0};  // the last one, before the random factor
  std::mt19937 random_;
};

}  // namespace stonewing::discovery_timing
