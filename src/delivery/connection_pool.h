#pragma once

#include <compare>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "delivery/close_cause.h"
#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "discovery/discovery_client.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"

namespace stonewing {

// A time that never comes, in milliseconds.
inline constexpr Millis kNever = 1e15;

// The limits on the pool's use of the process' descriptors and memory.
struct ConnectionLimits {
  std::size_t maxConnections{};   // at this number, a new connection replaces an idle one
  std::size_t maxHealthChecks{};  // health checks in flight
  // The memory of the responses of all connections, in bytes.
  std::size_t maxResponseMemoryBytes{};
};

// Owns the connections to all endpoints, and knows when each of them needs attention next.
//
// A connection is in the list `connections_` from acquire() to release(), and in the indexes as follows:
// - It is in no index between acquire() or suspend() and the next update(): its caller is about to use it.
// - From update() on it is in `dueTimes_`, under the value of dueAt() at that call.
// - If it was connected, not busy, not held back and had not failed at that call, it is in
//   `idleByEndpoint_` and `leastRecentlyUsed_` too. Idle connections have no attempts and carry no health
//   check, so the pool may close them; it notifies the observer only if bytes arrived that belong to no
//   request, or the connection has ended.
// If a value changes on which a due time depends, update() must be called before the next tick.
//
// References and pointers to a connection stay valid until release(). The event loop deletes the object at
// the end of the turn, since the object may be handling an event of its own. Must be used on the event loop's
// thread only.
class ConnectionPool {
 public:
  // `observer` receives the events of all connections. All references must outlive the pool.
  ConnectionPool(EventLoop& loop, HttpClientConnection::Observer& observer, const DispatchPolicy& policy,
                 const DeploymentSettings& settings, const NameTables& names, ConnectionLimits limits,
                 DeliveryLog& log);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Which idle connections serve for a request: those that may be reused now, or also one that may be soon.
  // A new connection costs the endpoint more than the request loses by the wait.
  enum class Reuse { now, nowOrSoon };

  // Returns a connection for the next request to an endpoint: the idle connection that was used last among
  // those that may be reused, or else the one that may be reused soonest, otherwise a new one. The request
  // must not begin before reusableAt(). `target` is the endpoint's entry in discovery, or nullptr.
  // If the connection could not be opened, its startFailure() gives the reason; it stays in the pool until
  // release() all the same.
  EndpointConnection& acquire(EndpointId endpoint, const DiscoveredEndpoint* target, Reuse reuse);
  // Closes a connection and removes it from the pool; the object is deleted at the end of the turn.
  void release(EndpointConnection& connection, CloseCause cause);
  // Releases an idle connection, after reading what has arrived on it, and once its responses are confirmed.
  void closeIdleConnection(EndpointConnection& connection, CloseCause cause);
  // Releases all idle connections to an endpoint.
  void closeIdle(EndpointId endpoint, CloseCause cause);

  // Whether the connection was opened to the process that `target`, the endpoint's entry in discovery, names
  // now. False if the endpoint is not listed (nullptr).
  static bool isToProcessOf(const EndpointConnection& connection, const DiscoveredEndpoint* target);

  // Updates the index entries of a connection. Must be called after a change on which its due time depends.
  void update(EndpointConnection& connection);
  // Removes a connection from all indexes until update() or release(): it is never due meanwhile.
  void suspend(EndpointConnection& connection);
  // Records that a response ended just now. The connection is in no index until update() or release().
  void recordUse(EndpointConnection& connection);

  // Whether another health check is within the limit.
  bool mayStartHealthCheck() const { return healthChecksInFlight_ < limits_.maxHealthChecks; }
  // Marks an acquired connection as carrying a health check, which counts towards the limit until
  // endHealthCheck() or release().
  void beginHealthCheck(EndpointConnection& connection);
  void endHealthCheck(EndpointConnection& connection);

  // Updates the due times if the policy allows less idle time than at the last call.
  void followReusableIdleTime();
  // The connection with the earliest due time, if that time has come; otherwise nullptr.
  EndpointConnection* firstDue() const;
  // The earliest due time; kNever without connections.
  Millis nextDueAt() const;

  // When a connection needs attention, because its request times out or because it has been idle for too
  // long.
  Millis dueAt(const EndpointConnection& connection) const;
  // The time by which a connection with a request must be established; kNever if it is established or has no
  // request.
  Millis connectDeadline(const EndpointConnection& connection) const;
  // The time by which a health check must be answered.
  Millis healthCheckDeadline(const EndpointConnection& connection) const;
  // The time until which an idle connection may be reused.
  Millis idleDeadline(const EndpointConnection& connection) const;

  // The number of connections in any state.
  std::size_t size() const { return connections_.size(); }
  // Whether a connection carries an attempt.
  bool hasAttempts() const;

 private:
  struct TimedConnection {
    Millis at{};
    EndpointConnection* connection{};
    auto operator<=>(const TimedConnection&) const = default;
  };
  struct IdleConnection {
    EndpointId endpoint{};
    Millis lastUsedAt{};
    EndpointConnection* connection{};
    auto operator<=>(const IdleConnection&) const = default;
  };

  Millis reusableIdleTime() const;
  EndpointConnection* reusableConnection(EndpointId endpoint, Reuse reuse);
  bool mayWait(EndpointId endpoint);
  bool canReuse(const EndpointConnection& connection, const DiscoveredEndpoint* target) const;
  EndpointConnection& open(EndpointId endpoint, const DiscoveredEndpoint* target);
  void removeFromIndexes(EndpointConnection& connection);

  EventLoop& loop_;
  HttpClientConnection::Observer& observer_;
  const DispatchPolicy& policy_;
  Millis connectTimeout_;
  Millis maxIdleTime_{kNever};
  Millis lastReusableIdleTime_{kNever};  // at the last call of followReusableIdleTime()
  ConnectionLimits limits_;
  DeliveryLog& log_;
  MemoryBudget responseMemory_;
  std::uint64_t lastNumber_{0};
  std::size_t healthChecksInFlight_{0};
  std::list<std::unique_ptr<EndpointConnection>> connections_;
  std::set<TimedConnection> dueTimes_;
  std::set<IdleConnection> idleByEndpoint_;
  // Until when a request waits for a kept connection to an endpoint; a time in the past means that none does.
  std::map<EndpointId, Millis> waitingUntil_;
  std::set<TimedConnection> leastRecentlyUsed_;  // idle connections, ordered by their last use
};

}  // namespace stonewing
