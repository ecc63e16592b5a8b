#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/experiment.h"

// The events that clients, endpoints and the platform observed in one experiment, outside of the dispatchers.
// The audit and the reports use the trace alone.
namespace stonewing::lab {

enum class TraceEventType : std::uint8_t {
  submitted,      // a client sent its command; duration: time left until the message's deadline
  accepted,       // the client received +OK
  rejected,       // the client received -BUSY; duration: the Retry-After in it, 0 for none
  failed,         // the client received an error, or its connection ended; status 1: the connect was refused
  unanswered,     // the client received no response within its timeout
  arrived,        // an endpoint received the last byte of a request; request: its number
  responded,      // an endpoint responded; status: a ResponseKind, duration: Retry-After, executed: it ran
  abandoned,      // the dispatcher disconnected before the response; executed: it ran, or may still run
  effect,         // a message took effect (a repeat within the deduplication window has none)
  healthChecked,  // an endpoint received a health check; status: of the response, 0 for none
  connectionRefused,      // an endpoint refused a connection, or its connection table was full
  notificationReceived,   // the platform was notified; status 1: failed, 2: shed; duration: Retry-After
  endpointStateNotified,  // discovery sent a dispatcher an endpoint's state; status: an EndpointState
  dispatcherUp,           // a dispatcher answers PING; status 1: it was continued after SIGSTOP
  dispatcherDown,         // a dispatcher was killed or exited; status 1: SIGSTOP, 2: SIGTERM
  destinationDown,        // a destination fails most requests from now on; message: its number
  destinationUp,          // a destination recovered; message: its number
  destinationOverloaded,  // a destination failed from overload during slow start; message: its number
  zoneOverloaded,         // a zone failed from overload during slow start; message: its number
  responseAltered,        // a fault altered a response; status: a FaultKind, request: the server's connection
  faultStruck,            // a fault met a dispatcher's polls or its clients; status: a FaultKind
};

struct TraceEvent {
  Millis at{};
  TraceEventType type{};
  std::uint32_t message{};
  std::uint32_t request{};
  std::uint32_t endpoint{};
  std::uint16_t dispatcher{};
  std::int16_t status{};
  Millis duration{};
  bool executed{false};

  bool operator==(const TraceEvent&) const = default;
};

// One submission of a message. A resubmission is an entry of its own with the same origin.
struct SubmittedMessage {
  std::uint32_t origin{};  // number of the first submission
  std::uint16_t type{};
  std::uint16_t tenant{};
  std::uint16_t destination{};
  std::uint32_t key{};  // ordering key, for an ordered type; 0: none
  Millis due{};         // when the first submission was due

  bool operator==(const SubmittedMessage&) const = default;
};

struct Trace {
  std::vector<SubmittedMessage> messages;
  std::vector<TraceEvent> events;
};

const char* nameOf(TraceEventType type);

// The trace is stored in `folder` as two CSV tables, one of events and one of messages. Both functions throw
// ConfigError, which names the file and, for an error in a table, the line.
void saveTrace(const Trace& trace, const std::string& folder);
Trace loadTrace(const std::string& folder);

}  // namespace stonewing::lab
