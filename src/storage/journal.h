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

// An append-only file of records that outlives the process (journal_format.h has its bytes). Records are
// collected by append() and written by one commit; a commit is begun, waited for and finished, so that a
// folder that hangs need not stop the caller. A compaction replaces the file by a shorter one with the same
// meaning, in as many steps as the owner likes.
//
// A kill at any moment leaves a file whose whole records are those of some prefix of the commits; an
// incomplete last record is removed by the next replay. There is no fsync(): a crash of the machine may lose
// more.
//
// All functions are for one thread. With JournalWriter::backgroundThread the write() calls of commits are
// made by a BackgroundWriter instead, which holds the whole of its work in a JournalWrite.
class Journal {
 public:
  // Opens or creates the file "journal" in `folder`. `maxBytes` bounds this file and a compacted one
  // together. Throws std::system_error where the folder cannot be used or no thread can be had.
  Journal(const std::string& folder, std::size_t maxBytes,
          JournalWriter writer = JournalWriter::callingThread);
  // Waits for nothing: a commit that hangs keeps its files open, and the process is about to end.
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Calls `visitRecord` for all records in the order of their append; to be called once, before anything is
  // appended. An incomplete record at the end is cut off; returns the bytes of it. The view is valid during
  // the call only. Throws JournalError, and leaves the file alone, where it is of an unknown version, and
  // std::system_error where it cannot be read or cut.
  std::size_t replay(const std::function<void(std::string_view)>& visitRecord);

  // Collects a record for the next commit. False: it does not fit into maxBytes, and is not collected. Ends a
  // compaction whose file stands in its way.
  [[nodiscard]] bool append(std::string_view record);

  // Begins to write all that was collected. No commit may be in progress.
  void beginCommit();
  // Whether no write is in progress any more; waits up to `timeout` milliseconds for that.
  bool isWritten(Millis timeout);
  // Ends a commit for which isWritten() was true. Returns the places, in the order of append, of the records
  // that could not be written; the file holds the others, whole and in order. Throws std::system_error where
  // a record that was written in part cannot be removed.
  std::vector<std::size_t> finishCommit();
  // The three together, however long it takes.
  std::vector<std::size_t> commit();
  bool isCommitting() const { return pendingWrite_ != nullptr; }
  // Becomes readable once a write ended for which isWritten() had waited in vain; -1 without a thread. Owned
  // by the journal.
  int descriptor() const { return writer_ ? writer_->descriptor() : -1; }

  // The steps of a compaction. Commits go to the journal as ever meanwhile, and a kill at any step leaves
  // either the old file or the new one. Each returns false where it could not be done; the compaction is then
  // abandoned and the journal as it was. With a background thread the bytes are written by the next commit,
  // and takeCompactionFailure() tells after that whether it succeeded.

  // Begins with an empty file; an unfinished compaction is abandoned. No commit may be in progress.
  bool beginCompaction();
  // Appends records in the frames that framed() gives them.
  bool appendToCompaction(std::string_view frames);
  // Replaces the journal by the compacted file, at once or with the next commit. Nothing may be collected
  // that was not committed.
  bool installCompaction();
  void abandonCompaction();
  bool isCompacting() const { return compaction_.isOpen(); }
  // Whether the next commit replaces the journal; it writes none of the collected records then.
  bool isInstallingCompaction() const { return compaction_.isInstallRequested(); }
  // Whether a compaction failed in a commit since this was called last.
  bool takeCompactionFailure() { return std::exchange(compactionFailed_, false); }
  std::size_t compactedSize() const { return compaction_.size(); }  // bytes; 0: no compaction is in progress

  // Milliseconds that write() calls have held up the calling thread so far. A slow folder does so without
  // using processor time.
  Millis writingTime() const { return writingTime_; }
  // Bytes of the file once all that was collected is written.
  std::size_t size() const;
  // The limit on the journal and a compacted file together, without the part of a last disk block.
  std::size_t maxBytes() const { return maxBytes_; }
  // A record in its frame, in the version that new files have.
  static std::string framed(std::string_view record);

 private:
  bool installNow();
  void adoptCompactedFile();

  std::string path_;
  std::size_t maxBytes_;
  SharedFd file_;
  std::size_t writtenBytes_{0};         // of the file; a commit in progress does not count yet
  std::string collected_;               // whole frames for the next commit
  std::vector<std::size_t> frameEnds_;  // of each frame in collected_
  JournalVersion version_{JournalVersion::second};
  JournalCompaction compaction_;
  bool compactionFailed_{false};
  Millis writingTime_{0};
  std::shared_ptr<JournalWrite> pendingWrite_;  // shared with the background thread; null: no commit
  std::unique_ptr<BackgroundWriter> writer_;    // null: the calling thread writes
};

}  // namespace stonewing
