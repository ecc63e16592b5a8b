#include "delivery/outcome_notifier.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging/log.h"

namespace stonewing {
namespace {

// The platform accepts bodies of up to 64 KiB; no notification is added to a body of this size or more, in
// bytes. With many small bodies sent one after the other, notifications of thousands of messages that end at
// once would be late.
constexpr std::size_t kFullBodyBytes = std::size_t{60} * 1024;
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024;
// The platform answers immediately. A connection that broke without notice stays silent, and the deadline of
// its notifications is near.
constexpr Millis kResponseTimeoutMs = 100;
// The wait between requests that were not confirmed. It is short, since notifications have a deadline, and
// increases, so that a platform that is down is not flooded.
constexpr Millis kInitialBackoffMs = 25;
constexpr Millis kMaxBackoffMs = 400;
// Between two requests. Each needs a connection, and all that ended meanwhile shares the next one.
constexpr Millis kRequestIntervalMs = 5;

constexpr int kNoContent = 204;  // response by which the platform confirms all notifications of the request

std::string jsonLineOf(const OutcomeNotification& notification) {
  bool isFailed = notification.result == FinalOutcome::failed;
  nlohmann::json line{{"ref", notification.reference}, {"result", isFailed ? "dead" : "bounced"}};
  if (notification.result == FinalOutcome::shed && notification.retryAfter > 0) {
    line["wait_ms"] = static_cast<std::int64_t>(std::ceil(notification.retryAfter));
  }
  return line.dump() + "\n";
}

}  // namespace

OutcomeNotifier::OutcomeNotifier(EventLoop& loop, MessageStore& store, sockaddr_in platform, std::string host)
    : loop_(loop), store_(store), platform_(platform), host_(std::move(host)) {}

Millis OutcomeNotifier::due() const {
  if (isAwaitingResponse()) return sentAt_ + kResponseTimeoutMs;
  return idle() ? loop_.now() + kMaxBackoffMs : notBefore_;
}

void OutcomeNotifier::onTick() {
  bool isResponseOverdue = isAwaitingResponse() && loop_.now() >= sentAt_ + kResponseTimeoutMs;
  if (isResponseOverdue) connection_->readPending();  // after a long turn it may have arrived
  if (isResponseOverdue && isAwaitingResponse()) onBroken(*connection_);
  if (!isAwaitingResponse() && !idle() && loop_.now() >= notBefore_) send();
}

void OutcomeNotifier::changeAddress(sockaddr_in platform, std::string host) {
  platform_ = platform;
  host_ = std::move(host);
  HttpClientConnection::closeLater(loop_, connection_);
  awaitingConfirmation_.clear();
  backoff_ = 0;
  notBefore_ = loop_.now();
}

// A connection carries one request: on a kept one, a repeated response would confirm the notifications of the
// next request. Returns false if no connection could be opened.
bool OutcomeNotifier::openConnection() {
  HttpClientConnection::closeLater(loop_, connection_);
  connection_ = std::make_unique<HttpClientConnection>(loop_, *this, kMaxResponseBytes);
  return connection_->open(platform_);
}

// Composes a body with one line for each notification: as many notifications as fit, or a single one in mode
// oneByOne. These notifications await confirmation from now on.
std::string OutcomeNotifier::composeBody() {
  const auto& pending = store_.pendingNotifications();
  auto next = pending.begin();
  if (mode_ == Mode::oneByOne) std::advance(next, nextSingle_++ % pending.size());
  std::string body;
  for (; next != pending.end() && body.size() < kFullBodyBytes; ++next) {
    const auto& [message, notification] = *next;
    body += jsonLineOf(notification);
    awaitingConfirmation_.push_back(message);
    log::debug("notification.sent",
               {{"message", notification.reference}, {"new_connection", !connection_->isConnected()}});
    if (mode_ == Mode::oneByOne) break;
  }
  return body;
}

void OutcomeNotifier::send() {
  if (!openConnection()) return scheduleRetry();
  std::string body = composeBody();
  connection_->add("POST /reports HTTP/1.1\r\nHost: " + host_ + "\r\nContent-Type: application/x-ndjson\r\n" +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  connection_->add(std::move(body));
  connection_->startExchange();
  sentAt_ = loop_.now();
  notBefore_ = loop_.now() + kRequestIntervalMs;
}

void OutcomeNotifier::confirmSent() {
  for (MessageId message : std::exchange(awaitingConfirmation_, {})) {
    auto found = store_.pendingNotifications().find(message);
    if (found != store_.pendingNotifications().end()) {
      log::debug("notification.confirmed", {{"message", found->second.reference}});
    }
    store_.confirmNotification(message);
  }
  backoff_ = 0;
  if (idle()) mode_ = Mode::batched;
}

void OutcomeNotifier::onResponse(HttpClientConnection& connection) {
  connection.close();
  if (connection.status() == kNoContent) return confirmSent();
  log::warn("notification.rejected",
            {{"status", connection.status()}, {"notifications", awaitingConfirmation_.size()}});
  mode_ = Mode::oneByOne;
  scheduleRetry();
}

void OutcomeNotifier::onBroken(HttpClientConnection& connection) {
  connection.close();
  if (!isAwaitingResponse()) return;
  log::debug("notification.unanswered",
             {{"notifications", awaitingConfirmation_.size()}, {"after_ms", loop_.now() - sentAt_}});
  scheduleRetry();
}

void OutcomeNotifier::scheduleRetry() {
  awaitingConfirmation_.clear();
  backoff_ = std::clamp(2 * backoff_, kInitialBackoffMs, kMaxBackoffMs);
  notBefore_ = loop_.now() + backoff_;
}

}  // namespace stonewing
