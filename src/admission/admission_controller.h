#pragma once

#include <cstdint>
#include <random>

#include "base/ids.h"

// Overload control of the dispatcher itself: whether a submitted message is accepted at all, decided before
// it is written to the journal. Messages that were accepted are the policy's matter; this looks only at
// whether the dispatcher is out of capacity for messages, its journal is nearly full, a journal write hangs,
// or its event loop falls behind.
namespace stonewing {

// Times are milliseconds.
struct AdmissionSettings {
  int maxInFlight{1};               // messages accepted and without a final answer
  bool mayAdviseRetryAfter{false};  // whether a rejection may say when to submit again
  Millis maxRetryAfter{0};          // the longest time that it may say
  double maxPriorityWeight{1};      // the highest of all traffic types
  double overQuotaWeightShare{1};   // share of its weight that a message over its tenant's quota has
};

// The state of the dispatcher at a decision. Times are milliseconds.
struct AdmissionInputs {
  Millis now{0};
  int messagesInFlight{0};
  double journalFillShare{0};  // share of the journal's capacity that is in use
  Millis journalWriteAge{0};   // for how long the pending journal write has been under way; 0: none is
  Millis workThisTurn{0};      // of the event loop so far, sleep not counted
};

struct AdmissionDecision {
  bool accepted{true};
  Millis retryAfter{0};  // of a rejection, in milliseconds; 0: it says no time
};

// Accepts or rejects messages by how overloaded the dispatcher is and what a message is worth. No clock,
// sockets or threads of its own: times are those of the caller's clock, and random numbers follow from the
// seed alone.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed)
      : settings_(settings), random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  // A turn of the event loop has ended; it worked for so long, sleep not counted.
  void recordTurn(Millis now, Millis worked);
  // An accepted message has got its final answer, whichever it is.
  void recordFinished(Millis now);
  // A message was rejected for another reason, such as a journal that could not store it. Returns when to
  // submit it again, as AdmissionDecision::retryAfter does.
  Millis recordRejection(Millis now) { return drawRetryAfter(now, 0); }

  // Whether a submitted message is accepted. priorityWeight: of its traffic type; overQuota: whether its
  // tenant is over its quota. A rejection counts for the advice that later ones get.
  AdmissionDecision decide(const AdmissionInputs& inputs, double priorityWeight, bool overQuota);

  // How overloaded the dispatcher is. 0: not at all; below 1: messages of less than this share of the highest
  // weight are rejected; from 1 on: all messages are.
  double pressure(const AdmissionInputs& inputs) const;

 private:
  // A count of events in which each event fades with its age.
  struct DecayingCount {
    double value{0};
    Millis updatedAt{0};

    double valueAt(Millis now) const;
    void add(Millis now);
  };

  double decayedTurnWork(Millis now) const;
  Millis expectedWait(Millis now, Millis journalWriteAge) const;
  Millis drawRetryAfter(Millis now, Millis journalWriteAge);

  AdmissionSettings settings_;
  std::mt19937 random_;
  Millis turnWork_{0};            // work of recent turns: the longest, falling towards the running mean
  Millis turnWorkUpdatedAt_{-1};  // before 0: no turn was recorded
  DecayingCount recentFinished_;  // final answers
  DecayingCount recentRejections_;
};

}  // namespace stonewing
