#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"

namespace stonewing {

// Tracks a change of the endpoint list that discovery has begun to tell and that could not be read
// completely. From then on the list in use counts as out of date until a poll is answered, or until later
// polls show that discovery has nothing new. Times are milliseconds of the event loop's clock.
class UnreadChange {
 public:
  // What the beginning of a response shows.
  enum class Evidence {
    // The watch had timed out, so the response may tell that nothing has changed; or the connection ended
    // before the first byte.
    possible,
    certain,  // discovery answers a poll at once only if it has something to tell
  };

  // `maxPossibleDuration`: for how long a change is waited for that is only possible (PollTiming).
  explicit UnreadChange(Millis maxPossibleDuration) : maxPossibleDuration_(maxPossibleDuration) {}

  // A response has begun and is incomplete. Returns whether this opens a change.
  bool recordBegun(Millis now, Evidence evidence);
  // A later poll remains without an answer, although discovery answers at once if it has a change to tell.
  // Returns whether this was the last piece of evidence needed, and the change is closed.
  bool recordUnanswered();
  // Discovery rejected a later poll or cannot be reached, which refutes a possible change: a fleet must not
  // stop sending where discovery restarts. Returns whether the change is closed by that.
  bool recordUnreachable();
  // A list was read completely. Responses that began later than its own remain unread: they may tell more.
  void recordRead(Millis responseBegunAt);
  // Another discovery is polled from now on. An unread change remains unread: the other one may tell it too.
  void recordAddressChanged() { expired_.reset(); }
  // Closes a change that could not be read for too long: after kMaxNotificationDelay without a further
  // response, or at the end of maxPossibleDuration if it is only possible. Until a list has been read or the
  // address changes, another change opens on stronger evidence alone. Returns whether the change was closed.
  bool closeIfExpired(Millis now);

  // When the first of the unread responses began; no value if there is none.
  std::optional<Millis> begunAt() const;
  bool isOpen() const { return !begunAt_.empty(); }
  // When closeIfExpired() closes the change; no value if there is none.
  std::optional<Millis> expiresAt() const;

 private:
  void close();
  // Whether such evidence has already been waited for in vain.
  bool isExhausted(Evidence evidence) const;

  Millis maxPossibleDuration_;
  std::vector<Millis> begunAt_;  // of each unread response, in the order of time
  Evidence evidence_{Evidence::possible};
  int unansweredPolls_{0};
  std::optional<Evidence> expired_;  // the evidence of a change that expired, if no list has been read since
};

}  // namespace stonewing
