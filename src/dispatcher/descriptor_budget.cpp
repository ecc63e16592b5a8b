#include "dispatcher/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>

#include "base/errors.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// Three standard streams, epoll, signals, the listener, the journal and its compaction, the background
// writer's event, discovery, the platform, one that is being accepted, and two to spare.
constexpr std::size_t kMinOwnDescriptors = 14;
constexpr std::size_t kMaxOwnDescriptors = 32;
constexpr std::size_t kMinDescriptors = 2 * kMinOwnDescriptors;
// At least one in so many connections to endpoints is left to health checks: requests that take all of them
// would keep an endpoint that has recovered from being noticed.
constexpr std::size_t kHealthCheckDivisor = 8;

}  // namespace

// Connections to endpoints get a quarter of all descriptors. A deployment that wants more concurrent requests
// than these allow gets more, up to half of what remains beside the dispatcher's own descriptors.
DescriptorBudget descriptorBudget(std::size_t sockets, int wantedRequests) {
  if (sockets < kMinDescriptors)
    throw ConfigError("'limits.sockets' is " + std::to_string(sockets) + "; it must be at least " +
                      std::to_string(kMinDescriptors));
  DescriptorBudget budget;
  budget.own = std::clamp(sockets / 2, kMinOwnDescriptors, kMaxOwnDescriptors);
  const std::size_t remaining = sockets - budget.own;
  const auto requests = static_cast<std::size_t>(std::max(1, wantedRequests));
  const std::size_t withHealthChecks = requests + requests / (kHealthCheckDivisor - 1) + 1;
  const std::size_t quarter = sockets / 4;
  budget.endpointConnections = std::clamp(withHealthChecks, quarter, std::max(quarter, remaining / 2));
  budget.clients = remaining - budget.endpointConnections;
  const std::size_t minHealthChecks =
      std::max<std::size_t>(1, budget.endpointConnections / kHealthCheckDivisor);
  const std::size_t maxRequests = std::min(requests, budget.endpointConnections - minHealthChecks);
  budget.maxConcurrentRequests = static_cast<int>(maxRequests);
  budget.healthChecks = budget.endpointConnections - maxRequests;
  return budget;
}

std::size_t raiseDescriptorLimit(std::size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= configured) return configured;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, configured);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= configured) return configured;
  log::warn("descriptors.limited", {{"configured", configured}, {"allowed", limit.rlim_cur}});
  return limit.rlim_cur;
}

}  // namespace stonewing
