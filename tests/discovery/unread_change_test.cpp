#include "discovery/unread_change.h"

#include <gtest/gtest.h>

#include "discovery/poll_timing.h"

// From when until when the endpoint list counts as out of date.
namespace stonewing::testing {
namespace {

using Evidence = UnreadChange::Evidence;
using discovery_timing::kMaxNotificationDelay;

constexpr Millis kMaxPossibleDuration = localAgentTiming(500).maxPossibleChangeDuration;

TEST(UnreadChange, CountsFromTheFirstOfSeveralIncompleteResponses) {
  UnreadChange change(kMaxPossibleDuration);
  EXPECT_TRUE(change.recordBegun(100, Evidence::certain));
  EXPECT_FALSE(change.recordBegun(200, Evidence::certain));
  EXPECT_EQ(change.begunAt(), 100);
  change.recordRead(200);
  EXPECT_FALSE(change.isOpen());
}

// A slow answer is older than a response that began after it, and must not count as that response's.
TEST(UnreadChange, AnOlderAnswerDoesNotReadAResponseThatBeganLater) {
  UnreadChange change(kMaxPossibleDuration);
  change.recordBegun(100, Evidence::certain);
  change.recordBegun(300, Evidence::certain);
  change.recordRead(100);
  EXPECT_EQ(change.begunAt(), 300);
  change.recordRead(400);
  EXPECT_FALSE(change.isOpen());
}

TEST(UnreadChange, OneUnansweredPollRefutesAResponseAtTheEndOfAWatchAndNotACertainChange) {
  UnreadChange possible(kMaxPossibleDuration);
  possible.recordBegun(100, Evidence::possible);
  EXPECT_TRUE(possible.recordUnanswered());
  EXPECT_FALSE(possible.isOpen());
  UnreadChange certain(kMaxPossibleDuration);
  certain.recordBegun(100, Evidence::possible);
  certain.recordBegun(150, Evidence::certain);
  for (int count = 0; count < 3; ++count) EXPECT_FALSE(certain.recordUnanswered());
  EXPECT_TRUE(certain.isOpen());
  EXPECT_TRUE(certain.recordUnanswered());
}

// A fleet must not pause where discovery restarts: its watches end, and polls are refused for a while.
TEST(UnreadChange, AnUnreachableDiscoveryRefutesAPossibleChangeAndNotACertainOne) {
  UnreadChange change(kMaxPossibleDuration);
  change.recordBegun(100, Evidence::possible);
  EXPECT_TRUE(change.recordUnreachable());
  EXPECT_FALSE(change.isOpen());
  change.recordBegun(200, Evidence::certain);
  EXPECT_FALSE(change.recordUnreachable());
  EXPECT_TRUE(change.isOpen());
}

// While discovery goes on telling that there is a change, the change is waited for, but not for ever.
TEST(UnreadChange, IsWaitedForLongerWhileResponsesGoOnBeginning) {
  UnreadChange change(kMaxPossibleDuration);
  Millis now = 0;
  for (; !change.closeIfExpired(now); now += 200) change.recordBegun(now, Evidence::certain);
  EXPECT_EQ(now, 2 * kMaxNotificationDelay);
}

// A discovery that ends every poll without a byte must not stop deliveries for as long as it does so.
TEST(UnreadChange, APossibleChangeIsNotWaitedForWhileEveryPollBreaks) {
  UnreadChange change(kMaxPossibleDuration);
  Millis now = 0;
  for (; !change.closeIfExpired(now); now += 50) change.recordBegun(now, Evidence::possible);
  EXPECT_LE(now, 1500);
  EXPECT_GT(now, 500);
  EXPECT_FALSE(change.recordBegun(now, Evidence::possible));
  EXPECT_TRUE(change.recordBegun(now, Evidence::certain)) << "what has begun to arrive is waited for";
}

TEST(UnreadChange, ExpiresAndDoesNotOpenAgainUntilAListIsRead) {
  UnreadChange change(kMaxPossibleDuration);
  change.recordBegun(100, Evidence::certain);
  EXPECT_FALSE(change.closeIfExpired(100 + kMaxNotificationDelay - 1));
  EXPECT_TRUE(change.closeIfExpired(100 + kMaxNotificationDelay));
  EXPECT_FALSE(change.recordBegun(9000, Evidence::certain));
  change.recordRead(9050);
  EXPECT_TRUE(change.recordBegun(9100, Evidence::certain));
}

}  // namespace
}  // namespace stonewing::testing
