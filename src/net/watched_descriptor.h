#pragma once

namespace stonewing {

class EventHandler;
class EventLoop;

// Owns a descriptor together with its registration in the event loop: closing it ends the registration first.
// Closed by default, and by its destructor. The loop must outlive it.
class WatchedDescriptor {
 public:
  explicit WatchedDescriptor(EventLoop& loop, int fd = -1) : loop_(loop), fd_(fd) {}
  ~WatchedDescriptor() { close(); }
  WatchedDescriptor(const WatchedDescriptor&) = delete;
  WatchedDescriptor& operator=(const WatchedDescriptor&) = delete;

  // Takes ownership of `fd` (-1: none) and closes the one before it.
  void reset(int fd);
  // Registers the descriptor, which must be open. False where the kernel cannot register one more.
  [[nodiscard]] bool watch(EventHandler& handler);
  // The handler is called again in the next turn.
  void reschedule();
  // Ends the registration, if any, and closes the descriptor, if it is open.
  void close();

  bool isOpen() const { return fd_ >= 0; }
  // The descriptor, still owned here; -1 where it is closed.
  int get() const { return fd_; }

 private:
  EventLoop& loop_;
  int fd_;
};

}  // namespace stonewing
