#include "lab/fault_strikes.h"

#include "lab/wire_faults.h"

namespace stonewing::lab {

std::map<FaultKind, int> faultStrikes(const Experiment& experiment, const Trace& trace) {
  std::map<FaultKind, int> strikes;
  for (const Fault& fault : experiment.faults) {
    if (isWireFault(fault.kind) || isDiscoveryOutage(fault.kind) || fault.kind == FaultKind::watchesForgotten)
      strikes[fault.kind] = 0;
  }
  for (const TraceEvent& event : trace.events) {
    if (event.type == TraceEventType::responseAltered || event.type == TraceEventType::pollStruck)
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
