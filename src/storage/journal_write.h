#pragma once

#include <cstddef>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/unique_fd.h"

namespace stonewing {

// A descriptor that a write in progress keeps open even after the journal was destroyed.
using SharedFd = std::shared_ptr<const UniqueFd>;

enum class WriteResult { complete, failed };

// The result of writing all bytes, and the time spent in write().
struct TimedWrite {
  WriteResult result{WriteResult::complete};
  Millis spent{0};  // milliseconds
};

// Writes all of `bytes`, in as many write() calls as needed. After a failure, a part of the bytes may have
// been written.
TimedWrite writeAll(int descriptor, std::string_view bytes);

// The file operations of one commit of the journal, and their results. The object owns all that it uses, so
// that another thread can run it while the journal collects further records. Not synchronised: until
// execute() has returned, other threads may only read the members that execute() does not change: those up to
// compactionPath except journalBytes.
struct JournalWrite {
  enum class Install { no, yes };

  // Input, set before execute().
  SharedFd journal;
  std::size_t journalBytes{0};  // size of the journal file; execute() keeps it up to date
  std::string frames;           // whole frames for the journal
  std::vector<std::size_t> frameEnds;
  SharedFd compaction;           // null if no compaction is in progress
  std::string compactionFrames;  // whole frames for the compacted file
  Install install{Install::no};  // yes: the compacted file then replaces the journal
  std::string journalPath;
  std::string compactionPath;

  // Results, valid after execute().
  std::vector<std::size_t> lostFrames;  // indexes in frameEnds of frames that could not be written
  WriteResult compactionResult{WriteResult::complete};
  Millis spent{0};               // milliseconds in write()
  std::exception_ptr failure{};  // if set, the journal can no longer be used

  // Writes the journal's frames, then the compacted file's frames, and then replaces the journal if
  // requested. If the process is killed between these steps, the journal holds whole records only, and the
  // next start removes a compacted file that is left over. Throws nothing.
  void execute();

 private:
  void writeFrames();
  WriteResult writeOrTruncate(std::string_view part);
  WriteResult writeTimed(const SharedFd& file, std::string_view bytes);
};

}  // namespace stonewing
