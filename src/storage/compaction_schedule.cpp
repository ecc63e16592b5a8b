#include "storage/compaction_schedule.h"

namespace stonewing {
namespace {

// The part of maxBytes that a compaction must be able to gain, and that the journal must grow by after one
// that failed. Without it a journal full of live messages would be written anew without end.
constexpr std::size_t kWorthwhileDivisor = 16;

// So many calls for an immediate compaction pass after one that gained nothing. Without this, each record for
// which a full folder has no space would read through all messages in flight.
constexpr int kImmediateToSkip = 64;

}  // namespace

bool CompactionSchedule::isDue(std::size_t journalBytes, std::size_t liveBytes) const {
  std::size_t worthwhileBytes = maxBytes_ / kWorthwhileDivisor;
  bool spaceRunsOut = journalBytes + 2 * liveBytes + 2 * worthwhileBytes > maxBytes_;
  bool gainsEnough = journalBytes > liveBytes + worthwhileBytes;
  return journalBytes >= notBeforeBytes_ && spaceRunsOut && gainsEnough;
}

void CompactionSchedule::recordFailure(std::size_t journalBytes) {
  notBeforeBytes_ = journalBytes + maxBytes_ / kWorthwhileDivisor;
}

bool CompactionSchedule::skipsImmediate() {
  if (immediateToSkip_ == 0) return false;
  --immediateToSkip_;
  return immediateToSkip_ > 0;
}

void CompactionSchedule::recordUselessImmediate() { immediateToSkip_ = kImmediateToSkip; }

}  // namespace stonewing
