#pragma once

#include <optional>
#include <utility>

#include "policy/endpoint_selector.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/ordering.h"
#include "policy/round_clock.h"
#include "settings/deployment_settings.h"

// Decides which waiting message is sent first: the one that loses most weight by waiting, for the time that
// it takes.
//
// Owns nothing; queries what waits, and which endpoints are open.
namespace stonewing {

class Scheduler {
 public:
  // All outlive it.
  Scheduler(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
            const MessageRegistry& messages, Ordering& ordering, EndpointSelector& selector)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        messages_(messages),
        ordering_(ordering),
        selector_(selector) {}

  // The next attempt, first or retry; nothing if none may go now. Then the clock wakes the policy when one
  // may.
  std::optional<PlannedAttempt> next();

 private:
  // The best so far.
  struct Candidate {
    PlannedAttempt attempt;
    std::pair<double, Millis> urgency;  // weight lost a millisecond; of equal ones the earlier deadline
  };
  using Best = std::optional<Candidate>;

  bool hasOpenEndpoint(const Destination& destination);
  void considerList(const WaitClass& waitClass, const WaitList& list, Best& best);
  void considerAlike(const WaitList& list, const TrafficType& type, Best& best);
  void considerEach(const WaitList& list, Best& best);
  void consider(MessageId id, const Message& message, Endpoint& endpoint, Best& best) const;

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  const MessageRegistry& messages_;
  Ordering& ordering_;
  EndpointSelector& selector_;
};

}  // namespace stonewing
