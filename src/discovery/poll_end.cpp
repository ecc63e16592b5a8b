#include "discovery/poll_end.h"

namespace stonewing {

const char* nameOf(PollEnd end) {
  switch (end) {
    case PollEnd::applied:
      return "applied";
    case PollEnd::rejected:
      return "rejected";
    case PollEnd::outdated:
      return "outdated";
    case PollEnd::unreadable:
      return "unreadable";
    case PollEnd::noDescriptor:
      return "no_descriptor";
    case PollEnd::connectFailed:
      return "connect_failed";
    case PollEnd::connectTimedOut:
      return "connect_timed_out";
    case PollEnd::unanswered:
      return "unanswered";
    case PollEnd::incomplete:
      return "incomplete";
    case PollEnd::endedByDiscovery:
      return "ended_by_discovery";
    case PollEnd::malformed:
      return "malformed";
    case PollEnd::superseded:
      return "superseded";
  }
  return "unknown";  // unreachable: all enumerators are handled above
}

PollEnd pollEndOf(ConnectionFailure failure) {
  switch (failure) {
    case ConnectionFailure::connectFailed:
      return PollEnd::connectFailed;
    case ConnectionFailure::unexpectedBytes:
    case ConnectionFailure::malformedResponse:
      return PollEnd::malformed;
    case ConnectionFailure::none:
    case ConnectionFailure::endedByPeer:
      break;
  }
  return PollEnd::endedByDiscovery;
}

}  // namespace stonewing
