#pragma once

#include <vector>

#include "delivery/endpoint_connection.h"
#include "policy/decision.h"
#include "settings/deployment_settings.h"

// How the end of a request, with or without a response, becomes the outcome of each of its attempts. These
// functions change nothing; the bytes that they read stay with the connection.
namespace stonewing {

// Whether an outcome is final for the message, or for the attempt alone.
enum class OutcomeScope { attempt, message };

// How one attempt ended.
struct AttemptResult {
  AttemptOutcome outcome{};
  OutcomeScope scope{OutcomeScope::attempt};
  Millis retryAfter{0};  // what the endpoint asked to wait, in milliseconds from now; 0 for nothing
};

// The results that a complete response states, one for each attempt of the request, in their order.
std::vector<AttemptResult> readAttemptResults(const EndpointConnection& connection);

// Whether a status says that the endpoint could not read the request: a fault of this program.
bool isRequestUnreadable(int status);

// What a complete response to a health check says.
AttemptOutcome healthCheckOutcome(int status);

// The outcome of a request that ended without a complete response. `ifSilent` applies where the request was
// written in full and nothing came back.
AttemptOutcome outcomeWithoutResponse(const EndpointConnection& connection, AttemptOutcome ifSilent);

// The outcome of an attempt that this process ends itself, by cancelling it or because it timed out.
// `ifSilent` applies where the request was written in full and nothing came back.
AttemptOutcome outcomeOfInterruption(const EndpointConnection& connection, AttemptOutcome ifSilent);

}  // namespace stonewing
