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

constexpr int kStatusUnknown = 0;  // the status line has not arrived completely
constexpr int kStatusOk = 200;
constexpr int kStatusServiceUnavailable = 503;

// The oldest poll goes on, since its answer may only be slow. A second one beside it is replaced while it
// stalls too.
constexpr std::size_t kMaxPolls = 2;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names,
                                 sockaddr_in discovery, std::string host, std::uint64_t seed,
                                 const PollTiming& timing)
    : loop_(loop),
      policy_(policy),
      names_(names),
      address_(discovery),
      host_(std::move(host)),
      timing_(timing),
      directory_(policy, log_, loop),
      retrySchedule_(timing, seed),
      unreadChange_(timing.maxPossibleChangeDuration),
      answeredAt_(loop.now()),
      stallTimeout_(timing.minStallTimeout) {}

bool DiscoveryClient::applyAnswer(const json& answer) { return applyList(parseEndpointList(answer, names_)); }

// One unusable entry (malformed, or of a zone that the settings do not name) must not prevent all others from
// being applied for as long as discovery lists it. So the other entries are applied, and the full list is
// polled once to check the unusable one. If the full list has unusable entries as well, it is accepted all
// the same.
bool DiscoveryClient::applyList(const EndpointList& list) {
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
  log_.listApplied(list, directory_.count(), loop_.now() - answeredAt_, loop_.now());
  answeredAt_ = loop_.now();
  request_.extent = isAccepted ? ListExtent::changes : ListExtent::full;
  if (isAccepted) request_.since = list.version;
  return isAccepted;
}

void DiscoveryClient::changeAddress(sockaddr_in discovery, std::string host) {
  address_ = discovery;
  host_ = std::move(host);
  supersedePolls();
  request_.extent = ListExtent::full;  // versions of two servers cannot be compared
  versions_.reset();
  retrySchedule_.reset();
  rejections_.reset();
  stallTimeout_ = timing_.minStallTimeout;
  unreadChange_.recordAddressChanged();
  nextPollAt_ = loop_.now();
}

Millis DiscoveryClient::due() const {
  std::optional<Millis> startAt = nextStartAt();
  Millis due = startAt.value_or(polls_.empty() ? nextPollAt_ : polls_.front()->timeoutAt());
  for (const auto& poll : polls_) due = std::min(due, poll->timeoutAt());
  return std::min(due, unreadChange_.expiresAt().value_or(due));
}

void DiscoveryClient::onTick() {
  log_.logCounters(loop_.now());
  if (unreadChange_.closeIfExpired(loop_.now())) closeUnreadChange("no answer could be read");
  endTimedOutPolls();
  supersedeRedundantPolls();
  std::optional<Millis> startAt = nextStartAt();
  if (startAt && loop_.now() >= *startAt) startPoll();
  logAttemptsPaused();
}

void DiscoveryClient::readAfterStall(Millis stall) {
  readPending();
  if (!timing_.maxUnwatchedAge || isWatching()) return;
  Millis unwatchedSince = std::max(loop_.now() - stall, upToDateUntil_);
  if (loop_.now() - unwatchedSince <= *timing_.maxUnwatchedAge) return;
  stalledAt_ = loop_.now();
  if (!unreadChange_.recordBegun(loop_.now(), UnreadChange::Evidence::possible)) return;
  policy_.recordUnreadListChange(unwatchedSince);
  log_.changePossible(stall);
}

bool DiscoveryClient::isWatching() const {
  return std::any_of(polls_.begin(), polls_.end(), [this](const auto& poll) {
    return poll->stage() == DiscoveryPoll::Stage::awaitingResponse && !isOverdue(*poll);
  });
}

