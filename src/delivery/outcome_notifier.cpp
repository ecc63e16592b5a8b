#include "delivery/outcome_notifier.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "logging/log.h"

namespace stonewing {
namespace {

// A body holds 64 KiB at most. Thousands of ends in a moment are overdue before many small bodies are
// confirmed one after the other.
constexpr std::size_t kBodyFull = 60 * 1024;
constexpr std::size_t kAnswerMost = 64 * 1024;
// The platform answers at once. A connection that died unseen says nothing, and an end is overdue soon.
constexpr Millis kUnanswered = 100;
constexpr Millis kPauseFirst = 25;
constexpr Millis kPauseMost = 400;

std::string lineOf(const OutcomeNotification& notice) {
  nlohmann::json line{{"ref", notice.reference},
                      {"result", notice.result == FinalOutcome::failed ? "dead" : "bounced"}};
  if (notice.result == FinalOutcome::shed && notice.retryAfter > 0)
    line["wait_ms"] = static_cast<std::int64_t>(std::ceil(notice.retryAfter));
  return line.dump() + "\n";
}

}  // namespace

OutcomeNotifier::OutcomeNotifier(EventLoop& loop, MessageStore& book, sockaddr_in platform, std::string host)
    : loop_(loop), store_(book), platform_(platform), host_(std::move(host)) {}

Millis OutcomeNotifier::due() const {
  if (!out_.empty()) return since_ + kUnanswered;
  return store_.pendingNotifications().empty() ? loop_.now() + kPauseMost : notBefore_;
}

void OutcomeNotifier::onTick() {
  if (!out_.empty() && loop_.now() >= since_ + kUnanswered) onBroken(*link_);
  if (out_.empty() && !store_.pendingNotifications().empty() && loop_.now() >= notBefore_) send();
}

void OutcomeNotifier::changeAddress(sockaddr_in platform, std::string host) {
  platform_ = platform;
  host_ = std::move(host);
  HttpClientConnection::closeLater(loop_, link_);
  out_.clear();
  pause_ = 0;
  notBefore_ = loop_.now();
}

void OutcomeNotifier::send() {
  if (!link_ || !link_->isOpen() || !link_->isReusable()) {
    HttpClientConnection::closeLater(loop_, link_);
    link_ = std::make_unique<HttpClientConnection>(loop_, *this, kAnswerMost);
    if (!link_->open(platform_)) return scheduleRetry();
  }
  std::string lines;
  auto at = store_.pendingNotifications().begin();
  // One by one, each in turn, so that one that cannot be read holds up no other.
  if (oneByOne_) std::advance(at, turn_++ % store_.pendingNotifications().size());
  for (; at != store_.pendingNotifications().end() && lines.size() < kBodyFull; ++at) {
    lines += lineOf(at->second);
    out_.push_back(at->first);
    log::debug("notification.sent",
               {{"message", at->second.reference}, {"new_connection", !link_->isConnected()}});
    if (oneByOne_) break;
  }
  link_->add("POST /reports HTTP/1.1\r\nHost: " + host_ + "\r\nContent-Type: application/x-ndjson\r\n" +
             "Content-Length: " + std::to_string(lines.size()) + "\r\n\r\n");
  link_->add(std::move(lines));
  link_->startExchange();
  since_ = loop_.now();
}

void OutcomeNotifier::onResponse(HttpClientConnection& link) {
  if (link.status() == 204) {
    for (MessageId id : std::exchange(out_, {})) {
      auto at = store_.pendingNotifications().find(id);
      if (at != store_.pendingNotifications().end())
        log::debug("notification.confirmed", {{"message", at->second.reference}});
      store_.confirmNotification(id);
    }
    pause_ = 0;
    if (store_.pendingNotifications().empty()) oneByOne_ = false;
    return;
  }
  log::warn("notification.rejected", {{"status", link.status()}, {"notifications", out_.size()}});
  oneByOne_ = true;
  scheduleRetry();
}

void OutcomeNotifier::onBroken(HttpClientConnection& link) {
  link.close();
  if (out_.empty()) return;
  log::debug("notification.unanswered", {{"notifications", out_.size()}, {"after_ms", loop_.now() - since_}});
  scheduleRetry();
}

void OutcomeNotifier::scheduleRetry() {
  out_.clear();
  pause_ = std::clamp(2 * pause_, kPauseFirst, kPauseMost);
  notBefore_ = loop_.now() + pause_;
}

}  // namespace stonewing
