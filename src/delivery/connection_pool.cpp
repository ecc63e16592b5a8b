#include "delivery/connection_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace stonewing {
namespace {

// A response that announces or sends more than this is malformed. Without this limit, one endpoint could use
// up all memory.
constexpr std::size_t kMaxResponseBytes = std::size_t{128} * 1024;

// Before all times. It allows a search in an index by endpoint only.
constexpr Millis kBeforeAllTimes = -1e300;

}  // namespace

ConnectionPool::ConnectionPool(EventLoop& loop, HttpClientConnection::Observer& observer,
                               const DispatchPolicy& policy, const DeploymentSettings& settings,
                               const NameTables& names, ConnectionLimits limits, DeliveryLog& log)
    : loop_(loop),
      observer_(observer),
      policy_(policy),
      connectTimeout_(names.connectTimeout > 0 ? names.connectTimeout : kNever),
      limits_(limits),
      log_(log),
      responseMemory_(limits.maxResponseMemoryBytes) {
  if (settings.connectionIdleTimeout > 0) maxIdleTime_ = settings.connectionIdleTimeout;
  // A request that is written near the end of the idle time may cross with the endpoint's close of the
  // connection. It would end as a reset, which does not prove whether the request was executed. So a
  // connection is not reused in the last connectTimeout_ of its idle time, which is as long as a new
  // connection may take.
  if (maxIdleTime_ > connectTimeout_) maxIdleTime_ -= connectTimeout_;
}

// The policy knows only the endpoint, and states for how long an idle connection to any endpoint may be
// reused. If an endpoint has several connections, some of them stay idle for long while other connections are
// busy, so this limit is applied to each connection here.
Millis ConnectionPool::reusableIdleTime() const {
  return maxIdleTime_ < kNever ? std::min(maxIdleTime_, policy_.state().reusableIdleTime) : maxIdleTime_;
}

EndpointConnection* ConnectionPool::reusableConnection(EndpointId endpoint, Reuse reuse) {
  std::optional<Millis> quietTime = policy_.quietBeforeReuse(endpoint);
  if (!quietTime) return nullptr;
  Millis lastUsedUntil = loop_.now() - *quietTime;
  // The first one that was used too late.
  auto next = idleByEndpoint_.lower_bound({endpoint, std::nextafter(lastUsedUntil, kNever), nullptr});
  const IdleConnection* found = next == idleByEndpoint_.begin() ? nullptr : &*std::prev(next);
  bool isQuiet = found != nullptr && found->endpoint == endpoint;
  if (!isQuiet) {
    bool isSoon = next != idleByEndpoint_.end() && next->endpoint == endpoint;
    if (reuse == Reuse::now || !isSoon || !mayWait(endpoint)) return nullptr;
    found = &*next;
    waitingUntil_[endpoint] = found->lastUsedAt + *quietTime;
  }
  found->connection->reusableAt_ = found->lastUsedAt + *quietTime;
  return found->connection;
}

// One request at a time waits for a connection to an endpoint. If all did, the rate at the endpoint would be
// limited by the quiet time and the number of its connections.
bool ConnectionPool::mayWait(EndpointId endpoint) {
  std::erase_if(waitingUntil_, [this](const auto& entry) { return loop_.now() >= entry.second; });
  return !waitingUntil_.contains(endpoint);
}

bool ConnectionPool::canReuse(const EndpointConnection& connection, const DiscoveredEndpoint* target) const {
  bool mayLeadToTarget = target == nullptr || isToProcessOf(connection, target);
  return loop_.now() < idleDeadline(connection) && mayLeadToTarget && connection.isReusable();
}

bool ConnectionPool::isToProcessOf(const EndpointConnection& connection, const DiscoveredEndpoint* target) {
  return target != nullptr && connection.process_ == target->process;
}

EndpointConnection& ConnectionPool::acquire(EndpointId endpoint, const DiscoveredEndpoint* target,
                                            Reuse reuse) {
  if (EndpointConnection* idle = reusableConnection(endpoint, reuse); idle != nullptr) {
    if (canReuse(*idle, target)) {
      removeFromIndexes(*idle);
      return *idle;
    }
    closeIdle(endpoint, CloseCause::notReusable);
  }
  if (connections_.size() >= limits_.maxConnections && !leastRecentlyUsed_.empty()) {
    closeIdleConnection(*leastRecentlyUsed_.begin()->connection, CloseCause::replaced);
  }
  return open(endpoint, target);
}

EndpointConnection& ConnectionPool::open(EndpointId endpoint, const DiscoveredEndpoint* target) {
  connections_.push_back(
      std::make_unique<EndpointConnection>(loop_, observer_, kMaxResponseBytes, responseMemory_, endpoint));
  EndpointConnection& connection = *connections_.back();
  connection.position_ = std::prev(connections_.end());
  connection.number_ = ++lastNumber_;
  log_.countOpened();
  if (target == nullptr) {
    connection.setStartFailure(EndpointConnection::StartFailure::localResources);
    return connection;
  }
  connection.process_ = target->process;
  if (!connection.open(target->process.address)) {
    connection.setStartFailure(connection.isOutOfResources()
                                   ? EndpointConnection::StartFailure::localResources
                                   : EndpointConnection::StartFailure::refused);
  }
  return connection;
}

