#pragma once

#include <map>

#include "policy/attempt.h"
#include "policy/destination.h"
#include "policy/round_clock.h"
#include "policy/route.h"

// Counts the HTTP requests in flight, and the attempts that each carries.
//
// Owns: the open requests, and the counts of requests in flight of the dispatcher and of each destination,
// route and endpoint. Input: requests that are opened or joined, and ended attempts. Query: the count of the
// dispatcher.
namespace stonewing {

class RequestTracker {
 public:
  explicit RequestTracker(const RoundClock& clock) : clock_(clock) {}  // must outlive the tracker

  int inFlight() const { return inFlight_; }

  // Opens a request to the endpoint, with one message. Further messages may join it in this round.
  void open(Endpoint& endpoint) {
    EndpointRequests& requests = endpoint.requests;
    requests.batchRound_ = clock_.round();
    requests.batchSize_ = 1;
    requests.batchRequestId_ = nextRequestId_++;
    requests_[requests.batchRequestId_] = {&endpoint, 1};
    ++requests.inFlight_;
    ++endpoint.destination->requestsInFlight;
    ++endpoint.route->requestsInFlight;
    ++inFlight_;
  }

  // Adds a message to the request that was opened last at the endpoint. That request must still be in flight.
  void join(Endpoint& endpoint) {
    ++endpoint.requests.batchSize_;
    ++requests_[endpoint.requests.batchRequestId_].pendingAttempts;
  }

  // Records that an attempt has ended. Returns its endpoint if that ended the last request in flight there,
  // else null.
  Endpoint* endAttempt(const Attempt& attempt) {
    auto found = requests_.find(attempt.requestId);
    if (found == requests_.end() || --found->second.pendingAttempts > 0) return nullptr;
    Endpoint& endpoint = *found->second.endpoint;
    requests_.erase(found);
    --endpoint.requests.inFlight_;
    --endpoint.destination->requestsInFlight;
    --endpoint.route->requestsInFlight;
    --inFlight_;
    return endpoint.requests.inFlight_ == 0 ? &endpoint : nullptr;
  }

 private:
  struct Request {
    // Stays valid: EndpointRegistry keeps an endpoint while a registered message has an attempt at it, and
    // the pending attempts of the request are such attempts.
    Endpoint* endpoint{};
    int pendingAttempts{0};
  };

  const RoundClock& clock_;
  std::map<int, Request> requests_;
  int nextRequestId_{1};
  int inFlight_{0};
};

}  // namespace stonewing
