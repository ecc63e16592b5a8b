#include "dispatcher/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>

#include "base/errors.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// Three standard streams, epoll, signals, the listener, the journal and its compaction, the background
// writer's eventfd, two polls of discovery, the platform, one connection that is being accepted, and one in
// reserve.
constexpr std::size_t kMinInternalDescriptors = 14;
constexpr std::size_t kMaxInternalDescriptors = 32;
constexpr std::size_t kMinDescriptors = 2 * kMinInternalDescriptors;
// At least one in this many connections to endpoints is reserved for health checks. If requests could use all
// of them, the dispatcher might not notice that an endpoint has recovered.
constexpr std::size_t kHealthCheckDivisor = 8;

}  // namespace

// Connections to endpoints get a quarter of all descriptors. If the deployment's limit on concurrent requests
// needs more connections, they get more, up to half of the descriptors that are not internal.
DescriptorBudget descriptorBudget(std::size_t descriptors, int requestedConcurrency) {
  if (descriptors < kMinDescriptors)
    throw ConfigError("'limits.sockets' or the process's limit allows " + std::to_string(descriptors) +
                      " descriptors; it must allow at least " + std::to_string(kMinDescriptors));
  DescriptorBudget budget;
  budget.internal = std::clamp(descriptors / 2, kMinInternalDescriptors, kMaxInternalDescriptors);
  const std::size_t remaining = descriptors - budget.internal;
  const auto requests = static_cast<std::size_t>(std::max(1, requestedConcurrency));
  const std::size_t connectionsNeeded = requests + requests / (kHealthCheckDivisor - 1) + 1;
  const std::size_t quarter = descriptors / 4;
  budget.endpointConnections = std::clamp(connectionsNeeded, quarter, std::max(quarter, remaining / 2));
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
