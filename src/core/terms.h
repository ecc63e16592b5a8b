#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"

namespace stonewing {

enum class Effect { pure, receipted, effectful };
enum class Decay { linear, halving };
enum class EndpointState { removed, ready, draining };
// withheld: not sent, for want of something of the host's own.
enum class AttemptOutcome {
  completed,
  error,
  rejected,
  timeout,
  connectFailed,
  reset,
  cancelled,
  notSent,
  localResourceExhausted
};

constexpr bool isUnsent(AttemptOutcome ending) {
  return ending == AttemptOutcome::notSent || ending == AttemptOutcome::localResourceExhausted;
}

// One row a traffic type; only what the rules read.
struct TrafficType {
  Millis promised{};
  Millis outer{};
  double gain{1};
  double lateShare{0};
  Effect effect{Effect::effectful};
  bool zoneGroup{false};
  Millis repeatWindow{};
  bool ordered{false};

  // Share of the gain that is left so long after the latency objective.
  double shareLeft(Millis late, Decay decay) const {
    if (late <= 0) return 1;
    if (decay == Decay::halving) return std::max(lateShare, std::exp2(-late / promised));
    return 1 - (1 - lateShare) * late / std::max(1.0, outer - promised);
  }
};

struct KindTerms {
  bool routesApart{false};
  int maxBatchSize{1};
};

// What an operator states of rooms; they are the zones of the list.
struct RoomTerms {
  // Best first; rooms of one tier are alike. Empty: none are named, and nothing here ever binds.
  using Tiers = std::vector<std::vector<ZoneId>>;
  Tiers tiers;
  std::map<DestinationId, Tiers> destinations;  // in place of the above, for these
  double spillShare{1};      // of what the better of the two rooms completed here, for strangers in a room
  double spillSlots{1};      // of the concurrent requests, for strangers everywhere
  double spillPerSecond{0};  // attempts of strangers into one room; 0: no such bound
  Millis climb{0};           // until a room that returned is fed in full; 0: the cold span
  double climbFrom{0};       // share of what it is asked to take that it is fed at once; 0: cold-from
};

// What a deployment states at the start of an instance.
struct DeploymentTerms {
  std::vector<TrafficType> types;
  std::vector<KindTerms> kinds;
  std::vector<double> tenantQuotaPerSecond;
  double overShareGain{1};
  Decay decay{Decay::linear};
  int maxConcurrentRequests{1};
  int maxInFlight{1};
  int maxAttempts{1};
  int instances{1};
  std::uint32_t me{0};
  ZoneId zone{};
  bool mayHedge{false};
  bool mayHealthCheck{false};
  bool mayCancel{false};
  bool shedAdvice{false};
  bool weightsTold{false};
  bool limitReported{false};
  Millis longestAdvice{};
  Millis connectionIdle{};  // an idle connection closes by itself after this
  double coldFrom{1};
  Millis coldSpan{};
  double fallMultiple{1};
  Millis fallSpan{};
  Millis orderPause{};
  RoomTerms rooms;

  Millis longestPromise() const {
    Millis longest = 0;
    for (const TrafficType& t : types) longest = std::max(longest, t.promised);
    return longest;
  }
};

}  // namespace stonewing
