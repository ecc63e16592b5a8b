#include "discovery/discovery_poll.h"

#include "discovery/poll_timing.h"

namespace stonewing {

using namespace discovery_timing;

namespace {

// Limit on the size of a response. It suffices for thousands of endpoints in indented JSON with unknown
// fields. The memory for a response grows only as its bytes arrive.
constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;
// Share of a watch's time-out by which discovery may answer it early.
constexpr double kTimerTolerance = 0.125;

}  // namespace

DiscoveryPoll::DiscoveryPoll(EventLoop& loop, Owner& owner, std::uint64_t number, const PollRequest& request)
    : loop_(loop),
      owner_(owner),
      number_(number),
      request_(request),
      connection_(std::make_unique<HttpClientConnection>(loop, *this, kMaxResponseBytes)),
      startedAt_(loop.now()) {}

DiscoveryPoll::~DiscoveryPoll() { HttpClientConnection::closeLater(loop_, connection_); }

std::optional<PollEnd> DiscoveryPoll::start(const sockaddr_in& address, const std::string& host) {
  if (!connection_->open(address))
    return connection_->isOutOfResources() ? PollEnd::noDescriptor : PollEnd::connectFailed;
  connection_->add("GET " + target() + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
  connection_->startExchange();
  return std::nullopt;
}

std::string DiscoveryPoll::target() const {
  std::string target = "/catalog/members";
  if (request_.extent == ListExtent::full) return target;
  return target + "?since=" + std::to_string(request_.since) +
         "&timeout_ms=" + std::to_string(static_cast<std::int64_t>(request_.watchTimeout));
}

DiscoveryPoll::Stage DiscoveryPoll::stage() const {
  if (!connection_->isConnected()) return Stage::connecting;
  return responseStartedAt_ ? Stage::readingResponse : Stage::awaitingResponse;
}

Millis DiscoveryPoll::stageSince() const {
  switch (stage()) {
    case Stage::connecting:
      return startedAt_;
    case Stage::awaitingResponse:
      return connectedAt_;
    case Stage::readingResponse:
      break;
  }
  return *responseStartedAt_;
}

Millis DiscoveryPoll::watchTimeout() const {
  return request_.extent == ListExtent::full ? 0 : request_.watchTimeout;
}

Millis DiscoveryPoll::timeoutAt() const {
  switch (stage()) {
    case Stage::connecting:
      return startedAt_ + kConnectTimeout;
    case Stage::awaitingResponse:
      return startedAt_ + watchTimeout() + request_.responseGrace;
    case Stage::readingResponse:
      break;
  }
  return *responseStartedAt_ + kResponseTimeout;
}

PollEnd DiscoveryPoll::endOnTimeout() const {
  switch (stage()) {
    case Stage::connecting:
      return PollEnd::connectTimedOut;
    case Stage::awaitingResponse:
      return PollEnd::unanswered;
    case Stage::readingResponse:
      break;
  }
  return PollEnd::incomplete;
}

bool DiscoveryPoll::isAnsweredAtWatchTimeout() const {
  if (request_.extent == ListExtent::full) return false;
  return responseBegunAt() >= connectedAt_ + request_.watchTimeout * (1 - kTimerTolerance);
}

Millis DiscoveryPoll::upToDateUntil(const EndpointList& answer) const {
  return answer.entries.empty() ? connectedAt_ + watchTimeout() * (1 - kTimerTolerance) : connectedAt_;
}

bool DiscoveryPoll::mayStartExchange(HttpClientConnection&) {
  connectedAt_ = loop_.now();
  return true;
}

void DiscoveryPoll::onResponseStarted(HttpClientConnection&) {
  if (responseStartedAt_) return;
  responseStartedAt_ = loop_.now();
  owner_.onPollResponseStarted(*this);
}

void DiscoveryPoll::onResponse(HttpClientConnection& connection) {
  connection.close();
  owner_.onPollResponse(*this);
}

void DiscoveryPoll::onBroken(HttpClientConnection& connection) {
  owner_.onPollBroken(*this, pollEndOf(connection.failure()));
}

}  // namespace stonewing
