#pragma once

#include <functional>
#include <memory>

#include "base/ids.h"

namespace stonewing {

// A thread that runs one piece of work at a time for the event loop, so that a file system that hangs does
// not hang the loop. The work is handed over with submit() and waited for with waitUntilDone(); where that
// gave up, a descriptor becomes readable once the work has ended.
//
// All public functions are for the owner's thread. What both threads touch is BackgroundWriter::Shared.
class BackgroundWriter {
 public:
  // Throws std::system_error where no descriptor or no thread can be had.
  BackgroundWriter();
  // Waits for nothing: work that hangs in the kernel is left to the end of the process.
  ~BackgroundWriter();
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  // Runs `work` on the thread. Earlier work must have ended. `work` must not throw, and must own all that it
  // touches, since it may outlive the caller.
  void submit(std::function<void()> work);
  // Whether the submitted work has ended; waits up to `timeout` milliseconds for that.
  bool waitUntilDone(Millis timeout);
  // An eventfd, owned by this object: readable once work has ended for which waitUntilDone() waited in vain.
  int descriptor() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace stonewing
