#pragma once

#include <algorithm>

#include "settings/deployment_settings.h"

// Limits hedges in proportion to first attempts; retries use the same budget but are never refused.
//
// Owns: the tokens. Without a budget, hedges and retries would multiply the load on endpoints that are
// already slow.
namespace stonewing {

class RetryBudget {
 public:
  explicit RetryBudget(const DeploymentSettings& settings)
      : settings_(settings) {}  // must outlive the budget

  // A first attempt adds a part of a token, up to as many tokens as the dispatcher may have concurrent
  // requests.
  void recordFirstAttempt() {
    tokens_ = std::min<double>(settings_.maxConcurrentRequests, tokens_ + kTokensPerFirstAttempt);
  }
  // A hedge, or a retry of a message that may have been executed, takes a token or, if less than one is left,
  // all that is left.
  void recordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }
  // A hedge needs a whole token; retries are not refused.
  bool mayHedge() const { return tokens_ >= 1; }

 private:
  static constexpr double kTokensPerFirstAttempt = 0.1;
  const DeploymentSettings& settings_;
  double tokens_{0};
};

}  // namespace stonewing
