#include "storage/background_writer.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <system_error>
#include <utility>

namespace stonewing {

// Kept alive by the thread too: at the end of the process it may still hang in the kernel.
struct BackgroundWriter::Shared {
  std::mutex guard;
  std::condition_variable handed;
  std::condition_variable finished;
  std::function<void()> work;
  bool busy{false};
  bool missed{false};  // the loop has gone on without it
  bool ends{false};
  int wake{-1};

  ~Shared() {
    if (wake >= 0) ::close(wake);
  }
  void run() {
    std::unique_lock lock(guard);
    for (;;) {
      handed.wait(lock, [this] { return ends || work; });
      if (!work) return;
      std::function<void()> now = std::exchange(work, {});
      lock.unlock();
      now();
      now = {};
      lock.lock();
      busy = false;
      finished.notify_one();
      if (std::exchange(missed, false)) ::eventfd_write(wake, 1);
    }
  }
};

BackgroundWriter::BackgroundWriter() : shared_(std::make_shared<Shared>()) {
  shared_->wake = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (shared_->wake < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  // Signals are the loop's.
  sigset_t all, before;
  sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread([shared = shared_] { shared->run(); }).detach();
  ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

BackgroundWriter::~BackgroundWriter() {
  std::lock_guard lock(shared_->guard);
  shared_->ends = true;
  shared_->handed.notify_one();
}

void BackgroundWriter::submit(std::function<void()> work) {
  std::lock_guard lock(shared_->guard);
  shared_->work = std::move(work);
  shared_->busy = true;
  shared_->handed.notify_one();
}

bool BackgroundWriter::waitUntilDone(Millis patience) {
  std::unique_lock lock(shared_->guard);
  auto most = std::chrono::duration<double, std::milli>(patience);
  if (shared_->finished.wait_for(lock, most, [this] { return !shared_->busy; })) return true;
  shared_->missed = true;
  return false;
}

int BackgroundWriter::descriptor() const { return shared_->wake; }

}  // namespace stonewing
