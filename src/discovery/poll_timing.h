#pragma once

#include <algorithm>
#include <optional>

#include "base/ids.h"
#include "policy/drain_budget.h"
#include "settings/deployment_settings.h"

// The time-outs of polls of discovery and the delays between them. All times are milliseconds.
namespace stonewing {

// What depends on the deployment. Delays are means: each is multiplied by a random factor from
// 1 - kDelaySpread to 1 + kDelaySpread.
struct PollTiming {
  // Discovery holds a watch open for this long before it answers that nothing has changed.
  Millis watchTimeout{};
  // The same while a rejection is remembered (RejectionMemory), since whoever answers has too many clients
  // then, and for kStallMemory after a stall of this process that no poll outlived.
  Millis longWatchTimeout{};
  // A poll that is unanswered this long after discovery had to answer it gets another one beside it. Without
  // a value, it is waited for.
  std::optional<Millis> silenceTimeout;
  // A poll that is unanswered this long after discovery had to answer it counts as failed.
  Millis responseGrace{};
  // After a stall of this process, the list may be this old if no poll is open; if it is older, a change may
  // be unread. Without a value, what could not be read counts as not notified.
  std::optional<Millis> maxUnwatchedAge;
  // The delay after a failure, doubled after each further one.
  Millis minRetryDelay{};
  Millis maxRetryDelay{};
  // The delay after discovery has rejected a poll.
  Millis rejectionDelay{};
  // The longest delay after a failure while a change is known and unread (UnreadChange).
  Millis maxUnreadRetryDelay{};
  // For how long a change is waited for that is only possible: polls that all end without a byte may also
  // show that discovery is broken, and attempts pause meanwhile.
  Millis maxPossibleChangeDuration{};
  // How long a poll may stall before another one starts beside it. It begins with the shorter time and is
  // doubled for each further poll until one is answered.
  Millis minStallTimeout{};
  Millis maxStallTimeout{};
};

namespace discovery_timing {

inline constexpr double kDelaySpread = 0.5;

// A change reaches the dispatcher within this time from when discovery has it and can be reached, whatever
// failed before.
constexpr Millis kMaxNotificationDelay = 6000;

// How long watches are long after a stall, so that they outlive the next one.
constexpr Millis kStallMemory = 4000;
// Time-out of a connection that is not established. Another poll starts beside it much sooner.
constexpr Millis kConnectTimeout = 1500;
// Time-out from the first byte of a response to its last. Another poll starts beside it much sooner.
constexpr Millis kResponseTimeout = 3000;
// Allowance for an answer that discovery sends at once, when its core is busy.
constexpr Millis kAnswerAllowance = 250;
// Allowance for the process's own turns between the steps, when it shares its core.
constexpr Millis kTurnsAllowance = 400;

constexpr Millis longestDelay(Millis delay) { return delay * (1 + kDelaySpread); }

// How long attempts may pause for a change that is only possible.
constexpr Millis kMaxPauseIfPossible = 1200;

// Share of DrainBudget::readWithin that may pass until the poll begins that a change is read with.
constexpr double kUnpolledShare = 5.0 / 6;
// Share of that stretch for which the answer to a watch may be late.
constexpr double kSilenceShare = 0.2;
// Polls that follow each other more closely would occupy the process.
constexpr Millis kMinUnpolled = 50;

// The longest stretch without a poll that a local agent could answer.
constexpr Millis maxUnpolled(Millis drainGrace) {
  return std::max(kMinUnpolled, kUnpolledShare * drainBudget(drainGrace).readWithin);
}

}  // namespace discovery_timing

// For a discovery that all dispatchers poll. After a rejection it has too many clients: hundreds have
// started, or lost their watch, at the same time. With long delays from the first one on, their polls are
// spread thinly enough for all to be served.
constexpr PollTiming sharedServerTiming(Millis drainGrace) {
  const DrainBudget budget = drainBudget(drainGrace);
  return {.watchTimeout = 2000,
          .longWatchTimeout = 2000,
          .silenceTimeout = std::nullopt,
          .responseGrace = 500,
          .maxUnwatchedAge = std::nullopt,
          .minRetryDelay = 50,
          .maxRetryDelay = 1000,
          .rejectionDelay = 1800,
          .maxUnreadRetryDelay = 200,
          .maxPossibleChangeDuration = budget.readWithin + discovery_timing::kMaxPauseIfPossible,
          .minStallTimeout = budget.stallTimeout,
          .maxStallTimeout = 500};
}

// For an agent on the dispatcher's own machine. What it has counts as notified at once, so that a stretch
// without a poll that it could answer is a part of the drain grace.
constexpr PollTiming localAgentTiming(Millis drainGrace) {
  const PollTiming shared = sharedServerTiming(drainGrace);
  const Millis unpolled = discovery_timing::maxUnpolled(drainGrace);
  const Millis maxDelay = unpolled / (1 + discovery_timing::kDelaySpread);
  const Millis silenceTimeout = unpolled * discovery_timing::kSilenceShare;
  const Millis watchTimeout = std::min(shared.watchTimeout, unpolled - silenceTimeout);
  return {.watchTimeout = watchTimeout,
          .longWatchTimeout = shared.longWatchTimeout,
          .silenceTimeout = silenceTimeout,
          .responseGrace = shared.watchTimeout + shared.responseGrace - watchTimeout,
          .maxUnwatchedAge = unpolled,
          .minRetryDelay = std::min(shared.minRetryDelay, maxDelay),
          .maxRetryDelay = std::min(shared.maxRetryDelay, maxDelay),
          .rejectionDelay = std::min(shared.rejectionDelay, maxDelay),
          .maxUnreadRetryDelay = std::min(shared.maxUnreadRetryDelay, drainBudget(drainGrace).stallTimeout),
          .maxPossibleChangeDuration = shared.maxPossibleChangeDuration,
          .minStallTimeout = std::min(shared.minStallTimeout, unpolled),
          .maxStallTimeout = std::min(shared.maxStallTimeout, unpolled)};
}

constexpr PollTiming pollTiming(DiscoveryKind kind, Millis drainGrace) {
  return kind == DiscoveryKind::localAgent ? localAgentTiming(drainGrace) : sharedServerTiming(drainGrace);
}

namespace discovery_timing {

// Whether the longest sequences of steps end within kMaxNotificationDelay:
// - a watch without a response, the delay after it, a rejection, the delay after that, and an answer, with
//   time for the process's turns between these steps;
// - a connection that is not established, or a response that stays incomplete, until another poll starts
//   beside it, or the longest delay; a rejection, and from there the same steps.
constexpr bool isWithinNotificationDelay(const PollTiming& timing) {
  const Millis fromRejection = longestDelay(timing.rejectionDelay) + kAnswerAllowance + kTurnsAllowance;
  const Millis fromWatch = timing.watchTimeout + timing.responseGrace + longestDelay(timing.minRetryDelay);
  const Millis fromStall = timing.maxStallTimeout + longestDelay(timing.maxRetryDelay);
  return std::max(fromWatch, fromStall) + fromRejection <= kMaxNotificationDelay;
}
static_assert(isWithinNotificationDelay(sharedServerTiming(500)));

// Whether each pause between polls, and each poll that comes to nothing, leaves time to read a change within
// the drain grace.
constexpr bool isWithinDrainGrace(const PollTiming& timing, Millis drainGrace) {
  const Millis readWithin = drainBudget(drainGrace).readWithin;
  const Millis longestPause = longestDelay(std::max(
      {timing.minRetryDelay, timing.maxRetryDelay, timing.rejectionDelay, timing.maxUnreadRetryDelay}));
  const Millis longestSilence = timing.watchTimeout + timing.silenceTimeout.value_or(timing.responseGrace);
  const Millis longestStall = std::max(timing.minStallTimeout, timing.maxStallTimeout);
  const Millis unwatchedAge = timing.maxUnwatchedAge.value_or(readWithin + 1);  // without a bound: not within
  return std::max({longestPause, longestSilence, longestStall, unwatchedAge}) <= readWithin;
}
static_assert(isWithinDrainGrace(localAgentTiming(200), 200));
static_assert(isWithinDrainGrace(localAgentTiming(500), 500));
static_assert(isWithinDrainGrace(localAgentTiming(1000), 1000));
static_assert(isWithinDrainGrace(localAgentTiming(10'000), 10'000));

}  // namespace discovery_timing
}  // namespace stonewing
