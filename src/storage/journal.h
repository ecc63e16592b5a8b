#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "storage/background_writer.h"
#include "storage/journal_compaction.h"
#include "storage/journal_format.h"
#include "storage/journal_write.h"

namespace stonewing {

// Which thread makes the write() calls of a journal.
enum class JournalWriter { callingThread, backgroundThread };

// An append-only file of records that outlives the process (journal_format.h defines its bytes). append()
// collects records, and a commit writes them. The beginning, the wait and the end of a commit are separate
// calls, so that a folder that hangs does not block the caller. A compaction replaces the file by a shorter
// one with the same meaning, in as many steps as the owner chooses.
//
// If the process is killed at any moment, the whole records in the file are those of a prefix of the commits.
// An incomplete last record is removed by the next replay. There is no fsync(): a crash of the machine may
// lose more.
//
// All functions must be called on one thread. With JournalWriter::backgroundThread, a BackgroundWriter makes
// the write() calls of commits; each of its tasks owns all it needs in a JournalWrite.
class Journal {
 public:
  // Opens or creates the file "journal" in `folder`. `maxBytes` limits the total size of this file and a
  // compacted one. Throws std::system_error if the folder cannot be used or the thread cannot be created.
  Journal(const std::string& folder, std::size_t maxBytes,
          JournalWriter writer = JournalWriter::callingThread);
  // Does not wait for a commit that hangs: the commit keeps its files open, and the process is about to end.
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Calls `visitRecord` for all records in the order in which they were appended. Must be called once, before
  // anything is appended. Removes an incomplete record at the end of the file, and returns its length in
  // bytes. The view is valid during the call only. Throws JournalError, and leaves the file unchanged, if the
  // file has an unknown version. Throws std::system_error if the file cannot be read or truncated.
  std::size_t replay(const std::function<void(std::string_view)>& visitRecord);

  // Collects a record for the next commit. Returns false, and collects nothing, if the record does not fit
  // into maxBytes. Abandons a compaction if its file takes the space that the record needs.
  [[nodiscard]] bool append(std::string_view record);

  // Begins to write all collected records. No commit may be in progress.
  void beginCommit();
  // Returns whether no write is in progress any more; waits up to `timeout` milliseconds for that.
  bool isWritten(Millis timeout);
  // Ends a commit for which isWritten() returned true. Returns the indexes, in the order of append(), of the
  // records that could not be written; the file holds all other records, whole and in order. Throws
  // std::system_error if a partially written record cannot be removed.
  std::vector<std::size_t> finishCommit();
  // Begins a commit, waits for it without a time limit, and ends it.
  std::vector<std::size_t> commit();
  bool isCommitting() const { return pendingWrite_ != nullptr; }
  // An eventfd, owned by the journal, that becomes readable when a write ends after isWritten() timed out; -1
  // without a background thread.
  int descriptor() const { return writer_ ? writer_->descriptor() : -1; }

  // The steps of a compaction. Meanwhile commits still append to the journal, and a kill at any step leaves
  // either the old file or the new one. A step that fails returns false; the compaction is then abandoned,
  // and the journal is unchanged. With a background thread, the next commit writes the bytes, and after that
  // commit takeCompactionFailure() returns whether this failed.

  // Begins with an empty compacted file. An unfinished compaction is abandoned. No commit may be in progress.
  bool beginCompaction();
  // Appends records that were framed by framed().
  bool appendToCompaction(std::string_view frames);
  // Replaces the journal by the compacted file, at once or with the next commit. All collected records must
  // have been committed before.
  bool installCompaction();
  void abandonCompaction();
  bool isCompacting() const { return compaction_.isOpen(); }
  // Whether the next commit replaces the journal. Such a commit writes none of the collected records.
  bool isInstallingCompaction() const { return compaction_.isInstallRequested(); }
  // Returns whether a compaction failed in a commit since the last call, and clears that state.
  bool takeCompactionFailure() { return std::exchange(compactionFailed_, false); }
  std::size_t compactedSize() const {
    return compaction_.size();
  }  // in bytes; 0 if no compaction is in progress

  // Milliseconds for which write() calls have blocked the calling thread so far. A slow folder blocks without
  // using processor time.
  Millis writingTime() const { return writingTime_; }
  // Size of the file in bytes once all collected records are written.
  std::size_t size() const;
  // The limit on the total size of the journal and a compacted file, in bytes, reduced by the partial last
  // disk block of each.
  std::size_t maxBytes() const { return maxBytes_; }
  // Returns the record in its frame, in the version that new files have.
  static std::string framed(std::string_view record);

 private:
  bool installNow();
  void adoptCompactedFile();

  std::string path_;
  std::size_t maxBytes_;
  SharedFd file_;
  std::size_t writtenBytes_{0};         // size of the file without a commit in progress
  std::string collected_;               // whole frames for the next commit
  std::vector<std::size_t> frameEnds_;  // end offset of each frame in collected_
  JournalVersion version_{JournalVersion::second};
  JournalCompaction compaction_;
  bool compactionFailed_{false};
  Millis writingTime_{0};
  std::shared_ptr<JournalWrite> pendingWrite_;  // shared with the background thread; null without a commit
  std::unique_ptr<BackgroundWriter> writer_;    // null if the calling thread writes
};

}  // namespace stonewing
