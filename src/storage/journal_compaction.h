#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "storage/journal_write.h"

namespace stonewing {

// The compacted journal that is written next to the journal ("journal.new") until it replaces it. Owned by a
// Journal, which decides what goes in and when; used on the loop's thread only.
class JournalCompaction {
 public:
  // Removes a file that an earlier process left behind: the journal itself still holds everything.
  explicit JournalCompaction(std::string path);

  // Creates the file, empty. No compaction may be in progress. False: it could not be created.
  [[nodiscard]] bool open();
  bool isOpen() const { return file_ != nullptr; }
  // Ends the compaction without a result, and removes the file. Does nothing where none is in progress.
  void abandon();

  // Writes frames at once, on this thread.
  TimedWrite write(std::string_view frames);
  // Keeps frames for the next commit to write; they count in size() from now on.
  void queue(std::string_view frames);
  // The queued frames, which are queued no longer.
  std::string takeQueued();

  // From this call on the next commit replaces the journal by this file, and writes nothing else.
  void requestInstall() { installRequested_ = true; }
  bool isInstallRequested() const { return installRequested_; }
  // Takes the request back, and returns whether there was one.
  bool takeInstallRequest();

  // Ends the compaction after the file was renamed to the journal's name: gives up its descriptor.
  SharedFd takeInstalled();

  const SharedFd& file() const { return file_; }  // null: no compaction is in progress
  const std::string& path() const { return path_; }
  std::size_t size() const { return size_; }  // bytes, with those queued

 private:
  std::string path_;
  SharedFd file_;
  std::size_t size_{0};
  std::string queued_;
  bool installRequested_{false};
};

}  // namespace stonewing
