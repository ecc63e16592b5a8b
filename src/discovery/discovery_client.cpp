#include "discovery/discovery_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/errors.h"
#include "logging/log.h"

namespace stonewing {

using namespace discovery_timing;
using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusServiceUnavailable = 503;

// The oldest poll goes on, since its answer may only be slow. A second one beside it is replaced while it
// stalls too.
constexpr std::size_t kMaxPolls = 2;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names,
                                 sockaddr_in discovery, std::string host, std::uint64_t seed,
                                 Millis drainGrace)
    : loop_(loop),
      names_(names),
      address_(discovery),
      host_(std::move(host)),
      drainBudget_(drainBudget(drainGrace)),
      directory_(policy, log_, loop),
      retrySchedule_(seed),
      stallTimeout_(drainBudget_.stallTimeout) {}

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
  directory_.applyList(list, listsAllEndpoints ? EndpointDirectory::AbsentEndpoints::removed
                                               : EndpointDirectory::AbsentEndpoints::unchanged);
  log_.listApplied(list, directory_.count(), loop_.now());
  request_.extent = isAccepted ? ListExtent::changes : ListExtent::full;
  if (isAccepted) request_.since = list.version;
  return isAccepted;
}

void DiscoveryClient::changeAddress(sockaddr_in discovery, std::string host) {
  address_ = discovery;
  host_ = std::move(host);
  supersedePolls();
  request_.extent = ListExtent::full;  // versions of two servers cannot be compared
  retrySchedule_.reset();
  nextPollAt_ = loop_.now();
}

Millis DiscoveryClient::due() const {
  std::optional<Millis> startAt = nextStartAt();
  Millis due = startAt.value_or(polls_.empty() ? nextPollAt_ : polls_.front()->timeoutAt());
  for (const auto& poll : polls_) due = std::min(due, poll->timeoutAt());
  return due;
}

void DiscoveryClient::onTick() {
  log_.logCounters(loop_.now());
  endTimedOutPolls();
  std::optional<Millis> startAt = nextStartAt();
  if (startAt && loop_.now() >= *startAt) startPoll();
}

void DiscoveryClient::endTimedOutPolls() {
  for (bool isAnyEnded = true; isAnyEnded;) {
    auto timedOut = std::find_if(polls_.begin(), polls_.end(),
                                 [this](const auto& poll) { return loop_.now() >= poll->timeoutAt(); });
    isAnyEnded = timedOut != polls_.end();
    if (isAnyEnded) onPollBroken(**timedOut, (*timedOut)->endOnTimeout());
  }
}

std::optional<Millis> DiscoveryClient::nextStartAt() const {
  if (polls_.empty()) return nextPollAt_;
  const DiscoveryPoll& newest = *polls_.back();
  // A poll that awaits its response is a watch, which discovery answers once there is a change.
  if (newest.stage() == DiscoveryPoll::Stage::awaitingResponse) return std::nullopt;
  return std::max(nextPollAt_, newest.stageSince() + stallTimeout_);
}

void DiscoveryClient::startPoll() {
  if (!polls_.empty()) stallTimeout_ = std::min(2 * stallTimeout_, kMaxStallTimeout);
  if (polls_.size() == kMaxPolls) endPoll(*polls_.back(), PollEnd::superseded);
  polls_.push_back(std::make_unique<DiscoveryPoll>(loop_, *this, ++pollCount_, request_));
  if (auto failure = polls_.back()->start(address_, host_)) onPollBroken(*polls_.back(), *failure);
}

void DiscoveryClient::onPollResponseStarted(DiscoveryPoll&) {}

void DiscoveryClient::onPollResponse(DiscoveryPoll& poll) {
  const HttpClientConnection& connection = poll.connection();
  if (connection.status() == kStatusServiceUnavailable) {  // discovery is overloaded; the version stays valid
    nextPollAt_ = loop_.now() + retrySchedule_.delayAfterRejection();
    log::info("discovery.rejected", {{"after_ms", nextPollAt_ - loop_.now()}, {"kept", directory_.count()}});
    return endPoll(poll, PollEnd::rejected);
  }
  try {
    applyResponse(connection);
  } catch (const Error& problem) {
    log::warn("discovery.unreadable", {{"why", problem.what()}, {"kept", directory_.count()}});
    request_.extent = ListExtent::full;
    retryAfterFailure();
    return endPoll(poll, PollEnd::unreadable);
  }
  endPoll(poll, PollEnd::applied);
  supersedePolls();
}

void DiscoveryClient::applyResponse(const HttpClientConnection& connection) {
  if (connection.status() != kStatusOk)
    throw ParseError("the response status is not 200 but " + std::to_string(connection.status()));
  const json answer = json::parse(connection.body(), nullptr, false);
  if (answer.is_discarded()) throw ParseError("the response body is not JSON");
  if (!applyAnswer(answer)) return retryAfterFailure();
  hasAcceptedResponse_ = true;
  retrySchedule_.reset();
  stallTimeout_ = drainBudget_.stallTimeout;
  nextPollAt_ = loop_.now();  // polling again at once continues the watch
}

void DiscoveryClient::onPollBroken(DiscoveryPoll& poll, PollEnd end) {
  if (poll.connection().hasReceived()) logUnreadable(poll);
  retryAfterFailure();
  endPoll(poll, end);
}

// Without this log line, a dispatcher that never receives a list would answer PING and reject every message
// without any sign of the cause.
void DiscoveryClient::logUnreadable(const DiscoveryPoll&) const {
  log::warn("discovery.unreadable", {{"why", "the response ended early, is not HTTP/1.x or is too long"},
                                     {"kept", directory_.count()}});
}

void DiscoveryClient::retryAfterFailure() { nextPollAt_ = loop_.now() + retrySchedule_.delayAfterFailure(); }

void DiscoveryClient::endPoll(const DiscoveryPoll& poll, PollEnd end) {
  log_.pollEnded({.number = poll.number(),
                  .end = end,
                  .request = poll.request(),
                  .bytes = poll.connection().received().size(),
                  .spent = loop_.now() - poll.startedAt()},
                 nextPollAt_ - loop_.now(), loop_.now());
  std::erase_if(polls_, [&poll](const auto& pending) { return pending.get() == &poll; });
}

void DiscoveryClient::supersedePolls() {
  while (!polls_.empty()) endPoll(*polls_.back(), PollEnd::superseded);
}

}  // namespace stonewing
