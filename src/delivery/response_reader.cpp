#include "delivery/response_reader.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace stonewing {
namespace {

constexpr std::string_view kRetryAfterHeader = "X-Backoff-Ms";
constexpr std::string_view kStatusLineStart = "HTTP/1.";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

Millis retryAfterOf(const EndpointConnection& connection) {
  auto milliseconds = parseWholeNumber(connection.header(kRetryAfterHeader));
  return milliseconds ? static_cast<Millis>(*milliseconds) : 0;
}

// Removes the first line from `text`, and returns it without its line end.
std::string_view takeLine(std::string_view& text) {
  std::size_t lineFeed = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, lineFeed);
  text.remove_prefix(std::min(lineFeed + 1, text.size()));
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// Parses the body of a batch response: a line "reference word" for each message. The views point into `body`.
// If several lines have the same reference, the last one counts; lines without a blank are ignored.
std::map<std::string_view, std::string_view> readBatchBody(std::string_view body) {
  std::map<std::string_view, std::string_view> wordOfReference;
  while (!body.empty()) {
    std::string_view line = takeLine(body);
    std::size_t blank = line.find(' ');
    if (blank != std::string_view::npos) wordOfReference[line.substr(0, blank)] = line.substr(blank + 1);
  }
  return wordOfReference;
}

// The result that a batch response reports for one message. A Retry-After applies to the endpoint,
// independent of the word.
AttemptResult resultOfBatchWord(std::string_view word, Millis retryAfter) {
  if (word == "ok") return {AttemptOutcome::completed, OutcomeScope::message, retryAfter};
  if (word == "later") return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfter};
  if (word == "gone") return {AttemptOutcome::notSent, OutcomeScope::message, retryAfter};
  if (word == "exhausted") return {AttemptOutcome::notSent, OutcomeScope::attempt, retryAfter};
  // This includes a message without a line in the response: the message may have been executed.
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

// The result that a status means for every attempt of the request.
AttemptResult resultOfStatus(const EndpointConnection& connection) {
  switch (connection.status()) {
    case kOk:
      return {AttemptOutcome::completed, OutcomeScope::message};
    case kTooManyRequests:
      return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfterOf(connection)};
    case kServiceUnavailable:
      // This dispatcher has used up its concurrency limit: the endpoint did not receive this request.
      if (connection.header("X-Egress-Full") == "1") return {AttemptOutcome::notSent};
      return {AttemptOutcome::rejected, OutcomeScope::attempt, retryAfterOf(connection)};
    case kGatewayTimeout:
      return {AttemptOutcome::notSent};
    case kGone:
      return {AttemptOutcome::notSent, OutcomeScope::message};
    case kBadRequest:
    case kPayloadTooLarge:
      // In a batch, the fault may lie in another message, and each message may be sent again.
      return {connection.attempts().size() > 1 ? AttemptOutcome::notSent : AttemptOutcome::error};
    default:
      return {AttemptOutcome::error};
  }
}

// Whether the incomplete response is the only one that can have been sent for the request. On a kept
// connection, it may be part of an earlier response that is repeated, before the true one or with it.
bool isOnlyResponse(const EndpointConnection& connection) {
  if (connection.exchangeCount() == 0) return true;
  bool isLast = connection.failure() == ConnectionFailure::endedByPeer;
  return isLast && connection.received().rfind(kStatusLineStart) == 0;
}

}  // namespace

bool isDelivery(const EndpointConnection& connection) {
  return connection.status() == kOk && !connection.isHealthCheck();
}

bool namesNoMessage(const EndpointConnection& connection) {
  if (connection.status() != kOk || connection.attempts().size() <= 1) return false;
  std::map<std::string_view, std::string_view> wordOfReference = readBatchBody(connection.body());
  return std::none_of(
      connection.attempts().begin(), connection.attempts().end(),
      [&](const BatchedAttempt& attempt) { return wordOfReference.contains(attempt.reference); });
}

std::vector<AttemptResult> readAttemptResults(const EndpointConnection& connection) {
  std::size_t count = connection.attempts().size();
  // An endpoint begins a request when its last byte has come, so a request that was not written completely
  // was not executed, whatever the response reports.
  bool isRejection = connection.status() == kTooManyRequests || connection.status() == kServiceUnavailable;
  if (!connection.wasRequestWritten() && !isRejection && !isRequestUnreadable(connection.status())) {
    return std::vector<AttemptResult>(count, {AttemptOutcome::connectFailed});
  }
  if (connection.status() == kOk && count > 1) return readBatchResults(connection);
  return std::vector<AttemptResult>(count, resultOfStatus(connection));
}

Millis retryAfterOf(std::string_view response) {
  HttpResponseParser parser;
  if (parser.parse(response, StreamState::open) == HttpResponseParser::Progress::malformed) return 0;
  auto milliseconds = parseWholeNumber(parser.header(response, kRetryAfterHeader));
  return milliseconds ? static_cast<Millis>(*milliseconds) : 0;
}

AttemptResult unattributed(const AttemptResult& result) {
  return {AttemptOutcome::unattributed, OutcomeScope::attempt, result.retryAfter};
}

bool isRequestUnreadable(int status) { return status == kBadRequest || status == kPayloadTooLarge; }

AttemptOutcome healthCheckOutcome(int status) {
  if (status == kOk) return AttemptOutcome::completed;
  if (status == kTooManyRequests || status == kServiceUnavailable) return AttemptOutcome::rejected;
  return AttemptOutcome::error;
}

AttemptOutcome outcomeWithoutResponse(const EndpointConnection& connection, AttemptOutcome ifNoResponse) {
  // A request whose last byte was not written cannot have been executed.
  if (!connection.isRequestWritten()) return AttemptOutcome::connectFailed;
  // A status line with 200 is valid, even if the remaining response is not.
  if (connection.status() == kOk && connection.attempts().size() == 1) {
    return isOnlyResponse(connection) ? AttemptOutcome::completed : AttemptOutcome::unattributed;
  }
  // Any other bytes come from an endpoint that is alive, has executed the request, and has sent a malformed
  // response. If the outcome were that of a dead connection, the policy would reuse idle connections for less
  // time.
  return connection.hasReceived() ? AttemptOutcome::error : ifNoResponse;
}

AttemptOutcome outcomeOfInterruption(const EndpointConnection& connection, AttemptOutcome ifNoResponse) {
  if (!connection.isRequestWritten()) return AttemptOutcome::notSent;
  return outcomeWithoutResponse(connection, ifNoResponse);
}

}  // namespace stonewing
