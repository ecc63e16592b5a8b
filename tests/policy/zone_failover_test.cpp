#include "policy/zone_failover.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "support/zone_settings.h"

// When a zone is lost, how much spills over into other zones, and how a recovering zone is ramped up.
namespace stonewing::testing {
namespace {

// A ZoneFailover without a policy: three zones, and four destinations with an endpoint in each zone.
struct ZoneFailoverHarness {
  DeploymentSettings settings;
  ZoneFailover zones;

  explicit ZoneFailoverHarness(DeploymentSettings requested = zoneSettings(), std::uint64_t seed = 1)
      : settings(requested), zones(settings, seed) {
    setEndpoints(0);
  }

  // Sets a complete endpoint list without the endpoints of the missing zones.
  void setEndpoints(Millis now, std::set<std::uint8_t> missingZones = {}) {
    zones.beginEndpointList();
    for (std::uint16_t destination = 1; destination <= 4; ++destination) {
      for (std::uint8_t zone = 0; zone < 3; ++zone) {
        if (missingZones.contains(zone)) continue;
        zones.addEndpoint(endpointOf(destination, ZoneId{zone}), DestinationId{destination}, ZoneId{zone});
      }
    }
    zones.commitEndpointList(now);
  }

  static EndpointId endpointOf(std::uint16_t destination, ZoneId zone) {
    return EndpointId{10u * destination + zone.value + 1};
  }
  void fail(Millis now, std::uint16_t destination, ZoneId zone, int times = 2) {
    zones.recordFailures(now, endpointOf(destination, zone), DestinationId{destination}, zone, times);
  }
  void succeed(Millis now, std::uint16_t destination, ZoneId zone) {
    zones.recordSuccess(now, endpointOf(destination, zone), zone, true);
  }
  void failZone(Millis now, ZoneId zone) {
    for (std::uint16_t destination = 1; destination <= 4; ++destination) {
      fail(now + destination, destination, zone);
    }
  }

