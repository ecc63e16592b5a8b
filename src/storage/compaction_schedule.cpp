#include "storage/compaction_schedule.h"

namespace stonewing {
namespace {

// A compaction is worthwhile if it frees at least 1/16 of maxBytes; after a failed compaction the journal
// must grow by as much before the next one. Without this minimum, a journal full of live messages would be
// rewritten endlessly.
constexpr std::size_t kMinGainDivisor = 16;

// The number of requests for an immediate compaction that are skipped after one that freed no space. Without
// this, each record that does not fit into a full folder would cause a pass over all messages in flight.
constexpr int kImmediateToSkip = 64;

}  // namespace

bool CompactionSchedule::isDue(std::size_t journalBytes, std::size_t liveBytes) const {
  std::size_t minGainBytes = maxBytes_ / kMinGainDivisor;
  bool spaceRunsOut = journalBytes + 2 * liveBytes + 2 * minGainBytes > maxBytes_;
  bool gainsEnough = journalBytes > liveBytes + minGainBytes;
  return journalBytes >= notBeforeBytes_ && spaceRunsOut && gainsEnough;
}

void CompactionSchedule::recordFailure(std::size_t journalBytes) {
  notBeforeBytes_ = journalBytes + maxBytes_ / kMinGainDivisor;
}

bool CompactionSchedule::skipsImmediate() {
  if (immediateToSkip_ == 0) return false;
  --immediateToSkip_;
  return immediateToSkip_ > 0;
}

void CompactionSchedule::recordUselessImmediate() { immediateToSkip_ = kImmediateToSkip; }

}  // namespace stonewing
