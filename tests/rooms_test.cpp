// Zones: which is believed lost, what strangers may take of another, and how one that returns is fed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/bytes.h"
#include "bench_free.h"
#include "policy/zone_failover.h"
#include "settings/settings_reader.h"

namespace stonewing::testing {
namespace {

constexpr ZoneId kOwn{0}, kNear{1}, kFar{2};

DeploymentSettings roomTerms() {
  DeploymentSettings t = plainTerms();
  t.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey),
             trafficType(Idempotency::nonIdempotent)};
  t.types[1].deduplicationScope = DeduplicationScope::zone;
  t.maxConcurrentRequests = 20;
  t.zoneFailover.priorities = {{kOwn}, {kNear}, {kFar}};
  return t;
}

// Three zones, four destinations with an endpoint in each zone; endpoint 10 d + zone + 1.
struct RoomBed {
  DeploymentSettings terms;
  ZoneFailover rooms;
  explicit RoomBed(DeploymentSettings asked = roomTerms(), std::uint64_t seed = 1)
      : terms(asked), rooms(terms, seed) {
    list(0);
  }
  void list(Millis now, std::set<std::uint8_t> without = {}) {
    rooms.beginEndpointList();
    for (std::uint16_t d = 1; d <= 4; ++d) {
      for (std::uint8_t z = 0; z < 3; ++z) {
        if (!without.contains(z)) rooms.addEndpoint(at(d, ZoneId{z}), DestinationId{d}, ZoneId{z});
      }
    }
    rooms.commitEndpointList(now);
  }
  static EndpointId at(std::uint16_t d, ZoneId room) { return EndpointId{10u * d + room.value + 1}; }
  void fails(Millis now, std::uint16_t d, ZoneId room, int times = 2) {
    rooms.recordFailures(now, at(d, room), DestinationId{d}, room, times);
  }
  void works(Millis now, std::uint16_t d, ZoneId room) { rooms.recordSuccess(now, at(d, room), room, true); }
  void lose(Millis now, ZoneId room) {
    for (std::uint16_t d = 1; d <= 4; ++d) fails(now + d, d, room);
  }
  // So many deliveries a second in the own zone, for 30 s.
  void busy(double perSecond) {
    for (Millis t = 0; t < 30000; t += 1000 / perSecond) works(t, 1, kOwn);
  }
};

TEST(Rooms, ADeadDestinationOrAnIllRoomIsNoLostRoom) {
  RoomBed bed;
  for (int n = 0; n < 20; ++n) bed.fails(1000 + n, 1, kOwn, 2 + n);
  EXPECT_FALSE(bed.rooms.isLost(kOwn));
  // A third fails, and something is delivered now and then.
  for (int n = 0; n < 50; ++n) {
    bed.fails(2000 + 10 * n, 1, kOwn, 2);
    bed.fails(2001 + 10 * n, 2, kOwn, 2);
    bed.works(2002 + 10 * n, 3, kOwn);
  }
  EXPECT_FALSE(bed.rooms.isLost(kOwn));
  for (std::uint16_t d = 1; d <= 4; ++d) bed.fails(4000, d, kOwn, 1);  // once each: lost answers, most likely
  EXPECT_FALSE(bed.rooms.isLost(kOwn));
  bed.lose(5000, kOwn);
  EXPECT_TRUE(bed.rooms.isLost(kOwn));
  EXPECT_GT(bed.rooms.attemptAllowedFrom(DestinationId{1}, kOwn), 1e14);
  EXPECT_LT(bed.rooms.attemptAllowedFrom(DestinationId{1}, kNear), 6000);
}

// Danger: a dispatcher that is cut off itself takes every zone for lost, and attempts nothing any more.
TEST(Rooms, WithEveryRoomLostNoneIs) {
  RoomBed bed;
  for (ZoneId z : {kOwn, kNear, kFar}) bed.lose(1000, z);
  for (ZoneId z : {kOwn, kNear, kFar}) EXPECT_FALSE(bed.rooms.isLost(z));
  bed.works(3000, 1, kFar);
  EXPECT_TRUE(bed.rooms.isLost(kOwn));
  EXPECT_TRUE(bed.rooms.isLost(kNear));
}

