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
  // `events` are epoll's (EPOLLIN and so on). They come once for each change, not for as long as a state
  // lasts: read and write until there is no more, or ask for another call with EventLoop::reschedule.
  virtual void onEvents(std::uint32_t events) = 0;
};

// A turn is one wait() and one dispatch(): the events of a turn are collected first and handed to their
// handlers after, so that all of them carry the same time.
class EventLoop {
 public:
  // Throws std::system_error where the kernel grants no epoll descriptor.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Registers `fd` for input, output and the end of the peer's side. The handler must live until unwatch, and
  // the descriptor is still its own to close. False where the kernel cannot register one more.
  [[nodiscard]] bool watch(int fd, EventHandler& handler);
  // Ends the registration, before the descriptor is closed. No event reaches the handler after it, those of
  // the current turn included. Nothing happens where there is no registration.
  void unwatch(int fd);
  // The handler has more to do than one turn's share: it is called again in the next turn.
  void reschedule(int fd);
  // Keeps a closed handler alive until the turn is over, since it may be in the middle of its own event.
  void deferDeletion(std::unique_ptr<EventHandler> handler) {
    deferredDeletions_.push_back(std::move(handler));
  }

  // Installs what is to be called where no descriptor is left; it returns true where it has closed one.
  void onDescriptorExhaustion(std::function<bool()> freeOne) { freeOneDescriptor_ = std::move(freeOne); }
  // Tries to free a descriptor. True: one was closed, and the caller may try again.
  bool freeDescriptor() { return freeOneDescriptor_ && freeOneDescriptor_(); }

  // Begins a turn: sleeps until `until` (of the steady clock), an event, or 50 ms have passed, collects all
  // events that have come, and sets now(). Throws std::system_error where epoll itself fails.
  void wait(Millis until);
  // Sets now() anew where more than `tolerance` has passed since it was set; returns whether it did. For
  // turns that take long.
  bool refreshTime(Millis tolerance);
  // Hands the collected events to their handlers.
  void dispatch();
  // The time of this turn, of the steady clock.
  Millis now() const { return now_; }
  // How long this turn's events may have waited because the process itself was stopped or starved; 0 where it
  // was not.
  Millis stalledFor() const { return stalledFor_; }

 private:
  // A descriptor and the serial number of its registration, in one word as epoll stores it. The kernel reuses
  // descriptors at once; without the serial, an old event would reach the new owner.
  using EventTag = std::uint64_t;
  struct Registration {
    EventHandler* handler{};
    std::uint32_t serial{};
  };
  struct PendingEvent {
    EventTag tag{};
    std::uint32_t events{};
  };

  static EventTag makeTag(int fd, std::uint32_t serial);
  void collectEvents(int timeoutMs);
  void deliver(EventTag tag, std::uint32_t events);

  UniqueFd epoll_;
  Millis now_;
  Millis turnBegan_;
  Millis stalledFor_{0};
  std::function<bool()> freeOneDescriptor_;
  std::uint32_t lastSerial_{0};
  std::unordered_map<int, Registration> registrations_;  // by descriptor
  std::vector<EventTag> rescheduled_;
  std::vector<PendingEvent> pendingEvents_;
  // Last, so that it is destroyed first: a handler's destructor may still call unwatch.
  std::vector<std::unique_ptr<EventHandler>> deferredDeletions_;
};

}  // namespace stonewing
