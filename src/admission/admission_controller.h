#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/ids.h"

// Overload control of the dispatcher itself: decides whether a submitted message is accepted, before it is
// written to the journal. The policy handles messages after their acceptance. The decision depends only on
// whether the limit of messages in flight or of their memory is reached or nearly so by the messages of the
// submitting client, the journal is nearly full, a journal write hangs, or the event loop falls behind.
namespace stonewing {

// Times are milliseconds.
struct AdmissionSettings {
  int maxInFlight{1};               // limit of accepted messages without a final answer
  bool mayAdviseRetryAfter{false};  // whether a rejection may carry a Retry-After
  Millis maxRetryAfter{0};          // the longest Retry-After of a rejection
  double maxPriorityWeight{1};      // the highest weight of all traffic types
  // Limit of the memory of accepted messages and pending notifications, in bytes; 0: none.
  std::size_t maxMessageBytes{0};
  double overQuotaWeightShare{1};  // factor on the weight of a message over its tenant's quota
};

// The state of the dispatcher at a decision. Times are milliseconds.
struct AdmissionInputs {
  Millis now{0};
  int messagesInFlight{0};
  double journalFillShare{0};     // share of the journal's capacity that is in use
  Millis journalWriteAge{0};      // duration of the journal write in progress so far; 0 if there is none
  Millis workThisTurn{0};         // work of the event loop in this turn so far, without sleep
  std::size_t messageBytes{0};    // memory of accepted messages and pending notifications
  std::size_t submittedBytes{0};  // memory that the message itself would occupy
  // What the client connection that submits the message has in flight already.
  int clientMessages{0};
  std::size_t clientBytes{0};
};

// Why a message is rejected.
enum class RejectionReason {
  none,             // it is accepted
  aboveFairShare,   // its client, or the message, would take too much of what is still free
  tooManyInFlight,  // the limit of messages in flight is reached
  outOfMemory,      // the limit of their memory is reached
  loopBehind,       // the event loop falls behind
  journalHanging,   // a journal write takes long
  journalFull       // the journal is nearly full
};

// The name of the reason in the log.
const char* nameOf(RejectionReason reason);

struct AdmissionDecision {
  bool accepted{true};
  Millis retryAfter{0};  // of a rejection, in milliseconds; 0 if it carries none
  RejectionReason reason{RejectionReason::none};
};

// How far the dispatcher is overloaded, and by what.
struct Pressure {
  double value{0};
  RejectionReason reason{RejectionReason::none};
};

// Accepts or rejects messages by the overload of the dispatcher and the weight of the message. Uses no clock,
// sockets or threads: times are those of the caller's clock, and random numbers depend on the seed alone.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed)
      : settings_(settings), random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  // Records a turn of the event loop that has ended. `worked` is its duration without sleep.
  void recordTurn(Millis now, Millis worked);
  // Records that an accepted message has got its final answer, whether delivered or not.
  void recordFinished(Millis now);
  // Records a rejection for another reason, such as a journal that could not store the message. Returns the
  // Retry-After of the rejection, as AdmissionDecision::retryAfter does.
  Millis recordRejection(Millis now) { return drawRetryAfter(now, 0); }

  // Decides whether a submitted message is accepted. `priorityWeight` is the weight of its traffic type;
  // `overQuota` is whether its tenant is over its quota. A rejection lengthens the Retry-After of later
  // rejections.
  AdmissionDecision decide(const AdmissionInputs& inputs, double priorityWeight, bool overQuota);

  // The overload of the dispatcher. 0: none; below 1: messages with less than this share of the highest
  // weight are rejected; from 1 on: all messages are rejected.
  Pressure pressure(const AdmissionInputs& inputs) const;

 private:
  // A count of events in which the contribution of each event decays with its age.
  struct DecayingCount {
    double value{0};
    Millis updatedAt{0};

    double valueAt(Millis now) const;
    void add(Millis now);
  };

  bool isAboveFairShare(const AdmissionInputs& inputs) const;
  double decayedTurnWork(Millis now) const;
  Millis expectedWait(Millis now, Millis journalWriteAge) const;
  Millis drawRetryAfter(Millis now, Millis journalWriteAge);

  AdmissionSettings settings_;
  std::mt19937 random_;
  Millis turnWork_{0};            // work of recent turns: the longest, decreasing towards the running mean
  Millis turnWorkUpdatedAt_{-1};  // below 0 if no turn was recorded
  DecayingCount recentFinished_;  // final answers
  DecayingCount recentRejections_;
};

}  // namespace stonewing
