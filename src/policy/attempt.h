#pragma once

#include "base/ids.h"

namespace stonewing {

struct Endpoint;

// One try to deliver a message. Times are milliseconds of the policy's clock.
struct Attempt {
  // Stays valid: EndpointRegistry keeps an endpoint as long as a message has an attempt at it.
  Endpoint* endpoint{};
  Millis sentAt{};
  Millis connectionIdleTime{0};  // how long its connection had been idle; 0 for a new one
  int requestId{};               // the HTTP request that carries it; shared within a batch
  bool isHedge{false};
  bool pending{true};
  bool provablyNotExecuted{false};
  bool cancelled{false};
  bool isSpillover{false};  // sent to another zone while the destination's home zone is in trouble
};

}  // namespace stonewing
