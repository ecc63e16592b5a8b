#pragma once

#include <cstdint>
#include <optional>

#include "policy/attempt_canceller.h"
#include "policy/attempt_report.h"
#include "policy/concurrency_limiter.h"
#include "policy/connection_reuse.h"
#include "policy/connection_trust.h"
#include "policy/decision.h"
#include "policy/delivery_forecast.h"
#include "policy/endpoint_registry.h"
#include "policy/endpoint_selector.h"
#include "policy/health_check_queue.h"
#include "policy/health_checker.h"
#include "policy/hedging.h"
#include "policy/latency_tracker.h"
#include "policy/list_change_guard.h"
#include "policy/load_shedder.h"
#include "policy/message_registry.h"
#include "policy/ordering.h"
#include "policy/outlier_detector.h"
#include "policy/policy_state.h"
#include "policy/quota.h"
#include "policy/random_source.h"
#include "policy/rate_pacer.h"
#include "policy/request_tracker.h"
#include "policy/response_arrival.h"
#include "policy/response_evidence.h"
#include "policy/response_plausibility.h"
#include "policy/retry_budget.h"
#include "policy/round_clock.h"
#include "policy/scheduler.h"
#include "policy/slow_start.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

// Makes every decision about the messages of one dispatcher, and is the only part of src/policy/ that hosts
// call.
//
// For each batch of events, the host calls beginRound(now), then the input functions in the order in which
// the events came, then nextDecision() until it returns nothing, and carries out each decision in order. The
// input functions only update the policy's state. The policy has no sockets, files, clock, threads or log of
// its own; the same settings, seed and inputs give the same decisions. Not thread-safe: a single thread calls
// it. Times and durations are in milliseconds.
namespace stonewing {

class DispatchPolicy {
 public:
  DispatchPolicy(DeploymentSettings settings, std::uint64_t seed);
  // Not copyable: its modules hold references to each other.
  DispatchPolicy(const DispatchPolicy&) = delete;
  DispatchPolicy& operator=(const DispatchPolicy&) = delete;

  // now must not be earlier than in the round before.
  void beginRound(Millis now);

  // For an endpoint list, or a part of one, call beginEndpointList(), addEndpoint() for each endpoint, then
  // commitEndpointList(). isComplete: endpoints that were not added are removed.
  void beginEndpointList();
  void addEndpoint(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
                   EndpointState state);
  void commitEndpointList(bool isComplete);

