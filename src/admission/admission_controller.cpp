#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

// A client waits so long for an answer, and submits the message again elsewhere when there is none.
constexpr Millis kClientTimeout = 400;
// Pressure rises from 0 at kEasyTurnWork to 1 at kMaxTurnWork. With turns of an eighth of the client's
// timeout all clients are answered in time, as long as reading and rejecting alone do not fill the loop; with
// a quarter of it half of the clients had left unanswered, each to submit again (stonewing_lab gates). A
// journal write that is under way keeps answers waiting as a turn does, and counts the same.
constexpr Millis kEasyTurnWork = 20;
constexpr Millis kMaxTurnWork = 50;
// Weight of a turn in the running mean, when it is shorter than the mean. A single short turn must not end
// the pressure.
constexpr double kShortTurnWeight = 0.25;
// Share of the journal's capacity in use from which pressure rises, up to 1 when the journal is full.
constexpr double kEasyJournalFill = 0.9;
// Pressure when no further message may be in flight. Anything from 1 on rejects all messages.
constexpr double kOutOfCapacityPressure = 2;
// Time constant with which turns, final answers and rejections fade.
constexpr Millis kRecentTimeConstant = 1000;
// Shortest advice: sooner than that nothing has changed.
constexpr Millis kMinRetryAfter = 20;
// Advice is multiplied by a random factor between these, so that rejected clients do not return at one
// moment.
constexpr double kMinAdviceFactor = 0.5;
constexpr double kMaxAdviceFactor = 1.5;
constexpr double kRandomRange = 4294967296.0;  // 2^32, the values of std::mt19937
// Keeps divisors above 0.
constexpr double kMinDivisor = 1e-9;

double fadeFactor(Millis age) { return std::exp(-std::max(0.0, age) / kRecentTimeConstant); }

// 0 up to `easy`, then rising linearly: 1 at `most`, and above 1 beyond it.
double pressureOf(double value, double easy, double most) {
  if (value <= easy) return 0;
  return (value - easy) / std::max(kMinDivisor, most - easy);
}

}  // namespace

double AdmissionController::DecayingCount::valueAt(Millis now) const {
  return value * fadeFactor(now - updatedAt);
}

void AdmissionController::DecayingCount::add(Millis now) {
  value = 1 + valueAt(now);
  updatedAt = now;
}

// A long turn counts at once, since what it kept waiting is about to be read; a short one only by its weight.
void AdmissionController::recordTurn(Millis now, Millis worked) {
  if (worked >= turnWork_) {
    turnWork_ = worked;
  } else {
    turnWork_ += kShortTurnWeight * (worked - turnWork_);
  }
  turnWorkUpdatedAt_ = now;
}

void AdmissionController::recordFinished(Millis now) { recentFinished_.add(now); }

// A loop that has rested since its last turn is no longer as far behind as that turn shows.
double AdmissionController::decayedTurnWork(Millis now) const {
  if (turnWorkUpdatedAt_ < 0) return 0;
  return turnWork_ * fadeFactor(now - turnWorkUpdatedAt_);
}

double AdmissionController::pressure(const AdmissionInputs& inputs) const {
  // Below the limit it is the policy that evicts messages.
  if (inputs.messagesInFlight >= settings_.maxInFlight) return kOutOfCapacityPressure;
  // A turn that reads a surge is known to be long before it has ended.
  Millis work = std::max(decayedTurnWork(inputs.now), inputs.workThisTurn);
  // A journal write that hangs keeps all answers waiting as a long turn does, though the loop itself is idle.
  return std::max({pressureOf(work, kEasyTurnWork, kMaxTurnWork),
                   pressureOf(inputs.journalWriteAge, kEasyTurnWork, kMaxTurnWork),
                   pressureOf(inputs.journalFillShare, kEasyJournalFill, 1)});
}

// How long it takes until one more message can be accepted, behind those that were rejected before it, at the
// rate at which messages finish.
Millis AdmissionController::expectedWait(Millis now, Millis journalWriteAge) const {
  // While a journal write hangs no message finishes, and nobody knows for how long: it is expected to hang
  // for as long again. But a rejection costs the client no more time than no answer would, since it may be
  // accepted by another dispatcher.
  if (journalWriteAge > kEasyTurnWork) return std::min(journalWriteAge, kClientTimeout);
  double finishedPerMs = recentFinished_.valueAt(now) / kRecentTimeConstant;
  if (finishedPerMs <= 0) return settings_.maxRetryAfter;
  return recentRejections_.value / finishedPerMs;
}

Millis AdmissionController::drawRetryAfter(Millis now, Millis journalWriteAge) {
  recentRejections_.add(now);
  // Drawn also where no advice is given: the sequence of random numbers does not depend on the settings.
  double range = kMaxAdviceFactor - kMinAdviceFactor;
  double factor = kMinAdviceFactor + range * static_cast<double>(random_()) / kRandomRange;
  Millis most = settings_.maxRetryAfter;
  if (!settings_.mayAdviseRetryAfter || most <= 0) return 0;
  Millis wait = std::min(expectedWait(now, journalWriteAge), most / kMaxAdviceFactor);
  return std::clamp(wait * factor, std::min(kMinRetryAfter, most), most);
}

AdmissionDecision AdmissionController::decide(const AdmissionInputs& inputs, double priorityWeight,
                                              bool overQuota) {
  double quotaShare = overQuota ? settings_.overQuotaWeightShare : 1;
  double relativeWeight = priorityWeight / std::max(kMinDivisor, settings_.maxPriorityWeight) * quotaShare;
  double currentPressure = pressure(inputs);
  if (currentPressure <= 0) return {true, 0};
  // The messages of the highest weight are rejected last.
  if (currentPressure < 1 && relativeWeight > currentPressure) return {true, 0};
  return {false, drawRetryAfter(inputs.now, inputs.journalWriteAge)};
}

}  // namespace stonewing
