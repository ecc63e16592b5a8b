#include "net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <system_error>

namespace stonewing {
namespace {

constexpr int kMaxEventsPerCall = 256;
constexpr int kMaxCallsPerTurn = 16;
// The longest sleep between two turns, in ms. A longer gap therefore means that the process did not run.
constexpr Millis kMaxSleepMs = 50;
// If more time than this, in ms, passes from the start of one turn to the start of the next, the process
// counts as stalled.
constexpr Millis kStallThresholdMs = 2 * kMaxSleepMs;

}  // namespace

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(steadyNow()), turnBegan_(now_) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::EventTag EventLoop::makeTag(int fd, std::uint32_t serial) {
  return std::uint64_t{serial} << 32 | static_cast<std::uint32_t>(fd);
}

bool EventLoop::watch(int fd, EventHandler& handler) {
  std::uint32_t serial = ++lastSerial_;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = makeTag(fd, serial);
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) return false;
  registrations_[fd] = {&handler, serial};
  return true;
}

void EventLoop::unwatch(int fd) {
  if (registrations_.erase(fd) > 0) epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::reschedule(int fd) {
  auto found = registrations_.find(fd);
  if (found == registrations_.end() || found->second.isRescheduled) return;
  found->second.isRescheduled = true;
  rescheduled_.push_back(makeTag(fd, found->second.serial));
}

void EventLoop::wait(Millis until) {
  deferredDeletions_.clear();
  Millis sleepMs = std::clamp(until - steadyNow(), 0.0, kMaxSleepMs);
  int timeoutMs = rescheduled_.empty() ? static_cast<int>(std::ceil(sleepMs)) : 0;
  collectEvents(timeoutMs);
  now_ = steadyNow();
  Millis sinceLastTurn = now_ - std::exchange(turnBegan_, now_);
  stalledFor_ = sinceLastTurn > kStallThresholdMs ? sinceLastTurn : 0;
  // A process that was stopped wakes early from its sleep. Events that have occurred meanwhile belong to this
  // turn too.
  if (stalledFor_ > 0) collectEvents(0);
}

bool EventLoop::refreshTime(Millis tolerance) {
  Millis current = steadyNow();
  if (current - now_ < tolerance) return false;
  now_ = current;
  return true;
}

// Collects all events that have occurred, in up to kMaxCallsPerTurn calls of epoll_wait. With a part of the
// events, the decisions of the turn would be made on incomplete information.
void EventLoop::collectEvents(int timeoutMs) {
  for (int call = 0; call < kMaxCallsPerTurn; ++call) {
    std::array<epoll_event, kMaxEventsPerCall> events;
    int count = epoll_wait(epoll_.get(), events.data(), kMaxEventsPerCall, timeoutMs);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      pendingEvents_.push_back({event.data.u64, event.events});
    }
    if (count < kMaxEventsPerCall) return;
    timeoutMs = 0;
  }
}

void EventLoop::dispatch() {
  // Both lists are emptied first, since a handler may reschedule itself for the next turn.
  for (EventTag tag : std::exchange(rescheduled_, {})) {
    if (Registration* registration = find(tag)) registration->isRescheduled = false;
    deliver(tag, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
  }
  for (auto [tag, events] : std::exchange(pendingEvents_, {})) deliver(tag, events);
}

// Null if the registration has ended, even if its descriptor number is in use again.
EventLoop::Registration* EventLoop::find(EventTag tag) {
  auto found = registrations_.find(static_cast<int>(tag & 0xffffffffu));
  if (found == registrations_.end() || found->second.serial != tag >> 32) return nullptr;
  return &found->second;
}

void EventLoop::deliver(EventTag tag, std::uint32_t events) {
  if (Registration* registration = find(tag)) registration->handler->onEvents(events);
}

}  // namespace stonewing
