#include <gtest/gtest.h>

#include <filesystem>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "storage/message_store.h"
#include "support/message_store_fixture.h"

// What the message store answers for a reference that it knows, compared with the whole submissions that the
// test has kept.
namespace stonewing::testing {
namespace {

constexpr std::size_t kMaxBytes = 500000;

struct Submitted {
  std::string reference;
  std::string orderingKey;
  std::string fields;
  std::string body;
};

StoredMessage decode(const MessageStore& store, const Submitted& submitted, int deadline = 500) {
  return store.decode(submitted.orderingKey, submitted.reference,
                      submitted.fields + ",d=" + std::to_string(deadline), submitted.body, 1000);
}

// Few values for each part, so that two messages often differ in one part alone.
Submitted randomSubmission(const std::string& reference, std::mt19937& random) {
  auto oneOf = [&](std::vector<std::string> values) { return values[random() % values.size()]; };
  return {.reference = reference,
          .orderingKey = oneOf({"0", "2a"}),
          .fields =
              oneOf({"c=order", "c=status"}) + oneOf({"", ",k=5c", ",k=5d"}) + oneOf({",dest=7", ",dest=8"}),
          .body = oneOf({"", "lamp 7", "lamp 8", std::string(3000, 'b')})};
}

bool isSame(const Submitted& one, const Submitted& other) {
  return one.orderingKey == other.orderingKey && one.fields == other.fields && one.body == other.body;
}

enum class Stage { inFlight, delivered, failed, shed };
constexpr unsigned kStages = 4;

struct Accepted {
  Submitted submitted;
  MessageId id;
  Stage stage{Stage::inFlight};
};

void endOne(MessageStore& store, Accepted& accepted, Stage stage) {
  const bool mayHaveExecuted = stage == Stage::delivered || stage == Stage::failed;
  if (mayHaveExecuted) store.recordAttempt(accepted.id, 0, {"s-1", DestinationId{7}, {}, {}}, 1000);
  if (stage == Stage::delivered) store.recordDelivered(accepted.id);
  if (stage == Stage::failed) store.addPendingNotification(accepted.id, FinalOutcome::failed, 0);
  if (stage == Stage::shed) store.addPendingNotification(accepted.id, FinalOutcome::shed, 250);
  accepted.stage = stage;
}

void expectSameMessage(const SubmissionMatch& match, const Accepted& accepted) {
  if (accepted.stage == Stage::inFlight) {
    ASSERT_TRUE(std::holds_alternative<SameInFlight>(match));
    EXPECT_EQ(std::get<SameInFlight>(match).id, accepted.id);
    return;
  }
  ASSERT_TRUE(std::holds_alternative<SameExecuted>(match));
  const bool isDelivered = std::get<SameExecuted>(match).outcome == ExecutedOutcome::delivered;
  EXPECT_EQ(isDelivered, accepted.stage == Stage::delivered);
}

void expectMatches(const MessageStore& store, const Accepted& accepted, const Submitted& submitted) {
  const SubmissionMatch match = store.match(decode(store, submitted, 100));
  if (accepted.stage == Stage::shed) {
    ASSERT_TRUE(std::holds_alternative<ShedUnconfirmed>(match));
    EXPECT_EQ(std::get<ShedUnconfirmed>(match).retryAfter, 250);
  } else if (isSame(submitted, accepted.submitted)) {
    expectSameMessage(match, accepted);
  } else {
    ASSERT_TRUE(std::holds_alternative<ReferenceConflict>(match));
  }
}

void expectMatchesEach(const MessageStore& store, const std::vector<Accepted>& all, std::mt19937& random) {
  for (const Accepted& accepted : all) {
    expectMatches(store, accepted, accepted.submitted);
    expectMatches(store, accepted, randomSubmission(accepted.submitted.reference, random));
  }
}

// Guards against a reference that stands for its message: another message was answered as the one in flight,
// delivered or failed.
TEST(SubmissionMatch, IsOfTheWholeMessageInEachStageAndAfterAKill) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    StoreFixture fixture(kMaxBytes);
    fixture.store.restore();
    std::vector<Accepted> all;
    for (int number = 0; number < 60; ++number) {
      Submitted submitted = randomSubmission("m-" + std::to_string(number), random);
      auto id = fixture.store.accept(decode(fixture.store, submitted));
      ASSERT_TRUE(id.has_value());
      all.push_back({submitted, *id});
    }
    for (Accepted& accepted : all) {
      const auto stage = static_cast<Stage>(random() % kStages);
      if (stage != Stage::inFlight) endOne(fixture.store, accepted, stage);
    }
    fixture.store.commit();
    expectMatchesEach(fixture.store, all, random);
    MessageStore restored(fixture.names, fixture.directory.path.string(), kMaxBytes);
    restored.restore();
    expectMatchesEach(restored, all, random);
  }
}

// Accepts and delivers other messages until the journal has been compacted. Returns whether it was.
bool deliverUntilCompacted(StoreFixture& fixture) {
  const auto journal = fixture.directory.path / "journal";
  for (int number = 0; number < 2000; ++number) {
    const std::size_t sizeBefore = std::filesystem::file_size(journal);
    auto id = fixture.accept("other-" + std::to_string(number), 2000);
    if (!id) return false;
    fixture.store.recordDelivered(*id);
    fixture.store.commit();
    if (std::filesystem::file_size(journal) < sizeBefore) return true;
  }
  return false;
}

