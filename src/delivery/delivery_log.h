#pragma once

#include <string_view>

#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "discovery/discovery_client.h"

// The log events of delivery (docs/log.md lists them). `now` is the event loop's time.
namespace stonewing {

// Writes the log events of attempts and of their requests, with the names of the endpoints. Each function
// writes one event with a name similar to its own, from the state of its arguments at the call, and changes
// nothing.
class DeliveryLog {
 public:
  // `discovery` must outlive the log.
  explicit DeliveryLog(const DiscoveryClient& discovery) : discovery_(discovery) {}

  void attemptSent(const EndpointConnection& connection, const BatchedAttempt& attempt, Millis now) const;
  void attemptWritten(const EndpointConnection& connection, const BatchedAttempt& attempt) const;
  void attemptCancelDeferred(const BatchedAttempt& attempt) const;
  void attemptFinished(const EndpointConnection& connection, const BatchedAttempt& attempt,
                       const AttemptResult& result, const LoadReport& report, Millis now) const;
  void attemptResourceExhausted(const EndpointConnection& connection) const;
  void requestUnreadable(const EndpointConnection& connection) const;

 private:
  std::string_view nameOf(EndpointId endpoint) const;

  const DiscoveryClient& discovery_;
};

}  // namespace stonewing
