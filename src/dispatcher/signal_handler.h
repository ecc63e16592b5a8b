#pragma once

#include <cstdint>

#include "base/unique_fd.h"
#include "net/event_loop.h"
#include "net/loop_registration.h"

// Signals as events of the loop: SIGTERM and SIGINT request the end, SIGHUP a reload of the configuration.
namespace stonewing {

// Blocks the signals that a dispatcher handles as events; they stay pending until a SignalHandler reads them.
// To be called before the configuration is read: a reload requested earlier would end the process. Also
// ignores SIGPIPE and SIGXFSZ, so that a closed log or a full file is an error to handle and not the end.
void blockSignals();

// Remembers which signals have arrived. Lives on the event loop's thread; the loop must outlive it.
class SignalHandler : public EventHandler {
 public:
  // Blocks the signals and registers for them. Throws std::system_error where it cannot.
  explicit SignalHandler(EventLoop& loop);

  // Whether SIGTERM or SIGINT has ever arrived.
  bool isEndRequested() const { return endRequested_; }
  // Whether SIGHUP has arrived since the last call.
  bool takeReloadRequest();

  void onEvents(std::uint32_t events) override;

 private:
  UniqueFd descriptor_;            // the signals are read from it
  LoopRegistration registration_;  // ends before descriptor_ is closed
  bool endRequested_{false};
  bool reloadRequested_{false};
};

}  // namespace stonewing
