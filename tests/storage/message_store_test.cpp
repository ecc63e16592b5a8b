#include "storage/message_store.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>

#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/errors.h"
#include "support/message_store_fixture.h"
#include "support/temporary_directory.h"

// Tests which records the message store keeps, rejects and restores.
namespace stonewing::testing {
namespace {

// Limits the size of all files of this process to `bytes` from now on; 0 removes the limit.
void limitFileSize(std::size_t bytes) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = bytes > 0 ? bytes : limit.rlim_max;
  ::setrlimit(RLIMIT_FSIZE, &limit);
}

TEST(MessageStore, RestoresWhatIsUnfinishedAndNothingElse) {
  StoreFixture fixture;
  EXPECT_EQ(fixture.store.restore(), 0u);
  auto inFlight = fixture.accept("in-flight");
  auto delivered = fixture.accept("delivered");
  auto shed = fixture.accept("shed");
  auto confirmed = fixture.accept("confirmed");
  EndpointRecord endpoint{"s-1", DestinationId{7}, KindId{1}, ZoneId{0}};
  ASSERT_TRUE(fixture.store.recordAttempt(*inFlight, 0, endpoint, 1234));
  ASSERT_TRUE(fixture.store.recordAttempt(*inFlight, 1, endpoint, 1300));
  fixture.store.recordNotExecuted(*inFlight, 0);
  fixture.store.recordDelivered(*delivered);
  fixture.store.addPendingNotification(*shed, FinalOutcome::shed, 250);
  fixture.store.addPendingNotification(*confirmed, FinalOutcome::failed, 0);
  fixture.store.confirmNotification(*confirmed);
  fixture.store.commit();
  MessageStore restored(fixture.names, fixture.directory.path.string(), 60000);
  EXPECT_EQ(restored.restore(), 0u);
  ASSERT_EQ(restored.inFlight().size(), 1u);
  const StoredMessage& message = restored.inFlight().at(*inFlight);
  EXPECT_EQ(message.reference, "in-flight");
  EXPECT_EQ(message.idempotencyKey, "5c");
  EXPECT_EQ(message.deadlineWall, 1500);
  EXPECT_EQ(message.body->size(), 100u);
  ASSERT_EQ(message.attempts.size(), 2u);
  EXPECT_TRUE(message.attempts[0].provablyNotExecuted);
  EXPECT_FALSE(message.attempts[1].provablyNotExecuted);
  EXPECT_EQ(message.attempts[1].sentWall, 1300);
  EXPECT_EQ(message.attempts[1].endpoint.kind, KindId{1});
  ASSERT_EQ(restored.pendingNotifications().size(), 1u);
  EXPECT_EQ(restored.pendingNotifications().at(*shed).retryAfter, 250);
  EXPECT_GT(restored.accept(restored.decode("0", "new", "c=status,d=1,dest=1", "", 0))->value,
            confirmed->value);
}

// A dispatcher that exceeds its disk limit counts as crashed. The limit applies to the total size of the
// journal and the compacted file.
TEST(MessageStore, StaysWithinItsDiskLimitAndRejectsWhatDoesNotFit) {
  StoreFixture fixture;
  fixture.store.restore();
  std::vector<MessageId> inFlight;
  std::size_t rejected = 0;
  for (int n = 0; n < 3000; ++n) {
    if (auto id = fixture.accept("c" + std::to_string(n), n % 700 == 0 ? 25000 : 300)) {
      inFlight.push_back(*id);
    } else {
      ++rejected;
    }
    if (inFlight.size() > 5 || (!inFlight.empty() && rejected > 0 && n % 3 == 0)) {
      EXPECT_TRUE(fixture.store.recordAttempt(inFlight.front(), 0, {"s-1", {}, {}, {}}, n));
      fixture.store.recordDelivered(inFlight.front());
      inFlight.erase(inFlight.begin());
    }
    if (n % 4 == 0) fixture.store.commit();
    std::size_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(fixture.directory.path))
      bytes += file.file_size();
    ASSERT_LE(bytes, 60000u);
  }
  fixture.store.commit();
  EXPECT_GT(rejected, 0u);
  EXPECT_LT(rejected, 100u);
  MessageStore restored(fixture.names, fixture.directory.path.string(), 60000);
  restored.restore();
  EXPECT_EQ(restored.inFlight().size(), inFlight.size());
}

