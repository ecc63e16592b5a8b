#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

// How a dispatcher that is itself short of processor time turns messages away, compared with the ways of
// others, in virtual time: one loop, clients with patience, and a gate. No sockets, no clock.
namespace stonewing::lab {

struct AdmissionScenario {
  double perSecond{4000};
  double surgeFactor{5};  // rate from surgeFrom to surgeUntil, of the one before
  Millis surgeFrom{4000};
  Millis surgeUntil{14000};
  Millis duration{24000};
  Millis stallAt{-1};  // the loop stands still once, for stallFor; -1: it does not
  Millis stallDuration{0};
  Millis readCost{0.010};        // what reading one command costs the loop
  Millis acceptCost{0.040};      // taking it on: its record, its decision, its attempt
  Millis rejectCost{0.005};      // answering -BUSY
  Millis completionCost{0.025};  // its end, once the endpoint has answered
  Millis loopTurnCost{0.030};    // a turn by itself
  Millis endpointLatency{5};     // at the endpoint
  Millis clientTimeout{400};     // of a client
  int retries{3};
  Millis retryDelay{500};  // where a refusal tells no time
  std::uint64_t seed{1};
};

struct AdmissionResult {
  std::string strategy;
  std::uint64_t due{0};
  std::uint64_t acknowledged{0};  // accepted, and its client heard so in time
  std::uint64_t duplicated{0};    // accepted more than once, since a client had not heard
  std::uint64_t rejected{0};      // commands
  std::uint64_t unanswered{0};    // commands
  double acknowledgedInSurge{0};  // share of what was due in it
  Millis p50{0}, p99{0};          // of the answers
  Millis recoveryTime{0};         // from the surge's end until a second without a loss; -1: not seen
};

// "none", "work" (ours), "codel", "credits", "gradient". Throws ConfigError with the names there are.
AdmissionResult runAdmissionScenario(const AdmissionScenario& scenario, const std::string& strategy);
const std::vector<std::string>& admissionStrategyNames();
std::string tableOf(const std::vector<AdmissionResult>& rows);

}  // namespace stonewing::lab
