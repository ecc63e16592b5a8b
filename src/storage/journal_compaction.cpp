#include "storage/journal_compaction.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "base/release_memory.h"

namespace stonewing {

JournalCompaction::JournalCompaction(std::string path) : path_(std::move(path)) { ::unlink(path_.c_str()); }

bool JournalCompaction::open() {
  UniqueFd file(::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
  if (!file) return false;
  file_ = std::make_shared<const UniqueFd>(std::move(file));
  return true;
}

void JournalCompaction::abandon() {
  if (!isOpen()) return;
  file_.reset();
  ::unlink(path_.c_str());
  size_ = 0;
  releaseMemory(queued_);
  installRequested_ = false;
}

TimedWrite JournalCompaction::write(std::string_view frames) {
  TimedWrite outcome = writeAll(file_->get(), frames);
  if (outcome.result == WriteResult::complete) size_ += frames.size();
  return outcome;
}

void JournalCompaction::queue(std::string_view frames) {
  queued_ += frames;
  size_ += frames.size();
}

std::string JournalCompaction::takeQueued() { return std::exchange(queued_, {}); }

bool JournalCompaction::takeInstallRequest() { return std::exchange(installRequested_, false); }

SharedFd JournalCompaction::takeInstalled() {
  size_ = 0;
  return std::exchange(file_, nullptr);
}

}  // namespace stonewing
