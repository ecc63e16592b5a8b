#pragma once

#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"

// The audit checks the trace of a run, which holds only what clients, endpoints and platform saw, against the
// six rules that dispatchers must keep. It reads no clock and no files.
namespace stonewing::lab {

enum class Rule {
  exactlyOneOutcome = 1,    // each accepted message has one outcome, in time, and no attempt after it
  noDuplicateEffect,        // no attempt while an earlier one may have executed, unless a repeat is harmless
  noAttemptsWhileDraining,  // no attempt at an endpoint that drains or is gone, after a grace period
  noOverloadInSlowStart,    // no overload of a destination or zone that has just recovered
  orderPerKey,              // messages of an ordering key are delivered one after another
  retryAfterRespected       // no attempt at a destination before its Retry-After is over
};

struct RuleViolation {
  Rule rule{};
  std::uint32_t subject{};  // the message; for noOverloadInSlowStart the destination or zone
  std::string text;
  std::vector<std::size_t> events;  // the events that show it, as ascending indices into Trace::events
};

// Milliseconds added to time limits, for delays of the network.
inline constexpr Millis kAuditSlack = 50;

// All violations: those of rules 1 and 2 message by message, then those of rules 3 to 6. `experiment` must be
// the one that produced the trace.
std::vector<RuleViolation> audit(const Experiment& experiment, const Trace& trace);
const char* nameOf(Rule rule);
// A violation in text: a line that names it, then a line for each of its last 24 events.
std::string describe(const RuleViolation& violation, const Trace& trace);

}  // namespace stonewing::lab
