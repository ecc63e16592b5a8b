#pragma once

#include "base/ids.h"

namespace stonewing {

// When a complete response arrived, and after which request. Times are milliseconds of the policy's clock.
struct ResponseArrival {
  Millis requestWrittenAt{};  // when the request's first bytes were written
  Millis responseTime{};      // from then until the response was complete
  // Whether it reports a delivery. A rejection may come sooner, since nothing was executed.
  bool isDelivery{false};
};

// How a response is known to belong to the request that is out on its connection.
enum class ResponseProof {
  certain,      // no other response can have been sent on the connection
  byOrderAlone  // it may be the repeat of an earlier response
};

}  // namespace stonewing
