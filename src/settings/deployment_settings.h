#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

// The settings of a deployment, which are read when a dispatcher starts, as plain types. Only the settings
// readers know the keys of the settings text. Unless a field says otherwise, times are in milliseconds, rates
// per second, and shares between 0 and 1.
namespace stonewing {

// Whether an endpoint may receive a message again after an attempt that may have executed.
enum class Idempotency {
  idempotent,         // always
  idempotentWithKey,  // within TrafficType::deduplicationWindow and deduplicationScope
  nonIdempotent       // never
};

// Which endpoints recognize a repeated message by its idempotency key.
enum class DeduplicationScope {
  destination,  // all endpoints of the message's destination
  zone          // those in the zone of the earlier attempt
};

// Who answers a dispatcher's polls for the endpoint list.
enum class DiscoveryKind {
  localAgent,   // an agent on the dispatcher's own machine, which is sent all changes
  sharedServer  // a server that all dispatchers poll
};

// How the weight of a message falls once its latency objective has passed.
enum class WeightDecay {
  linear,  // linearly with time, down to lateWeightShare at the deadline
  halving  // halved each time another latency objective passes, but not below lateWeightShare
};

// The settings of one traffic type on which decisions depend.
struct TrafficType {
  Millis latencyObjective{};  // from acceptance; more than 0
  Millis deadlineAfter{};     // from acceptance; more than 0
  double priorityWeight{1};   // value of delivering a message within its latency objective
  double lateWeightShare{0};  // share of priorityWeight that remains at the deadline
  Idempotency idempotency{Idempotency::nonIdempotent};
  // The next two apply to idempotentWithKey only. The window begins when the attempt is sent.
  DeduplicationScope deduplicationScope{DeduplicationScope::destination};
  Millis deduplicationWindow{};
  bool ordered{false};  // messages with the same ordering key are delivered one at a time, in order

  // Share of priorityWeight that remains when the latency objective has been exceeded by `late`.
  double weightShareAt(Millis late, WeightDecay decay) const {
    if (late <= 0) return 1;
    if (decay == WeightDecay::halving) return std::max(lateWeightShare, std::exp2(-late / latencyObjective));
    return 1 - (1 - lateWeightShare) * late / std::max(1.0, deadlineAfter - latencyObjective);
  }
};

// The settings of one kind of endpoint.
struct EndpointKindSettings {
  // Each endpoint of a destination is a route of its own, with its own limits.
  bool hasRoutePerEndpoint{false};
  int maxBatchSize{1};  // most messages in one request
};

// An operator's settings of zone failover. The zones are those of the endpoint list.
struct ZoneFailoverSettings {
  // The highest priority first; the zones of one entry have equal priority. Empty: zone failover is off.
  using Priorities = std::vector<std::vector<ZoneId>>;
  Priorities priorities;
  std::map<DestinationId, Priorities> destinations;  // replace `priorities` for these destinations
  // Limit on the rate of spillover attempts into a zone, as a share of the rate that this zone or the home
  // zone handles, whichever is higher; may be above 1.
  double spilloverShare{1};
  double spilloverRequestShare{1};  // limit as a share of maxConcurrentRequests, for all zones together
  double spilloverPerSecond{0};     // most spillover attempts into one zone; 0: no such limit
  Millis recoveryRampDuration{0};   // until a recovered zone gets its full rate; 0: slowStartDuration
  // Share of its full rate that a recovered zone gets immediately; 0: slowStartInitialShare.
  double recoveryRampInitialShare{0};
};

// The settings of a deployment, as read at the start of a dispatcher.
struct DeploymentSettings {
  std::vector<TrafficType> types;            // by TrafficTypeId
  std::vector<EndpointKindSettings> kinds;   // by KindId; a kind beyond its end has the default settings
  std::vector<double> tenantQuotaPerSecond;  // messages, by TenantId
  double overQuotaWeightShare{1};            // factor on the weight of a message over its tenant's quota
  WeightDecay decay{WeightDecay::linear};
  int maxConcurrentRequests{1};      // requests of this dispatcher to all endpoints together
  int maxInFlight{1};                // messages that are accepted and not finished
  int maxAttempts{1};                // attempts of one message
  int dispatcherCount{1};            // dispatchers that share the endpoints
  std::uint32_t dispatcherIndex{0};  // index of this dispatcher among them, from 0
  ZoneId zone{};                     // the zone in which this dispatcher runs
  bool mayHedge{false};              // a message may have two pending attempts
  bool mayHealthCheck{false};
  bool mayCancel{false};            // a pending attempt may be cancelled
  bool mayAdviseRetryAfter{false};  // a rejection may state a time to wait before submitting again
  bool hasReportedWeights{false};   // the endpoint list states the endpoints' capacities
  bool reportsRateLimit{false};     // responses state the endpoint's rate limit
  Millis maxRetryAfter{};           // longest time to wait that a rejection may state
  Millis connectionIdleTimeout{};   // endpoints close a connection after this idle time; 0: unknown

  // A destination that recovers from an outage has at least slowStartInitialShare of its capacity at first,
  // and its full capacity after slowStartDuration. It fails again if it receives more than its present
  // capacity times overloadThreshold (a factor above 1) for overloadWindow.
  double slowStartInitialShare{1};
  Millis slowStartDuration{};
  double overloadThreshold{1};
  Millis overloadWindow{};

  // How long new attempts may still begin at an endpoint after discovery has written that it drains or is
  // removed.
  Millis drainGrace{500};
  DiscoveryKind discoveryKind{DiscoveryKind::localAgent};

  // How long no message with the same ordering key is sent after an attempt that may still be executing.
  Millis orderingPause{};
  ZoneFailoverSettings zoneFailover;
};

}  // namespace stonewing