void ConnectionPool::release(EndpointConnection& connection, CloseCause cause) {
  log_.connectionClosed(connection, cause, loop_.now());
  removeFromIndexes(connection);
  if (connection.isHealthCheck()) endHealthCheck(connection);
  auto position = connection.position_;
  connection.close();
  loop_.deferDeletion(std::move(*position));
  connections_.erase(position);
}

void ConnectionPool::closeIdle(EndpointId endpoint, CloseCause cause) {
  for (;;) {
    auto first = idleByEndpoint_.lower_bound({endpoint, kBeforeAllTimes, nullptr});
    if (first == idleByEndpoint_.end() || first->endpoint != endpoint) return;
    closeIdleConnection(*first->connection, cause);
  }
}

// Unread bytes show that the connection is out of step. If there are some, the observer is notified, and
// releases the connection. A connection with unconfirmed responses stays open, and unused, until they are
// confirmed: if it were closed, nothing could contradict them.
void ConnectionPool::closeIdleConnection(EndpointConnection& connection, CloseCause cause) {
  connection.checkIdle();
  if (!connection.isOpen()) return;
  bool isUnconfirmed = loop_.now() < connection.confirmedAt();
  if (!isUnconfirmed || cause == CloseCause::replaced) return release(connection, cause);
  connection.retirementCause_ = cause;
  update(connection);
}

void ConnectionPool::removeFromIndexes(EndpointConnection& connection) {
  dueTimes_.erase({connection.indexedDueAt_, &connection});
  if (!std::exchange(connection.isIndexedAsIdle_, false)) return;
  idleByEndpoint_.erase({connection.endpoint(), connection.lastUsedAt_, &connection});
  leastRecentlyUsed_.erase({connection.lastUsedAt_, &connection});
}

void ConnectionPool::update(EndpointConnection& connection) {
  removeFromIndexes(connection);
  connection.indexedDueAt_ = dueAt(connection);
  dueTimes_.insert({connection.indexedDueAt_, &connection});
  bool isIdle = connection.isConnected() && !connection.isBusy() && !connection.hasUnsentAttempts();
  if (!isIdle || connection.hasFailedToStart() || connection.retirementCause_) return;
  if (loop_.now() < connection.heldUntil()) return;
  connection.isIndexedAsIdle_ = true;
  idleByEndpoint_.insert({connection.endpoint(), connection.lastUsedAt_, &connection});
  leastRecentlyUsed_.insert({connection.lastUsedAt_, &connection});
}

void ConnectionPool::suspend(EndpointConnection& connection) { removeFromIndexes(connection); }

void ConnectionPool::recordUse(EndpointConnection& connection) {
  removeFromIndexes(connection);  // while lastUsedAt_ still is the key in the indexes
  connection.lastUsedAt_ = loop_.now();
}

void ConnectionPool::beginHealthCheck(EndpointConnection& connection) {
  connection.isHealthCheck_ = true;
  ++healthChecksInFlight_;
}

void ConnectionPool::endHealthCheck(EndpointConnection& connection) {
  connection.isHealthCheck_ = false;
  --healthChecksInFlight_;
}

void ConnectionPool::followReusableIdleTime() {
  if (reusableIdleTime() < lastReusableIdleTime_) {
    std::vector<EndpointConnection*> idle;  // a copy, since update() changes the index
    idle.reserve(leastRecentlyUsed_.size());
    for (const TimedConnection& entry : leastRecentlyUsed_) idle.push_back(entry.connection);
    for (EndpointConnection* connection : idle) update(*connection);
  }
  lastReusableIdleTime_ = reusableIdleTime();
}

EndpointConnection* ConnectionPool::firstDue() const {
  if (dueTimes_.empty() || dueTimes_.begin()->at > loop_.now()) return nullptr;
  return dueTimes_.begin()->connection;
}

Millis ConnectionPool::nextDueAt() const { return dueTimes_.empty() ? kNever : dueTimes_.begin()->at; }

Millis ConnectionPool::dueAt(const EndpointConnection& connection) const {
  if (connection.hasFailedToStart()) return 0;
  if (connection.hasUnsentAttempts()) return connection.reusableAt();
  if (connection.retirementCause_) return connection.confirmedAt();
  if (!connection.hasRequest()) {
    return loop_.now() < connection.heldUntil() ? connection.heldUntil() : idleDeadline(connection);
  }
  Millis due = connectDeadline(connection);
  if (connection.isHealthCheck()) due = std::min(due, healthCheckDeadline(connection));
  if (connection.responseDueAt()) due = std::min(due, *connection.responseDueAt());
  for (const BatchedAttempt& attempt : connection.attempts()) {
    if (!attempt.isFinished()) due = std::min(due, attempt.timeoutAt);
  }
  return due;
}

Millis ConnectionPool::connectDeadline(const EndpointConnection& connection) const {
  return connection.hasRequest() && !connection.isConnected() ? connection.sentAt() + connectTimeout_
                                                              : kNever;
}

Millis ConnectionPool::healthCheckDeadline(const EndpointConnection& connection) const {
  return connection.sentAt() + connectTimeout_;
}

Millis ConnectionPool::idleDeadline(const EndpointConnection& connection) const {
  return connection.lastUsedAt() + reusableIdleTime();
}

bool ConnectionPool::hasAttempts() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return !connection->attempts().empty(); });
}

}  // namespace stonewing
