#pragma once

#include <cstdint>
#include <random>

#include "base/ids.h"

// Whether a message is accepted at all, decided before it is written to the journal. The rules decide about
// what is held; this decides only about our own overload: no place, no room in the journal, a folder that
// hangs, or a loop that is behind. No clock, no chance and no sockets of its own.
namespace stonewing {

struct AdmissionSettings {
  int maxInFlight{1};
  bool mayAdviseRetryAfter{false};  // whether a refusal may tell when to come again
  Millis maxRetryAfter{0};          // and how far ahead at most
  double maxPriorityWeight{1};      // of any traffic type
  double overQuotaWeightShare{1};   // what a message over its tenant's share counts, of one within it
};

struct AdmissionInputs {
  Millis now{0};
  int messagesInFlight{0};
  double journalFillShare{0};  // share of what the journal may hold
  Millis journalWriteAge{0};   // for how long a write of the journal has been under way
  Millis workThisTurn{0};      // in this turn of the loop so far
};

struct AdmissionDecision {
  bool accepted{true};
  Millis retryAfter{0};  // of a refusal; 0: no time is told
};

class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& terms, std::uint64_t seed)
      : settings_(terms), chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  // A turn of the loop is over; it worked for so long, sleep not counted.
  void recordTurn(Millis now, Millis worked);
  // A message that was held is over, in whatever way.
  void recordFinished(Millis now);
  // One asks to be accepted. gain: of its type; overShare: its tenant is above its share.
  AdmissionDecision decide(const AdmissionInputs& facts, double gain, bool overShare);

  // Refused for another cause, such as a journal that would not take it: when to come again.
  Millis recordRejection(Millis now) { return retryAfter(now); }

  // 0: nothing presses; below 1, what is worth less than so much of the most is turned away; from 1 on, all
  // is.
  double pressure(const AdmissionInputs& facts) const;

 private:
  Millis retryAfter(Millis now, Millis hangs = 0);
  static double faded(double count, Millis span);

  AdmissionSettings settings_;
  std::mt19937 chance_;
  double turnWork_{0};  // smoothed work of a turn
  Millis turnWorkAt_{-1};
  double recentFinished_{0};  // recent ones, fading
  Millis recentFinishedAt_{0};
  double recentRejections_{0};  // the same
  Millis recentRejectionsAt_{0};
};

}  // namespace stonewing
