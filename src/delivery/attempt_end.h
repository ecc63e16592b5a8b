#pragma once

#include <cstdint>
#include <string>

#include "delivery/response_reader.h"
#include "policy/attempt_report.h"

namespace stonewing {

// How an attempt ended, with what is known of its request. A value: it outlives the connection. Times are
// milliseconds of the event loop's clock.
struct AttemptEnd {
  MessageId message{};
  int attempt{};          // the number of the attempt among those of its message, from 0
  std::string reference;  // the client's id of the message
  AttemptResult result;
  EndpointId endpoint{};
  std::uint64_t connection{};  // the connection's number
  int exchange{};              // responses on the connection so far
  int status{};                // of the response; 0 for none
  Millis sentAt{};
  Millis endedAt{};
  LoadReport report;  // of the response
};

}  // namespace stonewing
