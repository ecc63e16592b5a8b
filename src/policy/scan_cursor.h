#pragma once

#include "base/ids.h"

namespace stonewing {

// The progress of a scan over the messages with pending attempts. Such a scan goes over them once a round,
// however many decisions the round brings.
class ScanCursor {
 public:
  // Returns whether a new scan begins, since the round is a new one or the cursor was reset.
  bool begin(int round) {
    if (round_ == round) return false;
    round_ = round;
    next_ = MessageId{};
    return true;
  }
  // Begins the scan of this round again.
  void rewind() { next_ = MessageId{}; }
  // Where to go on.
  MessageId next() const { return next_; }
  void passOver(MessageId id) { next_ = MessageId{id.value + 1}; }
  // To be looked at again in this round.
  void stayAt(MessageId id) { next_ = id; }

 private:
  int round_{-1};
  MessageId next_{};
};

}  // namespace stonewing
