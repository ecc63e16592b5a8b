#pragma once

#include "base/ids.h"

namespace stonewing {

struct Endpoint;

// One attempt to deliver a message. Times are milliseconds of the policy's clock.
struct Attempt {
  // Stays valid: EndpointRegistry keeps an endpoint as long as a message has an attempt at it.
  Endpoint* endpoint{};
  Millis sentAt{};
  Millis connectionIdleTime{0};  // how long the connection had been idle before; 0: a new connection
  int requestId{};  // the HTTP request that carries the attempt; all attempts of a batch share it
  bool isHedge{false};
  bool pending{true};
  bool provablyNotExecuted{false};
  bool cancelled{false};
  bool isSpillover{false};  // sent to another zone while the destination's home zone is lost or ramping
};

}  // namespace stonewing
