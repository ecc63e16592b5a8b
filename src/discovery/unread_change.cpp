#include "discovery/unread_change.h"

#include <algorithm>
#include <cstddef>

#include "discovery/poll_timing.h"

namespace stonewing {
namespace {

// So many polls without an answer show that discovery has nothing to tell, or has fallen silent.
constexpr int kUnansweredIfPossible = 1;
constexpr int kUnansweredIfCertain = 4;
// Responses may go on beginning for this long without one that can be read.
constexpr Millis kMaxUnreadDuration = 2 * discovery_timing::kMaxNotificationDelay;
// More responses than polls can start in that time.
constexpr std::size_t kMaxResponses = 256;

}  // namespace

bool UnreadChange::recordBegun(Millis now, Evidence evidence) {
  if (isExhausted(evidence)) return false;
  if (evidence == Evidence::certain) {
    evidence_ = Evidence::certain;
    unansweredPolls_ = 0;
  }
  if (begunAt_.size() < kMaxResponses) begunAt_.push_back(now);
  return begunAt_.size() == 1;
}

bool UnreadChange::recordUnanswered() {
  if (!isOpen()) return false;
  ++unansweredPolls_;
  const int needed = evidence_ == Evidence::certain ? kUnansweredIfCertain : kUnansweredIfPossible;
  if (unansweredPolls_ < needed) return false;
  close();
  return true;
}

bool UnreadChange::recordUnreachable() {
  if (!isOpen() || evidence_ == Evidence::certain) return false;
  close();
  return true;
}

void UnreadChange::recordRead(Millis responseBegunAt) {
  std::erase_if(begunAt_, [responseBegunAt](Millis begunAt) { return begunAt <= responseBegunAt; });
  expired_.reset();
  unansweredPolls_ = 0;
  if (!isOpen()) evidence_ = Evidence::possible;
}

bool UnreadChange::closeIfExpired(Millis now) {
  if (!isOpen() || now < *expiresAt()) return false;
  expired_ = evidence_;
  close();
  return true;
}

void UnreadChange::close() {
  begunAt_.clear();
  evidence_ = Evidence::possible;
  unansweredPolls_ = 0;
}

bool UnreadChange::isExhausted(Evidence evidence) const {
  return expired_ && (*expired_ == Evidence::certain || evidence == Evidence::possible);
}

std::optional<Millis> UnreadChange::begunAt() const {
  if (!isOpen()) return std::nullopt;
  return begunAt_.front();
}

std::optional<Millis> UnreadChange::expiresAt() const {
  if (!isOpen()) return std::nullopt;
  if (evidence_ == Evidence::possible) return begunAt_.front() + maxPossibleDuration_;
  return std::min(begunAt_.back() + discovery_timing::kMaxNotificationDelay,
                  begunAt_.front() + kMaxUnreadDuration);
}

}  // namespace stonewing
