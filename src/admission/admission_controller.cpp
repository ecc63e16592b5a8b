#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

// A client waits 400 ms for its answer, and what is refused comes again. With turns of an eighth of that all
// are answered in time as long as reading and refusing alone do not fill the loop; with a quarter of it half
// of the clients had left unheard, each to hand in again (stonewing_lab gates).
constexpr Millis kClientWaits = 400;
constexpr Millis kWorkEasy = 20;
constexpr Millis kWorkMost = 50;
constexpr double kWorkPart = 0.25;      // of a turn in the running mean, when it is shorter than that
constexpr double kJournalEasy = 0.9;    // of what the journal may hold
constexpr Millis kRecent = 1000;        // over which ends and refusals are counted
constexpr Millis kShortestAdvice = 20;  // sooner, nothing has changed
constexpr double kNoPlace = 2;
constexpr double kSpreadLeast = 0.5;
constexpr double kSpreadMost = 1.5;

double between(double value, double easy, double most) {
  return value <= easy ? 0 : (value - easy) / std::max(1e-9, most - easy);
}

}  // namespace

double AdmissionController::faded(double count, Millis span) {
  return count * std::exp(-std::max(0.0, span) / kRecent);
}

// A long turn counts at once, since what it kept waiting is about to be read; a short one by a part.
void AdmissionController::recordTurn(Millis now, Millis worked) {
  turnWork_ = worked >= turnWork_ ? worked : turnWork_ + kWorkPart * (worked - turnWork_);
  turnWorkAt_ = now;
}

void AdmissionController::recordFinished(Millis now) {
  recentFinished_ = 1 + faded(recentFinished_, now - recentFinishedAt_);
  recentFinishedAt_ = now;
}

double AdmissionController::pressure(const AdmissionInputs& facts) const {
  if (facts.messagesInFlight >= settings_.maxInFlight)
    return kNoPlace;  // up to there the rules make room by themselves
  // Turns that have rested since tell of an earlier time.
  double work = turnWorkAt_ < 0 ? 0 : turnWork_ * std::exp(-std::max(0.0, facts.now - turnWorkAt_) / kRecent);
  // A turn that reads a surge is known to be long before it has ended.
  work = std::max(work, facts.workThisTurn);
  // A folder that hangs keeps all answers waiting as a long turn does, though the loop itself is at leisure.
  return std::max({between(work, kWorkEasy, kWorkMost), between(facts.journalWriteAge, kWorkEasy, kWorkMost),
                   between(facts.journalFillShare, kJournalEasy, 1)});
}

// When there will be room for one more: behind those that were refused before it, at the rate at which
// messages end. A folder that hangs lets nothing end, and nobody knows for how long: it is thought to go on
// for as long again, but a refusal costs no more time than no answer would, since who comes back may meet
// another dispatcher. Drawn apart, so that not all come back at the same moment.
Millis AdmissionController::retryAfter(Millis now, Millis hangs) {
  double rate = faded(recentFinished_, now - recentFinishedAt_) / kRecent;
  recentRejections_ = 1 + faded(recentRejections_, now - recentRejectionsAt_);
  recentRejectionsAt_ = now;
  double spread = kSpreadLeast + (kSpreadMost - kSpreadLeast) * static_cast<double>(chance_()) / 4294967296.0;
  if (!settings_.mayAdviseRetryAfter || settings_.maxRetryAfter <= 0) return 0;
  double wait = hangs > kWorkEasy ? std::min(hangs, kClientWaits)
                : rate > 0        ? recentRejections_ / rate
                                  : settings_.maxRetryAfter;
  Millis most = settings_.maxRetryAfter;
  return std::clamp(std::min(wait, most / kSpreadMost) * spread, std::min(kShortestAdvice, most), most);
}

AdmissionDecision AdmissionController::decide(const AdmissionInputs& facts, double gain, bool overShare) {
  double worth =
      gain / std::max(1e-9, settings_.maxPriorityWeight) * (overShare ? settings_.overQuotaWeightShare : 1);
  double pressed = pressure(facts);
  // What is worth most is turned away last, and nothing is while nothing presses.
  if (pressed <= 0 || (pressed < 1 && worth > pressed)) return {true, 0};
  return {false, retryAfter(facts.now, facts.journalWriteAge)};
}

}  // namespace stonewing
