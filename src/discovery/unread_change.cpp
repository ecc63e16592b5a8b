#include "discovery/unread_change.h"

#include "discovery/retry_schedule.h"

namespace stonewing {
namespace {

// So many polls without an answer show that discovery has nothing to tell, or has fallen silent.
constexpr int kUnansweredIfPossible = 1;
constexpr int kUnansweredIfCertain = 4;

}  // namespace

bool UnreadChange::recordBegun(Millis now, Evidence evidence) {
  if (hasExpired_) return false;
  if (evidence == Evidence::certain) evidence_ = Evidence::certain;
  unansweredPolls_ = 0;
  if (begunAt_) return false;
  begunAt_ = now;
  return true;
}

bool UnreadChange::recordUnanswered() {
  if (!begunAt_) return false;
  ++unansweredPolls_;
  const int needed = evidence_ == Evidence::certain ? kUnansweredIfCertain : kUnansweredIfPossible;
  if (unansweredPolls_ < needed) return false;
  begunAt_.reset();
  evidence_ = Evidence::possible;
  return true;
}

void UnreadChange::recordRead() { *this = {}; }

bool UnreadChange::closeIfExpired(Millis now) {
  if (!begunAt_ || now < *expiresAt()) return false;
  *this = {};
  hasExpired_ = true;
  return true;
}

std::optional<Millis> UnreadChange::expiresAt() const {
  if (!begunAt_) return std::nullopt;
  return *begunAt_ + discovery_timing::kMaxNotificationDelay;
}

}  // namespace stonewing