// A poll whose response is read may end, and other polls with it.
void DiscoveryClient::readPending() {
  std::uint64_t lastRead = 0;
  for (bool isAnyUnread = true; isAnyUnread;) {
    auto unread = std::find_if(polls_.begin(), polls_.end(),
                               [lastRead](const auto& poll) { return poll->number() > lastRead; });
    isAnyUnread = unread != polls_.end();
    if (!isAnyUnread) continue;
    lastRead = (*unread)->number();
    (*unread)->readPending();
  }
}

void DiscoveryClient::logAttemptsPaused() {
  const bool arePaused = !policy_.mayBeginAttempts();
  if (std::exchange(areAttemptsPaused_, arePaused) == arePaused) return;
  if (arePaused) {
    log::warn("attempts.paused", {{"why", "a change of the endpoint list is known and could not be read"},
                                  {"version", request_.since}});
  } else {
    log::info("attempts.resumed", {{"version", request_.since}});
  }
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
  std::optional<Millis> startAt = stalledAt(*polls_.back());
  if (startAt) startAt = std::max(nextPollAt_, *startAt);
  return startAt;
}

std::optional<Millis> DiscoveryClient::stalledAt(const DiscoveryPoll& poll) const {
  if (poll.stage() != DiscoveryPoll::Stage::awaitingResponse) return poll.stageSince() + stallTimeout_;
  // Discovery answers a watch once there is a change, and at once if there is one already.
  if (unreadChange_.isOpen()) return poll.stageSince() + std::max(stallTimeout_, kUnreadAnswerTimeout);
  return overdueAt(poll);
}

std::optional<Millis> DiscoveryClient::overdueAt(const DiscoveryPoll& poll) const {
  if (!timing_.silenceTimeout) return std::nullopt;
  // The whole list is answered at once, but may take a slow agent as long as a watch.
  Millis answerDueAt = std::max(poll.answerDueAt(), poll.stageSince() + timing_.watchTimeout);
  return answerDueAt + *timing_.silenceTimeout;
}

bool DiscoveryClient::isOverdue(const DiscoveryPoll& poll) const {
  if (poll.stage() != DiscoveryPoll::Stage::awaitingResponse) return false;
  std::optional<Millis> at = overdueAt(poll);
  return at && loop_.now() >= *at;
}

Millis DiscoveryClient::watchTimeout() const {
  bool hasStalled = stalledAt_ && loop_.now() < *stalledAt_ + kStallMemory;
  return rejections_.isRecent(loop_.now()) || hasStalled ? timing_.longWatchTimeout : timing_.watchTimeout;
}

// A poll that was silent before the change began says nothing of it.
bool DiscoveryClient::isChangeRefutedByNewestPoll() const {
  if (polls_.empty() || !unreadChange_.isOpen()) return false;
  const DiscoveryPoll& newest = *polls_.back();
  return newest.stage() == DiscoveryPoll::Stage::awaitingResponse &&
         newest.stageSince() >= *unreadChange_.begunAt();
}

void DiscoveryClient::startPoll() {
  if (isChangeRefutedByNewestPoll() && unreadChange_.recordUnanswered())
    return closeUnreadChange("discovery tells no change");
  for (const auto& poll : polls_) applyLeavingEntriesOf(*poll);
  if (!polls_.empty()) stallTimeout_ = std::min(2 * stallTimeout_, timing_.maxStallTimeout);
  if (polls_.size() == kMaxPolls) endPoll(*polls_.back(), PollEnd::superseded);
  request_.watchTimeout = watchTimeout();
  request_.responseGrace = timing_.responseGrace;
  polls_.push_back(std::make_unique<DiscoveryPoll>(loop_, *this, ++pollCount_, request_));
  if (auto failure = polls_.back()->start(address_, host_)) onPollBroken(*polls_.back(), *failure);
}

void DiscoveryClient::onPollResponseStarted(DiscoveryPoll& poll) { recordUnreadChange(poll); }

