#pragma once

#include <cstddef>

// How the descriptors that the process may hold are divided among those who need them.
namespace stonewing {

// A fixed share for each user of descriptors. Without it, idle clients could take all of them, and nothing
// could be delivered, reported or looked up any more.
struct DescriptorBudget {
  std::size_t own{};                  // for the journal, discovery, the platform, the log and the event loop
  std::size_t endpointConnections{};  // connections to endpoints
  std::size_t healthChecks{};         // the part of endpointConnections that requests leave to health checks
  std::size_t clients{};              // connections of clients
  int maxConcurrentRequests{};        // the deployment's limit, or what the connections to endpoints allow
};

// Divides `sockets` descriptors in a deployment that wants up to `wantedRequests` concurrent requests. The
// shares add up to `sockets`. Throws ConfigError where there are too few for any work.
DescriptorBudget descriptorBudget(std::size_t sockets, int wantedRequests);

// Raises the soft limit of the process to `configured` descriptors as far as the system allows, and returns
// how many of them the process may hold. Logs a warning where these are fewer. Without this, a process that
// may hold fewer than its configuration says would find out only when clients have taken all.
std::size_t raiseDescriptorLimit(std::size_t configured);

}  // namespace stonewing
