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
  std::uint64_t attempts{0};
};

// Deliberate mistakes, for tests of the audit: each makes dispatchers break one rule.
struct PolicyDefects {
  bool losesMessages{false};  // one in twenty gets no end
  bool ignoresRetryAfter{false};
  bool repeatsExecuted{false};  // of what may have run
  bool ignoresDraining{false};
  bool overloadsInSlowStart{false};  // ten probes for each one that was decided
};

// A whole day in virtual time, in one process and with no sockets: the clients, the dispatchers with the
// policy of that name, the network and the endpoints. The same plan, seed and policy give the same trace,
// byte for byte.
Trace runModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy,
               ModelCost* cost = nullptr, const PolicyDefects& defects = {});

}  // namespace stonewing::lab
