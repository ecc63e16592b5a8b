#include "storage/journal_write.h"

#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <system_error>

#include "storage/journal_format.h"

namespace stonewing {

TimedWrite writeAll(int descriptor, std::string_view bytes) {
  using Clock = std::chrono::steady_clock;
  TimedWrite outcome;
  while (!bytes.empty()) {
    Clock::time_point start = Clock::now();
    ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
    outcome.spent += std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      outcome.result = WriteResult::failed;
      return outcome;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return outcome;
}

void JournalWrite::execute() {
  try {
    writeFrames();
    if (compaction == nullptr) return;
    compactionResult = writeTimed(compaction, compactionFrames);
    if (install == Install::no || compactionResult == WriteResult::failed) return;
    if (std::rename(compactionPath.c_str(), journalPath.c_str()) != 0) compactionResult = WriteResult::failed;
  } catch (...) {
    // An exception must not leave the background thread. Journal::finishCommit() rethrows it.
    failure = std::current_exception();
  }
}

void JournalWrite::writeFrames() {
  if (frameEnds.empty() || writeOrTruncate(frames) == WriteResult::complete) return;
  // There was no space for all frames. Single frames may still fit: the record of a finished message is
  // short, and allows the next compaction to free space.
  std::size_t begin = 0;
  for (std::size_t index = 0; index < frameEnds.size(); ++index) {
    std::string_view frame = std::string_view(frames).substr(begin, frameEnds[index] - begin);
    begin = frameEnds[index];
    if (writeOrTruncate(frame) == WriteResult::failed) lostFrames.push_back(index);
  }
}

// Writes `part` completely or leaves the file unchanged: replay stops at a partially written record and would
// not find any later record.
WriteResult JournalWrite::writeOrTruncate(std::string_view part) {
  // The header must precede the first frame in the file, even if the frame that was to carry it could not be
  // written.
  bool needsHeader = journalBytes == 0 && !beginsWithJournalHeader(part);
  std::string partWithHeader;
  if (needsHeader) {
    partWithHeader = journalHeader().append(part);
    part = partWithHeader;
  }
  if (writeTimed(journal, part) == WriteResult::complete) {
    journalBytes += part.size();
    return WriteResult::complete;
  }
  if (::ftruncate(journal->get(), static_cast<off_t>(journalBytes)) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot truncate a partially written record at the end of the journal");
  }
  return WriteResult::failed;
}

WriteResult JournalWrite::writeTimed(const SharedFd& file, std::string_view bytes) {
  TimedWrite outcome = writeAll(file->get(), bytes);
  spent += outcome.spent;
  return outcome.result;
}

}  // namespace stonewing
