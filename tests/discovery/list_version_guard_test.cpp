#include "discovery/list_version_guard.h"

#include <gtest/gtest.h>

#include "discovery/poll_timing.h"

// Which lists may replace the one in use.
namespace stonewing::testing {
namespace {

TEST(ListVersionGuard, AnOlderListReplacesNoNewerOne) {
  ListVersionGuard guard;
  EXPECT_TRUE(guard.accept(41, 0));
  EXPECT_FALSE(guard.accept(40, 100));
  EXPECT_TRUE(guard.accept(41, 200));
  EXPECT_TRUE(guard.accept(42, 300));
}

// A discovery that numbers its versions anew must be accepted before a change counts as notified in any case.
TEST(ListVersionGuard, VersionsNumberedAnewAreAcceptedWithinTheBoundOfNotifications) {
  ListVersionGuard guard;
  guard.accept(41, 0);
  Millis now = 0;
  while (now < 6000 && !guard.accept(3, now)) now += 200;
  EXPECT_GT(now, 1000);
  EXPECT_LT(now, discovery_timing::kMaxNotificationDelay);
  EXPECT_TRUE(guard.accept(4, now));
}

TEST(ListVersionGuard, ANewerListInBetweenShowsThatVersionsAreNotNumberedAnew) {
  ListVersionGuard guard;
  guard.accept(41, 0);
  for (Millis now = 0; now < 20000; now += 100) {
    EXPECT_FALSE(guard.accept(3, now));
    bool isNewer = static_cast<int>(now) % 2000 == 0;
    EXPECT_TRUE(!isNewer || guard.accept(41, now));
  }
}

TEST(ListVersionGuard, VersionsOfAnotherDiscoveryAreNotCompared) {
  ListVersionGuard guard;
  guard.accept(41, 0);
  guard.reset();
  EXPECT_TRUE(guard.accept(3, 100));
}

}  // namespace
}  // namespace stonewing::testing
