#include "policy/connection_trust.h"

#include <algorithm>

namespace stonewing {
namespace {

// A repeated response usually follows its original within 50 ms.
constexpr Millis kQuietBeforeReuseMs = 60;
// How long an endpoint is not trusted. Doubled if the next unexpected bytes arrive within such a time after
// the last period.
constexpr Millis kInitialDistrustMs = 30'000;
constexpr Millis kMaxDistrustMs = 600'000;
// So many endpoints at once that are not trusted show a common cause, such as a proxy before all of them: at
// least kMinSuspectEndpoints, and this share of all.
constexpr std::size_t kMinSuspectEndpoints = 3;
constexpr double kSuspectShare = 0.1;

}  // namespace

void ConnectionTrust::recordUnexpectedBytes(EndpointId endpoint) {
  Distrust& distrust = distrust_[endpoint];
  bool isRecurrence = distrust.duration > 0 && clock_.now() < distrust.until + distrust.duration;
  bool isInPeriod = clock_.now() < distrust.until;
  if (!isRecurrence) {
    distrust.duration = kInitialDistrustMs;
  } else if (!isInPeriod) {
    distrust.duration = std::min(kMaxDistrustMs, 2 * distrust.duration);
  }
  distrust.until = clock_.now() + distrust.duration;
  std::erase_if(distrust_, [this](const auto& entry) {
    return clock_.now() >= entry.second.until + entry.second.duration;
  });
}

std::size_t ConnectionTrust::distrustedCount() const {
  return static_cast<std::size_t>(
      std::count_if(distrust_.begin(), distrust_.end(),
                    [this](const auto& entry) { return clock_.now() < entry.second.until; }));
}

bool ConnectionTrust::isTrusted(EndpointId endpoint, std::size_t endpointCount) const {
  if (distrust_.empty()) return true;
  auto found = distrust_.find(endpoint);
  if (found != distrust_.end() && clock_.now() < found->second.until) return false;
  std::size_t suspects = distrustedCount();
  bool isCommonCause = suspects >= kMinSuspectEndpoints &&
                       static_cast<double>(suspects) >= kSuspectShare * static_cast<double>(endpointCount);
  return !isCommonCause;
}

std::optional<Millis> ConnectionTrust::quietBeforeReuse(EndpointId endpoint,
                                                        std::size_t endpointCount) const {
  if (!isTrusted(endpoint, endpointCount)) return std::nullopt;
  return kQuietBeforeReuseMs;
}

}  // namespace stonewing
