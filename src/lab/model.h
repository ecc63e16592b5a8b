#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

// What a day of the model cost, apart from its events.
struct ModelCost {
  std::uint64_t steps{0};
  std::uint64_t launches{0};
};

// Deliberate mistakes, for tests of the audit: each makes dispatchers break one rule.
struct Sabotage {
  bool forgetsCallbacks{false};  // one in twenty gets no end
  bool ignoresWaits{false};
  bool repeatsEffects{false};  // of what may have run
  bool ignoresDrains{false};
  bool pushesCold{false};  // ten probes for each one that was decided
};

// A whole day in virtual time, in one process and with no sockets: the clients, the dispatchers with the
// policy of that name, the network and the endpoints. The same plan, seed and policy give the same trace,
// byte for byte.
Trace playModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy,
                ModelCost* cost = nullptr, const Sabotage& sabotage = {});

}  // namespace stonewing::lab
