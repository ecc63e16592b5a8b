#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

// Work done by one run of the model; it is not part of the trace.
struct ModelCost {
  std::uint64_t steps{0};     // simulation steps that were executed
  std::uint64_t attempts{0};  // attempts that the dispatchers sent
};

// Deliberate defects, for tests of the audit: each makes every dispatcher violate one rule.
struct PolicyDefects {
  bool losesMessages{false};         // every twentieth accepted message is never passed to the policy
  bool ignoresRetryAfter{false};     // the policy never learns the Retry-After of a response
  bool repeatsExecuted{false};       // a failed attempt that may have executed is reported as not connected
  bool ignoresDraining{false};       // the policy never learns a change of an endpoint's state
  bool overloadsInSlowStart{false};  // each health check is sent ten times
};

// Simulates a whole run in virtual time, in one process and without sockets: the clients, the network, the
// endpoints, the platform, and dispatchers that decide by the named policy (one of policyNames()). The same
// experiment, seed and policy give the same trace, byte for byte. Fills in `cost` unless it is null. Throws
// ConfigError if there is no policy of that name.
Trace runModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy,
               ModelCost* cost = nullptr, const PolicyDefects& defects = {});

}  // namespace stonewing::lab