  // Records deliveries in the own zone at the given rate for 30 s.
  void deliverInOwnZone(double perSecond) {
    for (Millis time = 0; time < 30000; time += 1000 / perSecond) succeed(time, 1, kOwnZone);
  }
};

// Records attempts as early as they are allowed, and returns how many there were in the given time.
int attemptsDuring(ZoneFailoverHarness& harness, Millis from, Millis duration) {
  int sent = 0;
  for (Millis time = from; time < from + duration; time += 1) {
    while (harness.zones.attemptAllowedFrom(DestinationId{1}, kOwnZone) <= time) {
      harness.zones.recordAttempt(time, DestinationId{1}, kOwnZone);
      if (++sent > 100000) return sent;
    }
  }
  return sent;
}

TEST(ZoneFailover, LosesNoZoneByOneDeadDestinationOrSomeFailures) {
  ZoneFailoverHarness harness;
  for (int count = 0; count < 20; ++count) harness.fail(1000 + count, 1, kOwnZone, 2 + count);
  EXPECT_FALSE(harness.zones.isLost(kOwnZone));
  // Two destinations fail, while a third one still receives messages.
  for (int count = 0; count < 50; ++count) {
    harness.fail(2000 + 10 * count, 1, kOwnZone, 2);
    harness.fail(2001 + 10 * count, 2, kOwnZone, 2);
    harness.succeed(2002 + 10 * count, 3, kOwnZone);
  }
  EXPECT_FALSE(harness.zones.isLost(kOwnZone));
  for (std::uint16_t destination = 1; destination <= 4; ++destination) {
    harness.fail(4000, destination, kOwnZone, 1);  // one failure each may be a lost response
  }
  EXPECT_FALSE(harness.zones.isLost(kOwnZone));
  harness.failZone(5000, kOwnZone);
  EXPECT_TRUE(harness.zones.isLost(kOwnZone));
  EXPECT_GT(harness.zones.attemptAllowedFrom(DestinationId{1}, kOwnZone), 1e14);
  EXPECT_LT(harness.zones.attemptAllowedFrom(DestinationId{1}, kNearZone), 6000);
}

// A dispatcher that is itself cut off must not consider every zone lost, since it would send no attempt any
// more.
TEST(ZoneFailover, LosesNoZoneWhenAllFail) {
  ZoneFailoverHarness harness;
  for (ZoneId zone : {kOwnZone, kNearZone, kFarZone}) harness.failZone(1000, zone);
  for (ZoneId zone : {kOwnZone, kNearZone, kFarZone}) EXPECT_FALSE(harness.zones.isLost(zone));
  harness.succeed(3000, 1, kFarZone);
  EXPECT_TRUE(harness.zones.isLost(kOwnZone));
  EXPECT_TRUE(harness.zones.isLost(kNearZone));
}

TEST(ZoneFailover, UsesTheZonePrioritiesOfADestination) {
  DeploymentSettings settings = zoneSettings();
  settings.zoneFailover.destinations[DestinationId{3}] = {{kFarZone}, {kOwnZone, kNearZone}};
  ZoneFailoverHarness harness(settings);
  EXPECT_FALSE(harness.zones.hasLowerPriorityThanHome(DestinationId{3}, kFarZone));
  EXPECT_TRUE(harness.zones.hasLowerPriorityThanHome(DestinationId{3}, kOwnZone));
  EXPECT_EQ(harness.zones.priority(DestinationId{3}, kOwnZone),
            harness.zones.priority(DestinationId{3}, kNearZone));
  // If the preferred zone has no endpoint of a destination, the next zone is its home zone.
  harness.setEndpoints(1000, {kOwnZone.value});
  EXPECT_FALSE(harness.zones.hasLowerPriorityThanHome(DestinationId{1}, kNearZone));
}

// Traffic that spilled over must not return all at once: it would overload a zone that is warming up.
TEST(ZoneFailover, RampsUpAReturningZoneAndMoreSlowlyAfterAnotherLoss) {
  ZoneFailoverHarness harness;
  harness.deliverInOwnZone(50);
  harness.failZone(30000, kOwnZone);
  ASSERT_TRUE(harness.zones.isLost(kOwnZone));
  EXPECT_GT(harness.zones.healthCheckAllowedFrom(kOwnZone), 30000);
  harness.succeed(40000, 1, kOwnZone);
  ASSERT_TRUE(harness.zones.isRamping(40000, kOwnZone));
  EXPECT_NEAR(attemptsDuring(harness, 40000, 1000), 50 * 0.24, 4);
  EXPECT_NEAR(attemptsDuring(harness, 45000, 1000), 50 * 0.64, 8);
  harness.failZone(46000, kOwnZone);
  ASSERT_TRUE(harness.zones.isLost(kOwnZone));
  harness.zones.recordHealthCheck(48000, kOwnZone);
  EXPECT_GE(harness.zones.healthCheckAllowedFrom(kOwnZone) - 48000,
            2 * 0.75 * harness.settings.overloadWindow);
  harness.succeed(50000, 2, kOwnZone);
  EXPECT_LE(attemptsDuring(harness, 50000, 1000), 50 * 0.2);
  harness.succeed(61000, 2, kOwnZone);
  EXPECT_FALSE(harness.zones.isRamping(61000, kOwnZone));
  EXPECT_GT(attemptsDuring(harness, 61000, 1), 1000);
}

TEST(ZoneFailover, SpreadsHealthChecksOfDispatchersOverTime) {
  std::set<Millis> healthChecks;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ZoneFailoverHarness harness(zoneSettings(), seed);
    harness.failZone(1000, kOwnZone);
    healthChecks.insert(harness.zones.healthCheckAllowedFrom(kOwnZone));
  }
  EXPECT_EQ(healthChecks.size(), 20u);
  EXPECT_GT(*healthChecks.rbegin() - *healthChecks.begin(), 300);
}

// A zone that an endpoint list drops and a later list adds again may have to warm up, although nothing failed
// there.
TEST(ZoneFailover, RampsUpAZoneThatTheEndpointListHadDropped) {
  ZoneFailoverHarness harness;
  harness.deliverInOwnZone(50);
  harness.setEndpoints(30000, {kOwnZone.value});
  EXPECT_FALSE(harness.zones.isLost(kOwnZone));
  harness.setEndpoints(30500);
  EXPECT_FALSE(harness.zones.isRamping(30500, kOwnZone));  // absent for less than an overload window
  harness.setEndpoints(31000, {kOwnZone.value});
  harness.setEndpoints(40000);
  EXPECT_TRUE(harness.zones.isRamping(40000, kOwnZone));
}

// For each attempt, a reference model checks the limits by a scan of all attempts so far.
TEST(ZoneFailover, KeepsSpilloverWithinItsLimitsWhateverHappens) {
  EXPECT_TRUE(rc::check([] {
    DeploymentSettings settings = zoneSettings();
    settings.maxConcurrentRequests = *rc::gen::inRange(1, 30);
    settings.zoneFailover.spilloverRequestShare = *rc::gen::element(0.0, 0.3, 1.0);
    settings.zoneFailover.spilloverPerSecond = *rc::gen::element(3.0, 20.0);
    ZoneFailoverHarness harness(settings);
    harness.deliverInOwnZone(*rc::gen::element(5.0, 60.0));
    struct Sent {
      Millis at;
      ZoneId zone;
      bool isSpillover, pending;
    };
    std::vector<Sent> sent;
    Millis now = 30000;
    int steps = *rc::gen::inRange(20, 200);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.0, 1.0, 20.0, 300.0, 2500.0);
      std::uint16_t destination = static_cast<std::uint16_t>(*rc::gen::inRange(1, 5));
      ZoneId zone{static_cast<std::uint8_t>(*rc::gen::inRange(0, 3))};
      int event = *rc::gen::inRange(0, 12);
      if (event == 0) harness.failZone(now, zone);
      if (event == 1) harness.succeed(now, destination, zone);
      if (event == 2 && !sent.empty()) {
        Sent& attempt = sent[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(sent.size())))];
        if (std::exchange(attempt.pending, false)) harness.zones.recordAttemptEnd(attempt.isSpillover);
      }
      if (event < 3 || harness.zones.attemptAllowedFrom(DestinationId{destination}, zone) > now) continue;
      RC_ASSERT(!harness.zones.isLost(zone));
      bool isHomeLimited = harness.zones.isLost(kOwnZone) || harness.zones.isRamping(now, kOwnZone);
      bool isSpillover = harness.zones.recordAttempt(now, DestinationId{destination}, zone);
      // The duration of the ramp may have passed before any event ends the ramp.
      RC_ASSERT(!isSpillover || zone != kOwnZone);
      RC_ASSERT(isSpillover || !isHomeLimited || zone == kOwnZone);
      sent.push_back({now, zone, isSpillover, true});
      if (!isSpillover) continue;
      int pending = 0, lastSecond = 0;
      for (const Sent& attempt : sent) {
        pending += attempt.isSpillover && attempt.pending;
        lastSecond += attempt.isSpillover && attempt.zone == zone && attempt.at > now - 1000;
      }
      RC_ASSERT(pending <= std::max(1, static_cast<int>(settings.zoneFailover.spilloverRequestShare *
                                                        settings.maxConcurrentRequests)));
      RC_ASSERT(lastSecond <= 2 * settings.zoneFailover.spilloverPerSecond + 1);
    }
  }));
}

}  // namespace
}  // namespace stonewing::testing
