#include "storage/background_writer.h"

#include <signal.h>
#include <sys/eventfd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

#include "base/unique_fd.h"

namespace stonewing {
namespace {

// Blocks all signals on the current thread while it exists. A thread that is started meanwhile inherits the
// mask, so that signals reach only the event loop's thread.
class BlockedSignals {
 public:
  BlockedSignals() {
    sigset_t all;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &previous_);
  }
  ~BlockedSignals() { ::pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

 private:
  sigset_t previous_;
};

UniqueFd createEvent() {
  UniqueFd event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!event) throw std::system_error(errno, std::generic_category(), "eventfd");
  return event;
}

}  // namespace

// The state that the owner's thread and the background thread share. The background thread holds a shared_ptr
// to it: at the end of the process the thread may still hang in the kernel after the BackgroundWriter was
// destroyed. `mutex` guards every member below it; `wakeUp` never changes after construction.
struct BackgroundWriter::Shared {
  const UniqueFd wakeUp = createEvent();
  std::condition_variable submitted;  // the owner notifies: work was set, or stopping
  std::condition_variable finished;   // the thread notifies: busy became false

  std::mutex mutex;
  std::function<void()> work;  // set by the owner, removed by the thread
  bool busy{false};            // set by the owner with the work, cleared by the thread after it
  bool waitTimedOut{false};    // set by the owner when its wait timed out, cleared by the thread
  bool stopping{false};        // set by the owner's destructor

  void run();
};

// The loop of the background thread. Returns once the owner is destroyed and no work is left.
void BackgroundWriter::Shared::run() {
  std::unique_lock lock(mutex);
  for (;;) {
    submitted.wait(lock, [this] { return stopping || work; });
    if (!work) return;
    std::function<void()> current = std::exchange(work, {});
    lock.unlock();
    current();
    current = {};  // destroys the objects of the work before the owner is notified
    lock.lock();
    busy = false;
    finished.notify_one();
    if (std::exchange(waitTimedOut, false)) ::eventfd_write(wakeUp.get(), 1);
  }
}

BackgroundWriter::BackgroundWriter() : shared_(std::make_shared<Shared>()) {
  BlockedSignals blockedForNewThread;
  std::thread([shared = shared_] { shared->run(); }).detach();
}

BackgroundWriter::~BackgroundWriter() {
  std::lock_guard lock(shared_->mutex);
  shared_->stopping = true;
  shared_->submitted.notify_one();
}

void BackgroundWriter::submit(std::function<void()> work) {
  std::lock_guard lock(shared_->mutex);
  shared_->work = std::move(work);
  shared_->busy = true;
  shared_->submitted.notify_one();
}

bool BackgroundWriter::waitUntilDone(Millis timeout) {
  std::unique_lock lock(shared_->mutex);
  std::chrono::duration<double, std::milli> limit(timeout);
  if (shared_->finished.wait_for(lock, limit, [this] { return !shared_->busy; })) return true;
  shared_->waitTimedOut = true;
  return false;
}

int BackgroundWriter::descriptor() const { return shared_->wakeUp.get(); }

}  // namespace stonewing
