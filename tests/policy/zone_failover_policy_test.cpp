#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "support/zone_settings.h"

// The decisions of the whole policy while a zone is lost.
namespace stonewing::testing {
namespace {

// A DispatchPolicy with zones: destinations 1 and 2 each have two endpoints in the dispatcher's own zone and
// two in the near zone.
struct ZonePolicyHarness {
  Millis now = 1000;
  DeploymentSettings settings;
  DispatchPolicy policy;

  explicit ZonePolicyHarness(DeploymentSettings requested = zoneSettings())
      : settings(requested), policy(requested, 7) {
    policy.beginRound(now);
    policy.beginEndpointList();
    for (std::uint16_t destination = 1; destination <= 2; ++destination) {
      for (std::uint64_t number = 1; number <= 4; ++number) {
        policy.addEndpoint(endpointId(10u * destination + number), DestinationId{destination}, KindId{0},
                           ZoneId{number > 2}, 1, EndpointState::ready);
      }
    }
    policy.commitEndpointList(true);
  }

  void advanceTo(Millis time) { policy.beginRound(now = time); }
  void accept(std::uint32_t message, std::uint16_t type, std::uint16_t destination = 1) {
    policy.acceptMessage(MessageId{message}, TrafficTypeId{type}, {}, {}, DestinationId{destination},
                         now + 10000);
  }
  std::vector<Decision> allDecisions() {
    std::vector<Decision> found;
    while (auto decision = policy.nextDecision()) found.push_back(*decision);
    return found;
  }
  static bool isInOwnZone(EndpointId endpoint) { return endpoint.value % 10 <= 2; }

  // Runs rounds until the given time; everything sent to the own zone fails, everything else completes.
  // Returns all decisions.
  std::vector<Decision> runUntil(Millis until) {
    std::vector<Decision> all;
    while (now < until) {
      for (const Decision& decision : allDecisions()) {
        all.push_back(decision);
        respondTo(decision);
      }
      advanceTo(now + 20);
    }
    return all;
  }

 private:
  void respondTo(const Decision& decision) {
    if (const auto* check = std::get_if<SendHealthCheck>(&decision)) {
      policy.recordHealthCheckOutcome(
          check->endpoint, isInOwnZone(check->endpoint) ? AttemptOutcome::timeout : AttemptOutcome::completed,
          {});
    }
    if (const auto* send = std::get_if<SendAttempt>(&decision)) {
      AttemptOutcome outcome =
          isInOwnZone(send->endpoint) ? AttemptOutcome::connectFailed : AttemptOutcome::completed;
      policy.recordAttemptOutcome(send->message, send->attempt, outcome, 10,
                                  outcome == AttemptOutcome::completed, 0, {});
    }
  }
};

// A message that may have been executed must not spill over if its idempotency key is known in its first zone
// only. The other zone would not recognize the key, and the message could be executed twice.
TEST(PolicyWithZones, KeepsWhatMayHaveBeenExecutedInALostZoneAndFinishesItInTime) {
  ZonePolicyHarness harness;
  harness.accept(1, 1);  // idempotent with a key within its zone
  std::vector<Decision> first = harness.allDecisions();
  ASSERT_TRUE(std::holds_alternative<SendAttempt>(first.front()));
  ASSERT_TRUE(ZonePolicyHarness::isInOwnZone(std::get<SendAttempt>(first.front()).endpoint));
  harness.advanceTo(1500);
  harness.policy.recordAttemptOutcome(MessageId{1}, 0, AttemptOutcome::timeout, 500, false, 0,
                                      {});  // it may have been executed
  for (std::uint32_t message = 2; message < 20; ++message)
    harness.accept(message, 0, static_cast<std::uint16_t>(1 + message % 2));
  std::vector<Decision> all = harness.runUntil(6000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  int elsewhere = 0, failed = 0;
  for (const Decision& decision : all) {
    const auto* send = std::get_if<SendAttempt>(&decision);
    const auto* fail = std::get_if<FailMessage>(&decision);
    if (send != nullptr && send->message == MessageId{1}) {
      EXPECT_TRUE(ZonePolicyHarness::isInOwnZone(send->endpoint));
    }
    if (fail != nullptr && fail->message == MessageId{1}) ++failed;
    elsewhere += send != nullptr && !ZonePolicyHarness::isInOwnZone(send->endpoint);
  }
  EXPECT_EQ(failed, 1);     // once its deduplication window has closed, long before its deadline
  EXPECT_GE(elsewhere, 8);  // the rate follows the accepted messages; nothing was delivered yet
}

// More messages wait for a lost zone than other zones may take before the deadlines, 10 s after their
// submission. If none were shed in time, those that are left would be notified only then.
TEST(PolicyWithZones, ShedsWithARetryAfterWhatDoesNotFitInOtherZonesInTime) {
  DeploymentSettings settings = zoneSettings();
  settings.zoneFailover.spilloverPerSecond = 1;  // two zones take 20 of 29 messages in 10 s
  ZonePolicyHarness harness(settings);
  for (std::uint32_t number = 1; number < 30; ++number)
    harness.accept(number, 0, static_cast<std::uint16_t>(1 + number % 2));
  std::vector<Decision> all = harness.runUntil(3000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  int shed = 0;
  for (const Decision& decision : all) {
    const auto* message = std::get_if<ShedMessage>(&decision);
    if (message == nullptr) continue;
    ++shed;
    EXPECT_GT(message->retryAfter, 0);
  }
  EXPECT_GE(shed, 7);
  EXPECT_LE(shed, 11);  // a loss takes up to 2 s to be seen
}

// A message is late after its latency objective of 1 s, and may still be delivered for 9 s more.
TEST(PolicyWithZones, KeepsWhatOtherZonesCanTakeBeforeItsDeadline) {
  DeploymentSettings settings = zoneSettings();
  settings.zoneFailover.spilloverPerSecond = 2.5;  // two zones take 40 messages in 8 s
  ZonePolicyHarness harness(settings);
  for (std::uint32_t number = 1; number < 30; ++number)
    harness.accept(number, 0, static_cast<std::uint16_t>(1 + number % 2));
  int shed = 0;
  std::vector<Decision> all = harness.runUntil(12000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  for (const Decision& decision : all) shed += std::holds_alternative<ShedMessage>(decision);
  EXPECT_EQ(shed, 0);
  EXPECT_EQ(harness.policy.state().messagesInFlight, 0);
}

TEST(PolicyWithZones, SendsALostZoneOneHealthCheckAtATimeAndNoAttempt) {
  ZonePolicyHarness harness;
  for (std::uint32_t message = 1; message < 30; ++message)
    harness.accept(message, 0, static_cast<std::uint16_t>(1 + message % 2));
  harness.runUntil(3000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  int healthChecks = 0;
  for (std::uint32_t message = 100; message < 200; ++message) {
    harness.accept(message, 0);
    for (const Decision& decision : harness.runUntil(harness.now + 100)) {
      if (const auto* send = std::get_if<SendAttempt>(&decision)) {
        EXPECT_FALSE(ZonePolicyHarness::isInOwnZone(send->endpoint));
      }
      healthChecks += std::holds_alternative<SendHealthCheck>(decision);
    }
  }
  EXPECT_GE(healthChecks, 2);
  EXPECT_LE(healthChecks, 10);  // in ten seconds, to four endpoints
}

}  // namespace
}  // namespace stonewing::testing
