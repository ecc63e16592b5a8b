#include "admission/admission.h"

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

double Admission::faded(double count, Millis span) {
  return count * std::exp(-std::max(0.0, span) / kRecent);
}

// A long turn counts at once, since what it kept waiting is about to be read; a short one by a part.
void Admission::turnEnded(Millis now, Millis worked) {
  work_ = worked >= work_ ? worked : work_ + kWorkPart * (worked - work_);
  workAt_ = now;
}

void Admission::ended(Millis now) {
  ends_ = 1 + faded(ends_, now - endsAt_);
  endsAt_ = now;
}

double Admission::pressure(const AdmissionFacts& facts) const {
  if (facts.held >= terms_.heldMost) return kNoPlace;  // up to there the rules make room by themselves
  // Turns that have rested since tell of an earlier time.
  double work = workAt_ < 0 ? 0 : work_ * std::exp(-std::max(0.0, facts.now - workAt_) / kRecent);
  // A turn that reads a surge is known to be long before it has ended.
  work = std::max(work, facts.worked);
  // A folder that hangs keeps all answers waiting as a long turn does, though the loop itself is at leisure.
  return std::max({between(work, kWorkEasy, kWorkMost), between(facts.writeHangs, kWorkEasy, kWorkMost),
                   between(facts.journalFull, kJournalEasy, 1)});
}

// When there will be room for one more: behind those that were refused before it, at the rate at which
// messages end. A folder that hangs lets nothing end, and nobody knows for how long: it is thought to go on
// for as long again, but a refusal costs no more time than no answer would, since who comes back may meet
// another dispatcher. Drawn apart, so that not all come back at the same moment.
Millis Admission::advice(Millis now, Millis hangs) {
  double rate = faded(ends_, now - endsAt_) / kRecent;
  refusals_ = 1 + faded(refusals_, now - refusalsAt_);
  refusalsAt_ = now;
  double spread = kSpreadLeast + (kSpreadMost - kSpreadLeast) * static_cast<double>(chance_()) / 4294967296.0;
  if (!terms_.mayAdvise || terms_.longestAdvice <= 0) return 0;
  double wait = hangs > kWorkEasy ? std::min(hangs, kClientWaits)
                : rate > 0        ? refusals_ / rate
                                  : terms_.longestAdvice;
  Millis most = terms_.longestAdvice;
  return std::clamp(std::min(wait, most / kSpreadMost) * spread, std::min(kShortestAdvice, most), most);
}

AdmissionCall Admission::asked(const AdmissionFacts& facts, double gain, bool overShare) {
  double worth = gain / std::max(1e-9, terms_.gainMost) * (overShare ? terms_.overShareGain : 1);
  double pressed = pressure(facts);
  // What is worth most is turned away last, and nothing is while nothing presses.
  if (pressed <= 0 || (pressed < 1 && worth > pressed)) return {true, 0};
  return {false, advice(facts.now, facts.writeHangs)};
}

}  // namespace stonewing
