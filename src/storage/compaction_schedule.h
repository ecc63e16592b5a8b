#pragma once

#include <cstddef>

namespace stonewing {

// Decides when the journal is to be compacted: before space runs out, where it gains something, and not again
// at once after a compaction that failed. All sizes are in bytes. Owned by the MessageStore; used on one
// thread.
class CompactionSchedule {
 public:
  // `maxBytes` is the limit on the journal and the compacted file together.
  explicit CompactionSchedule(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  // Whether a compaction in steps should begin, for a journal of this size of which so much is live.
  bool isDue(std::size_t journalBytes, std::size_t liveBytes) const;
  // A compaction failed while the journal had this size: none is due until it has grown noticeably.
  void recordFailure(std::size_t journalBytes);

  // Whether the compaction that a lack of space calls for should be left out this time. Counts the call.
  bool skipsImmediate();
  // An immediate compaction gained nothing: the next ones are left out.
  void recordUselessImmediate();

 private:
  std::size_t maxBytes_;
  std::size_t notBeforeBytes_{0};  // size of the journal
  int immediateToSkip_{0};
};

}  // namespace stonewing
