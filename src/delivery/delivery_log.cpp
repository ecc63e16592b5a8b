#include "delivery/delivery_log.h"

#include <algorithm>
#include <string>

#include "logging/log.h"

namespace stonewing {
namespace {

// For the ends of attempts and for those of connections, each.
constexpr double kLinesPerSecond = 10;
constexpr double kLineBurst = 100;
constexpr Millis kCountersIntervalMs = 10'000;
constexpr std::size_t kLoggedBytes = 40;

std::string printable(std::string_view bytes) {
  std::string text(bytes);
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '.');
  return text;
}

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
    case AttemptOutcome::unattributed:
      return "unattributed";
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

DeliveryLog::DeliveryLog(const DiscoveryClient& discovery)
    : discovery_(discovery),
      attemptLines_(kLinesPerSecond, kLineBurst),
      connectionLines_(kLinesPerSecond, kLineBurst),
      unexpectedBytesLines_(kLinesPerSecond, kLineBurst) {}

bool DeliveryLog::mayLog(log::RateLimit& limit, Millis now) const {
  return log::isEnabled(log::Level::debug) || (log::isEnabled(log::Level::info) && limit.allow(now));
}

std::string_view DeliveryLog::nameOf(EndpointId endpoint) const {
  const DiscoveredEndpoint* found = discovery_.find(endpoint);
  return found == nullptr ? std::string_view("gone") : std::string_view(found->record.name);
}

void DeliveryLog::attemptSent(const EndpointConnection& connection, const BatchedAttempt& attempt,
                              Millis now) const {
  log::debug("attempt.sent", {{"message", attempt.reference},
                              {"attempt", attempt.attempt},
                              {"endpoint", nameOf(connection.endpoint())},
                              {"connection", connection.number()},
                              {"timeout_ms", attempt.timeoutAt - now}});
}

void DeliveryLog::attemptWritten(const EndpointConnection& connection, const BatchedAttempt& attempt) const {
  log::debug("attempt.written", {{"message", attempt.reference},
                                 {"attempt", attempt.attempt},
                                 {"connection", connection.number()},
                                 {"earlier_exchanges", connection.exchangeCount()},
                                 {"batch_size", connection.attempts().size()}});
}

void DeliveryLog::attemptCancelDeferred(const BatchedAttempt& attempt) const {
  log::debug("attempt.cancel_deferred", {{"message", attempt.reference}, {"attempt", attempt.attempt}});
}

void DeliveryLog::attemptFinished(const AttemptEnd& end, Millis now) {
  counters_.countAttempt(end.result.outcome);
  if (!mayLog(attemptLines_, now)) return;
  log::event(log::Level::info, "attempt.finished",
             {{"message", end.reference},
              {"attempt", end.attempt},
              {"endpoint", nameOf(end.endpoint)},
              {"outcome", outcomeName(end.result.outcome)},
              {"spent_ms", end.endedAt - end.sentAt},
              {"retry_after_ms", end.result.retryAfter},
              {"rate_limit", end.report.rateLimit},
              {"remaining", end.report.remainingShare},
              {"connection", end.connection},
              {"exchange", end.exchange},
              {"status", end.status},
              {"suppressed", attemptLines_.takeSuppressed()}});
}

void DeliveryLog::responseTakenBack(const AttemptEnd& end) {
  counters_.countTakenBack();
  log::warn("response.taken_back", {{"message", end.reference},
                                    {"attempt", end.attempt},
                                    {"endpoint", nameOf(end.endpoint)},
                                    {"connection", end.connection},
                                    {"exchange", end.exchange},
                                    {"status", end.status}});
}

void DeliveryLog::responseConfirmed(const AttemptEnd& end) const {
  log::debug("response.confirmed",
             {{"message", end.reference}, {"attempt", end.attempt}, {"connection", end.connection}});
}

void DeliveryLog::responseUnconfirmed(const AttemptEnd& end) {
  counters_.countUnconfirmed();
  log::debug("response.unconfirmed", {{"message", end.reference},
                                      {"attempt", end.attempt},
                                      {"endpoint", nameOf(end.endpoint)},
                                      {"connection", end.connection},
                                      {"exchange", end.exchange},
                                      {"status", end.status}});
}

void DeliveryLog::unexpectedBytes(const EndpointConnection& connection, std::string_view bytes, Millis now) {
  if (!log::isEnabled(log::Level::warn) || !unexpectedBytesLines_.allow(now)) return;
  log::event(log::Level::warn, "connection.unexpected_bytes",
             {{"connection", connection.number()},
              {"endpoint", nameOf(connection.endpoint())},
              {"bytes", bytes.size()},
              {"begin", printable(bytes.substr(0, kLoggedBytes))},
              {"exchanges", connection.exchangeCount()},
              {"last_status", connection.status()},
              {"since_response_ms", now - connection.lastUsedAt()},
              {"suppressed", unexpectedBytesLines_.takeSuppressed()}});
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

void DeliveryLog::connectionClosed(const EndpointConnection& connection, CloseCause cause, Millis now) {
  counters_.countClosed(cause);
  if (!mayLog(connectionLines_, now)) return;
  Millis idle = connection.exchangeCount() > 0 && !connection.isBusy() ? now - connection.lastUsedAt() : 0;
  log::event(log::Level::info, "connection.closed",
             {{"connection", connection.number()},
              {"endpoint", nameOf(connection.endpoint())},
              {"cause", stonewing::nameOf(cause)},
              {"exchanges", connection.exchangeCount()},
              {"idle_ms", idle},
              {"suppressed", connectionLines_.takeSuppressed()}});
}

void DeliveryLog::logCounters(Millis now) {
  if (now < countersDueAt_ || counters_ == loggedCounters_) return;
  countersDueAt_ = now + kCountersIntervalMs;
  loggedCounters_ = counters_;
  log::info("delivery.counters",
            {{"completed", counters_.attempts(AttemptOutcome::completed)},
             {"error", counters_.attempts(AttemptOutcome::error)},
             {"rejected", counters_.attempts(AttemptOutcome::rejected)},
             {"timeout", counters_.attempts(AttemptOutcome::timeout)},
             {"connect_failed", counters_.attempts(AttemptOutcome::connectFailed)},
             {"reset", counters_.attempts(AttemptOutcome::reset)},
             {"unattributed", counters_.attempts(AttemptOutcome::unattributed)},
             {"taken_back", counters_.takenBack()},
             {"unconfirmed", counters_.unconfirmed()},
             {"cancelled", counters_.attempts(AttemptOutcome::cancelled)},
             {"not_sent", counters_.attempts(AttemptOutcome::notSent)},
             {"connections", counters_.opened()},
             {"closed_by_endpoint", counters_.closed(CloseCause::endedByPeer)},
             {"closed_malformed", counters_.closed(CloseCause::malformedResponse)},
             {"closed_unexpected_bytes", counters_.closed(CloseCause::unexpectedBytes)}});
}

}  // namespace stonewing
