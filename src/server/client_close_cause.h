#pragma once

#include <cstddef>

namespace stonewing {

// Why a client's connection is closed.
enum class ClientCloseCause {
  endedByClient,  // the client closed its side
  resetByClient,  // the client reset the connection, or it failed
  protocolError,  // the client got an error reply
  idle,           // no command for a time
  stalled,        // half a command, or replies that the client did not read, for a time
  outOfMemory,    // the memory of all clients is used up, and this one has stalled for longest
  replaced,       // its descriptor is needed for another client
  draining,       // the dispatcher shuts down
  notWatched      // the event loop could not register it
};

inline constexpr std::size_t kClientCloseCauseCount =
    static_cast<std::size_t>(ClientCloseCause::notWatched) + 1;

// The name of the cause in the log.
constexpr const char* nameOf(ClientCloseCause cause) {
  switch (cause) {
    case ClientCloseCause::endedByClient:
      return "ended_by_client";
    case ClientCloseCause::resetByClient:
      return "reset_by_client";
    case ClientCloseCause::protocolError:
      return "protocol_error";
    case ClientCloseCause::idle:
      return "idle";
    case ClientCloseCause::stalled:
      return "stalled";
    case ClientCloseCause::outOfMemory:
      return "out_of_memory";
    case ClientCloseCause::replaced:
      return "replaced";
    case ClientCloseCause::draining:
      return "draining";
    case ClientCloseCause::notWatched:
      return "not_watched";
  }
  return "unknown";
}

}  // namespace stonewing
