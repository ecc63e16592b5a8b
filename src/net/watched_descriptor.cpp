#include "net/watched_descriptor.h"

#include <unistd.h>

#include <utility>

#include "net/event_loop.h"

namespace stonewing {

void WatchedDescriptor::reset(int fd) {
  close();
  fd_ = fd;
}

bool WatchedDescriptor::watch(EventHandler& handler) { return loop_.watch(fd_, handler); }

void WatchedDescriptor::reschedule() { loop_.reschedule(fd_); }

void WatchedDescriptor::close() {
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
}

}  // namespace stonewing
