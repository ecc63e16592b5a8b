#pragma once

namespace stonewing {

class EventHandler;
class EventLoop;

// Owns a descriptor together with its registration in the event loop: close() ends the registration before it
// closes the descriptor. An object constructed without a descriptor holds none. The destructor closes the
// descriptor that the object holds. The loop must outlive the object.
class WatchedDescriptor {
 public:
  explicit WatchedDescriptor(EventLoop& loop, int fd = -1) : loop_(loop), fd_(fd) {}
  ~WatchedDescriptor() { close(); }
  WatchedDescriptor(const WatchedDescriptor&) = delete;
  WatchedDescriptor& operator=(const WatchedDescriptor&) = delete;

  // Closes the present descriptor and takes ownership of `fd` (-1: none).
  void reset(int fd);
  // Registers the descriptor, which must be open, with the event loop. False if the kernel cannot register
  // one more.
  [[nodiscard]] bool watch(EventHandler& handler);
  // Has the handler called again in the next turn.
  void reschedule();
  // Ends the registration, if any, and closes the descriptor, if it is open.
  void close();

  bool isOpen() const { return fd_ >= 0; }
  // The descriptor, which this object still owns; -1 if it is closed.
  int get() const { return fd_; }

 private:
  EventLoop& loop_;
  int fd_;
};

}  // namespace stonewing
