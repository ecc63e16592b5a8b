#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

// How a dispatcher that is itself short of processor time turns messages away, compared with the ways of
// others, in virtual time: one loop, clients with patience, and a gate. No sockets, no clock.
namespace stonewing::lab {

struct GatePlan {
  double perSecond{4000};
  double surge{5};  // rate from surgeFrom to surgeUntil, of the one before
  Millis surgeFrom{4000};
  Millis surgeUntil{14000};
  Millis duration{24000};
  Millis stallAt{-1};  // the loop stands still once, for stallFor; -1: it does not
  Millis stallFor{0};
  Millis read{0.010};    // what reading one command costs the loop
  Millis take{0.040};    // taking it on: its record, its decision, its attempt
  Millis refuse{0.005};  // answering -BUSY
  Millis end{0.025};     // its end, once the endpoint has answered
  Millis turn{0.030};    // a turn by itself
  Millis away{5};        // at the endpoint
  Millis patience{400};  // of a client
  int retries{3};
  Millis retryPause{500};  // where a refusal tells no time
  std::uint64_t seed{1};
};

struct GateResult {
  std::string gate;
  std::uint64_t due{0};
  std::uint64_t kept{0};        // accepted, and its client heard so in time
  std::uint64_t doubled{0};     // accepted more than once, since a client had not heard
  std::uint64_t refused{0};     // commands
  std::uint64_t unanswered{0};  // commands
  double keptInSurge{0};        // share of what was due in it
  Millis p50{0}, p99{0};        // of the answers
  Millis calmAfter{0};          // from the surge's end until a second without a loss; -1: not seen
};

// "none", "work" (ours), "codel", "credits", "gradient". Throws ConfigError with the names there are.
GateResult playGate(const GatePlan& scenario, const std::string& gate);
const std::vector<std::string>& gateNames();
std::string tableOf(const std::vector<GateResult>& rows);

}  // namespace stonewing::lab
