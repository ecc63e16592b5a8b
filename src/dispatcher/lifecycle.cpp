#include "dispatcher/lifecycle.h"

#include <cassert>

namespace stonewing {
namespace {

// All three count from the request to end.
//
// Clients go on connecting for up to 0.4 s after the signal. A listener that closes earlier would turn away
// messages that have nowhere else to go yet.
constexpr Millis kAcceptDuration = 500;
// With much in flight, each further second of attempts delivers more; half a second is left for responses.
constexpr Millis kSendDuration = 3000;
// The process is killed no sooner than 3.7 s after the signal. It ends by itself before that, so that the
// kill finds nothing that is half done.
constexpr Millis kAwaitResponsesDuration = 3500;

bool isAllDone(const UnfinishedWork& work) {
  return !work.messagesInFlight && !work.pendingNotifications && !work.clientsConnected;
}

}  // namespace

const char* nameOf(LifecycleState state) {
  switch (state) {
    case LifecycleState::recovering:
      return "recovering";
    case LifecycleState::serving:
      return "serving";
    case LifecycleState::draining:
      return "draining";
    case LifecycleState::finishing:
      return "finishing";
    case LifecycleState::awaitingResponses:
      return "awaiting_responses";
    case LifecycleState::ended:
      return "ended";
  }
  return "unknown";
}

void Lifecycle::requestEnd(Millis now) {
  if (!endRequestedAt_) endRequestedAt_ = now;
}

std::optional<LifecycleState> Lifecycle::nextState(Millis now, const UnfinishedWork& work) const {
  if (!endRequestedAt_) return std::nullopt;
  const Millis sinceRequest = now - *endRequestedAt_;
  const bool awaitsNothing = !work.requestsInFlight && !work.pendingNotifications;
  switch (state_) {
    case LifecycleState::recovering:
    case LifecycleState::ended:
      return std::nullopt;
    case LifecycleState::serving:
      return LifecycleState::draining;
    case LifecycleState::draining:
      if (sinceRequest >= kAcceptDuration) return LifecycleState::finishing;
      return std::nullopt;
    case LifecycleState::finishing:
      if (sinceRequest >= kSendDuration) return LifecycleState::awaitingResponses;
      if (isAllDone(work)) return LifecycleState::ended;
      return std::nullopt;
    case LifecycleState::awaitingResponses:
      if (isAllDone(work) || awaitsNothing || sinceRequest >= kAwaitResponsesDuration)
        return LifecycleState::ended;
      return std::nullopt;
  }
  return std::nullopt;
}

void Lifecycle::enter(LifecycleState next) {
  assert(next >= state_);
  state_ = next;
}

std::optional<Millis> Lifecycle::deadline() const {
  if (!endRequestedAt_) return std::nullopt;
  switch (state_) {
    case LifecycleState::draining:
      return *endRequestedAt_ + kAcceptDuration;
    case LifecycleState::finishing:
      return *endRequestedAt_ + kSendDuration;
    case LifecycleState::awaitingResponses:
      return *endRequestedAt_ + kAwaitResponsesDuration;
    case LifecycleState::recovering:
    case LifecycleState::serving:
    case LifecycleState::ended:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace stonewing
