#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

namespace stonewing {

enum class Idempotency { idempotent, idempotentWithKey, nonIdempotent };
enum class WeightDecay { linear, halving };
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
  Millis latencyObjective{};
  Millis deadlineAfter{};
  double priorityWeight{1};
  double lateWeightShare{0};
  Idempotency idempotency{Idempotency::nonIdempotent};
  bool deduplicatesWithinZone{false};
  Millis deduplicationWindow{};
  bool ordered{false};

  // Share of the gain that is left so long after the latency objective.
  double weightShareAt(Millis late, WeightDecay decay) const {
    if (late <= 0) return 1;
    if (decay == WeightDecay::halving) return std::max(lateWeightShare, std::exp2(-late / latencyObjective));
    return 1 - (1 - lateWeightShare) * late / std::max(1.0, deadlineAfter - latencyObjective);
  }
};

struct EndpointKindSettings {
  bool routesApart{false};
  int maxBatchSize{1};
};

// What an operator states of zones; they are the zones of the list.
struct ZoneFailoverSettings {
  // Best first; zones of one tier are alike. Empty: none are named, and nothing here ever binds.
  using Priorities = std::vector<std::vector<ZoneId>>;
  Priorities priorities;
  std::map<DestinationId, Priorities> destinations;  // in place of the above, for these
  double spilloverShare{1};  // of what the better of the two zones completed here, for strangers in a zone
  double spilloverRequestShare{1};  // of the concurrent requests, for strangers everywhere
  double spilloverPerSecond{0};     // attempts of strangers into one zone; 0: no such bound
  Millis recoveryRampDuration{0};   // until a zone that returned is fed in full; 0: the cold span
  double recoveryRampInitialShare{
      0};  // share of what it is asked to take that it is fed at once; 0: cold-from
};

// What a deployment states at the start of an instance.
struct DeploymentSettings {
  std::vector<TrafficType> types;
  std::vector<EndpointKindSettings> kinds;
  std::vector<double> tenantQuotaPerSecond;
  double overQuotaWeightShare{1};
  WeightDecay decay{WeightDecay::linear};
  int maxConcurrentRequests{1};
  int maxInFlight{1};
  int maxAttempts{1};
  int dispatcherCount{1};
  std::uint32_t dispatcherIndex{0};
  ZoneId zone{};
  bool mayHedge{false};
  bool mayHealthCheck{false};
  bool mayCancel{false};
  bool mayAdviseRetryAfter{false};
  bool hasReportedWeights{false};
  bool reportsRateLimit{false};
  Millis maxRetryAfter{};
  Millis connectionIdleTimeout{};  // an idle connection closes by itself after this
  double slowStartInitialShare{1};
  Millis slowStartDuration{};
  double overloadThreshold{1};
  Millis overloadWindow{};
  Millis orderingPause{};
  ZoneFailoverSettings zoneFailover;

  Millis longestLatencyObjective() const {
    Millis longest = 0;
    for (const TrafficType& t : types) longest = std::max(longest, t.latencyObjective);
    return longest;
  }
};

}  // namespace stonewing
