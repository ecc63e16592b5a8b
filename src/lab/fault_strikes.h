#pragma once

#include <map>
#include <string>

#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

// How often each kind of fault struck. Holds a count, which may be 0, for each kind in the experiment that
// acts on responses, on polls of discovery or on clients.
std::map<FaultKind, int> faultStrikes(const Experiment& experiment, const Trace& trace);

// The counts in one line; empty without such faults.
std::string describe(const std::map<FaultKind, int>& strikes);

}  // namespace stonewing::lab
