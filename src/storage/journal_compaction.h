#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "storage/journal_write.h"

namespace stonewing {

// The compacted file ("journal.new"), which is written next to the journal until it replaces the journal.
// Owned by a Journal, which decides what is written to it and when; used on the loop's thread only.
class JournalCompaction {
 public:
  // Removes a compacted file that an earlier process left behind: the journal still holds all records.
  explicit JournalCompaction(std::string path);

  // Creates the file, empty. No compaction may be in progress. Returns false if the file could not be
  // created.
  [[nodiscard]] bool open();
  bool isOpen() const { return file_ != nullptr; }
  // Ends the compaction without a result, and removes the file. Does nothing if no compaction is in progress.
  void abandon();

  // Writes frames immediately, on the calling thread.
  TimedWrite write(std::string_view frames);
  // Queues frames for the next commit. size() includes them from now on.
  void queue(std::string_view frames);
  // Returns the queued frames and empties the queue.
  std::string takeQueued();

  // Makes the next commit replace the journal by this file. That commit writes nothing else.
  void requestInstall() { installRequested_ = true; }
  bool isInstallRequested() const { return installRequested_; }
  // Clears the request, and returns whether there was one.
  bool takeInstallRequest();

  // Ends the compaction after the file was renamed to the journal's name, and transfers its descriptor to the
  // caller.
  SharedFd takeInstalled();

  const SharedFd& file() const { return file_; }  // null if no compaction is in progress
  const std::string& path() const { return path_; }
  std::size_t size() const { return size_; }  // in bytes, including the queued ones

 private:
  std::string path_;
  SharedFd file_;
  std::size_t size_{0};
  std::string queued_;
  bool installRequested_{false};
};

}  // namespace stonewing
