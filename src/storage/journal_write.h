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

// A descriptor that a write in progress keeps open, even where the journal is already gone.
using SharedFd = std::shared_ptr<const UniqueFd>;

enum class WriteResult { complete, failed };

// A write() of all bytes and the time that it took.
struct TimedWrite {
  WriteResult result{WriteResult::complete};
  Millis spent{0};  // milliseconds
};

// Writes all of `bytes`, however many calls that takes. On failure a part of them may have been written.
TimedWrite writeAll(int descriptor, std::string_view bytes);

// The file operations of one commit of the journal, and what became of them. It owns all that it touches, so
// that another thread can run it while the journal goes on collecting records. Not synchronised: until
// execute() has returned, other threads may only read what execute() does not change, the members up to
// compactionPath except journalBytes.
struct JournalWrite {
  enum class Install { no, yes };

  // To be done, set before execute().
  SharedFd journal;
  std::size_t journalBytes{0};  // size of the journal file; execute() keeps it up to date
  std::string frames;           // whole frames for the journal
  std::vector<std::size_t> frameEnds;
  SharedFd compaction;           // null: no compaction is in progress
  std::string compactionFrames;  // whole frames for the compacted file
  Install install{Install::no};  // the compacted file replaces the journal afterwards
  std::string journalPath;
  std::string compactionPath;

  // What became of it, valid after execute().
  std::vector<std::size_t> lostFrames;  // places in frameEnds of those that could not be written
  WriteResult compactionResult{WriteResult::complete};
  Millis spent{0};               // milliseconds within write()
  std::exception_ptr failure{};  // after which the journal cannot be used any more

  // Does all of it, in this order: the journal's frames, the compacted file's, then the replacement. A kill
  // in between leaves whole records in the journal and, at worst, a compacted file that the next start
  // removes. Throws nothing.
  void execute();

 private:
  void writeFrames();
  WriteResult writeOrTruncate(std::string_view part);
  WriteResult writeTimed(const SharedFd& file, std::string_view bytes);
};

}  // namespace stonewing
