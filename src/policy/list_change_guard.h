#pragma once

#include <optional>

#include "base/ids.h"
#include "policy/drain_budget.h"
#include "policy/round_clock.h"

namespace stonewing {

// Decides whether attempts may begin while a change of the endpoint list is known and unread. It may say that
// any endpoint drains, and after the drain grace no attempt may begin there. So attempts wait from shortly
// before the end of the grace until the change is read.
//
// Owns: since when a change is unread. Input: that a change has begun to arrive, that it was read or is no
// longer waited for. Query: whether attempts may begin.
class ListChangeGuard {
 public:
  // `clock` must outlive the object. `drainGrace`: DeploymentSettings::drainGrace.
  ListChangeGuard(const RoundClock& clock, Millis drainGrace)
      : clock_(clock), readWithin_(drainBudget(drainGrace).readWithin) {}

  // A change began to arrive at that time (milliseconds of the policy's clock) and is not read. The earliest
  // of several calls counts.
  void recordUnread(Millis begunAt) {
    if (!unreadSince_) unreadSince_ = begunAt;
  }
  // No change is unread any more.
  void recordRead() { unreadSince_.reset(); }

  bool mayBeginAttempts() const { return !unreadSince_ || clock_.now() < *unreadSince_ + readWithin_; }

 private:
  const RoundClock& clock_;
  Millis readWithin_;
  std::optional<Millis> unreadSince_;
};

}  // namespace stonewing
