#include "storage/journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>

namespace stonewing {
namespace {

// The next commit reuses a buffer of up to this size; the larger buffer of a burst is freed.
constexpr std::size_t kMaxReusedBufferBytes = 64 * 1024;
// Disk limits count whole blocks, so each of the two files may occupy up to one block more than its size.
constexpr std::size_t kDiskBlockBytes = 512;
// The timeout of one wait for a commit; commit() repeats the wait until the commit has ended.
constexpr Millis kCommitWaitMs = 1000;

std::size_t usableBytes(std::size_t maxBytes) {
  constexpr std::size_t kReserved = 2 * kDiskBlockBytes;
  return maxBytes - std::min(maxBytes, kReserved);
}

SharedFd openJournal(const std::string& path) {
  UniqueFd file(::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (!file) throw std::system_error(errno, std::generic_category(), "cannot open " + path);
  return std::make_shared<const UniqueFd>(std::move(file));
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t maxBytes, JournalWriter writer)
    : path_(folder + "/journal"), maxBytes_(usableBytes(maxBytes)), compaction_(path_ + ".new") {
  file_ = openJournal(path_);
  if (writer == JournalWriter::backgroundThread) writer_ = std::make_unique<BackgroundWriter>();
}

Journal::~Journal() {
  // A write that hangs still uses the compacted file, which must not be removed before the write has ended.
  if (pendingWrite_ && !isWritten(0)) return;
  abandonCompaction();
}

std::size_t Journal::replay(const std::function<void(std::string_view)>& visitRecord) {
  const JournalContents contents = scanJournal(file_->get(), path_, visitRecord);
  version_ = contents.version;
  writtenBytes_ = contents.readableBytes;
  const std::size_t tornBytes = contents.fileBytes - contents.readableBytes;
  if (tornBytes > 0 && ::ftruncate(file_->get(), static_cast<off_t>(contents.readableBytes)) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot truncate the incomplete record at the end of the journal");
  }
  return tornBytes;
}

bool Journal::append(std::string_view record) {
  bool isFirst = size() == 0;
  std::size_t headerBytes = isFirst ? kJournalHeaderBytes : 0;
  std::size_t sizeAfter = size() + headerBytes + kJournalFrameBytes + record.size();
  if (sizeAfter > maxBytes_) return false;
  // Accepted messages and their outcomes have priority over a compaction, which only saves space later. A
  // compaction whose bytes are being written at this moment cannot be abandoned.
  if (sizeAfter + compaction_.size() > maxBytes_ && !pendingWrite_) abandonCompaction();
  if (isFirst) collected_ = journalHeader();
  appendJournalFrame(collected_, version_, record);
  frameEnds_.push_back(collected_.size());
  return true;
}

void Journal::beginCommit() {
  std::string compactionFrames = compaction_.takeQueued();
  bool installs = compaction_.isInstallRequested();
  if (frameEnds_.empty() && compactionFrames.empty() && !installs) return;
  pendingWrite_ = std::make_shared<JournalWrite>();
  JournalWrite& write = *pendingWrite_;
  write.journal = file_;
  write.journalBytes = writtenBytes_;
  write.journalPath = path_;
  write.compaction = compaction_.file();
  write.compactionPath = compaction_.path();
  write.compactionFrames = std::move(compactionFrames);
  if (installs) {
    // Records written to the old file while the new file replaces it would be lost, so they wait for the next
    // commit.
    write.install = JournalWrite::Install::yes;
  } else {
    write.frames = std::exchange(collected_, {});
    write.frameEnds = std::exchange(frameEnds_, {});
  }
  if (writer_) {
    writer_->submit([shared = pendingWrite_] { shared->execute(); });
  } else {
    write.execute();
  }
}

bool Journal::isWritten(Millis timeout) {
  return !pendingWrite_ || !writer_ || writer_->waitUntilDone(timeout);
}

std::vector<std::size_t> Journal::finishCommit() {
  if (!pendingWrite_) return {};
  std::shared_ptr<JournalWrite> write = std::exchange(pendingWrite_, nullptr);
  if (write->failure) std::rethrow_exception(write->failure);
  if (!writer_) writingTime_ += write->spent;  // a background thread does not block the calling thread
  writtenBytes_ = write->journalBytes;
  if (collected_.empty() && write->frames.capacity() <= kMaxReusedBufferBytes) {
    collected_ = std::move(write->frames);
    collected_.clear();
  }
  bool installs = compaction_.takeInstallRequest();
  if (write->compactionResult == WriteResult::failed) {
    compactionFailed_ = true;
    abandonCompaction();
  } else if (installs) {
    adoptCompactedFile();
  }
  return std::move(write->lostFrames);
}

std::vector<std::size_t> Journal::commit() {
  beginCommit();
  while (!isWritten(kCommitWaitMs)) {
  }
  return finishCommit();
}

bool Journal::beginCompaction() {
  abandonCompaction();
  return compaction_.open() && appendToCompaction(journalHeader());
}

bool Journal::appendToCompaction(std::string_view frames) {
  bool fits = isCompacting() && size() + compaction_.size() + frames.size() <= maxBytes_;
  if (fits && writer_) {
    compaction_.queue(frames);
    return true;
  }
  if (fits) {
    TimedWrite outcome = compaction_.write(frames);
    if (outcome.result == WriteResult::complete) {
      writingTime_ += outcome.spent;
      return true;
    }
  }
  abandonCompaction();
  return false;
}

bool Journal::installCompaction() {
  if (!isCompacting() || !frameEnds_.empty()) {
    abandonCompaction();
    return false;
  }
  if (!writer_) return installNow();
  if (version_ == JournalVersion::second) {
    compaction_.requestInstall();
    return true;
  }
  // Records are framed in the version of the file that they are appended to, and replacing a file of the
  // first version changes that version. No record may be collected in between, so the replacement happens at
  // once.
  commit();
  return isCompacting() && installNow();
}

bool Journal::installNow() {
  if (std::rename(compaction_.path().c_str(), path_.c_str()) != 0) {
    abandonCompaction();
    return false;
  }
  adoptCompactedFile();
  version_ = JournalVersion::second;
  return true;
}

// Makes the compacted file, which now has the journal's name, the target of commits.
void Journal::adoptCompactedFile() {
  writtenBytes_ = compaction_.size();
  file_ = compaction_.takeInstalled();
}

void Journal::abandonCompaction() { compaction_.abandon(); }

std::size_t Journal::size() const {
  std::size_t pendingBytes = pendingWrite_ ? pendingWrite_->frames.size() : 0;
  return writtenBytes_ + collected_.size() + pendingBytes;
}

std::string Journal::framed(std::string_view record) {
  std::string frame;
  appendJournalFrame(frame, JournalVersion::second, record);
  return frame;
}

}  // namespace stonewing
