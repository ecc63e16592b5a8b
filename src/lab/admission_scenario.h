#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

// Compares the dispatcher's admission control with strategies from the literature while the dispatcher itself
// is short of CPU time. It simulates one event loop, clients with a timeout and an admission strategy in
// virtual time, without sockets or a clock.
namespace stonewing::lab {

struct AdmissionScenario {
  double perSecond{4000};
  double surgeFactor{5};  // rate from surgeFrom to surgeUntil, as a multiple of perSecond
  Millis surgeFrom{4000};
  Millis surgeUntil{14000};
  Millis duration{24000};
  Millis stallAt{-1};  // the loop stalls once at this time, for stallDuration; -1: no stall
  Millis stallDuration{0};
  Millis readCost{0.010};        // time of the loop to read one command
  Millis acceptCost{0.040};      // to accept a message: its journal record, its decision, its attempt
  Millis rejectCost{0.005};      // to reject a command with -BUSY
  Millis completionCost{0.025};  // to finish a message after the endpoint's response
  Millis loopTurnCost{0.030};    // fixed time of each turn of the loop
  Millis endpointLatency{5};     // from accepting a message to the endpoint's response
  Millis clientTimeout{400};     // a client gives up waiting for a response after this
  int retries{3};                // of a client, for each message
  Millis retryDelay{500};        // mean delay before a retry if the rejection has no Retry-After
  std::uint64_t seed{1};
};

struct AdmissionResult {
  std::string strategy;
  std::uint64_t due{0};
  std::uint64_t acknowledged{0};  // accepted, with the response received before the client's timeout
  std::uint64_t duplicated{0};    // accepted again, after the client had no response to its first acceptance
  std::uint64_t rejected{0};      // commands that a client saw rejected
  std::uint64_t unanswered{0};    // commands that a client timed out on
  double acknowledgedInSurge{0};  // share of the messages that were due in the surge
  Millis p50{0}, p99{0};          // response latency
  Millis recoveryTime{0};         // from the surge's end to the first second without a lost message; -1: none
};

// strategy: "none", "work" (the dispatcher's own), "codel", "credits" or "gradient". Throws ConfigError with
// the allowed names for any other.
AdmissionResult runAdmissionScenario(const AdmissionScenario& scenario, const std::string& strategy);
const std::vector<std::string>& admissionStrategyNames();
std::string tableOf(const std::vector<AdmissionResult>& rows);

}  // namespace stonewing::lab
