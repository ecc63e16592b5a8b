#pragma once

#include <cstdint>
#include <random>

#include "core/ids.h"

// Whether a message is accepted at all, decided before it is written to the journal. The rules decide about
// what is held; this decides only about our own overload: no place, no room in the journal, a folder that
// hangs, or a loop that is behind. No clock, no chance and no sockets of its own.
namespace stonewing {

struct AdmissionTerms {
  int heldMost{1};
  bool mayAdvise{false};    // whether a refusal may tell when to come again
  Millis longestAdvice{0};  // and how far ahead at most
  double gainMost{1};       // of any traffic type
  double overShareGain{1};  // what a message over its tenant's share counts, of one within it
};

struct AdmissionFacts {
  Millis now{0};
  int held{0};
  double journalFull{0};  // share of what the journal may hold
  Millis writeHangs{0};   // for how long a write of the journal has been under way
  Millis worked{0};       // in this turn of the loop so far
};

struct AdmissionCall {
  bool take{true};
  Millis wait{0};  // of a refusal; 0: no time is told
};

class Admission {
 public:
  Admission(const AdmissionTerms& terms, std::uint64_t seed)
      : terms_(terms), chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  // A turn of the loop is over; it worked for so long, sleep not counted.
  void turnEnded(Millis now, Millis worked);
  // A message that was held is over, in whatever way.
  void ended(Millis now);
  // One asks to be accepted. gain: of its type; overShare: its tenant is above its share.
  AdmissionCall asked(const AdmissionFacts& facts, double gain, bool overShare);

  // Refused for another cause, such as a journal that would not take it: when to come again.
  Millis refusal(Millis now) { return advice(now); }

  // 0: nothing presses; below 1, what is worth less than so much of the most is turned away; from 1 on, all
  // is.
  double pressure(const AdmissionFacts& facts) const;

 private:
  Millis advice(Millis now, Millis hangs = 0);
  static double faded(double count, Millis span);

  AdmissionTerms terms_;
  std::mt19937 chance_;
  double work_{0};  // smoothed work of a turn
  Millis workAt_{-1};
  double ends_{0};  // recent ones, fading
  Millis endsAt_{0};
  double refusals_{0};  // the same
  Millis refusalsAt_{0};
};

}  // namespace stonewing
