#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/policy_state.h"
#include "settings/deployment_settings.h"

namespace stonewing {

// The decisions of one instance. Tell it what happened, then pull decisions until there is none.
class DispatchPolicy {
 public:
  DispatchPolicy(DeploymentSettings terms, std::uint64_t seed);

  void beginRound(Millis now);
  void beginEndpointList();
  void addEndpoint(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
                   EndpointState phase);
  void commitEndpointList(bool whole);
  void acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                     DestinationId destination, Millis outerLimit);
  // Of a message just taken, by an earlier process; in the order of its attempts.
  void recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sent, bool neverRan);
  // Of an attempt just decided, where the host knows it: how long the connection it goes out on had been
  // idle.
  void recordConnectionIdleTime(MessageId id, int launch, Millis idle) {
    if (Message* c = state_.find(id))
      c->attempts.at(static_cast<std::size_t>(launch)).connectionIdleTime = idle;
  }
  // Its bytes, kept back since it was decided, go out now.
  void recordSendTime(MessageId id, int launch) {
    if (Message* c = state_.find(id)) c->attempts.at(static_cast<std::size_t>(launch)).sentAt = state_.now;
  }
  void recordResponseStarted(MessageId id, int launch) {
    Message* c = state_.find(id);
    if (c != nullptr && launch < static_cast<int>(c->attempts.size())) c->responseStarted = true;
  }
  void recordAttemptOutcome(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool over,
                            Millis wait, LoadReport report);
  void recordHealthCheckOutcome(EndpointId id, AttemptOutcome ending, LoadReport report);
  void cancelMessage(MessageId id) { finish(id); }
  // Also when it comes a rounding early: then what is due is asked for again.
  void recordTimerFired() { state_.timerSetFor = -1; }
  std::optional<Decision> nextDecision();
  // Whether a tenant is above its share here, as far as its last message told.
  bool isOverQuota(TenantId tenant) const {
    return tenant.value < state_.tenantQuotas.size() && state_.tenantQuotas[tenant.value].tokens < 1;
  }
  // Whether an attempt that was decided earlier may still be sent.
  bool mayStartAttempt(MessageId id, int launch) const;

  const PolicyState& state() const { return state_; }

 private:
  const TrafficType& type(const Message& c) const { return settings_.types.at(c.type.value); }
  double weightAt(const Message& c, Millis at) const;
  bool mayHaveExecuted(const Attempt& l) const { return l.pending || !l.provablyNotExecuted; }
  bool mayHaveExecuted(const Message& c) const;
  bool mayAttempt(const Message& c, const Endpoint* to, const Attempt* self = nullptr) const;
  bool mayShed(const Message& c) const;
  bool isNextInOrder(MessageId id, const Message& c);
  MessageId finish(MessageId id);
  void addLatency(LatencyReservoir& samples, Millis spent);
  LatencyQuantiles typicalLatency(const Route& p, const TrafficType& t) const;
  Millis hedgeDelay(const Message& c, const Endpoint& e, const Route& p, Millis sent) const;
  void decreaseLimit(Route& p, Millis sent);
  Millis backoff(const Route& p);
  void recheckEndpoints(const Route& p);
  void beginOutage(Route& p, bool told);
  void endOutage(Route& p);
  void recordSuccess(Route& p, Endpoint& e, Millis sent, Millis spent);
  void recordLoadReport(Route& p, const Endpoint& e, LoadReport report);
  void recoverRate(Route& p);
  // Whether a limit binds there that is known: from then on calls keep their distance before any refusal.
  bool isPaced(const Route& p) const {
    return (p.reportedRateLimit > 0 || (p.reportedRateLimit < 0 && settings_.reportsRateLimit)) &&
           reportedRateShare(p) > 0;
  }
  Millis requestInterval(const Route& p) const;
  void recordFailure(Route& p, Endpoint& e, Millis sent, AttemptOutcome ending);
  void recordRejection(Route& p, Endpoint& e, Millis wait, Millis sent);
  double reportedRateShare(const Route& p) const;
  double capacityShare(const Route& p) const;
  double provenCapacityShare(const Route& p) const;
  Millis slowStartInterval(const Route& p);
  void recordSlowStartSend(Route& p);
  bool isEjected(const Endpoint& e);
  Millis ejectionEndsAt(const Endpoint& e) const;
  bool mayUseRoute(Route& p);
  bool mayUseZone(const Endpoint& e);
  int maxBatchSize(const Endpoint& e) const;
  bool mayJoinBatch(const Endpoint& e);
  bool hasCapacity(const Route& p, const Endpoint& e);
  Endpoint* selectEndpoint(const Message& c, bool copy);
  Decision sendAttempt(MessageId id, Endpoint& e, bool copy);
  Millis retriesExhaustedAt(const Message& c) const;
  Millis silenceThreshold(const Message& c, const Route& p) const;
  void detectUnresponsive();
  template <class Visit>
  void visitMostUrgent(const WaitList& line, const TrafficType& t, Millis from, Visit visit) const;
  Millis latestUsefulAttemptAt(const Message& c) const;
  Decision shed(MessageId id, Millis away);
  std::optional<Decision> nextDueAnswer();
  std::optional<Decision> nextEviction();
  std::optional<Decision> nextLosingAttempt();
  std::optional<Decision> nextStuckAttempt();
  std::optional<Decision> nextHedge();
  std::optional<Decision> nextAttempt();
  std::optional<Decision> nextIdleConnection();
  std::optional<Decision> nextHealthCheck();
  std::optional<Decision> nextTimer();
  bool isReached(Millis at);
  double randomShare();

  DeploymentSettings settings_;
  std::mt19937 random_;
  PolicyState state_;
  Millis nextWakeAt_{-1};
  // Walks over the attempts that are out go once through a round, however many decisions it brings: where
  // each has got to. An answer makes all that was seen void.
  struct ScanProgress {
    int silenceRound{-1};  // the round in which silence was looked for
    int round{-1};         // of the next four
    MessageId stuckNext{};
    MessageId hedgeNext{};
    bool slotsWereShort{false};
  } scan_;
  void beginScan() {
    if (scan_.round != state_.round) scan_ = {scan_.silenceRound, state_.round, {}, {}, false};
  }
  // Between two inputs that tell something of an attempt, a route or the list, nothing of those that are out
  // comes due before the time at which the last round wanted to be woken: until then none is walked.
  Millis quietUntil_{-1};
  bool isQuiet() { return !isReached(quietUntil_); }
  struct LastRound {
    bool mayHedge{false};      // whether hedges might go out, the last time
    int lastAttemptRound{-1};  // the last round with an attempt
  } lastRound_;
};

}  // namespace stonewing
