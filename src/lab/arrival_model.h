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

class Clients {
 public:
  Clients(const Plan& plan, std::uint64_t seed, Trace& trace);

  // When the next one is to be handed in; no value: none is left.
  std::optional<Millis> due() const;
  // The next that is due by now, as its place in the trace's messages.
  std::optional<std::uint32_t> next(Millis now);
  // How long a message may still be delivered.
  Millis left(std::uint32_t callback, Millis now) const;
  bool again(std::uint32_t callback) const { return again_[callback]; }

  // Refused by -BUSY, or shed later; wait 0 where no time was told.
  void refused(Millis now, std::uint32_t callback, Millis wait);
  // No answer in the client's patience: handed in elsewhere at once.
  void unanswered(Millis now, std::uint32_t callback);

  static constexpr Millis kPatience = 400;

 private:
  struct Coming {
    Millis at{};
    std::uint32_t callback{};
    bool operator>(const Coming& o) const { return std::tie(at, callback) > std::tie(o.at, o.callback); }
  };
  void plan();
  void comesAgain(Millis at, std::uint32_t callback);

  const Plan& plan_;
  Trace& trace_;
  std::mt19937 chance_;
  std::mt19937 chanceAgain_;
  Arrivals arrivals_;
  Zipf destinations_;
  std::vector<double> typeBelow_;
  Millis planned_{0};
  bool ended_{false};
  std::priority_queue<Coming, std::vector<Coming>, std::greater<>> coming_;
  std::vector<std::uint8_t> tries_;
  std::vector<bool> again_;
};

}  // namespace stonewing::lab
