#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "delivery/close_cause.h"
#include "policy/attempt_outcome.h"

namespace stonewing {

// What delivery has done since the start of the process, for the log.
class DeliveryCounters {
 public:
  void countAttempt(AttemptOutcome outcome) { ++attempts_.at(static_cast<std::size_t>(outcome)); }
  void countClosed(CloseCause cause) { ++closed_.at(static_cast<std::size_t>(cause)); }
  void countOpened() { ++opened_; }
  void countTakenBack() { ++takenBack_; }
  void countUnconfirmed() { ++unconfirmed_; }

  std::uint64_t attempts(AttemptOutcome outcome) const {
    return attempts_.at(static_cast<std::size_t>(outcome));
  }
  std::uint64_t closed(CloseCause cause) const { return closed_.at(static_cast<std::size_t>(cause)); }
  // Connections that were opened.
  std::uint64_t opened() const { return opened_; }
  // Outcomes that were taken back, since their response belonged to another request.
  std::uint64_t takenBack() const { return takenBack_; }
  // Outcomes that came too early, and that no later response of their endpoint confirmed.
  std::uint64_t unconfirmed() const { return unconfirmed_; }

  bool operator==(const DeliveryCounters&) const = default;

 private:
  std::array<std::uint64_t, kAttemptOutcomeCount> attempts_{};
  std::array<std::uint64_t, kCloseCauseCount> closed_{};
  std::uint64_t opened_{0};
  std::uint64_t takenBack_{0};
  std::uint64_t unconfirmed_{0};
};

}  // namespace stonewing
