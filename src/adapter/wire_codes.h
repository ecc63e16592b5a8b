#pragma once

#include <cstddef>
#include <cstdint>

// The codes and sizes of the simulator's wire format (WIRE): little-endian records, each beginning with a
// code.
namespace stonewing::wire {

// Records from the simulator.
enum class EventCode : std::uint16_t {
  timerFired = 1,
  clientDisconnected = 2,
  responseStarted = 3,
  peerNote = 4,
  instanceCreated = 5,
  instanceStopped = 6,
  attemptCompleted = 7,
  endpointListShown = 8,
  messageSubmitted = 9,
  healthCheckCompleted = 10,
  endpointListPage = 11,
};

// Records to the simulator.
enum class ActionCode : std::uint16_t {
  instanceFailed = 65,
  closeIdleConnection = 67,
  setTimer = 68,
  cancelAttempt = 69,
  shedMessage = 70,
  sendAttempt = 71,
  sendHealthCheck = 74,
  failMessage = 75,
};

inline constexpr std::size_t kHeaderBytes = 20;        // of a batch of events
inline constexpr std::size_t kEndpointBytes = 6;       // of an endpoint id: an address and a port
inline constexpr std::size_t kEndpointListPages = 16;  // numbered lists that a process may store
inline constexpr double kMillisPerSecond = 1000.0;     // the wire's times are in seconds

}  // namespace stonewing::wire
