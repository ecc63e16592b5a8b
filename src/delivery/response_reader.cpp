#include "delivery/response_reader.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace stonewing {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

Millis retryAfterOf(const EndpointConnection& connection) {
  auto milliseconds = parseWholeNumber(connection.header("X-Backoff-Ms"));
  return milliseconds ? static_cast<Millis>(*milliseconds) : 0;
}

// Cuts the first line off the front of `text`, and returns it without its end.
std::string_view takeLine(std::string_view& text) {
  std::size_t lineFeed = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, lineFeed);
  text.remove_prefix(std::min(lineFeed + 1, text.size()));
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// The body of a batch response: a line "reference word" for each message. The views point into `body`. Of
// several lines for one message the last one counts; lines without a blank are ignored.
std::map<std::string_view, std::string_view> readBatchBody(std::string_view body) {
  std::map<std::string_view, std::string_view> wordOfReference;
  while (!body.empty()) {
    std::string_view line = takeLine(body);
    std::size_t blank = line.find(' ');
    if (blank != std::string_view::npos) wordOfReference[line.substr(0, blank)] = line.substr(blank + 1);
  }
  return wordOfReference;
}

// What a batch response says of one message. A Retry-After holds for the endpoint, whatever word it came
// with.
AttemptResult resultOfBatchWord(std::string_view word, Millis retryAfter) {
  if (word == "ok") return {AttemptOutcome::completed, OutcomeScope::message, retryAfter};
  if (word == "later") return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfter};
  if (word == "gone") return {AttemptOutcome::notSent, OutcomeScope::message, retryAfter};
  if (word == "exhausted") return {AttemptOutcome::notSent, OutcomeScope::attempt, retryAfter};
  // Also where nothing is said of the message: it may have been executed.
  return {AttemptOutcome::error, OutcomeScope::attempt, retryAfter};
}

std::vector<AttemptResult> readBatchResults(const EndpointConnection& connection) {
  Millis retryAfter = retryAfterOf(connection);
  std::map<std::string_view, std::string_view> wordOfReference = readBatchBody(connection.body());
  std::vector<AttemptResult> results;
  for (const BatchedAttempt& attempt : connection.attempts()) {
    auto found = wordOfReference.find(attempt.reference);
    std::string_view word = found == wordOfReference.end() ? std::string_view() : found->second;
    results.push_back(resultOfBatchWord(word, retryAfter));
  }
  return results;
}

// What a status says of every attempt of the request alike.
AttemptResult resultOfStatus(const EndpointConnection& connection) {
  switch (connection.status()) {
    case kOk:
      return {AttemptOutcome::completed, OutcomeScope::message};
    case kTooManyRequests:
      return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfterOf(connection)};
    case kServiceUnavailable:
      // All concurrent requests of this dispatcher were in use: the endpoint never saw this one.
      if (connection.header("X-Egress-Full") == "1") return {AttemptOutcome::notSent};
      return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfterOf(connection)};
    case kGatewayTimeout:
      return {AttemptOutcome::notSent};
    case kGone:
      return {AttemptOutcome::notSent, OutcomeScope::message};
    case kBadRequest:
    case kPayloadTooLarge:
      // In a batch another message may be at fault, and each may be sent again.
      return {connection.attempts().size() > 1 ? AttemptOutcome::notSent : AttemptOutcome::error};
    default:
      return {AttemptOutcome::error};
  }
}

}  // namespace

std::vector<AttemptResult> readAttemptResults(const EndpointConnection& connection) {
  std::size_t count = connection.attempts().size();
  if (connection.status() == kOk && count > 1) return readBatchResults(connection);
  return std::vector<AttemptResult>(count, resultOfStatus(connection));
}

bool isRequestUnreadable(int status) { return status == kBadRequest || status == kPayloadTooLarge; }

AttemptOutcome healthCheckOutcome(int status) {
  if (status == kOk) return AttemptOutcome::completed;
  if (status == kTooManyRequests || status == kServiceUnavailable) return AttemptOutcome::rejected;
  return AttemptOutcome::error;
}

AttemptOutcome outcomeWithoutResponse(const EndpointConnection& connection, AttemptOutcome ifSilent) {
  // Before its last byte was written the request cannot have been executed.
  if (!connection.isRequestWritten()) return AttemptOutcome::connectFailed;
  // A status line that says 200 is true, whatever follows it.
  if (connection.status() == kOk && connection.attempts().size() == 1) return AttemptOutcome::completed;
  // Anything else came from an endpoint that is there and has executed the request, and spoilt its response.
  // Counted as a dead connection, it would make the policy trust idle connections less.
  return connection.hasReceived() ? AttemptOutcome::error : ifSilent;
}

AttemptOutcome outcomeOfInterruption(const EndpointConnection& connection, AttemptOutcome ifSilent) {
  if (!connection.isRequestWritten()) return AttemptOutcome::notSent;
  return outcomeWithoutResponse(connection, ifSilent);
}

}  // namespace stonewing
