#pragma once

#include <functional>
#include <memory>

#include "base/ids.h"

namespace stonewing {

// A thread that runs one piece of work at a time for the event loop, so that a file system that hangs does
// not block the loop. submit() starts the work, and waitUntilDone() waits for its end. After a wait that
// timed out, a descriptor becomes readable once the work has ended.
//
// All public functions must be called on the owner's thread. BackgroundWriter::Shared holds the state that
// both threads use.
class BackgroundWriter {
 public:
  // Throws std::system_error if the eventfd or the thread cannot be created.
  BackgroundWriter();
  // Does not wait for the thread: work that hangs in the kernel is abandoned and ends with the process.
  ~BackgroundWriter();
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  // Runs `work` on the thread. Earlier work must have ended. `work` must not throw. It must own all objects
  // that it uses, since it may run after its caller was destroyed.
  void submit(std::function<void()> work);
  // Returns whether the submitted work has ended; waits up to `timeout` milliseconds for its end.
  bool waitUntilDone(Millis timeout);
  // An eventfd, owned by this object. It becomes readable when work ends for which waitUntilDone() timed out.
  int descriptor() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace stonewing
