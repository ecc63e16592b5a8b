#include "policy/response_plausibility.h"

#include <algorithm>
#include <optional>

namespace stonewing {
namespace {

// A response in less than this share of the shortest response time of the endpoint is too early. A repeat
// that was written directly behind its original is late by what the times on the way vary by, which is less
// than this share of a round trip and the quiet time before reuse together.
constexpr double kEarliestShare = 0.25;
// What the scheduling of both processes may add to a response time.
constexpr Millis kSchedulingToleranceMs = 20;

}  // namespace

void ResponsePlausibility::recordResponse(Endpoint& endpoint, const ResponseArrival& response,
                                          ResponseProof proof) const {
  if (proof == ResponseProof::byOrderAlone && isTooEarly(endpoint, response)) return;
  ResponseHistory& history = endpoint.responses;
  history.lastAnsweredWrittenAt_ = std::max(history.lastAnsweredWrittenAt_, response.requestWrittenAt);
  if (proof == ResponseProof::certain) recordFastest(endpoint, response);
  // The endpoint goes on responding, and nothing has contradicted the early response: it was its own, and the
  // endpoint responds faster than it was known to.
  if (history.unconfirmed_ && history.unconfirmed_->requestWrittenAt < response.requestWrittenAt) {
    recordFastest(endpoint, *history.unconfirmed_);
    history.unconfirmed_.reset();
  }
}

bool ResponsePlausibility::isTooEarly(const Endpoint& endpoint, const ResponseArrival& response) {
  const ResponseHistory& history = endpoint.responses;
  std::optional<Millis> fastest =
      response.isDelivery ? history.fastestDelivery_.value() : history.fastestOther_.value();
  if (!fastest || *fastest - response.responseTime <= kSchedulingToleranceMs) return false;
  return response.responseTime < kEarliestShare * *fastest;
}

bool ResponsePlausibility::confirm(Endpoint& endpoint, const ResponseArrival& response) const {
  ResponseHistory& history = endpoint.responses;
  bool hasRespondedSince = history.lastAnsweredWrittenAt_ > response.requestWrittenAt;
  if (!hasRespondedSince && isTooEarly(endpoint, response)) {
    history.unconfirmed_ = response;
    return false;
  }
  recordFastest(endpoint, response);
  return true;
}

void ResponsePlausibility::recordFastest(Endpoint& endpoint, const ResponseArrival& response) const {
  ResponseHistory& history = endpoint.responses;
  WindowedMinimum& fastest = response.isDelivery ? history.fastestDelivery_ : history.fastestOther_;
  fastest.add(response.responseTime, clock_.now());
}

}  // namespace stonewing
