#pragma once

#include <optional>

#include "policy/endpoint_selector.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/request_tracker.h"
#include "policy/retry_budget.h"
#include "policy/round_clock.h"
#include "policy/scan_cursor.h"
#include "settings/deployment_settings.h"

// Decides when a hedge of a slow message is due, and which endpoint gets it.
//
// Owns: the progress of its scan over the pending attempts, and whether hedges were allowed at the last
// query. Input: resets of that scan. Query: the next hedge.
namespace stonewing {

class Hedging {
 public:
  // All arguments must outlive this object.
  Hedging(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
          const RequestTracker& requests, const RetryBudget& budget, const MessageRegistry& messages,
          EndpointSelector& selector)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        requests_(requests),
        budget_(budget),
        messages_(messages),
        selector_(selector) {}

  // The result of an attempt has arrived: the attempts already scanned in this round are scanned again.
  void resetScan() { cursor_ = {}; }
  // Returns the next hedge that is due and has an endpoint. If there is none, returns nothing, and the clock
  // wakes the policy when a hedge is due.
  std::optional<PlannedAttempt> next();

 private:
  bool areHedgesAllowed() const;
  bool mayHedge(const Message& message) const;
  Millis dueAt(const Message& message, const Attempt& attempt) const;

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  const RequestTracker& requests_;
  const RetryBudget& budget_;
  const MessageRegistry& messages_;
  EndpointSelector& selector_;
  ScanCursor cursor_;
  bool wasAllowed_{false};
};

}  // namespace stonewing