// Only a part of the records of one turn fits. An attempt without a record must not be sent. Its number must
// not make another attempt, which may have been executed, count as provably not executed.
// How many messages of 100 bytes the store accepts until its journal is full.
int acceptUntilFull(StoreFixture& fixture) {
  int accepted = 0;
  while (fixture.accept("fills-" + std::to_string(accepted))) {
    ++accepted;
    fixture.store.commit();
  }
  return accepted;
}

// What is remembered of ended messages must not take the space of messages in flight.
TEST(MessageStore, AcceptsAsManyMessagesWithEndedOnesInItsJournal) {
  constexpr std::size_t kMaxBytes = 200'000;
  StoreFixture fresh(kMaxBytes);
  fresh.store.restore();
  StoreFixture used(kMaxBytes);
  used.store.restore();
  for (int n = 0; n < 3000; ++n) {
    auto id = used.accept("ended-" + std::to_string(n));
    ASSERT_TRUE(id.has_value());
    used.store.recordAttempt(*id, 0, {"s-1", DestinationId{7}, {}, {}}, 1000);
    used.store.recordDelivered(*id);
    used.store.commit();
  }
  EXPECT_EQ(acceptUntilFull(used), acceptUntilFull(fresh));
}

TEST(MessageStore, KeepsTheRecordsOfACommitThatFitAndNumbersAttemptsByThem) {
  StoreFixture fixture;
  fixture.store.restore();
  auto first = fixture.accept("first");
  fixture.store.commit();
  limitFileSize(std::filesystem::file_size(fixture.directory.path / "journal") + 300);
  auto large = fixture.accept("large", 2000);
  auto small = fixture.accept("small", 10);
  ASSERT_TRUE(fixture.store.recordAttempt(*first, 0, {std::string(400, 'e'), {}, {}, {}}, 1));
  fixture.store.commit();
  limitFileSize(0);
  EXPECT_TRUE(fixture.store.isLostAcceptance(*large));
  EXPECT_FALSE(fixture.store.isLostAcceptance(*small));
  EXPECT_TRUE(fixture.store.isLostAttempt(*first, 0));
  EXPECT_EQ(fixture.store.find(*large), nullptr);
  ASSERT_TRUE(fixture.store.recordAttempt(*first, 1, {"s-1", {}, {}, {}}, 2));
  ASSERT_TRUE(fixture.store.recordAttempt(*first, 2, {"s-2", {}, {}, {}}, 3));
  fixture.store.recordNotExecuted(*first, 0);
  fixture.store.recordNotExecuted(*first, 2);
  fixture.store.commit();
  MessageStore restored(fixture.names, fixture.directory.path.string(), 60000);
  restored.restore();
  EXPECT_EQ(restored.inFlight().size(), 2u);
  const auto& attempts = restored.find(*first)->attempts;
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_EQ(attempts[0].sentWall, 2);
  EXPECT_FALSE(attempts[0].provablyNotExecuted);
  EXPECT_TRUE(attempts[1].provablyNotExecuted);
}

TEST(MessageStore, RejectsASubmitWithAWrongField) {
  StoreFixture fixture;
  for (auto [reference, fields] : {std::pair{"a b", "c=order,d=1,dest=1"},
                                   {"a", "c=none,d=1,dest=1"},
                                   {"a", "c=order,d=1"},
                                   {"a", "c=order,d=x,dest=1"},
                                   {"a", "c=order,d=-1,dest=1"},
                                   {"a", "c=order,d=1,dest=70000"},
                                   {"a", "c"},
                                   {"a", ""},
                                   {"a\r\nX: y", "c=order,d=1,dest=1"},
                                   {"", "c=order,d=1,dest=1"}}) {
    EXPECT_THROW(fixture.store.decode("00", reference, fields, "", 0), ProtocolError)
        << reference << " " << fields;
  }
  EXPECT_THROW(fixture.store.decode("zz", "a", "c=order,d=1,dest=1", "", 0), ProtocolError);
}

}  // namespace
}  // namespace stonewing::testing
