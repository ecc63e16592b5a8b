#pragma once

#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "lab/experiment.h"
#include "lab/random_draws.h"
#include "lab/trace.h"

// The clients' decisions: which messages are due when, and when a client submits one again. The messages that
// are due and their times are drawn from the seed alone and don't depend on what the dispatchers do, so that
// runs with the same seed can be compared. Retry delays are drawn from a random engine of their own for that
// reason. The deadline of a message counts from the time when it was first due. Times are ms since the start
// of the run.
namespace stonewing::lab {

class ArrivalModel {
 public:
  ArrivalModel(const Experiment& experiment, std::uint64_t seed, Trace& trace);

  // When the next message is to be submitted; no value if none is left.
  std::optional<Millis> nextDueTime() const;
  // The next message that is due by now, as its index in the messages of the trace; no value if none is due.
  std::optional<std::uint32_t> nextDue(Millis now);
  // The time until the deadline of a message, negative after the deadline.
  Millis timeLeft(std::uint32_t message, Millis now) const;
  bool isResubmission(std::uint32_t message) const { return isResubmission_[message]; }

  // A message was rejected with -BUSY, or was accepted and shed later. It is submitted again after retryAfter
  // ms or, if that is 0, after a random delay around load.retryDelay, unless its retries are used up or its
  // deadline comes first.
  void recordRejection(Millis now, std::uint32_t message, Millis retryAfter);
  // The client had no response within kClientTimeout, or its connection ended. It submits the message again
  // at once, at least one time even where load.retries is 0.
  void recordTimeout(Millis now, std::uint32_t message);

  static constexpr Millis kClientTimeout = 400;

 private:
  struct PendingSubmission {
    Millis at{};
    std::uint32_t message{};
    bool operator>(const PendingSubmission& o) const {
      return std::tie(at, message) > std::tie(o.at, o.message);
    }
  };
  void drawNextArrival();
  void scheduleResubmission(Millis at, std::uint32_t message);

  const Experiment& experiment_;
  Trace& trace_;
  std::mt19937 randomEngine_;
  std::mt19937 retryRandomEngine_;
  ArrivalProcess arrivalProcess_;
  ZipfDistribution destinations_;
  std::vector<double> cumulativeTypeShares_;
  Millis drawnUntil_{0};
  bool allDrawn_{false};
  std::priority_queue<PendingSubmission, std::vector<PendingSubmission>, std::greater<>> pending_;
  std::vector<std::uint8_t> resubmissions_;
  std::vector<bool> isResubmission_;
};

}  // namespace stonewing::lab
