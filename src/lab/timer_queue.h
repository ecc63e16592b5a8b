#pragma once

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <system_error>
#include <utility>

#include "net/event_loop.h"

namespace stonewing::lab {

// Actions by the time when they are due, in ms of the loop's clock. Actions that are due at the same time run
// in the order in which they were scheduled.
class TimerQueue {
 public:
  void schedule(Millis when, std::function<void()> action) {
    entries_.emplace(std::pair(when, sequence_++), std::move(action));
  }
  // When the next action is due; 1e15 if there is none.
  Millis nextDue() const { return entries_.empty() ? 1e15 : entries_.begin()->first.first; }
  // Runs all actions that are due by now, those too that an action schedules.
  void runDue(Millis now) {
    while (!entries_.empty() && entries_.begin()->first.first <= now) {
      auto action = std::move(entries_.begin()->second);
      entries_.erase(entries_.begin());
      action();
    }
  }

 private:
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> entries_;
  std::uint64_t sequence_{0};
};

// Wakes the loop with the precision of a microsecond. The loop itself sleeps in whole milliseconds, and
// emulated endpoints that are up to 1 ms late at each step have a tenth less capacity than the experiment
// states. The constructor throws std::system_error.
class PreciseTimer : public EventHandler {
 public:
  explicit PreciseTimer(EventLoop& loop)
      : loop_(loop), fd_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (fd_ < 0 || !loop.watch(fd_, *this))
      throw std::system_error(errno, std::generic_category(), "timerfd");
  }
  ~PreciseTimer() override {
    loop_.unwatch(fd_);
    ::close(fd_);
  }
  void onEvents(std::uint32_t) override {
    std::uint64_t times = 0;
    (void)!::read(fd_, &times, sizeof times);
  }
  // Runs one turn of the loop and then the timers that are due; waits until the next event or timer.
  void runOnce(TimerQueue& timers) {
    Millis due = timers.nextDue();
    if (due != armedFor_ && due < 1e14) {
      Millis at = std::max(due, 0.001);
      itimerspec when{};
      when.it_value.tv_sec = static_cast<time_t>(at / 1000);
      when.it_value.tv_nsec = static_cast<long>(std::fmod(at, 1000) * 1e6);
      ::timerfd_settime(fd_, TFD_TIMER_ABSTIME, &when, nullptr);
      armedFor_ = due;
    }
    loop_.wait(due <= steadyNow() ? 0 : due + 1);
    loop_.dispatch();
    timers.runDue(loop_.now());
  }

 private:
  EventLoop& loop_;
  int fd_;
  Millis armedFor_{-1};
};

// The clock of one experiment: zero at its start.
struct ExperimentClock {
  const EventLoop& loop;
  Millis epoch{0};
  Millis now() const { return loop.now() - epoch; }
};

}  // namespace stonewing::lab
