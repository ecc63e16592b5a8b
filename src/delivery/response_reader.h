#pragma once

#include <string_view>
#include <vector>

#include "delivery/endpoint_connection.h"
#include "policy/decision.h"
#include "settings/deployment_settings.h"

// Derives the outcome of each attempt from the end of its request, with or without a response. The functions
// change nothing; the connection owns the bytes that they read.
namespace stonewing {

// Whether an outcome is final for the message or only for the attempt.
enum class OutcomeScope { attempt, message };

// The result of one attempt.
struct AttemptResult {
  AttemptOutcome outcome{};
  OutcomeScope scope{OutcomeScope::attempt};
  Millis retryAfter{0};  // the wait that the endpoint requested, in milliseconds from now; 0 if none
};

// The results that a complete response reports, one for each attempt of the request, in their order.
std::vector<AttemptResult> readAttemptResults(const EndpointConnection& connection);

// Whether a complete response reports the delivery of messages, and not of a health check.
bool isDelivery(const EndpointConnection& connection);

// Whether a batch response names none of the request's messages, so that it belongs to another request.
bool namesNoMessage(const EndpointConnection& connection);

// The time for which a response asks not to be sent another request, in milliseconds from now; 0 for none.
// `response`: the first bytes of a response, which may be incomplete.
Millis retryAfterOf(std::string_view response);

// The result of an attempt whose response, which reports `result`, may belong to another request. A delay
// that the response asks for is respected all the same.
AttemptResult unattributed(const AttemptResult& result);

// Whether a status means that the endpoint could not parse the request, which is a fault of this program.
bool isRequestUnreadable(int status);

// The outcome of a health check, by the status of a complete response.
AttemptOutcome healthCheckOutcome(int status);

// The outcome of a request that ended without a complete response. `ifNoResponse` is returned if the request
// was written in full and no byte of a response arrived.
AttemptOutcome outcomeWithoutResponse(const EndpointConnection& connection, AttemptOutcome ifNoResponse);

// The outcome of an attempt that this process ends itself, because it was cancelled or timed out.
// `ifNoResponse` is returned if the request was written in full and no byte of a response arrived.
AttemptOutcome outcomeOfInterruption(const EndpointConnection& connection, AttemptOutcome ifNoResponse);

}  // namespace stonewing