TEST(Rooms, ADestinationMayPreferAnotherRoom) {
  DeploymentSettings terms = roomTerms();
  terms.zoneFailover.destinations[DestinationId{3}] = {{kFar}, {kOwn, kNear}};
  RoomBed bed(terms);
  EXPECT_FALSE(bed.rooms.isForeign(DestinationId{3}, kFar));
  EXPECT_TRUE(bed.rooms.isForeign(DestinationId{3}, kOwn));
  EXPECT_EQ(bed.rooms.priority(DestinationId{3}, kOwn), bed.rooms.priority(DestinationId{3}, kNear));
  // Where the best zone has no endpoint of a destination, the next is its home.
  bed.list(1000, {kOwn.value});
  EXPECT_FALSE(bed.rooms.isForeign(DestinationId{1}, kNear));
}

// Attempts that go out as fast as they may, for so long.
int fed(RoomBed& bed, Millis from, Millis span) {
  int sent = 0;
  for (Millis t = from; t < from + span; t += 1) {
    while (bed.rooms.attemptAllowedFrom(DestinationId{1}, kOwn) <= t) {
      bed.rooms.recordAttempt(t, DestinationId{1}, kOwn);
      if (++sent > 100000) return sent;
    }
  }
  return sent;
}

// Danger: what was spilled comes home in one moment, into a zone that is cold, and fells it.
TEST(Rooms, AReturningRoomIsFedAlongItsCurveAndLessAfterAFurtherLoss) {
  RoomBed bed;
  bed.busy(50);
  bed.lose(30000, kOwn);
  ASSERT_TRUE(bed.rooms.isLost(kOwn));
  EXPECT_GT(bed.rooms.healthCheckAllowedFrom(kOwn), 30000);
  bed.works(40000, 1, kOwn);
  ASSERT_TRUE(bed.rooms.isRamping(40000, kOwn));
  EXPECT_NEAR(fed(bed, 40000, 1000), 50 * 0.24, 4);
  EXPECT_NEAR(fed(bed, 45000, 1000), 50 * 0.64, 8);
  bed.lose(46000, kOwn);
  ASSERT_TRUE(bed.rooms.isLost(kOwn));
  bed.rooms.recordHealthCheck(48000, kOwn);
  EXPECT_GE(bed.rooms.healthCheckAllowedFrom(kOwn) - 48000, 2 * 0.75 * bed.terms.overloadWindow);
  bed.works(50000, 2, kOwn);
  EXPECT_LE(fed(bed, 50000, 1000), 50 * 0.2);
  bed.works(61000, 2, kOwn);
  EXPECT_FALSE(bed.rooms.isRamping(61000, kOwn));
  EXPECT_GT(fed(bed, 61000, 1), 1000);
}

TEST(Rooms, DispatchersDoNotClimbOrProbeInStep) {
  std::set<Millis> probes;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RoomBed bed(roomTerms(), seed);
    bed.lose(1000, kOwn);
    probes.insert(bed.rooms.healthCheckAllowedFrom(kOwn));
  }
  EXPECT_EQ(probes.size(), 20u);
  EXPECT_GT(*probes.rbegin() - *probes.begin(), 300);
}

// Danger: a list that drops a whole zone and takes it back finds it cold, and nothing failed that would tell.
TEST(Rooms, ARoomThatTheListDroppedComesBackSlowly) {
  RoomBed bed;
  bed.busy(50);
  bed.list(30000, {kOwn.value});
  EXPECT_FALSE(bed.rooms.isLost(kOwn));
  bed.list(30500);
  EXPECT_FALSE(bed.rooms.isRamping(30500, kOwn));  // a blip
  bed.list(31000, {kOwn.value});
  bed.list(40000);
  EXPECT_TRUE(bed.rooms.isRamping(40000, kOwn));
}

