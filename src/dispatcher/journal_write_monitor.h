#pragma once

#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace stonewing {

// Knows for how long a write of the journal has been hanging, and logs it. A write hangs where a thread of
// its own writes and the loop did not wait for it any longer. Times are milliseconds of the steady clock.
class JournalWriteMonitor {
 public:
  // A write is still under way. Logs it, once, where it has taken long.
  void recordHanging(Millis now, std::size_t messagesInFlight);
  // The write is done. Logs it where the hanging was logged.
  void recordCompleted(Millis now);

  // For how long a write has been hanging; 0 for none.
  Millis hangingFor(Millis now) const;
  // When recordHanging() has something to log; none while no write hangs or it was logged already.
  std::optional<Millis> reportDue() const;

 private:
  std::optional<Millis> hangingSince_;
  bool reported_{false};
};

}  // namespace stonewing
