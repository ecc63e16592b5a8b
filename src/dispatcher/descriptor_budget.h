#pragma once

#include <cstddef>

// Divides the file descriptors that the process may hold among their users.
namespace stonewing {

// A fixed share for each user of descriptors. Without it, idle clients could use all descriptors, and the
// dispatcher could no longer deliver messages, notify the platform or poll discovery.
struct DescriptorBudget {
  std::size_t internal{};             // for the journal, discovery, the platform, the log and the event loop
  std::size_t endpointConnections{};  // connections to endpoints
  std::size_t healthChecks{};         // the part of endpointConnections that is reserved for health checks
  std::size_t clients{};              // connections of clients
  int maxConcurrentRequests{};        // the deployment's limit, or fewer if there are too few connections
};

// Divides `descriptors` descriptors in a deployment whose limit is `requestedConcurrency` concurrent
// requests. `internal`, `endpointConnections` and `clients` add up to `descriptors`. Throws ConfigError if
// there are too few descriptors to work with.
DescriptorBudget descriptorBudget(std::size_t descriptors, int requestedConcurrency);

// Raises the soft limit of the process to `configured` descriptors as far as the system allows, and returns
// how many of them the process may hold. Logs a warning if these are fewer than `configured`. Without this, a
// process with a lower limit than configured would learn of it only when clients have used all descriptors.
std::size_t raiseDescriptorLimit(std::size_t configured);

}  // namespace stonewing
