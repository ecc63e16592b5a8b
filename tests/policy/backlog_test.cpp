#include "policy/backlog.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>

// Which messages a backlog has to lose so that the others can be sent in time.
namespace stonewing {
namespace {

using Ids = std::vector<MessageId>;

BacklogEntry entry(std::uint32_t id, Millis deadline, double weight = 1) {
  return {deadline, MessageId{id}, weight};
}

TEST(Backlog, KeepsAllThatCanBeSentInTime) {
  EXPECT_EQ(excessOf({entry(1, 1000), entry(2, 1100), entry(3, 1200)}, {1000, 100}), Ids{});
  EXPECT_EQ(excessOf({}, {1000, 100}), Ids{});
}

TEST(Backlog, LosesTheLeastWeightAmongThoseThatAreDueByTheFirstDeadlineThatCannotBeMet) {
  EXPECT_EQ(excessOf({entry(1, 1000, 3), entry(2, 1099, 2), entry(3, 5000, 1)}, {1000, 100}),
            Ids{MessageId{2}});
  EXPECT_EQ(excessOf({entry(1, 1000, 2), entry(2, 1099, 3), entry(3, 5000, 1)}, {1000, 100}),
            Ids{MessageId{1}});
  EXPECT_EQ(excessOf({entry(7, 1050), entry(4, 1050)}, {1000, 100}), Ids{MessageId{4}});
}

// What is left can be sent in the order of the deadlines, and with one message more it could not.
RC_GTEST_PROP(Backlog, LosesNoMoreThanNecessary, ()) {
  BacklogCapacity capacity{100, *rc::gen::element(1.0, 7.0, 40.0)};
  std::vector<BacklogEntry> backlog;
  auto count = *rc::gen::inRange<std::uint32_t>(0, 30);
  for (std::uint32_t id = 0; id < count; ++id)
    backlog.push_back(entry(id, *rc::gen::inRange(100, 400), *rc::gen::inRange(1, 4)));
  Ids excess = excessOf(backlog, capacity);
  auto isInTime = [&](const Ids& lost) {
    std::vector<Millis> deadlines;
    for (const BacklogEntry& each : backlog) {
      if (std::find(lost.begin(), lost.end(), each.message) == lost.end()) deadlines.push_back(each.deadline);
    }
    std::sort(deadlines.begin(), deadlines.end());
    Millis sentAt = capacity.startAt;
    return std::all_of(deadlines.begin(), deadlines.end(), [&](Millis deadline) {
      bool isSentInTime = sentAt <= deadline;
      sentAt += capacity.interval;
      return isSentInTime;
    });
  };
  RC_ASSERT(isInTime(excess));
  if (excess.empty()) return;
  excess.pop_back();
  RC_ASSERT(!isInTime(excess));
}

}  // namespace
}  // namespace stonewing
