#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

// The time for which a client waits for an answer. After that it submits the message again elsewhere.
constexpr Millis kClientTimeout = 400;
// Pressure rises from 0 at kLowTurnWork to 1 at kHighTurnWork. If turns take an eighth of the client's
// timeout, all clients are answered in time, unless reading and rejecting alone overload the loop. With turns
// of a quarter of the timeout, half of the clients left without an answer, and each submitted its message
// again (stonewing_lab gates). A journal write in progress delays answers as a turn does, so its age counts
// the same.
constexpr Millis kLowTurnWork = 20;
constexpr Millis kHighTurnWork = 50;
// Weight of a turn in the running mean if the turn is shorter than the mean. A single short turn must not end
// the pressure.
constexpr double kShortTurnWeight = 0.25;
// Share of the journal's capacity in use above which pressure rises; pressure is 1 when the journal is full.
constexpr double kLowJournalFill = 0.9;
// A client connection may have this many times as many messages in flight, and as much memory of messages, as
// is still free for all. So a few clients that submit without end leave a part of both to the others, and a
// single one may use nearly all.
constexpr int kMaxMultipleOfFreeMessages = 16;
constexpr std::size_t kMaxMultipleOfFreeBytes = 4;
// A message may take this share of the free memory. So messages with large bodies are rejected before small
// ones, also those of clients that come on a new connection for each.
constexpr std::size_t kMaxMessageDivisor = 16;
// Pressure when the limit of messages in flight, or of their memory, is reached. All messages are rejected
// from a pressure of 1 on.
constexpr double kOutOfCapacityPressure = 2;
// Time constant for the decay of recorded turns, final answers and rejections.
constexpr Millis kRecentTimeConstant = 1000;
// The shortest Retry-After: a client that returns sooner would meet the same overload.
constexpr Millis kMinRetryAfter = 20;
// A Retry-After is multiplied by a random factor between these, so that rejected clients do not all return at
// the same moment.
constexpr double kMinRetryAfterFactor = 0.5;
constexpr double kMaxRetryAfterFactor = 1.5;
constexpr double kRandomRange = 4294967296.0;  // 2^32, the number of values of std::mt19937
// Lower limit of divisors, which prevents divisions by 0.
constexpr double kMinDivisor = 1e-9;

double decayFactor(Millis age) { return std::exp(-std::max(0.0, age) / kRecentTimeConstant); }

// 0 up to `low`, then rising linearly: 1 at `high`, and more than 1 above it.
double pressureOf(double value, double low, double high) {
  if (value <= low) return 0;
  return (value - low) / std::max(kMinDivisor, high - low);
}

}  // namespace

const char* nameOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::none:
      return "none";
    case RejectionReason::aboveFairShare:
      return "above_fair_share";
    case RejectionReason::tooManyInFlight:
      return "too_many_in_flight";
    case RejectionReason::outOfMemory:
      return "out_of_memory";
    case RejectionReason::loopBehind:
      return "loop_behind";
    case RejectionReason::journalHanging:
      return "journal_hanging";
    case RejectionReason::journalFull:
      return "journal_full";
  }
  return "unknown";
}

double AdmissionController::DecayingCount::valueAt(Millis now) const {
  return value * decayFactor(now - updatedAt);
}

void AdmissionController::DecayingCount::add(Millis now) {
  value = 1 + valueAt(now);
  updatedAt = now;
}

// A long turn counts fully at once, since the events that it delayed are about to be read; a shorter turn
// counts only by its weight.
void AdmissionController::recordTurn(Millis now, Millis worked) {
  if (worked >= turnWork_) {
    turnWork_ = worked;
  } else {
    turnWork_ += kShortTurnWeight * (worked - turnWork_);
  }
  turnWorkUpdatedAt_ = now;
}

void AdmissionController::recordFinished(Millis now) { recentFinished_.add(now); }

// A loop that has been idle since its last turn is no longer as far behind as that turn indicates.
double AdmissionController::decayedTurnWork(Millis now) const {
  if (turnWorkUpdatedAt_ < 0) return 0;
  return turnWork_ * decayFactor(now - turnWorkUpdatedAt_);
}

