#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "base/ids.h"

namespace stonewing {

// A thread that does one thing at a time for the loop, so that a folder that hangs does not hold the loop up.
// Where a thing took longer than the loop would wait for it, a descriptor becomes readable at its end.
class BackgroundWriter {
 public:
  // Throws std::system_error where there is no descriptor or thread to be had.
  BackgroundWriter();
  // Waits for nothing: what hangs in the kernel is left behind.
  ~BackgroundWriter();
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  // Nothing may be under way. The work must own all that it touches.
  void submit(std::function<void()> work);
  // Whether what was handed is done; waits for so long, in milliseconds.
  bool waitUntilDone(Millis patience);
  int descriptor() const;  // readable once something that was waited for in vain is done

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace stonewing
