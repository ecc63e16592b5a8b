#pragma once

#include <unistd.h>

#include <utility>

namespace stonewing {

// Owns one file descriptor and closes it when it goes out of scope. Movable, not copyable; a moved-from
// object owns nothing. Not synchronised: two threads may share one only while neither changes it.
class UniqueFd {
 public:
  // Owns nothing.
  UniqueFd() = default;
  // Takes ownership of `descriptor`; a negative one, as a failed open() returns it, means none.
  explicit UniqueFd(int descriptor) : descriptor_(descriptor) {}
  ~UniqueFd() { reset(); }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  UniqueFd(UniqueFd&& other) noexcept : descriptor_(other.release()) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) reset(other.release());
    return *this;
  }

  // The descriptor, for system calls; -1 where there is none. Valid for as long as this object owns it.
  int get() const { return descriptor_; }
  // Whether a descriptor is owned.
  explicit operator bool() const { return descriptor_ >= 0; }

  // Gives the descriptor up without closing it; the caller owns it from now on.
  [[nodiscard]] int release() { return std::exchange(descriptor_, -1); }
  // Closes the owned descriptor, if any, and takes ownership of `descriptor` instead. Errors of close() are
  // not reported: nothing can be done about them, and the descriptor is gone all the same.
  void reset(int descriptor = -1) {
    int previous = std::exchange(descriptor_, descriptor);
    if (previous >= 0) ::close(previous);
  }

 private:
  int descriptor_{-1};
};

}  // namespace stonewing