// The plain model goes through all attempts from the start for each one.
TEST(Rooms, StrangersKeepToTheirPartWhateverComes) {
  EXPECT_TRUE(rc::check([] {
    DeploymentSettings terms = roomTerms();
    terms.maxConcurrentRequests = *rc::gen::inRange(1, 30);
    terms.zoneFailover.spilloverRequestShare = *rc::gen::element(0.0, 0.3, 1.0);
    terms.zoneFailover.spilloverPerSecond = *rc::gen::element(3.0, 20.0);
    RoomBed bed(terms);
    bed.busy(*rc::gen::element(5.0, 60.0));
    struct Sent {
      Millis at;
      ZoneId room;
      bool stranger, out;
    };
    std::vector<Sent> sent;
    Millis now = 30000;
    int steps = *rc::gen::inRange(20, 200);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.0, 1.0, 20.0, 300.0, 2500.0);
      std::uint16_t d = static_cast<std::uint16_t>(*rc::gen::inRange(1, 5));
      ZoneId room{static_cast<std::uint8_t>(*rc::gen::inRange(0, 3))};
      int what = *rc::gen::inRange(0, 12);
      if (what == 0) bed.lose(now, room);
      if (what == 1) bed.works(now, d, room);
      if (what == 2 && !sent.empty()) {
        Sent& s = sent[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(sent.size())))];
        if (std::exchange(s.out, false)) bed.rooms.recordAttemptEnd(s.stranger);
      }
      if (what < 3 || bed.rooms.attemptAllowedFrom(DestinationId{d}, room) > now) continue;
      RC_ASSERT(!bed.rooms.isLost(room));
      bool inTrouble = bed.rooms.isLost(kOwn) || bed.rooms.isRamping(now, kOwn);
      bool stranger = bed.rooms.recordAttempt(now, DestinationId{d}, room);
      // The climb may be over by its time before anything tells so.
      RC_ASSERT(!stranger || room != kOwn);
      RC_ASSERT(stranger || !inTrouble || room == kOwn);
      sent.push_back({now, room, stranger, true});
      if (!stranger) continue;
      int out = 0, lately = 0;
      for (const Sent& s : sent) {
        out += s.stranger && s.out;
        lately += s.stranger && s.room == room && s.at > now - 1000;
      }
      RC_ASSERT(out <= std::max(1, static_cast<int>(terms.zoneFailover.spilloverRequestShare *
                                                    terms.maxConcurrentRequests)));
      RC_ASSERT(lately <= 2 * terms.zoneFailover.spilloverPerSecond + 1);
    }
  }));
}

// The rules with zones: destination 1 with endpoints 1 and 2 in the own zone and 3, 4 in the next; 2 has the
// same.
struct RulesBed {
  Millis now = 1000;
  DeploymentSettings terms;
  DispatchPolicy rules;
  explicit RulesBed(DeploymentSettings asked = roomTerms()) : terms(asked), rules(asked, 7) {
    rules.beginRound(now);
    rules.beginEndpointList();
    for (std::uint16_t d = 1; d <= 2; ++d) {
      for (std::uint64_t n = 1; n <= 4; ++n) {
        rules.addEndpoint(endpoint(10u * d + n), DestinationId{d}, KindId{0}, ZoneId{n > 2}, 1,
                          EndpointState::ready);
      }
    }
    rules.commitEndpointList(true);
  }
  void to(Millis at) { rules.beginRound(now = at); }
  void take(std::uint32_t id, std::uint16_t type, std::uint16_t d = 1) {
    rules.acceptMessage(MessageId{id}, TrafficTypeId{type}, {}, {}, DestinationId{d}, now + 10000);
  }
  std::vector<Decision> pull() {
    std::vector<Decision> found;
    while (auto d = rules.nextDecision()) found.push_back(*d);
    return found;
  }
  static bool own(EndpointId e) { return e.value % 10 <= 2; }
  // What goes to the own zone fails from now on, what goes elsewhere completes.
  std::vector<Decision> play(Millis until, std::set<std::uint32_t> silent = {}) {
    std::vector<Decision> all;
    while (now < until) {
      for (const Decision& d : pull()) {
        all.push_back(d);
        if (const auto* check = std::get_if<SendHealthCheck>(&d))
          rules.recordHealthCheckOutcome(
              check->endpoint, own(check->endpoint) ? AttemptOutcome::timeout : AttemptOutcome::completed,
              {});
        const auto* send = std::get_if<SendAttempt>(&d);
        if (send == nullptr || silent.contains(send->message.value)) continue;
        AttemptOutcome ending =
            own(send->endpoint) ? AttemptOutcome::connectFailed : AttemptOutcome::completed;
        rules.recordAttemptOutcome(send->message, send->attempt, ending, 10,
                                   ending == AttemptOutcome::completed, 0, {});
      }
      to(now + 20);
    }
    return all;
  }
};

