#pragma once

#include <optional>
#include <utility>

#include "policy/endpoint_selector.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/ordering.h"
#include "policy/round_clock.h"
#include "settings/deployment_settings.h"

// Decides which waiting message is sent first: the one that loses the most weight by waiting, in relation to
// the time for which its attempt occupies a request.
//
// Owns nothing; queries the waiting messages and the open endpoints.
namespace stonewing {

class Scheduler {
 public:
  // The referenced objects must outlive the Scheduler.
  Scheduler(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
            const MessageRegistry& messages, Ordering& ordering, EndpointSelector& selector)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        messages_(messages),
        ordering_(ordering),
        selector_(selector) {}

  // Returns the next attempt, first or retry, or nothing if none may be sent now. In that case the clock
  // wakes the policy when one may be sent.
  std::optional<PlannedAttempt> next();

 private:
  // The most urgent attempt found so far.
  struct Candidate {
    PlannedAttempt attempt;
    std::pair<double, Millis> urgency;  // weight lost per millisecond, negated deadline
  };
  using Best = std::optional<Candidate>;

  bool hasOpenEndpoint(const Destination& destination);
  void considerList(const WaitClass& waitClass, const WaitList& list, Best& best);
  void considerInterchangeable(const WaitList& list, const TrafficType& type, Best& best);
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
