#pragma once

#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"

// The six rules, judged from what the far side saw and from nothing else. No clock, no files.
namespace stonewing::lab {

enum class Rule {
  exactlyOneOutcome = 1,
  noDuplicateEffect,
  noAttemptsWhileDraining,
  noOverloadInSlowStart,
  orderPerKey,
  retryAfterRespected
};

struct RuleViolation {
  Rule rule{};
  std::uint32_t subject{};  // or the destination, for the rule on returns
  std::string text;
  std::vector<std::size_t> events;  // their places in the trace, in order
};

// Time limits are this much longer, for what travels.
inline constexpr Millis kAuditSlack = 50;

std::vector<RuleViolation> audit(const Experiment& experiment, const Trace& trace);
const char* nameOf(Rule rule);
// A break with its events, a line each.
std::string describe(const RuleViolation& violation, const Trace& trace);

}  // namespace stonewing::lab
