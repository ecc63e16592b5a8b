#pragma once

#include "base/ids.h"

namespace stonewing {

// The position of a scan over the messages with pending attempts. Each round scans them once, even if the
// round makes several decisions.
class ScanCursor {
 public:
  // Returns whether a new scan begins, because the round is new or the cursor was reset.
  bool begin(int round) {
    if (round_ == round) return false;
    round_ = round;
    next_ = MessageId{};
    return true;
  }
  // Restarts the scan of this round.
  void rewind() { next_ = MessageId{}; }
  // The first id that is still to be scanned.
  MessageId next() const { return next_; }
  // Continues after this message.
  void advancePast(MessageId id) { next_ = MessageId{id.value + 1}; }
  // Continues with this message again.
  void revisit(MessageId id) { next_ = id; }

 private:
  int round_{-1};
  MessageId next_{};
};

}  // namespace stonewing
