#pragma once

#include "policy/decision.h"
#include "settings/deployment_settings.h"

namespace stonewing {

// What a host reports of an attempt that has ended.
struct AttemptReport {
  AttemptOutcome outcome{};
  Millis latency{};     // from the start of the attempt
  Millis retryAfter{};  // what the response asks for, from now; 0 for nothing
  LoadReport report;
};

}  // namespace stonewing
