#pragma once

#include "policy/endpoint.h"
#include "policy/response_arrival.h"
#include "policy/round_clock.h"

namespace stonewing {

// Decides from its time whether a response on a kept connection can belong to its request.
//
// A repeat of an earlier response arrives whenever it likes, often much sooner than any endpoint could
// respond to the request that is out. Such a response proves nothing by itself, and that no other response
// follows proves nothing either: the endpoint may hang, or its response may be lost. It is believed only once
// the endpoint has responded to a later request, so that the true response would have come too.
//
// Owns: the response history of each endpoint. Input: responses and unexpected bytes. Queries: whether a
// response is too early, and whether it is confirmed.
class ResponsePlausibility {
 public:
  explicit ResponsePlausibility(const RoundClock& clock) : clock_(clock) {}  // must outlive the object

  // A complete response arrived. One that belongs to its request by order alone and is too early is ignored.
  void recordResponse(Endpoint& endpoint, const ResponseArrival& response, ResponseProof proof) const;
  // Bytes that belong to no request arrived on a connection to the endpoint.
  static void recordUnexpectedBytes(Endpoint& endpoint) { endpoint.responses.unconfirmed_.reset(); }

  // Whether the response came much sooner than the endpoint has been seen to respond in this way. False if
  // nothing is known.
  static bool isTooEarly(const Endpoint& endpoint, const ResponseArrival& response);
  // Whether the endpoint has to respond on a new connection before its kept ones are used again: it gave a
  // response that was too early and not confirmed. Without this, an endpoint that became faster would never
  // be believed on kept connections.
  static bool needsProof(const Endpoint& endpoint) { return endpoint.responses.unconfirmed_.has_value(); }
  // Whether a response that nothing has contradicted until its time of confirmation belongs to its request.
  // To be called then, and again later if it was not confirmed.
  bool confirm(Endpoint& endpoint, const ResponseArrival& response) const;

 private:
  void recordFastest(Endpoint& endpoint, const ResponseArrival& response) const;

  const RoundClock& clock_;
};

}  // namespace stonewing
