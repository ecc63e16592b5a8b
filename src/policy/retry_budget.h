#pragma once

#include <algorithm>

#include "settings/deployment_settings.h"

// How many retries and hedges may be sent for each first attempt.
//
// Owns: the tokens. Without a budget, hedges and retries would multiply the load just where endpoints are
// slow.
namespace stonewing {

class RetryBudget {
 public:
  explicit RetryBudget(const DeploymentSettings& settings) : settings_(settings) {}  // outlives it

  // A first attempt earns a part of a token; a dispatcher never holds more than its concurrent requests.
  void recordFirstAttempt() {
    tokens_ = std::min<double>(settings_.maxConcurrentRequests, tokens_ + kTokensPerFirstAttempt);
  }
  // A hedge, or a retry of what may have been executed, takes a token or what there is.
  void recordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }
  // Hedges need a whole token; retries are not refused.
  bool mayHedge() const { return tokens_ >= 1; }

 private:
  static constexpr double kTokensPerFirstAttempt = 0.1;
  const DeploymentSettings& settings_;
  double tokens_{0};
};

}  // namespace stonewing