  // Throws std::out_of_range for an unknown traffic type.
  void acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                     DestinationId destination, Millis deadline);
  // Adds an attempt that an earlier process made, to a message that was just accepted. Call it in the order
  // of the attempts. Message and endpoint must be known.
  void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sentAt, bool provablyNotExecuted);
  // The client no longer wants the message.
  void cancelMessage(MessageId id);

  // The next four functions ignore messages that are no longer known.

  // How long the connection of an attempt that was just decided had been idle, where the host knows it.
  // Throws std::out_of_range for an unknown attempt of a known message.
  void recordConnectionIdleTime(MessageId id, int attempt, Millis idleTime);
  // An attempt that was decided earlier is sent only now. Throws as recordConnectionIdleTime() does.
  void recordSendTime(MessageId id, int attempt);
  // This function and the next ignore unknown attempts.
  void recordResponseStarted(MessageId id, int attempt);
  // latency: from the start of the attempt. isFinal: the message gets no further attempt, whatever the
  // outcome. retryAfter: the delay that the response asks for, from now; 0 for none.
  void recordAttemptOutcome(MessageId id, int attempt, AttemptOutcome outcome, Millis latency, bool isFinal,
                            Millis retryAfter, LoadReport report);
  void recordHealthCheckOutcome(EndpointId id, AttemptOutcome outcome, LoadReport report);
  void recordTimerFired();
  // A complete response arrived that fits its request. Must be called before the outcomes that it reports are
  // recorded. An unknown endpoint is ignored.
  void recordResponse(EndpointId id, const ResponseArrival& response, ResponseProof proof);
  // Bytes that belong to no request arrived on a connection to the endpoint.
  void recordUnexpectedBytes(EndpointId id);
  // A response asks for a delay, from now, before its outcome is recorded. An unknown endpoint is ignored.
  void recordRetryAfter(EndpointId id, Millis retryAfter);

  // A change of the endpoint list began to arrive at `begunAt`, and is not read completely. From shortly
  // before the end of the drain grace on, no attempt begins until recordListChangeRead(). The earliest call
  // counts.
  void recordUnreadListChange(Millis begunAt) { listChanges_.recordUnread(begunAt); }
  // No change is unread any more: one was read, or is no longer waited for.
  void recordListChangeRead() { listChanges_.recordRead(); }
  // Whether attempts may begin as far as changes of the endpoint list are concerned.
  bool mayBeginAttempts() const { return listChanges_.mayBeginAttempts(); }

  // Returns the next decision of this round; nothing when the round has ended.
  std::optional<Decision> nextDecision();

  // Whether a tenant was over its quota at this dispatcher when its last message was accepted.
  bool isOverQuota(TenantId tenant) const { return quota_.isOver(tenant); }
  // Whether an attempt that was decided earlier may still be sent. It is sent once its connection is
  // established. That may be late, when a new attempt at the endpoint would no longer be allowed.
  bool mayStartAttempt(MessageId id, int attempt) const;

  // How long a connection to the endpoint must have been quiet since its last response before it may carry
  // another request, in milliseconds; no value if it may carry only one.
  std::optional<Millis> quietBeforeReuse(EndpointId id) const;
  // How to handle the outcome of a pending attempt by a response that may belong to an earlier request on its
  // connection. isFinal: the outcome ends the message.
  ResponseDoubt responseDoubt(MessageId id, int attempt, AttemptOutcome outcome, bool isFinal) const;
  // Whether a response that may belong to an earlier request came too early to belong to its own.
  bool isResponseTooEarly(EndpointId id, const ResponseArrival& response) const;
  // Whether such a response belongs to its request, if nothing has contradicted it until its time of
  // confirmation. To be called then, and again later if it was not confirmed.
  bool confirmResponse(EndpointId id, const ResponseArrival& response);

  PolicyState state() const;

 private:
  Attempt* findAttempt(MessageId id, int attempt);
  void applyResult(const Message& message, const Attempt& attempt, const AttemptReport& result);
  void applyRejection(const Attempt& attempt, const AttemptReport& result);
  // Whether the attempt's connection had ended before the attempt was sent.
  bool isStaleConnection(const Message& message, const Attempt& attempt, const AttemptReport& result) const;
  Millis retryDelay(const Message& message, const Attempt& attempt, const AttemptReport& result) const;
  void recordSuccess(Endpoint& endpoint, Millis sentAt, Millis latency);
  void recordFailure(Endpoint& endpoint, Millis sentAt, AttemptOutcome outcome);
  void recordRejection(Endpoint& endpoint, Millis sentAt, Millis retryAfter);
  void resetScans();
  void eraseUnusedState();

  std::optional<Decision> nextHedge();
  std::optional<Decision> nextAttempt();
  std::optional<Decision> nextIdleConnection();
  std::optional<Decision> nextTimer();
  Decision sendAttempt(const PlannedAttempt& planned, AttemptKind kind);
  void joinOrOpenRequest(Endpoint& endpoint);

  // Each module may hold references only to members declared above it.
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
  ConnectionTrust trust_;
  ResponsePlausibility plausibility_;
  ListChangeGuard listChanges_;
  HealthChecker healthChecker_;
  Ordering ordering_;
  MessageRegistry messages_;
  Quota quota_;
  RetryBudget retryBudget_;
  DeliveryForecast forecast_;
  LoadShedder shedder_;
  AttemptCanceller canceller_;
  EndpointSelector selector_;
  Hedging hedging_;
  Scheduler scheduler_;
};

}  // namespace stonewing
