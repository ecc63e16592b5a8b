#pragma once

#include <cstddef>
#include <cstdint>

// The numbers of the simulator's wire (WIRE): little-endian records, each with a code first.
namespace stonewing::wire {

// Records from the simulator.
enum class EventCode : std::uint16_t {
  alarm = 1,
  vanished = 2,
  underWay = 3,
  mail = 4,
  create = 5,
  stop = 6,
  completed = 7,
  view = 8,
  demand = 9,
  probeResult = 10,
  snapshotRows = 11,
};

// Records to the simulator.
enum class ActionCode : std::uint16_t {
  exception = 65,
  dropConnections = 67,
  after = 68,
  withdraw = 69,
  turnAway = 70,
  attempt = 71,
  test = 74,
  respondError = 75,
};

inline constexpr std::size_t kHeaderBytes = 20;        // of a batch of events
inline constexpr std::size_t kEndpointBytes = 6;       // of an endpoint id: an address and a port
inline constexpr std::size_t kEndpointListPages = 16;  // numbered lists that a process may hold
inline constexpr double kMillisPerSecond = 1000.0;     // the wire counts in seconds

}  // namespace stonewing::wire
