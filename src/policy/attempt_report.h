#pragma once

#include "policy/decision.h"
#include "settings/deployment_settings.h"

namespace stonewing {

// The host's report on an attempt that has ended.
struct AttemptReport {
  AttemptOutcome outcome{};
  Millis latency{};     // from the start of the attempt
  Millis retryAfter{};  // delay that the response asks for, in milliseconds from now; 0: none
  LoadReport report;
};

}  // namespace stonewing