// Danger: a repair order spilled into another zone escapes the first one's receipts, and runs twice.
TEST(RulesWithRooms, WhatMayHaveRunInALostRoomWaitsForItAndEndsInTime) {
  RulesBed bed;
  bed.take(1, 1);  // idempotent-with-key in its zone
  std::vector<Decision> first = bed.pull();
  ASSERT_TRUE(std::holds_alternative<SendAttempt>(first.front()));
  ASSERT_TRUE(RulesBed::own(std::get<SendAttempt>(first.front()).endpoint));
  bed.to(1500);
  bed.rules.recordAttemptOutcome(MessageId{1}, 0, AttemptOutcome::timeout, 500, false, 0,
                                 {});  // it may have run
  for (std::uint32_t n = 2; n < 20; ++n) bed.take(n, 0, static_cast<std::uint16_t>(1 + n % 2));
  std::vector<Decision> all = bed.play(6000);
  ASSERT_TRUE(bed.rules.state().zones.isLost(kOwn));
  int elsewhere = 0, givenUp = 0;
  for (const Decision& d : all) {
    const auto* send = std::get_if<SendAttempt>(&d);
    const auto* fail = std::get_if<FailMessage>(&d);
    if (send != nullptr && send->message == MessageId{1}) {
      EXPECT_TRUE(RulesBed::own(send->endpoint));
    }
    if (fail != nullptr && fail->message == MessageId{1}) ++givenUp;
    elsewhere += send != nullptr && !RulesBed::own(send->endpoint);
  }
  EXPECT_EQ(givenUp, 1);    // once its window has closed, long before its deadline
  EXPECT_GE(elsewhere, 8);  // it has delivered nothing yet, and goes by what it was asked
}

// Danger: more waits for a lost zone than others may take; held until it is too late, all of it is lost.
TEST(RulesWithRooms, WhatDoesNotFitElsewhereInTimeIsShedWithATimeToComeBack) {
  DeploymentSettings terms = roomTerms();
  terms.zoneFailover.spilloverPerSecond = 5;
  RulesBed bed(terms);
  for (std::uint32_t n = 1; n < 30; ++n) bed.take(n, 0, static_cast<std::uint16_t>(1 + n % 2));
  std::vector<Decision> all = bed.play(3000);
  ASSERT_TRUE(bed.rules.state().zones.isLost(kOwn));
  int shed = 0;
  for (const Decision& d : all) {
    const auto* decision = std::get_if<ShedMessage>(&d);
    if (decision == nullptr) continue;
    ++shed;
    EXPECT_GT(decision->retryAfter, 0);
  }
  EXPECT_GT(shed, 5);
  EXPECT_LT(shed, 29);
}

TEST(RulesWithRooms, ALostRoomGetsOneProbeAtATimeAndNoLaunch) {
  RulesBed bed;
  for (std::uint32_t n = 1; n < 30; ++n) bed.take(n, 0, static_cast<std::uint16_t>(1 + n % 2));
  bed.play(3000);
  ASSERT_TRUE(bed.rules.state().zones.isLost(kOwn));
  int probes = 0;
  for (std::uint32_t n = 100; n < 200; ++n) {
    bed.take(n, 0);
    for (const Decision& d : bed.play(bed.now + 100)) {
      if (const auto* send = std::get_if<SendAttempt>(&d)) {
        EXPECT_FALSE(RulesBed::own(send->endpoint));
      }
      probes += std::holds_alternative<SendHealthCheck>(d);
    }
  }
  EXPECT_GE(probes, 2);
  EXPECT_LE(probes, 10);  // in ten seconds, of four endpoints
}

TEST(RoomFacts, SayWhatIsWrongAndWhatWouldBeRight) {
  const std::vector<std::string> zones{"north", "south"};
  auto why = [&](const char* text) {
    try {
      readZoneFailoverSettings(text, zones);
    } catch (const SettingsError& problem) {
      return std::string(problem.what());
    }
    return std::string();
  };
  EXPECT_EQ(why(R"({"tiers":[["north"],["south"]],"spill":{"share":0.5},"return":{"climb_s":20}})"), "");
  EXPECT_NE(why(R"({"tiers":[["nroth"]]})").find("the rooms are north, south"), std::string::npos);
  EXPECT_NE(why(R"({"tiers":[["north"],["north"]]})").find("twice"), std::string::npos);
  EXPECT_NE(why(R"({"tiers":["north"]})").find("list of rooms"), std::string::npos);
  EXPECT_NE(why(R"({"tiers":[["north"]],"spil":{}})").find("spill"), std::string::npos);
  EXPECT_NE(why(R"({"tiers":[["north"]],"spill":{"slots":7}})").find("from 0"), std::string::npos);
  EXPECT_NE(why(R"({"tiers":[["north"]],"destinations":{"x":[["north"]]}})").find("number"),
            std::string::npos);
  EXPECT_NE(why("{}").find("needs 'tiers'"), std::string::npos);
  EXPECT_EQ(readZoneFailoverSettings(R"({"tiers":[["south"]],"destinations":{"7":[["north"]]}})", zones)
                .priorities[0][0],
            kNear);
}

}  // namespace
}  // namespace stonewing::testing
