#pragma once

#include <cstdint>
#include <optional>

#include "policy/attempt_canceller.h"
#include "policy/attempt_report.h"
#include "policy/concurrency_limiter.h"
#include "policy/connection_reuse.h"
#include "policy/decision.h"
#include "policy/endpoint_registry.h"
#include "policy/endpoint_selector.h"
#include "policy/health_check_queue.h"
#include "policy/health_checker.h"
#include "policy/hedging.h"
#include "policy/latency_tracker.h"
#include "policy/load_shedder.h"
#include "policy/message_registry.h"
#include "policy/ordering.h"
#include "policy/outlier_detector.h"
#include "policy/policy_state.h"
#include "policy/quota.h"
#include "policy/random_source.h"
#include "policy/rate_pacer.h"
#include "policy/request_tracker.h"
#include "policy/retry_budget.h"
#include "policy/round_clock.h"
#include "policy/scheduler.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Every decision about messages of one dispatcher, and the only part of src/policy/ that hosts call.
//
// For each batch of events: call beginRound(now), then the inputs in the order in which they came, which only
// update what is known, then nextDecision() until it returns nothing, and carry out each decision in order.
// It has no sockets, files, clock, threads or log of its own; the same settings, seed and inputs give the
// same decisions. Not thread-safe: one thread calls it. Times and durations are in milliseconds.
namespace stonewing {

class DispatchPolicy {
 public:
  DispatchPolicy(DeploymentSettings settings, std::uint64_t seed);
  // Its modules refer to each other.
  DispatchPolicy(const DispatchPolicy&) = delete;
  DispatchPolicy& operator=(const DispatchPolicy&) = delete;

  // Time does not run backwards.
  void beginRound(Millis now);

  // An endpoint list, or a part of it: begin, then addEndpoint for each endpoint, then commit. isWhole:
  // endpoints that were not added are removed.
  void beginEndpointList();
  void addEndpoint(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
                   EndpointState state);
  void commitEndpointList(bool isWhole);

  // Throws std::out_of_range for an unknown traffic type.
  void acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                     DestinationId destination, Millis deadline);
  // Of a message just accepted: an attempt by an earlier process, in the order of its attempts. Message and
  // endpoint must be known.
  void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt, bool provablyNotExecuted);
  // The client no longer wants it.
  void cancelMessage(MessageId id);

  // Messages that are no longer known are ignored by all of these.
  // How long the connection of an attempt that was just decided had been idle, where the host knows it.
  // Throws std::out_of_range for an unknown attempt of a known message.
  void recordConnectionIdleTime(MessageId id, int attempt, Millis idleTime);
  // The attempt, delayed since it was decided, is sent now. Throws as above.
  void recordSendTime(MessageId id, int attempt);
  // Unknown attempts are ignored by these two.
  void recordResponseStarted(MessageId id, int attempt);
  // latency: from its start. isFinal: no further attempt is wanted, whatever the outcome. retryAfter: what
  // the response asks for, from now; 0 for nothing.
  void recordAttemptOutcome(MessageId id, int attempt, AttemptOutcome outcome, Millis latency, bool isFinal,
                            Millis retryAfter, LoadReport report);
  void recordHealthCheckOutcome(EndpointId id, AttemptOutcome outcome, LoadReport report);
  void recordTimerFired();

  // The next thing to do in this round; nothing when the round has ended.
  std::optional<Decision> nextDecision();

  // Whether a tenant is over its quota here, as of its last message.
  bool isOverQuota(TenantId tenant) const { return quota_.isOver(tenant); }
  // Whether an attempt that was decided earlier may still be sent. It begins when its connection is up, which
  // may be late, and must be one that would be allowed now.
  bool mayStartAttempt(MessageId id, int attempt) const;

  PolicyState state() const;

 private:
  Attempt* findAttempt(MessageId id, int attempt);
  void learnFromResult(const Message& message, const Attempt& attempt, const AttemptReport& result);
  void learnFromRejection(const Attempt& attempt, const AttemptReport& result);
  // Whether its connection had ended before the attempt was sent.
  bool isStaleConnection(const Message& message, const Attempt& attempt, const AttemptReport& result) const;
  Millis retryDelay(const Message& message, const Attempt& attempt, const AttemptReport& result) const;
  void recordSuccess(Endpoint& endpoint, Millis sentAt, Millis latency);
  void recordFailure(Endpoint& endpoint, Millis sentAt, AttemptOutcome outcome);
  void recordRejection(Endpoint& endpoint, Millis sentAt, Millis retryAfter);
  void resetScans();
  void forgetUnused();

  std::optional<Decision> nextHedge();
  std::optional<Decision> nextAttempt();
  std::optional<Decision> nextIdleConnection();
  std::optional<Decision> nextTimer();
  Decision sendAttempt(const PlannedAttempt& planned, AttemptKind kind);
  void sendInRequest(Endpoint& endpoint);

  // The modules refer to those above them.
  DeploymentSettings settings_;
  RandomSource random_;
  RoundClock clock_;
  ZoneFailover zones_;
  LatencyTracker latencies_;
  HealthCheckQueue healthCheckQueue_;
  RatePacer pacer_;
  ConcurrencyLimiter limiter_;
  SlowStart slowStart_;
  OutlierDetector outliers_;
  EndpointRegistry endpoints_;
  RequestTracker requests_;
  ConnectionReuse connections_;
  HealthChecker healthChecker_;
  Ordering ordering_;
  MessageRegistry messages_;
  Quota quota_;
  RetryBudget retryBudget_;
  LoadShedder shedder_;
  AttemptCanceller canceller_;
  EndpointSelector selector_;
  Hedging hedging_;
  Scheduler scheduler_;
};

}  // namespace stonewing
