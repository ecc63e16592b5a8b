#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "support/zone_settings.h"

// What the policy as a whole does while a zone is lost.
namespace stonewing::testing {
namespace {

// A DispatchPolicy with zones: destinations 1 and 2 have two endpoints in the own zone and two in the next.
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

  // What goes to the own zone fails from now on, what goes elsewhere completes. Returns all decisions.
  std::vector<Decision> playUntil(Millis until) {
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

// A message with an idempotency key that spills over into another zone escapes the deduplication of the
// first one, and is executed twice.
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
  std::vector<Decision> all = harness.playUntil(6000);
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
  EXPECT_GE(elsewhere, 8);  // it has delivered nothing yet, and goes by what was submitted
}

// More waits for a lost zone than others may take. Kept until it is too late, all of it would be lost.
TEST(PolicyWithZones, ShedsWithARetryAfterWhatDoesNotFitInOtherZonesInTime) {
  DeploymentSettings settings = zoneSettings();
  settings.zoneFailover.spilloverPerSecond = 5;
  ZonePolicyHarness harness(settings);
  for (std::uint32_t number = 1; number < 30; ++number)
    harness.accept(number, 0, static_cast<std::uint16_t>(1 + number % 2));
  std::vector<Decision> all = harness.playUntil(3000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  int shed = 0;
  for (const Decision& decision : all) {
    const auto* message = std::get_if<ShedMessage>(&decision);
    if (message == nullptr) continue;
    ++shed;
    EXPECT_GT(message->retryAfter, 0);
  }
  EXPECT_GT(shed, 5);
  EXPECT_LT(shed, 29);
}

TEST(PolicyWithZones, SendsALostZoneOneHealthCheckAtATimeAndNoAttempt) {
  ZonePolicyHarness harness;
  for (std::uint32_t message = 1; message < 30; ++message)
    harness.accept(message, 0, static_cast<std::uint16_t>(1 + message % 2));
  harness.playUntil(3000);
  ASSERT_TRUE(harness.policy.state().zones.isLost(kOwnZone));
  int healthChecks = 0;
  for (std::uint32_t message = 100; message < 200; ++message) {
    harness.accept(message, 0);
    for (const Decision& decision : harness.playUntil(harness.now + 100)) {
      if (const auto* send = std::get_if<SendAttempt>(&decision)) {
        EXPECT_FALSE(ZonePolicyHarness::isInOwnZone(send->endpoint));
      }
      healthChecks += std::holds_alternative<SendHealthCheck>(decision);
    }
  }
  EXPECT_GE(healthChecks, 2);
  EXPECT_LE(healthChecks, 10);  // in ten seconds, of four endpoints
}

}  // namespace
}  // namespace stonewing::testing
