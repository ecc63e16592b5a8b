#pragma once

#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace stonewing {

// Measures for how long a write of the journal has been hanging, and logs it. A write is hanging if the
// background writer has not completed it in the time that the event loop waits for it. Times are milliseconds
// of the steady clock.
class JournalWriteMonitor {
 public:
  // Records that a write is still in progress. Logs this once, if the write has taken long.
  void recordHanging(Millis now, std::size_t messagesInFlight);
  // Records that the write has completed. Logs this if recordHanging() has logged the write.
  void recordCompleted(Millis now);

  // For how long a write has been hanging; 0 if none is.
  Millis hangingFor(Millis now) const;
  // When recordHanging() will log the write; no value if no write is hanging or it was logged already.
  std::optional<Millis> reportDue() const;

 private:
  std::optional<Millis> hangingSince_;
  bool reported_{false};
};

}  // namespace stonewing
