#include "delivery/close_cause.h"

namespace stonewing {

const char* nameOf(CloseCause cause) {
  switch (cause) {
    case CloseCause::connectFailed:
      return "connect_failed";
    case CloseCause::endedByPeer:
      return "ended_by_endpoint";
    case CloseCause::endedByResponse:
      return "ended_by_response";
    case CloseCause::malformedResponse:
      return "malformed_response";
    case CloseCause::unexpectedBytes:
      return "unexpected_bytes";
    case CloseCause::incompleteResponse:
      return "incomplete_response";
    case CloseCause::timedOut:
      return "timed_out";
    case CloseCause::cancelled:
      return "cancelled";
    case CloseCause::notSent:
      return "not_sent";
    case CloseCause::localResources:
      return "local_resources";
    case CloseCause::idleTooLong:
      return "idle_too_long";
    case CloseCause::replaced:
      return "replaced";
    case CloseCause::notTrusted:
      return "not_trusted";
    case CloseCause::requestedByPolicy:
      return "requested_by_policy";
    case CloseCause::notReusable:
      return "not_reusable";
  }
  return "unknown";  // unreachable: all enumerators are handled above
}

CloseCause closeCauseOf(ConnectionFailure failure) {
  switch (failure) {
    case ConnectionFailure::connectFailed:
      return CloseCause::connectFailed;
    case ConnectionFailure::unexpectedBytes:
      return CloseCause::unexpectedBytes;
    case ConnectionFailure::malformedResponse:
      return CloseCause::malformedResponse;
    case ConnectionFailure::none:
    case ConnectionFailure::endedByPeer:
      break;
  }
  return CloseCause::endedByPeer;
}

}  // namespace stonewing
