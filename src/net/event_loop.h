#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/unique_fd.h"
#include "net/address.h"
#include "net/buffers.h"
#include "net/clock.h"

// The event loop: edge-triggered epoll on one thread. Handlers are called on the thread that calls
// dispatch(), and no part of the loop may be used from another.
namespace stonewing {

// Receives the events of a descriptor that it has registered with EventLoop::watch.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  // `events` are epoll's (EPOLLIN and so on). They are edge-triggered: reported once for each change, not for
  // as long as a state lasts. So a handler reads and writes until the socket would block, or requests another
  // call with EventLoop::reschedule.
  virtual void onEvents(std::uint32_t events) = 0;
};

// A turn is one wait() and one dispatch(). The events of a turn are all collected before the first one is
// passed to its handler, so that all of them have the same time.
class EventLoop {
 public:
  // Throws std::system_error if the epoll descriptor cannot be created.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Registers `fd` for input, output and the end of the peer's side. The handler must outlive the
  // registration, and the caller remains the owner of the descriptor. False if the kernel cannot register one
  // more.
  [[nodiscard]] bool watch(int fd, EventHandler& handler);
  // Ends the registration; to be called before the descriptor is closed. The handler gets no further events,
  // not even those already collected for the current turn. Has no effect if there is no registration.
  void unwatch(int fd);
  // Calls the handler again in the next turn, for a handler that has not finished its work in this one.
  // Further calls in the same turn have no effect.
  void reschedule(int fd);
  // Destroys a closed handler only after the turn, since it may be in the middle of its own event.
  void deferDeletion(std::unique_ptr<EventHandler> handler) {
    deferredDeletions_.push_back(std::move(handler));
  }

  // Sets the function that is called when the process has no descriptor left. It returns true if it has
  // closed one.
  void setDescriptorExhaustionHandler(std::function<bool()> freeOne) {
    descriptorExhaustionHandler_ = std::move(freeOne);
  }
  // Calls that function. True: a descriptor was closed, and the caller may try again to open one.
  bool tryFreeDescriptor() { return descriptorExhaustionHandler_ && descriptorExhaustionHandler_(); }

  // Begins a turn: sleeps until `until` (steady clock), an event occurs or 50 ms have passed, collects all
  // events that have occurred, and sets now(). Throws std::system_error if epoll_wait fails.
  void wait(Millis until);
  // Sets now() again if at least `tolerance` has passed since it was set, and returns whether it did. Used
  // in turns that take long.
  bool refreshTime(Millis tolerance);
  // Passes the collected events to their handlers.
  void dispatch();
  // The time of this turn (steady clock).
  Millis now() const { return now_; }
  // How long this turn's events may have waited because the process itself was stopped or got no processor
  // time; 0 if it was not.
  Millis stalledFor() const { return stalledFor_; }

 private:
  // A descriptor and the serial number of its registration, in one integer as epoll stores it. The kernel
  // reuses descriptor numbers at once; without the serial number, an old event would reach the handler of the
  // new descriptor.
  using EventTag = std::uint64_t;
  struct Registration {
    EventHandler* handler{};
    std::uint32_t serial{};
    bool isRescheduled{false};  // it is in rescheduled_
  };
  struct PendingEvent {
    EventTag tag{};
    std::uint32_t events{};
  };

  static EventTag makeTag(int fd, std::uint32_t serial);
  void collectEvents(int timeoutMs);
  Registration* find(EventTag tag);
  void deliver(EventTag tag, std::uint32_t events);

  UniqueFd epoll_;
  Millis now_;
  Millis turnBegan_;
  Millis stalledFor_{0};
  std::function<bool()> descriptorExhaustionHandler_;
  std::uint32_t lastSerial_{0};
  std::unordered_map<int, Registration> registrations_;  // by descriptor
  std::vector<EventTag> rescheduled_;
  std::vector<PendingEvent> pendingEvents_;
  // The last member, so that it is destroyed first: a handler's destructor may still call unwatch.
  std::vector<std::unique_ptr<EventHandler>> deferredDeletions_;
};

}  // namespace stonewing
