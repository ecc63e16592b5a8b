#include "delivery/delivery_log.h"

#include "logging/log.h"

namespace stonewing {
namespace {

const char* outcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::completed:
      return "completed";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "rejected";
    case AttemptOutcome::timeout:
      return "timeout";
    case AttemptOutcome::connectFailed:
      return "connect_failed";
    case AttemptOutcome::reset:
      return "reset";
    case AttemptOutcome::cancelled:
      return "cancelled";
    case AttemptOutcome::notSent:
      return "not_sent";
    case AttemptOutcome::localResourceExhausted:
      return "local_resource_exhausted";
  }
  return "unknown";  // unreachable: all enumerators are handled above
}

}  // namespace

std::string_view DeliveryLog::nameOf(EndpointId endpoint) const {
  const DiscoveredEndpoint* found = discovery_.find(endpoint);
  return found == nullptr ? std::string_view("gone") : std::string_view(found->record.name);
}

void DeliveryLog::attemptSent(const EndpointConnection& connection, const BatchedAttempt& attempt,
                              Millis now) const {
  log::debug("attempt.sent", {{"message", attempt.reference},
                              {"attempt", attempt.attempt},
                              {"endpoint", nameOf(connection.endpoint())},
                              {"timeout_ms", attempt.timeoutAt - now}});
}

void DeliveryLog::attemptWritten(const EndpointConnection& connection, const BatchedAttempt& attempt) const {
  log::debug("attempt.written", {{"message", attempt.reference},
                                 {"attempt", attempt.attempt},
                                 {"batch_size", connection.attempts().size()}});
}

void DeliveryLog::attemptCancelDeferred(const BatchedAttempt& attempt) const {
  log::debug("attempt.cancel_deferred", {{"message", attempt.reference}, {"attempt", attempt.attempt}});
}

void DeliveryLog::attemptFinished(const EndpointConnection& connection, const BatchedAttempt& attempt,
                                  const AttemptResult& result, const LoadReport& report, Millis now) const {
  log::debug("attempt.finished", {{"message", attempt.reference},
                                  {"attempt", attempt.attempt},
                                  {"endpoint", nameOf(connection.endpoint())},
                                  {"outcome", outcomeName(result.outcome)},
                                  {"spent_ms", now - connection.sentAt()},
                                  {"retry_after_ms", result.retryAfter},
                                  {"rate_limit", report.rateLimit},
                                  {"remaining", report.remainingShare}});
}

void DeliveryLog::attemptResourceExhausted(const EndpointConnection& connection) const {
  log::warn(
      "attempt.resource_exhausted",
      {{"endpoint", nameOf(connection.endpoint())},
       {"why",
        connection.isOutOfResources()
            ? "no free file descriptor"
            : "the attempt was not recorded in the journal, or discovery no longer lists the endpoint"}});
}

void DeliveryLog::requestUnreadable(const EndpointConnection& connection) const {
  log::error("request.unreadable",
             {{"endpoint", nameOf(connection.endpoint())}, {"status", connection.status()}});
}

}  // namespace stonewing
