#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/ids.h"

// The delays between polls of discovery and the time-outs of a poll. All times are milliseconds.
//
// The bound: after a poll that failed, was rejected or timed out, an endpoint change reaches this dispatcher
// within kMaxNotificationDelay from the time at which discovery has the change and can be reached, whatever
// delays came before. The longest sequences of steps must end within it:
// - a watch without a response, the delay after it, a rejection, the delay after that, and an answer, with
//   time for the process's turns between these steps;
// - a connection that is not established, or a response that stays incomplete, until another poll starts
// beside
//   it, or the longest delay; a rejection, and from there the same steps.
namespace stonewing::discovery_timing {

constexpr Millis kMaxNotificationDelay = 6000;

// Discovery holds a watch open for this long before it answers that nothing has changed.
constexpr Millis kWatchTimeout = 2000;
// A watch that is still unanswered this long after kWatchTimeout counts as failed.
constexpr Millis kResponseGrace = 500;
// Time-out of a connection that is not established. Another poll starts beside it much sooner.
constexpr Millis kConnectTimeout = 1500;
// Time-out from the first byte of a response to its last. Another poll starts beside it much sooner.
constexpr Millis kResponseTimeout = 3000;
// The longest time for which a poll may stall before another one starts beside it. It begins with
// DrainBudget::stallTimeout and is doubled for each further poll until one is answered.
constexpr Millis kMaxStallTimeout = 500;

// The delay after a failure. It is doubled after each further failure.
constexpr Millis kMinRetryDelay = 50;
constexpr Millis kMaxRetryDelay = 1000;
// The delay after a rejection. Discovery then has too many clients: hundreds have started, or lost their
// watch, at the same time. With long delays from the first one on, their polls are spread thinly enough for
// all to be served. With short first delays, their polls would keep discovery overloaded, and it would go on
// rejecting.
constexpr Millis kRejectionDelay = 1800;
// The delays after a failure and after a rejection while a change is known and unread (UnreadChange). The
// first ones have to fit into DrainBudget::readWithin; if they do not succeed, polls become rarer.
constexpr Millis kMinUnreadRetryDelay = 15;
constexpr Millis kMaxUnreadRetryDelay = 200;
constexpr Millis kMinUnreadRejectionDelay = 75;
constexpr Millis kMaxUnreadRejectionDelay = 600;
// A poll without an answer for this long, while a change is known, shows that discovery does not tell it.
constexpr Millis kUnreadAnswerTimeout = 150;
// Delays are multiplied by a random factor from 1 - kDelaySpread to 1 + kDelaySpread.
constexpr double kDelaySpread = 0.5;

// Allowance for an answer that discovery sends at once, when its core is busy.
constexpr Millis kAnswerAllowance = 250;
// Allowance for the process's own turns between the steps, when it shares its core.
constexpr Millis kTurnsAllowance = 400;

constexpr Millis longestDelay(Millis delay) { return delay * (1 + kDelaySpread); }
constexpr Millis kMaxTimeFromRejection = longestDelay(kRejectionDelay) + kAnswerAllowance + kTurnsAllowance;
static_assert(kWatchTimeout + kResponseGrace + longestDelay(kMinRetryDelay) + kMaxTimeFromRejection <=
              kMaxNotificationDelay);
static_assert(kMaxStallTimeout + longestDelay(kMaxRetryDelay) + kMaxTimeFromRejection <=
              kMaxNotificationDelay);

// Computes the delays after unsuccessful polls. They are random, since dispatchers whose polls failed at the
// same time must not poll again at the same time.
class RetrySchedule {
 public:
  explicit RetrySchedule(std::uint64_t seed)
      : random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  Millis delayAfterFailure() { return nextDelay(kDoubling, kMinRetryDelay, kMaxRetryDelay); }
  Millis delayAfterRejection() { return nextDelay(kDoubling, kRejectionDelay, kRejectionDelay); }
  // The next two are for the time in which a change is known and unread.
  Millis delayAfterUnreadFailure() {
    return nextDelay(kUnreadGrowth, kMinUnreadRetryDelay, kMaxUnreadRetryDelay);
  }
  Millis delayAfterUnreadRejection() {
    return nextDelay(kDoubling, kMinUnreadRejectionDelay, kMaxUnreadRejectionDelay);
  }
  // To be called after a successful poll or a change of address: delays begin at the shortest again.
  void reset() { delay_ = 0; }

 private:
  static constexpr double kDoubling = 2;
  static constexpr double kUnreadGrowth = 1.5;

  Millis nextDelay(double growth, Millis minDelay, Millis maxDelay) {
    delay_ = std::clamp(growth * delay_, minDelay, maxDelay);
    std::uniform_real_distribution<double> factor(1 - kDelaySpread, 1 + kDelaySpread);
    return delay_ * factor(random_);
  }

  Millis delay_{0};  // the last delay, before the random factor
  std::mt19937 random_;
};

}  // namespace stonewing::discovery_timing
