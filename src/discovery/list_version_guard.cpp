#include "discovery/list_version_guard.h"

#include "discovery/poll_timing.h"

namespace stonewing {
namespace {

// After so long, and so many lists, versions count as numbered anew.
constexpr Millis kRenumberedAfter = 4000;
constexpr int kRenumberedLists = 10;
static_assert(kRenumberedAfter + discovery_timing::longestDelay(sharedServerTiming(500).maxRetryDelay) <
              discovery_timing::kMaxNotificationDelay);

}  // namespace

bool ListVersionGuard::accept(std::int64_t version, Millis now) {
  if (isOutdated(version)) {
    if (!outdatedSince_) outdatedSince_ = now;
    ++outdatedCount_;
    if (now - *outdatedSince_ < kRenumberedAfter || outdatedCount_ < kRenumberedLists) return false;
  }
  newest_ = version;
  outdatedSince_.reset();
  outdatedCount_ = 0;
  return true;
}

}  // namespace stonewing
