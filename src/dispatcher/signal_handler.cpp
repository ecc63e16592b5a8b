#include "dispatcher/signal_handler.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace stonewing {
namespace {

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  return signals;
}

UniqueFd openSignalDescriptor() {
  blockSignals();
  sigset_t signals = handledSignals();
  UniqueFd descriptor(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!descriptor) throw std::system_error(errno, std::generic_category(), "signalfd");
  return descriptor;
}

}  // namespace

void blockSignals() {
  ::signal(SIGPIPE, SIG_IGN);  // the process that reads the log may exit
  ::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit is handled as an error
  sigset_t signals = handledSignals();
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

SignalHandler::SignalHandler(EventLoop& loop)
    : descriptor_(openSignalDescriptor()), registration_(loop, descriptor_.get(), *this) {}

bool SignalHandler::takeReloadRequest() { return std::exchange(reloadRequested_, false); }

void SignalHandler::onEvents(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(descriptor_.get(), &info, sizeof info) == sizeof info) {
    if (info.ssi_signo == static_cast<std::uint32_t>(SIGHUP)) {
      reloadRequested_ = true;
    } else {
      shutdownRequested_ = true;
    }
  }
}

}  // namespace stonewing