void DiscoveryClient::onPollResponse(DiscoveryPoll& poll) {
  const HttpClientConnection& connection = poll.connection();
  if (connection.status() == kStatusServiceUnavailable) {  // discovery is overloaded; the version stays valid
    recordUnreachable();
    rejections_.recordRejected(loop_.now());
    retryAfter(poll, rejectionDelay());
    log::info("discovery.rejected", {{"after_ms", nextPollAt_ - loop_.now()}, {"kept", directory_.count()}});
    return endPoll(poll, PollEnd::rejected);
  }
  PollEnd end{};
  try {
    end = applyResponse(poll);
  } catch (const Error& problem) {
    log::warn("discovery.unreadable", {{"why", problem.what()}, {"kept", directory_.count()}});
    recordUnreadChange(poll);
    applyLeavingEntriesOf(poll);
    request_.extent = ListExtent::full;
    retryAfter(poll, failureDelay());
    return endPoll(poll, PollEnd::unreadable);
  }
  endPoll(poll, end);
  if (end == PollEnd::applied) supersedePolls();
}

PollEnd DiscoveryClient::applyResponse(const DiscoveryPoll& poll) {
  const HttpClientConnection& connection = poll.connection();
  if (connection.status() != kStatusOk)
    throw ParseError("the response status is not 200 but " + std::to_string(connection.status()));
  const json answer = json::parse(connection.body(), nullptr, false);
  if (answer.is_discarded()) throw ParseError("the response body is not JSON");
  const EndpointList list = parseEndpointList(answer, names_);
  if (!versions_.accept(list.version, loop_.now())) {
    applyLeavingEntries(list);
    request_.extent = ListExtent::full;  // the state of what the outdated list drains may be newer
    if (versions_.isFirstOutdated()) retrySchedule_.reset();
    retryAfter(poll, retrySchedule_.delayAfterUnreadFailure());
    return PollEnd::outdated;
  }
  if (!applyList(list)) {
    retryAfter(poll, failureDelay());
    return PollEnd::applied;
  }
  hasAcceptedResponse_ = true;
  upToDateUntil_ = std::min(loop_.now(), poll.upToDateUntil(list));
  retrySchedule_.reset();
  recordChangeRead(poll);
  nextPollAt_ = loop_.now();  // polling again at once continues the watch
  return PollEnd::applied;
}

// An endpoint that leaves according to a list that cannot be used as a whole gets no further attempts: that
// is safe even if the list is wrong.
void DiscoveryClient::applyLeavingEntries(const EndpointList& list) {
  directory_.applyList(leavingEntriesOf(list), EndpointDirectory::AbsentEndpoints::unchanged);
}

// Applies what can be read of a response that is incomplete or malformed. A later poll may not be answered in
// time.
void DiscoveryClient::applyLeavingEntriesOf(const DiscoveryPoll& poll) {
  const HttpClientConnection& connection = poll.connection();
  if (connection.status() != kStatusOk) return;
  std::optional<EndpointList> list = parsePartialEndpointList(connection.partialBody());
  if (list && !versions_.isOutdated(list->version)) applyLeavingEntries(*list);
}

void DiscoveryClient::onPollBroken(DiscoveryPoll& poll, PollEnd end) {
  if (poll.connection().hasReceived()) logUnreadable();
  applyLeavingEntriesOf(poll);
  switch (end) {
    case PollEnd::connectFailed:
    case PollEnd::connectTimedOut:
      recordUnreachable();
      break;
    case PollEnd::endedByDiscovery:
    case PollEnd::malformed:
      // The end of a response that had begun earlier shows nothing new.
      if (poll.stage() == DiscoveryPoll::Stage::awaitingResponse) recordUnreadChange(poll);
      break;
    default:
      break;
  }
  retryAfter(poll, failureDelay());
  endPoll(poll, end);
}

// Without this log line, a dispatcher that never receives a list would answer PING and reject every message
// without any sign of the cause.
void DiscoveryClient::logUnreadable() const {
  log::warn("discovery.unreadable", {{"why", "the response ended early, is not HTTP/1.x or is too long"},
                                     {"kept", directory_.count()}});
}

