#pragma once

#include <cstdint>
#include <string_view>

#include "delivery/attempt_end.h"
#include "delivery/close_cause.h"
#include "delivery/delivery_counters.h"
#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "discovery/discovery_client.h"
#include "logging/rate_limit.h"

// The log events of delivery (docs/log.md lists them). `now` is the event loop's time.
namespace stonewing {

// Writes the log events of attempts, their requests and connections, with the names of the endpoints, and
// counts them. Each function writes one event with a name similar to its own, from the state of its arguments
// at the call.
//
// The ends of attempts and of connections are logged at level info, at a bounded rate, so that a failure in
// service can be explained afterwards. At level debug, all of them are logged.
class DeliveryLog {
 public:
  // `discovery` must outlive the log.
  explicit DeliveryLog(const DiscoveryClient& discovery);
  DeliveryLog(const DeliveryLog&) = delete;
  DeliveryLog& operator=(const DeliveryLog&) = delete;

  void attemptSent(const EndpointConnection& connection, const BatchedAttempt& attempt, Millis now) const;
  void attemptWritten(const EndpointConnection& connection, const BatchedAttempt& attempt) const;
  void attemptCancelDeferred(const BatchedAttempt& attempt) const;
  void attemptFinished(const AttemptEnd& end, Millis now);
  // The outcome of an attempt by a response that belonged to another request no longer holds.
  void responseTakenBack(const AttemptEnd& end);
  // Nothing contradicted a response until its time of confirmation, and it counts as the attempt's own.
  void responseConfirmed(const AttemptEnd& end) const;
  // Nothing contradicted it, but it came too early, and the endpoint has not responded to a later request
  // yet.
  void responseUnconfirmed(const AttemptEnd& end);
  void attemptResourceExhausted(const EndpointConnection& connection) const;
  void requestUnreadable(const EndpointConnection& connection) const;
  void connectionClosed(const EndpointConnection& connection, CloseCause cause, Millis now);
  // Bytes that belong to no request arrived on a connection.
  void unexpectedBytes(const EndpointConnection& connection, std::string_view bytes, Millis now);

  // Counts a connection that was opened.
  void countOpened() { counters_.countOpened(); }
  const DeliveryCounters& counters() const { return counters_; }
  // Logs the counters, if they have changed since they were last logged, at most every 10 s.
  void logCounters(Millis now);

 private:
  std::string_view nameOf(EndpointId endpoint) const;

  // Whether a line at level info may be written now.
  bool mayLog(log::RateLimit& limit, Millis now) const;

  const DiscoveryClient& discovery_;
  DeliveryCounters counters_;
  DeliveryCounters loggedCounters_;
  Millis countersDueAt_{0};
  log::RateLimit attemptLines_;
  log::RateLimit connectionLines_;
  log::RateLimit unexpectedBytesLines_;
};

}  // namespace stonewing
