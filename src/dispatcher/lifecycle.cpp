#include "dispatcher/lifecycle.h"

#include <cassert>

namespace stonewing {
namespace {

// All three durations count from the request of the shutdown.
//
// Clients continue to connect for up to 0.4 s after the signal. If the listener closed earlier, messages
// would be rejected whose clients have no other dispatcher to use yet.
constexpr Millis kAcceptDuration = 500;
// With many messages in flight, each further second of attempts delivers more of them. The remaining half
// second is for pending responses.
constexpr Millis kSendDuration = 3000;
// The process may be killed from 3.7 s after the signal on. It exits earlier, so that a kill does not
// interrupt it in the middle of its work.
constexpr Millis kAwaitResponsesDuration = 3500;

bool isWorkDone(const UnfinishedWork& work) {
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

void Lifecycle::requestShutdown(Millis now) {
  if (!shutdownRequestedAt_) shutdownRequestedAt_ = now;
}

std::optional<LifecycleState> Lifecycle::nextState(Millis now, const UnfinishedWork& work) const {
  if (!shutdownRequestedAt_) return std::nullopt;
  const Millis sinceRequest = now - *shutdownRequestedAt_;
  const bool nothingPending = !work.requestsInFlight && !work.pendingNotifications;
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
      if (isWorkDone(work)) return LifecycleState::ended;
      return std::nullopt;
    case LifecycleState::awaitingResponses:
      if (isWorkDone(work) || nothingPending || sinceRequest >= kAwaitResponsesDuration)
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
  if (!shutdownRequestedAt_) return std::nullopt;
  switch (state_) {
    case LifecycleState::draining:
      return *shutdownRequestedAt_ + kAcceptDuration;
    case LifecycleState::finishing:
      return *shutdownRequestedAt_ + kSendDuration;
    case LifecycleState::awaitingResponses:
      return *shutdownRequestedAt_ + kAwaitResponsesDuration;
    case LifecycleState::recovering:
    case LifecycleState::serving:
    case LifecycleState::ended:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace stonewing