// A response of another status tells no change.
void DiscoveryClient::recordUnreadChange(const DiscoveryPoll& poll) {
  const HttpClientConnection& connection = poll.connection();
  bool mayBeList = connection.status() == kStatusUnknown || connection.status() == kStatusOk;
  // Discovery may end a watch when another one begins beside it.
  bool isReplaced = !connection.hasReceived() && polls_.size() > 1;
  if (!mayBeList || isReplaced) return;
  using Evidence = UnreadChange::Evidence;
  bool isCertain = connection.hasReceived() && !poll.isAnsweredAtWatchTimeout();
  Evidence evidence = isCertain ? Evidence::certain : Evidence::possible;
  if (unreadChange_.recordBegun(loop_.now(), evidence)) {
    policy_.recordUnreadListChange(loop_.now());
    retrySchedule_.reset();
    log_.changeUnread(poll.number(), connection.received().size(), evidence);
  }
}

void DiscoveryClient::recordChangeRead(const DiscoveryPoll& poll) {
  unreadChange_.recordRead(poll.responseBegunAt());
  policy_.recordListChangeRead();
  if (auto begunAt = unreadChange_.begunAt()) policy_.recordUnreadListChange(*begunAt);
  stallTimeout_ = timing_.minStallTimeout;
}

void DiscoveryClient::recordUnreachable() {
  if (!unreadChange_.recordUnreachable()) return;
  policy_.recordListChangeRead();
  stallTimeout_ = timing_.minStallTimeout;
}

void DiscoveryClient::closeUnreadChange(const char* why) {
  policy_.recordListChangeRead();
  log::warn("discovery.change_dropped", {{"why", why}, {"kept", directory_.count()}});
  stallTimeout_ = timing_.minStallTimeout;
  while (polls_.size() > 1) endPoll(*polls_.front(), PollEnd::superseded);
}

// The end of an older poll must not delay the one that follows the newest.
void DiscoveryClient::retryAfter(const DiscoveryPoll& poll, Millis delay) {
  if (polls_.back().get() == &poll) nextPollAt_ = loop_.now() + delay;
}

Millis DiscoveryClient::failureDelay() {
  return unreadChange_.isOpen() ? retrySchedule_.delayAfterUnreadFailure()
                                : retrySchedule_.delayAfterFailure();
}

Millis DiscoveryClient::rejectionDelay() {
  return unreadChange_.isOpen() ? retrySchedule_.delayAfterUnreadRejection()
                                : retrySchedule_.delayAfterRejection();
}

void DiscoveryClient::endPoll(const DiscoveryPoll& poll, PollEnd end) {
  log_.pollEnded({.number = poll.number(),
                  .end = end,
                  .request = poll.request(),
                  .bytes = poll.connection().received().size(),
                  .spent = loop_.now() - poll.startedAt()},
                 nextPollAt_ - loop_.now(), loop_.now());
  std::erase_if(polls_, [&poll](const auto& pending) { return pending.get() == &poll; });
}

// Where connections take long to come up, several polls are often under way.
void DiscoveryClient::supersedeRedundantPolls() {
  if (polls_.size() < 2 || unreadChange_.isOpen()) return;
  auto watch = std::find_if(polls_.begin(), polls_.end(), [](const auto& poll) {
    return poll->stage() == DiscoveryPoll::Stage::awaitingResponse;
  });
  if (watch == polls_.end() || isOverdue(**watch)) return;
  const DiscoveryPoll* kept = watch->get();
  while (polls_.size() > 1) {
    const auto& redundant = polls_.front().get() == kept ? polls_.back() : polls_.front();
    endPoll(*redundant, PollEnd::superseded);
  }
}

void DiscoveryClient::supersedePolls() {
  while (!polls_.empty()) endPoll(*polls_.back(), PollEnd::superseded);
}

}  // namespace stonewing
