#pragma once

#include <compare>
#include <list>
#include <memory>
#include <set>

#include "delivery/endpoint_connection.h"
#include "discovery/discovery_client.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"

namespace stonewing {

// A time that never comes, in milliseconds.
inline constexpr Millis kNever = 1e15;

// How much the pool may use of the process' descriptors.
struct ConnectionLimits {
  std::size_t maxConnections{};   // idle ones are closed in favour of new ones from here on
  std::size_t maxHealthChecks{};  // health checks at once
};

// Owns the connections to all endpoints, and knows when each needs attention next.
//
// A connection is in the list `connections_` from acquire() to release(), and in the indexes as follows:
// - It is in none of them between acquire() and the next update(): whoever acquired it is about to use it.
// - From update() on it is in `dueTimes_`, under dueAt() as of that call.
// - If it was connected, not busy and had not failed then, it is in `idleByEndpoint_` and
//   `leastRecentlyUsed_` too. Idle connections have no attempts and are no health check, so the pool may
//   close them without telling anyone.
// What a due time depends on may change at any time, but then update() must be called before the next tick.
//
// References and pointers to a connection stay valid until release(); the object itself is deleted by the
// event loop at the end of the turn, since it may be in the middle of its own event. To be used on the event
// loop's thread alone.
class ConnectionPool {
 public:
  // `observer` receives the events of all connections. All references must outlive the pool.
  ConnectionPool(EventLoop& loop, HttpClientConnection::Observer& observer, const DispatchPolicy& policy,
                 const DeploymentSettings& settings, const NameTables& names, ConnectionLimits limits);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // A connection for the next request to an endpoint: the idle one that was used last if it is still good, or
  // a new one. `target` is what discovery knows of the endpoint, or nullptr. If the connection could not even
  // begin, its startFailure() says why. It is in the pool all the same, until release().
  EndpointConnection& acquire(EndpointId endpoint, const DiscoveredEndpoint* target);
  // Closes a connection and takes it out of the pool; it is deleted at the end of the turn.
  void release(EndpointConnection& connection);
  // Releases all idle connections to an endpoint.
  void closeIdle(EndpointId endpoint);

  // Puts a connection into the indexes anew, after something changed that its due time depends on.
  void update(EndpointConnection& connection);
  // Notes that a response ended just now. The connection is in no index until update() or release().
  void recordUse(EndpointConnection& connection);

  // Whether another health check stays within the limit.
  bool mayStartHealthCheck() const { return healthChecksInFlight_ < limits_.maxHealthChecks; }
  // An acquired connection carries a health check from now on, which counts towards the limit until
  // endHealthCheck() or release().
  void beginHealthCheck(EndpointConnection& connection);
  void endHealthCheck(EndpointConnection& connection);

  // Makes the due times follow the policy, where it trusts idle connections for less long than at the last
  // call.
  void followReusableIdleTime();
  // The connection that needs attention first, if its due time has come; else nullptr.
  EndpointConnection* firstDue() const;
  // The earliest due time; kNever without connections.
  Millis nextDueAt() const;

  // When a connection needs attention: its request times out, or it has been idle for too long.
  Millis dueAt(const EndpointConnection& connection) const;
  // Until when a connection with a request must be established; kNever if it is, or without a request.
  Millis connectDeadline(const EndpointConnection& connection) const;
  // Until when a health check must be answered.
  Millis healthCheckDeadline(const EndpointConnection& connection) const;
  // Until when an idle connection may be used again.
  Millis idleDeadline(const EndpointConnection& connection) const;

  // How many connections there are, whatever their state.
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
  EndpointConnection* lastUsedIdle(EndpointId endpoint) const;
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
  std::size_t healthChecksInFlight_{0};
  std::list<std::unique_ptr<EndpointConnection>> connections_;
  std::set<TimedConnection> dueTimes_;
  std::set<IdleConnection> idleByEndpoint_;
  std::set<TimedConnection> leastRecentlyUsed_;  // the idle ones, by when they were last used
};

}  // namespace stonewing
