#include "discovery/rejection_memory.h"

#include <gtest/gtest.h>

// For how long watches are long after discovery has rejected a poll.
namespace stonewing::testing {
namespace {

// How long a rejection at that time is remembered, if no other follows.
Millis remembered(const RejectionMemory& memory, Millis from) {
  Millis now = from;
  while (memory.isRecent(now)) now += 10;
  return now - from;
}

TEST(RejectionMemory, ForgetsASingleRejectionSoon) {
  RejectionMemory memory;
  EXPECT_FALSE(memory.isRecent(0));
  memory.recordRejected(100);
  EXPECT_EQ(remembered(memory, 100), RejectionMemory::kMinDuration);
}

TEST(RejectionMemory, CountsFromTheLastOfSeveralRejections) {
  RejectionMemory memory;
  for (Millis now = 0; now <= 6000; now += 200) memory.recordRejected(now);
  EXPECT_EQ(remembered(memory, 6000), RejectionMemory::kMinDuration);
}

// A fleet must not press on a discovery that is too small for it every few seconds for ever.
TEST(RejectionMemory, RemembersLongerWhereRejectionsComeBack) {
  RejectionMemory memory;
  Millis now = 0;
  Millis duration = 0;
  for (int count = 0; count < 8; ++count) {
    memory.recordRejected(now);
    Millis longer = remembered(memory, now);
    EXPECT_GE(longer, duration);
    duration = longer;
    now += duration + 500;
  }
  EXPECT_EQ(duration, RejectionMemory::kMaxDuration);
  now += RejectionMemory::kMaxDuration;
  memory.recordRejected(now);
  EXPECT_EQ(remembered(memory, now), RejectionMemory::kMinDuration) << "after a long calm";
}

TEST(RejectionMemory, IsEmptyAfterAReset) {
  RejectionMemory memory;
  memory.recordRejected(0);
  memory.reset();
  EXPECT_FALSE(memory.isRecent(1));
}

}  // namespace
}  // namespace stonewing::testing
