#pragma once

#include <cstdint>
#include <optional>

#include "base/ids.h"

namespace stonewing {

// Decides whether a list may replace the one in use. A machine between the dispatcher and discovery may send
// an older list after a newer one; an endpoint that drains would become ready again. A discovery that numbers
// its versions anew after a restart is accepted once it has sent nothing else for some time.
class ListVersionGuard {
 public:
  // Records a list of that version, read at `now` (milliseconds of the event loop's clock), and returns
  // whether it may be used.
  bool accept(std::int64_t version, Millis now);
  // Versions of another discovery cannot be compared with those before.
  void reset() { *this = {}; }
  // Whether the list read last was the first outdated one after others.
  bool isFirstOutdated() const { return outdatedCount_ == 1; }
  // Whether a list of that version is older than the one accepted last.
  bool isOutdated(std::int64_t version) const { return newest_ && version < *newest_; }

 private:
  std::optional<std::int64_t> newest_;   // accepted
  std::optional<Millis> outdatedSince_;  // only outdated lists have been read since
  int outdatedCount_{0};
};

}  // namespace stonewing
