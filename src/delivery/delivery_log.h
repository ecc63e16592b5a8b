#pragma once

#include <string_view>

#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "discovery/discovery_client.h"

// The log events of delivery (docs/log.md lists them). `now` is the event loop's time.
namespace stonewing {

// Writes the events of attempts and of their requests, with the endpoints by name. Each function writes one
// event of nearly its own name, from the state that its arguments have at the call. Nothing is changed.
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
