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

// Decides which pending attempts are cancelled: losing attempts, whose message has already finished, and
// stuck attempts, for which a response is no longer expected.
//
// Owns: the timeout scale, which falls with each stuck attempt, and the progress of its scan over
// the pending attempts. Input: successes, resets of that scan. Queries: the next attempt to cancel, the
// timeout of a new attempt.
namespace stonewing {

class AttemptCanceller {
 public:
  // All arguments must outlive the canceller.
  AttemptCanceller(const DeploymentSettings& settings, RoundClock& clock, const LatencyTracker& latencies,
                   const OutlierDetector& outliers, const RequestTracker& requests, MessageRegistry& messages)
      : settings_(settings),
        clock_(clock),
        latencies_(latencies),
        outliers_(outliers),
        requests_(requests),
        messages_(messages) {}

  // An attempt succeeded: raises the timeout scale, which gives late responses more time.
  void recordSuccess();
  // The result of an attempt has arrived: the attempts already scanned in this round are scanned again.
  void resetScan() { cursor_ = {}; }

  // Returns the next pending attempt of a finished message and marks it as cancelled; nothing if there is
  // none.
  std::optional<Decision> nextLosing();
  // Returns the next stuck attempt and marks it as cancelled. If there is none, returns nothing, and the
  // clock wakes the policy when an attempt may be stuck.
  std::optional<Decision> nextStuck();
  // Time-out of an attempt sent now, in milliseconds. Where the host can cancel attempts, and for
  // non-idempotent messages, it lasts until the message's deadline.
  Millis attemptTimeout(const Message& message, const Route& route) const;
  // From 0 to 1: the smaller, the sooner an attempt without a response counts as stuck.
  double timeoutScale() const { return timeoutScale_; }

 private:
  struct RetryContext {
    bool mayRetry{false};         // the message has another attempt left
    bool isOutOfRequests{false};  // all concurrent requests are in use
  };
  bool isStuck(const Message& message, const Attempt& attempt, RetryContext context);

  const DeploymentSettings& settings_;
  RoundClock& clock_;
  const LatencyTracker& latencies_;
  const OutlierDetector& outliers_;
  const RequestTracker& requests_;
  MessageRegistry& messages_;
  double timeoutScale_{1};
  ScanCursor cursor_;
  bool wasOutOfRequests_{false};  // whether all concurrent requests were in use during the current scan
};

}  // namespace stonewing
