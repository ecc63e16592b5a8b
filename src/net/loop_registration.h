#pragma once

#include <cerrno>
#include <system_error>

#include "net/event_loop.h"

namespace stonewing {

// Registers a descriptor with the event loop for as long as this object lives. The loop, the handler and the
// descriptor must outlive this object, which does not close the descriptor.
class LoopRegistration {
 public:
  // Throws std::system_error if the kernel cannot register one more descriptor.
  LoopRegistration(EventLoop& loop, int descriptor, EventHandler& handler)
      : loop_(loop), descriptor_(descriptor) {
    if (!loop_.watch(descriptor_, handler))
      throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  ~LoopRegistration() { loop_.unwatch(descriptor_); }
  LoopRegistration(const LoopRegistration&) = delete;
  LoopRegistration& operator=(const LoopRegistration&) = delete;

 private:
  EventLoop& loop_;
  int descriptor_;
};

}  // namespace stonewing
