#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

// What a deployment states when a dispatcher starts, as plain types. The settings reader alone knows how
// these are spelled in the settings. Times are milliseconds, rates are per second, shares lie between 0 and
// 1, unless a field says otherwise.
namespace stonewing {

// Whether an endpoint may receive a message again after an attempt that may have executed.
enum class Idempotency {
  idempotent,         // always
  idempotentWithKey,  // within TrafficType::deduplicationWindow and deduplicationScope
  nonIdempotent       // never
};

// Which endpoints recognize a repeated message by its idempotency key.
enum class DeduplicationScope {
  destination,  // all endpoints that the message may go to
  zone          // those in the zone of the earlier attempt
};

// How the weight of a message falls once its latency objective has passed.
enum class WeightDecay {
  linear,  // evenly, down to the late weight share at the deadline
  halving  // by half with each further latency objective, down to the late weight share
};

// The settings of one traffic type, as far as decisions depend on them.
struct TrafficType {
  Millis latencyObjective{};  // from acceptance; more than 0
  Millis deadlineAfter{};     // from acceptance; more than 0
  double priorityWeight{1};   // what a message delivered within its latency objective is worth
  double lateWeightShare{0};  // share of that weight that is left at the deadline
  Idempotency idempotency{Idempotency::nonIdempotent};
  // These two matter for idempotentWithKey alone. The window begins when the attempt is sent.
  DeduplicationScope deduplicationScope{DeduplicationScope::destination};
  Millis deduplicationWindow{};
  bool ordered{false};  // messages with the same ordering key are delivered one at a time, in order

  // Share of the weight that is left when `late` has passed since the latency objective.
  double weightShareAt(Millis late, WeightDecay decay) const {
    if (late <= 0) return 1;
    if (decay == WeightDecay::halving) return std::max(lateWeightShare, std::exp2(-late / latencyObjective));
    return 1 - (1 - lateWeightShare) * late / std::max(1.0, deadlineAfter - latencyObjective);
  }
};

// The settings of one kind of endpoint.
struct EndpointKindSettings {
  bool routesApart{false};  // each endpoint of a destination is a route of its own, with its own limits
  int maxBatchSize{1};      // messages in one request
};

// What an operator states about zone failover. The zones are those of the endpoint list.
struct ZoneFailoverSettings {
  // Best first; the zones of one entry are equal. Empty: zone failover is off.
  using Priorities = std::vector<std::vector<ZoneId>>;
  Priorities priorities;
  std::map<DestinationId, Priorities> destinations;  // in place of the above, for these destinations
  // Spillover attempts into a zone, as a share of the rate that this zone or the home zone takes, whichever
  // is higher; may be above 1.
  double spilloverShare{1};
  double spilloverRequestShare{1};  // of maxConcurrentRequests, for spillover into all zones together
  double spilloverPerSecond{0};     // spillover attempts into one zone at most; 0: no such limit
  Millis recoveryRampDuration{0};   // until a recovered zone gets its full rate; 0: slowStartDuration
  // Share of its full rate that a recovered zone gets at once; 0: slowStartInitialShare.
  double recoveryRampInitialShare{0};
};

// What a deployment states at the start of a dispatcher.
struct DeploymentSettings {
  std::vector<TrafficType> types;            // by TrafficTypeId
  std::vector<EndpointKindSettings> kinds;   // by KindId; a kind beyond its end has the default settings
  std::vector<double> tenantQuotaPerSecond;  // messages, by TenantId
  double overQuotaWeightShare{1};            // share of its weight that a message over its tenant's quota has
  WeightDecay decay{WeightDecay::linear};
  int maxConcurrentRequests{1};      // requests of this dispatcher to all endpoints together
  int maxInFlight{1};                // messages accepted and without a final answer
  int maxAttempts{1};                // attempts of one message
  int dispatcherCount{1};            // dispatchers that share the endpoints
  std::uint32_t dispatcherIndex{0};  // of this one among them, from 0
  ZoneId zone{};                     // where this dispatcher runs
  bool mayHedge{false};              // a message may have two pending attempts
  bool mayHealthCheck{false};
  bool mayCancel{false};            // a pending attempt may be cancelled
  bool mayAdviseRetryAfter{false};  // a rejection may say when to submit again
  bool hasReportedWeights{false};   // the endpoint list states the endpoints' capacities
  bool reportsRateLimit{false};     // responses state the endpoint's rate limit
  Millis maxRetryAfter{};           // longest time that a rejection may state
  Millis connectionIdleTimeout{};   // endpoints close a connection that was idle for so long; 0: not stated

  // A destination that recovers from an outage takes slowStartInitialShare of its capacity at least, and all
  // of it after slowStartDuration. It fails again when it is sent overloadThreshold (a multiple, above 1)
  // times its present capacity for overloadWindow.
  double slowStartInitialShare{1};
  Millis slowStartDuration{};
  double overloadThreshold{1};
  Millis overloadWindow{};

  // How long an ordering key rests after an attempt that may still be executing.
  Millis orderingPause{};
  ZoneFailoverSettings zoneFailover;

  // 0 where there is no traffic type.
  Millis longestLatencyObjective() const {
    Millis longest = 0;
    for (const TrafficType& type : types) longest = std::max(longest, type.latencyObjective);
    return longest;
  }
};

}  // namespace stonewing
