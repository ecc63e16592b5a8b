#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "net/loop.h"

namespace stonewing::lab {

// What is to be done when, on the loop's clock.
class Agenda {
 public:
  void at(Millis when, std::function<void()> what) {
    entries_.emplace(std::pair(when, turn_++), std::move(what));
  }
  Millis due() const { return entries_.empty() ? 1e15 : entries_.begin()->first.first; }
  void run(Millis now) {
    while (!entries_.empty() && entries_.begin()->first.first <= now) {
      auto what = std::move(entries_.begin()->second);
      entries_.erase(entries_.begin());
      what();
    }
  }

 private:
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> entries_;
  std::uint64_t turn_{0};
};

// The clock of one experiment: zero at its start.
struct Clock {
  const net::Loop& loop;
  Millis epoch{0};
  Millis now() const { return loop.now() - epoch; }
};

}  // namespace stonewing::lab
