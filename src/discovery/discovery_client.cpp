#include "discovery/discovery_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/errors.h"
#include "logging/log.h"

namespace stonewing {

using namespace discovery_timing;
using nlohmann::json;

namespace {

// Limit on the size of a response. It suffices for thousands of endpoints in indented JSON with unknown
// fields. The memory for a response grows only as its bytes arrive.
constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;

constexpr int kStatusOk = 200;
constexpr int kStatusServiceUnavailable = 503;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names,
                                 sockaddr_in discovery, std::string host, std::uint64_t seed)
    : loop_(loop),
      names_(names),
      address_(discovery),
      host_(std::move(host)),
      directory_(policy, log_, loop),
      retrySchedule_(seed) {}

// One unusable entry (malformed, or of a zone that the settings do not name) must not prevent all others from
// being applied for as long as discovery lists it. So the other entries are applied, and the full list is
// polled once to check the unusable one. If the full list has unusable entries as well, it is accepted all
// the same.
bool DiscoveryClient::applyAnswer(const json& answer) {
  EndpointList list = parseEndpointList(answer, names_);
  std::size_t unusable = list.unusableCount();
  bool wasRechecked = std::exchange(isRecheckingEntries_, false);
  bool isAccepted = unusable == 0 || wasRechecked;
  isRecheckingEntries_ = !isAccepted;
  if (unusable > 0) {
    log::warn("discovery.entries_skipped", {{"entries", unusable}, {"why", list.firstProblem()}});
  }
  bool listsAllEndpoints = list.extent == ListExtent::full && isAccepted;
  std::int64_t version = list.version;
  directory_.applyList(list, listsAllEndpoints ? EndpointDirectory::AbsentEndpoints::removed
                                               : EndpointDirectory::AbsentEndpoints::unchanged);
  log_.listApplied(list, directory_.count(), loop_.now());
  pollKind_ = isAccepted ? PollKind::changes : PollKind::fullList;
  if (isAccepted) version_ = version;
  return isAccepted;
}

void DiscoveryClient::changeAddress(sockaddr_in discovery, std::string host) {
  address_ = discovery;
  host_ = std::move(host);
  HttpClientConnection::closeLater(loop_, connection_);
  isPollPending_ = false;
  pollKind_ = PollKind::fullList;  // versions of two servers cannot be compared
  retrySchedule_.reset();
  nextPollAt_ = loop_.now();
}

Millis DiscoveryClient::due() const {
  if (!isPollPending_) return nextPollAt_;
  if (!connection_->isConnected()) return pollStartedAt_ + kConnectTimeout;
  if (responseDeadline_) return *responseDeadline_;
  Millis watchTimeout = pollKind_ == PollKind::fullList ? 0 : kWatchTimeout;
  return pollStartedAt_ + watchTimeout + kResponseGrace;
}

void DiscoveryClient::onTick() {
  log_.logCounters(loop_.now());
  if (loop_.now() < due()) return;
  if (isPollPending_) {
    endBrokenPoll(*connection_, endOfTimedOutPoll());
  } else {
    poll();
  }
}

PollEnd DiscoveryClient::endOfTimedOutPoll() const {
  if (!connection_->isConnected()) return PollEnd::connectTimedOut;
  return responseDeadline_ ? PollEnd::incomplete : PollEnd::unanswered;
}

// A connection carries one poll: on a kept one, a repeated response would count for the next poll, and an old
// list would replace a new one. Returns false if no connection could be opened.
bool DiscoveryClient::openConnection() {
  HttpClientConnection::closeLater(loop_, connection_);
  connection_ = std::make_unique<HttpClientConnection>(loop_, *this, kMaxResponseBytes);
  return connection_->open(address_);
}

std::string DiscoveryClient::pollTarget() const {
  std::string target = "/catalog/members";
  if (pollKind_ == PollKind::fullList) return target;
  return target + "?since=" + std::to_string(version_) +
         "&timeout_ms=" + std::to_string(static_cast<std::int64_t>(kWatchTimeout));
}

void DiscoveryClient::poll() {
  ++pollNumber_;
  pollStartedAt_ = loop_.now();
  if (!openConnection()) {
    retryAfterFailure();
    return logPollEnd(connection_->isOutOfResources() ? PollEnd::noDescriptor : PollEnd::connectFailed);
  }
  connection_->add("GET " + pollTarget() + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  connection_->startExchange();
  isPollPending_ = true;
  responseDeadline_.reset();
}

void DiscoveryClient::onResponseStarted(HttpClientConnection&) {
  if (!responseDeadline_) responseDeadline_ = loop_.now() + kResponseTimeout;
}

void DiscoveryClient::onResponse(HttpClientConnection& connection) {
  isPollPending_ = false;
  connection.close();
  if (connection.status() == kStatusServiceUnavailable) {  // discovery is overloaded; version_ stays valid
    nextPollAt_ = loop_.now() + retrySchedule_.delayAfterRejection();
    logPollEnd(PollEnd::rejected);
    log::info("discovery.rejected", {{"after_ms", nextPollAt_ - loop_.now()}, {"kept", directory_.count()}});
    return;
  }
  try {
    applyResponse(connection);
  } catch (const Error& problem) {
    log::warn("discovery.unreadable", {{"why", problem.what()}, {"kept", directory_.count()}});
    retryAfterFailure();
    logPollEnd(PollEnd::unreadable);
    pollKind_ = PollKind::fullList;
  }
}

void DiscoveryClient::applyResponse(const HttpClientConnection& connection) {
  if (connection.status() != kStatusOk)
    throw ParseError("the response status is not 200 but " + std::to_string(connection.status()));
  const json answer = json::parse(connection.body(), nullptr, false);
  if (answer.is_discarded()) throw ParseError("the response body is not JSON");
  if (applyAnswer(answer)) {
    hasAcceptedResponse_ = true;
    retrySchedule_.reset();
    nextPollAt_ = loop_.now();  // polling again at once continues the watch
  } else {
    retryAfterFailure();
  }
  logPollEnd(PollEnd::applied);
}

void DiscoveryClient::onBroken(HttpClientConnection& connection) {
  endBrokenPoll(connection, pollEndOf(connection.failure()));
}

void DiscoveryClient::endBrokenPoll(HttpClientConnection& connection, PollEnd end) {
  // Without this log line, a dispatcher that never receives a list would answer PING and reject every message
  // without any sign of the cause.
  if (isPollPending_ && connection.hasReceived()) {
    log::warn("discovery.unreadable",
              {{"why", "the response ended early, is not HTTP/1.x or is longer than " +
                           std::to_string(kMaxResponseBytes) + " bytes"},
               {"kept", directory_.count()}});
  }
  connection.close();
  if (!std::exchange(isPollPending_, false)) return;
  retryAfterFailure();
  logPollEnd(end);
}

void DiscoveryClient::logPollEnd(PollEnd end) {
  log_.pollEnded({.number = pollNumber_,
                  .end = end,
                  .requested = pollKind_ == PollKind::fullList ? ListExtent::full : ListExtent::changes,
                  .since = version_,
                  .bytes = connection_->received().size(),
                  .spent = loop_.now() - pollStartedAt_},
                 nextPollAt_ - loop_.now(), loop_.now());
}

void DiscoveryClient::retryAfterFailure() { nextPollAt_ = loop_.now() + retrySchedule_.delayAfterFailure(); }

}  // namespace stonewing