// Guards against a compaction that forgets which messages have ended: after it and a kill, the same message
// was accepted anew and executed a second time.
TEST(SubmissionMatch, IsOfTheWholeMessageAfterACompactionAndAKill) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    StoreFixture fixture(kMaxBytes);
    fixture.store.restore();
    std::vector<Accepted> all;
    for (int number = 0; number < 60; ++number) {
      Submitted submitted = randomSubmission("m-" + std::to_string(number), random);
      auto id = fixture.store.accept(decode(fixture.store, submitted));
      ASSERT_TRUE(id.has_value());
      all.push_back({submitted, *id});
      endOne(fixture.store, all.back(), static_cast<Stage>(1 + random() % (kStages - 1)));
    }
    ASSERT_TRUE(deliverUntilCompacted(fixture));
    expectMatchesEach(fixture.store, all, random);
    MessageStore restored(fixture.names, fixture.directory.path.string(), kMaxBytes);
    restored.restore();
    expectMatchesEach(restored, all, random);
  }
}

// Guards against a compaction that leaves out ended messages as soon as the journal has no space for them
// beside all that may be recorded of those in flight: an ended message was accepted anew after a kill.
TEST(SubmissionMatch, IsOfAnEndedMessageAfterACompactionWithManyInFlight) {
  constexpr std::size_t kInFlight = 60;  // with their reserve, a third of the journal
  constexpr int kOthers = 300;
  StoreFixture fixture(kMaxBytes);
  fixture.store.restore();
  Accepted ended{.submitted = {"ended", "0", "c=order,dest=7", "lamp 7"}, .id = {}};
  ended.id = *fixture.store.accept(decode(fixture.store, ended.submitted));
  endOne(fixture.store, ended, Stage::delivered);
  std::size_t written = 0;
  for (int number = 0; number < kOthers; ++number) {
    ASSERT_TRUE(fixture.accept("other-" + std::to_string(number), 2000).has_value());
    written += 2000;
    const auto& inFlight = fixture.store.inFlight();
    if (inFlight.size() > kInFlight) {
      const MessageId oldest = inFlight.begin()->first;
      fixture.store.recordAttempt(oldest, 0, {"s-1", DestinationId{7}, {}, {}}, 1000);
      fixture.store.recordDelivered(oldest);
    }
    fixture.store.commit();
  }
  ASSERT_LT(std::filesystem::file_size(fixture.directory.path / "journal"), written);
  MessageStore restored(fixture.names, fixture.directory.path.string(), kMaxBytes);
  restored.restore();
  expectMatches(restored, ended, ended.submitted);
  expectMatches(restored, ended, {"ended", "0", "c=order,dest=7", "lamp 8"});
}

TEST(SubmissionMatch, IsNewForAReferenceThatIsUnknownRevokedOrWhoseNotificationIsConfirmed) {
  StoreFixture fixture;
  fixture.store.restore();
  auto match = [&](const std::string& reference) {
    return fixture.store.match(decode(fixture.store, {reference, "0", "c=order,dest=7", ""}));
  };
  EXPECT_TRUE(std::holds_alternative<NewSubmission>(match("unknown")));
  fixture.store.recordRevoked(*fixture.accept("revoked"));
  EXPECT_TRUE(std::holds_alternative<NewSubmission>(match("revoked")));
  MessageId shed = *fixture.accept("shed");
  fixture.store.addPendingNotification(shed, FinalOutcome::shed, 0);
  EXPECT_TRUE(std::holds_alternative<ShedUnconfirmed>(match("shed")));
  fixture.store.confirmNotification(shed);
  EXPECT_TRUE(std::holds_alternative<NewSubmission>(match("shed")));
}

// An earlier program accepted a message under the reference of one whose notification was pending.
TEST(SubmissionMatch, IsOfTheLatestNotificationOfAReference) {
  StoreFixture fixture;
  fixture.store.restore();
  MessageId first = *fixture.accept("twice");
  fixture.store.addPendingNotification(first, FinalOutcome::shed, 100);
  MessageId second = *fixture.accept("twice");
  fixture.store.addPendingNotification(second, FinalOutcome::shed, 200);
  fixture.store.commit();
  MessageStore restored(fixture.names, fixture.directory.path.string(), kMaxBytes);
  restored.restore();
  auto match = [&] { return restored.match(decode(restored, {"twice", "0", "c=order,dest=7", ""})); };
  restored.confirmNotification(first);
  ASSERT_TRUE(std::holds_alternative<ShedUnconfirmed>(match()));
  EXPECT_EQ(std::get<ShedUnconfirmed>(match()).retryAfter, 200);
  restored.confirmNotification(second);
  EXPECT_TRUE(std::holds_alternative<NewSubmission>(match()));
}

// The settings have changed, and the message of the journal cannot be compared with anything. It may have
// been executed, so that neither +OK nor -BUSY would be true.
TEST(SubmissionMatch, IsFailedForAMessageThatTheSettingsDoNotKnowAnyMore) {
  StoreFixture fixture;
  fixture.store.restore();
  fixture.accept("undeliverable");
  fixture.store.commit();
  NameTables changed = fixture.names;
  changed.trafficTypes = {"status"};
  MessageStore restored(changed, fixture.directory.path.string(), kMaxBytes);
  restored.restore();
  const SubmissionMatch match =
      restored.match(decode(restored, {"undeliverable", "0", "c=status,dest=7", ""}));
  ASSERT_TRUE(std::holds_alternative<SameExecuted>(match));
  EXPECT_EQ(std::get<SameExecuted>(match).outcome, ExecutedOutcome::failed);
}

}  // namespace
}  // namespace stonewing::testing
