#pragma once

#include <cstddef>

namespace stonewing {

// The memory that several objects of one kind may occupy together. The objects report each change; what is
// done about a budget that is exceeded is theirs to decide. Not thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limitBytes) : limitBytes_(limitBytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // The memory of one object was `before` bytes, and is `after` bytes now.
  void change(std::size_t before, std::size_t after) {
    usedBytes_ -= before;
    usedBytes_ += after;
  }
  bool isExceeded() const { return usedBytes_ > limitBytes_; }
  std::size_t usedBytes() const { return usedBytes_; }

 private:
  std::size_t limitBytes_;
  std::size_t usedBytes_{0};
};

}  // namespace stonewing
