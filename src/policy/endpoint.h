#pragma once

#include <optional>

#include "base/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"
#include "policy/latency_reservoir.h"
#include "policy/response_arrival.h"
#include "policy/windowed_minimum.h"
#include "settings/deployment_settings.h"

namespace stonewing {

struct Destination;
struct Route;

// Recent failures and successes of one endpoint. Only OutlierDetector writes it.
class FailureHistory {
 public:
  int consecutiveFailures() const { return consecutiveFailures_; }
  Millis lastFailureAt() const { return lastFailureAt_; }
  Millis lastSuccessAt() const { return lastSuccessAt_; }
  // Whether the endpoint has not responded for long, neither to its oldest pending requests nor to later
  // ones.
  bool isUnresponsive() const { return unresponsive_; }

 private:
  friend class OutlierDetector;
  int consecutiveFailures_{0};
  Millis lastFailureAt_{0};
  Millis lastSuccessAt_{0};
  int consecutiveTimeouts_{0};    // attempts cancelled since the endpoint last completed one
  Millis firstTimeoutSentAt_{0};  // when the first of these attempts was sent
  bool unresponsive_{false};
};

// The requests of one endpoint. Only RequestTracker writes it.
class EndpointRequests {
 public:
  int inFlight() const { return inFlight_; }
  int batchSize() const { return batchSize_; }
  int batchRequestId() const { return batchRequestId_; }
  // The round in which the endpoint's last request was opened. Further messages may join that request in the
  // same round only.
  int batchRound() const { return batchRound_; }

 private:
  friend class RequestTracker;
  int inFlight_{0};
  int batchRound_{-1};
  int batchRequestId_{0};
  int batchSize_{0};
};

// The use of connections to one endpoint. Only ConnectionReuse writes it.
class ConnectionUse {
 private:
  friend class ConnectionReuse;
  Millis lastUsedAt_{-1};  // end of the last request, while a connection may be idle; -1: none is idle
  Millis lastRequestInterval_{-1};  // time between the last two requests; -1 before the second request
  Millis lastRequestAt_{-1};
};

// The responses of one endpoint that are known to belong to their requests. Only ResponsePlausibility writes
// it.
class ResponseHistory {
 private:
  friend class ResponsePlausibility;
  static constexpr Millis kFastestPeriodMs = 300'000;
  WindowedMinimum fastestDelivery_{kFastestPeriodMs};  // response times
  WindowedMinimum fastestOther_{kFastestPeriodMs};
  Millis lastAnsweredWrittenAt_{-1};  // when the latest request that was answered was written; -1: none
  // The last response that was too early and could not be confirmed.
  std::optional<ResponseArrival> unconfirmed_;
};

// An endpoint of a destination. EndpointRegistry owns it and writes the fields up to removedAt; the other
// members have their own writers, named at their classes.
struct Endpoint {
  EndpointId id{};
  Destination* destination{};  // stays valid: destinations are never removed
  Route* route{};  // stays valid: only routes of a single endpoint are deleted, with that endpoint
  KindId kind{};
  ZoneId zone{};
  double weight{0};
  int maxBatchSize{1};  // messages in one request
  EndpointState state{EndpointState::removed};
  Millis removedAt{-1};  // since when the endpoint is missing from the endpoint list; -1 while it is listed
  EndpointRequests requests;
  FailureHistory failures;
  ConnectionUse connections;
  LatencyReservoir latencies;
  ResponseHistory responses;
};

}  // namespace stonewing
