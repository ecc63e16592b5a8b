#pragma once

#include <cstdint>

#include "base/unique_fd.h"
#include "net/event_loop.h"
#include "net/loop_registration.h"

// Handles signals as events of the loop: SIGTERM and SIGINT request the shutdown, SIGHUP a reload of the
// configuration.
namespace stonewing {

// Blocks the signals that a dispatcher handles as events; they stay pending until a SignalHandler reads them.
// To be called before the configuration is read: a SIGHUP that arrives before this call terminates the
// process. Also ignores SIGPIPE and SIGXFSZ, so that writing to a closed log or beyond the file size limit
// returns an error instead of terminating the process.
void blockSignals();

// Records which signals have arrived. Used on the event loop's thread only; the loop must outlive this
// object.
class SignalHandler : public EventHandler {
 public:
  // Blocks the signals and registers a signalfd for them with the loop. Throws std::system_error if that
  // fails.
  explicit SignalHandler(EventLoop& loop);

  // Whether SIGTERM or SIGINT has ever arrived.
  bool isShutdownRequested() const { return shutdownRequested_; }
  // Whether SIGHUP has arrived since the last call.
  bool takeReloadRequest();

  void onEvents(std::uint32_t events) override;

 private:
  UniqueFd descriptor_;            // the signalfd
  LoopRegistration registration_;  // below descriptor_, so that it ends before descriptor_ is closed
  bool shutdownRequested_{false};
  bool reloadRequested_{false};
};

}  // namespace stonewing
