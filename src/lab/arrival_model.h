#pragma once

#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "lab/experiment.h"
#include "lab/random_draws.h"
#include "lab/trace.h"

// The clients as one: which messages are due when, and when they come again. The day that is due is drawn
// from the seed alone, so that it is the same whatever the dispatchers do; comings-again have chance of their
// own. A message's time counts from when it was due.
namespace stonewing::lab {

class ArrivalModel {
 public:
  ArrivalModel(const Experiment& experiment, std::uint64_t seed, Trace& trace);

  // When the next one is to be handed in; no value: none is left.
  std::optional<Millis> due() const;
  // The next that is due by now, as its place in the trace's messages.
  std::optional<std::uint32_t> nextDue(Millis now);
  // How long a message may still be delivered.
  Millis timeLeft(std::uint32_t message, Millis now) const;
  bool isResubmission(std::uint32_t message) const { return isResubmission_[message]; }

  // Refused by -BUSY, or shed later; wait 0 where no time was told.
  void recordRejection(Millis now, std::uint32_t message, Millis wait);
  // No answer in the client's patience: handed in elsewhere at once.
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