Pressure AdmissionController::pressure(const AdmissionInputs& inputs) const {
  // Below the limit, the policy evicts messages if necessary.
  if (inputs.messagesInFlight >= settings_.maxInFlight)
    return {kOutOfCapacityPressure, RejectionReason::tooManyInFlight};
  if (settings_.maxMessageBytes > 0 && inputs.messageBytes >= settings_.maxMessageBytes)
    return {kOutOfCapacityPressure, RejectionReason::outOfMemory};
  // While a turn reads a burst of submissions, its work so far already shows that the turn is long.
  const Millis work = std::max(decayedTurnWork(inputs.now), inputs.workThisTurn);
  // A journal write that hangs delays all answers as a long turn does, although the loop itself is idle.
  return std::max(
      {Pressure{pressureOf(work, kLowTurnWork, kHighTurnWork), RejectionReason::loopBehind},
       Pressure{pressureOf(inputs.journalWriteAge, kLowTurnWork, kHighTurnWork),
                RejectionReason::journalHanging},
       Pressure{pressureOf(inputs.journalFillShare, kLowJournalFill, 1), RejectionReason::journalFull}},
      [](const Pressure& a, const Pressure& b) { return a.value < b.value; });
}

// Below the limits, the clients that use most of what they limit are rejected first, and the largest
// messages.
bool AdmissionController::isAboveFairShare(const AdmissionInputs& inputs) const {
  const int freeMessages = settings_.maxInFlight - inputs.messagesInFlight;
  if (inputs.clientMessages > kMaxMultipleOfFreeMessages * freeMessages) return true;
  if (settings_.maxMessageBytes == 0) return false;
  const std::size_t usedBytes = inputs.messageBytes + inputs.submittedBytes;
  const std::size_t freeBytes = settings_.maxMessageBytes - std::min(settings_.maxMessageBytes, usedBytes);
  return inputs.clientBytes > kMaxMultipleOfFreeBytes * freeBytes ||
         inputs.submittedBytes > freeBytes / kMaxMessageDivisor;
}

// The expected time until one more message can be accepted, at the rate at which messages finish, if the
// messages that were rejected before it are accepted first.
Millis AdmissionController::expectedWait(Millis now, Millis journalWriteAge) const {
  // While a journal write hangs, no message finishes, and the end of the write is unknown: the write is
  // expected to hang for as long again as it has so far. The wait is limited to the client's timeout, so that
  // a rejection costs the client no more time than a missing answer would; another dispatcher may accept the
  // message.
  if (journalWriteAge > kLowTurnWork) return std::min(journalWriteAge, kClientTimeout);
  double finishedPerMs = recentFinished_.valueAt(now) / kRecentTimeConstant;
  if (finishedPerMs <= 0) return settings_.maxRetryAfter;
  return recentRejections_.value / finishedPerMs;
}

Millis AdmissionController::drawRetryAfter(Millis now, Millis journalWriteAge) {
  recentRejections_.add(now);
  // Drawn even if no Retry-After is sent, so that the sequence of random numbers does not depend on the
  // settings.
  double range = kMaxRetryAfterFactor - kMinRetryAfterFactor;
  double factor = kMinRetryAfterFactor + range * static_cast<double>(random_()) / kRandomRange;
  Millis maxRetryAfter = settings_.maxRetryAfter;
  if (!settings_.mayAdviseRetryAfter || maxRetryAfter <= 0) return 0;
  Millis wait = std::min(expectedWait(now, journalWriteAge), maxRetryAfter / kMaxRetryAfterFactor);
  return std::clamp(wait * factor, std::min(kMinRetryAfter, maxRetryAfter), maxRetryAfter);
}

AdmissionDecision AdmissionController::decide(const AdmissionInputs& inputs, double priorityWeight,
                                              bool overQuota) {
  double quotaShare = overQuota ? settings_.overQuotaWeightShare : 1;
  double relativeWeight = priorityWeight / std::max(kMinDivisor, settings_.maxPriorityWeight) * quotaShare;
  const Pressure current = isAboveFairShare(inputs)
                               ? Pressure{kOutOfCapacityPressure, RejectionReason::aboveFairShare}
                               : pressure(inputs);
  if (current.value <= 0) return {};
  // The messages of the highest weight are rejected last.
  if (current.value < 1 && relativeWeight > current.value) return {};
  return {false, drawRetryAfter(inputs.now, inputs.journalWriteAge), current.reason};
}

}  // namespace stonewing
