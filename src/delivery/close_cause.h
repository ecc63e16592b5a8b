#pragma once

#include <cstddef>

#include "net/http_client_connection.h"

namespace stonewing {

// Why a connection to an endpoint was closed.
enum class CloseCause {
  connectFailed,
  endedByPeer,         // the endpoint closed or reset it
  endedByResponse,     // the response asked for it, or its end is the end of the connection
  malformedResponse,   // not HTTP, cut short, or over a limit
  unexpectedBytes,     // bytes arrived that belong to no request
  incompleteResponse,  // a response began and was not complete in time
  timedOut,            // all its attempts timed out, or its health check did
  cancelled,           // all its attempts were cancelled, or ended otherwise
  notSent,             // its request was no longer allowed
  localResources,      // this process lacked a descriptor, journal space or the endpoint's address
  idleTooLong,         // idle for as long as a connection may be
  replaced,            // idle, and closed for a new connection within the limit of connections
  notTrusted,          // the endpoint's connections carry one request each, for a time
  requestedByPolicy,   // idle, and the policy decided to close it
  notReusable,         // idle, and ended or moved to another address before its next request
};

inline constexpr std::size_t kCloseCauseCount = static_cast<std::size_t>(CloseCause::notReusable) + 1;

// The cause for a connection that broke.
CloseCause closeCauseOf(ConnectionFailure failure);
// The cause as the log spells it.
const char* nameOf(CloseCause cause);

}  // namespace stonewing
