#pragma once

#include <optional>

#include "policy/decision.h"
#include "policy/latency_tracker.h"
#include "policy/message_registry.h"
#include "policy/outlier_detector.h"
#include "policy/request_tracker.h"
#include "policy/round_clock.h"
#include "policy/scan_cursor.h"
#include "settings/deployment_settings.h"

// Decides which pending attempts are cancelled: losing attempts of finished messages, and stuck ones.
//
// Owns: the timeout scale, which falls with attempts that stay unanswered, and the progress of its scan over
// the pending attempts. Input: successes. Queries: the next attempt to cancel, the timeout of a new attempt.
namespace stonewing {

class AttemptCanceller {
 public:
  // All outlive it.
  AttemptCanceller(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
                   const OutlierDetector& outliers, const RequestTracker& requests, MessageRegistry& messages)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        outliers_(outliers),
        requests_(requests),
        messages_(messages) {}

  // A response came; more time is given to late ones.
  void recordSuccess();
  // Something was heard of an attempt: those seen in this round are looked at again.
  void resetScan() { cursor_ = {}; }

  // The next pending attempt of a finished message, marked as cancelled; nothing if there is none.
  std::optional<Decision> nextLosing();
  // The next attempt that is not expected to be answered any more, marked as cancelled; nothing if there is
  // none. Then the clock wakes the policy when one may be stuck.
  std::optional<Decision> nextStuck();
  // After so many milliseconds an attempt sent now is to time out, where the host cannot cancel one; where it
  // can, at the deadline.
  Millis attemptTimeout(const Message& message, const Route& route) const;
  // From 0 to 1: how long to wait for late responses before an attempt counts as stuck.
  double timeoutScale() const { return timeoutScale_; }

 private:
  struct Situation {
    bool mayRetry{false};         // the message has another attempt left
    bool isOutOfRequests{false};  // all concurrent requests are in use
  };
  bool isStuck(const Message& message, const Attempt& attempt, Situation situation);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  const OutlierDetector& outliers_;
  const RequestTracker& requests_;
  MessageRegistry& messages_;
  double timeoutScale_{1};
  ScanCursor cursor_;
  bool wasOutOfRequests_{false};  // in the current scan
};

}  // namespace stonewing
