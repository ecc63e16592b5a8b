#pragma once

#include <cstddef>

namespace stonewing {

// Decides when the journal is to be compacted: before its space runs out, only if a compaction frees enough
// space, and not again immediately after a failed compaction. All sizes are in bytes. Owned by the
// MessageStore; used on one thread.
class CompactionSchedule {
 public:
  // `maxBytes` is the limit on the total size of the journal and the compacted file.
  explicit CompactionSchedule(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  // Whether an incremental compaction should begin. `journalBytes` is the size of the journal, and
  // `liveBytes` the part of it that a compaction must keep.
  bool isDue(std::size_t journalBytes, std::size_t liveBytes) const;
  // Records that a compaction failed while the journal had this size. None is due again until the journal has
  // grown by a minimum.
  void recordFailure(std::size_t journalBytes);

  // Whether an immediate compaction, requested because a record does not fit, should be skipped. Each call
  // counts as one request.
  bool skipsImmediate();
  // Records that an immediate compaction freed no space: the next requests are skipped.
  void recordUselessImmediate();

 private:
  std::size_t maxBytes_;
  std::size_t notBeforeBytes_{0};  // journal size below which no compaction is due
  int immediateToSkip_{0};
};

}  // namespace stonewing
