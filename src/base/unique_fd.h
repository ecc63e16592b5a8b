#pragma once

#include <unistd.h>

#include <utility>

namespace stonewing {

// Owns one file descriptor and closes it when it goes out of scope. Movable, not copyable; a moved-from
// object owns no descriptor. Not synchronised: threads may share an object only while none of them modifies
// it.
class UniqueFd {
 public:
  // Owns no descriptor.
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

  // Releases ownership without closing the descriptor; the caller owns it from then on.
  [[nodiscard]] int release() { return std::exchange(descriptor_, -1); }
  // Closes the owned descriptor, if any, and takes ownership of `descriptor` instead. Errors of close() are
  // not reported: the caller could not handle them, and the descriptor is released in any case.
  void reset(int descriptor = -1) {
    int previous = std::exchange(descriptor_, descriptor);
    if (previous >= 0) ::close(previous);
  }

 private:
  int descriptor_{-1};
};

}  // namespace stonewing
