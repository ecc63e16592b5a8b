#include "lab/fault_strikes.h"

#include "lab/wire_faults.h"

namespace stonewing::lab {

namespace {

// Whether the trace has an event for each strike of such a fault.
bool isCounted(FaultKind kind) {
  return isWireFault(kind) || isDiscoveryOutage(kind) || kind == FaultKind::watchesForgotten ||
         kind == FaultKind::discoveryMoved || kind == FaultKind::clientCrowd;
}

}  // namespace

std::map<FaultKind, int> faultStrikes(const Experiment& experiment, const Trace& trace) {
  std::map<FaultKind, int> strikes;
  for (const Fault& fault : experiment.faults) {
    if (isCounted(fault.kind)) strikes[fault.kind] = 0;
  }
  for (const TraceEvent& event : trace.events) {
    if (event.type == TraceEventType::responseAltered || event.type == TraceEventType::faultStruck)
      ++strikes[static_cast<FaultKind>(event.status)];
  }
  return strikes;
}

std::string describe(const std::map<FaultKind, int>& strikes) {
  std::string text;
  for (const auto& [kind, count] : strikes) {
    text += (text.empty() ? "" : ", ") + std::string(nameOf(kind)) + " " + std::to_string(count) + " times";
  }
  return text;
}

}  // namespace stonewing::lab
