#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/experiment.h"

// What was seen at the far side of the dispatchers: by clients, endpoints and the platform. The audit and the
// reports are made from it alone.
namespace stonewing::lab {

enum class TraceEventType : std::uint8_t {
  submitted,          // a client's command has gone out; span: how long it may still be delivered
  accepted,           // +OK
  rejected,           // -BUSY; span: the time to come back, 0 for none
  failed,             // an error, or a connection that ended
  unanswered,         // nothing within the client's patience
  arrived,            // the last byte of an attempt has come to an endpoint; call: its number
  responded,          // its answer is written; status, span: the wait in it, ran: whether it has run
  abandoned,          // its connection ended from the dispatcher's side; ran: whether it has run, or may yet
  effect,             // it took effect (a repeat within its receipt's window takes none)
  healthChecked,      // a probe has come; status: what it is answered, 0 for nothing
  connectionRefused,  // a connection was refused or not taken
  notificationReceived,   // the platform has a notice; status 1: failed, 2: shed with span to come back
  endpointStateNotified,  // a dispatcher was told of an endpoint; status: 0 gone, 1 in service, 2 terminating
  dispatcherUp,           // a dispatcher answers PING; status 1: it goes on after SIGSTOP
  dispatcherDown,         // it was killed, told to end or has ended; status 1: stopped
  destinationDown,        // a destination fails most of its calls from now on; message: its number
  destinationUp,          // it is back, and cold
  destinationOverloaded,  // it was pushed over
  zoneOverloaded,         // a room was, as it returned; message: its number
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

// A message as its client hands it in; submitted again it is another one, of the same origin.
struct SubmittedMessage {
  std::uint32_t origin{};
  std::uint16_t type{};
  std::uint16_t tenant{};
  std::uint16_t destination{};
  std::uint32_t key{};  // of an ordered type; 0: none
  Millis due{};         // when the first of its origin was due

  bool operator==(const SubmittedMessage&) const = default;
};

struct Trace {
  std::vector<SubmittedMessage> messages;
  std::vector<TraceEvent> events;
};

const char* nameOf(TraceEventType type);

// Two tables, events.csv and messages.csv, in a folder. Throws ConfigError naming file and line.
void saveTrace(const Trace& trace, const std::string& folder);
Trace loadTrace(const std::string& folder);

}  // namespace stonewing::lab
