#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/ids.h"
#include "discovery/poll_timing.h"

namespace stonewing {
namespace discovery_timing {

// The delays after a failure and after a rejection while a change is known and unread (UnreadChange). The
// first ones have to fit into DrainBudget::readWithin; if they do not succeed, polls become rarer.
constexpr Millis kMinUnreadRetryDelay = 15;
constexpr Millis kMinUnreadRejectionDelay = 75;
constexpr Millis kMaxUnreadRejectionDelay = 600;
// A poll without an answer for this long, while a change is known, shows that discovery does not tell it.
constexpr Millis kUnreadAnswerTimeout = 150;

}  // namespace discovery_timing

// Computes the delays after unsuccessful polls. They are random, since dispatchers whose polls failed at the
// same time must not poll again at the same time.
class RetrySchedule {
 public:
  RetrySchedule(const PollTiming& timing, std::uint64_t seed)
      : timing_(timing), random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  Millis delayAfterFailure() { return nextDelay(kDoubling, timing_.minRetryDelay, timing_.maxRetryDelay); }
  Millis delayAfterRejection() {
    return nextDelay(kDoubling, timing_.rejectionDelay, timing_.rejectionDelay);
  }
  // The next two are for the time in which a change is known and unread.
  Millis delayAfterUnreadFailure() {
    return nextDelay(kUnreadGrowth, discovery_timing::kMinUnreadRetryDelay, timing_.maxUnreadRetryDelay);
  }
  Millis delayAfterUnreadRejection() {
    return nextDelay(kDoubling, discovery_timing::kMinUnreadRejectionDelay,
                     std::min(discovery_timing::kMaxUnreadRejectionDelay, timing_.rejectionDelay));
  }
  // To be called after a successful poll or a change of address: delays begin at the shortest again.
  void reset() { delay_ = 0; }

 private:
  static constexpr double kDoubling = 2;
  static constexpr double kUnreadGrowth = 1.5;

  Millis nextDelay(double growth, Millis minDelay, Millis maxDelay) {
    using discovery_timing::kDelaySpread;
    delay_ = std::min(std::max(growth * delay_, minDelay), maxDelay);
    std::uniform_real_distribution<double> factor(1 - kDelaySpread, 1 + kDelaySpread);
    return delay_ * factor(random_);
  }

  PollTiming timing_;
  Millis delay_{0};  // the last delay, before the random factor
  std::mt19937 random_;
};

}  // namespace stonewing
