#pragma once

#include "base/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"
#include "policy/latency_reservoir.h"
#include "settings/deployment_settings.h"

namespace stonewing {

struct Destination;
struct Route;

// What is known of failures at one endpoint. OutlierDetector alone writes it.
class FailureHistory {
 public:
  int consecutiveFailures() const { return consecutiveFailures_; }
  Millis lastFailureAt() const { return lastFailureAt_; }
  Millis lastSuccessAt() const { return lastSuccessAt_; }
  // Nothing has come back for long, neither from its oldest pending requests nor from later ones.
  bool isUnresponsive() const { return unresponsive_; }

 private:
  friend class OutlierDetector;
  int consecutiveFailures_{0};
  Millis lastFailureAt_{0};
  Millis lastSuccessAt_{0};
  int consecutiveTimeouts_{0};    // attempts cancelled since its last completion
  Millis firstTimeoutSentAt_{0};  // when the first of them was sent
  bool unresponsive_{false};
};

// The requests of one endpoint. RequestTracker alone writes it.
class EndpointRequests {
 public:
  int inFlight() const { return inFlight_; }
  int batchSize() const { return batchSize_; }
  int batchRequestId() const { return batchRequestId_; }
  // The round in which its last request was opened; that request takes further messages in this round only.
  int batchRound() const { return batchRound_; }

 private:
  friend class RequestTracker;
  int inFlight_{0};
  int batchRound_{-1};
  int batchRequestId_{0};
  int batchSize_{0};
};

// The use of connections to one endpoint. ConnectionReuse alone writes it.
class ConnectionUse {
 private:
  friend class ConnectionReuse;
  Millis lastUsedAt_{-1};           // end of its last request, while a connection may be idle; -1 for none
  Millis lastRequestInterval_{-1};  // from its last request but one to the last; -1 before the second
  Millis lastRequestAt_{-1};
};

// An endpoint of a destination. EndpointRegistry owns it and writes its plain fields.
struct Endpoint {
  EndpointId id{};
  Destination* destination{};  // stays valid: destinations are never removed
  Route* route{};              // stays valid: only a route of one endpoint is ever forgotten, with it
  KindId kind{};
  ZoneId zone{};
  double weight{0};
  int maxBatchSize{1};  // messages in one request
  EndpointState state{EndpointState::removed};
  Millis removedAt{-1};  // not in the endpoint list since then; -1 while it is
  EndpointRequests requests;
  FailureHistory failures;
  ConnectionUse connections;
  LatencyReservoir latencies;
};

}  // namespace stonewing
