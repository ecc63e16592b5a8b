#include <gtest/gtest.h>

#include <filesystem>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>
#include <string>

#include "storage/message_store.h"
#include "support/message_store_fixture.h"
#include "support/temporary_directory.h"

// A kill between any two commits, including those during an incremental compaction.
namespace stonewing::testing {
namespace {

std::string contentOf(const MessageStore& store) {
  std::ostringstream content;
  for (const auto& [id, message] : store.inFlight()) {
    content << id.value << message.reference << *message.body;
    for (const AttemptRecord& attempt : message.attempts) {
      content << " at " << attempt.sentWall << attempt.provablyNotExecuted;
    }
  }
  for (const auto& [id, notification] : store.pendingNotifications()) {
    content << id.value << notification.reference << notification.retryAfter;
  }
  return content.str();
}

// Requests may begin in another order than that of their attempts: the numbers are 1, 0, 3, 2 and so on.
void recordNextAttempt(MessageStore& store, MessageId id, Millis sentWall) {
  const StoredMessage* message = store.find(id);
  int number = message == nullptr ? 0 : static_cast<int>(message->attempts.size()) ^ 1;
  store.recordAttempt(id, number, {"s-1", DestinationId{7}, {}, {}}, sentWall);
}

// Each test runs once with a journal written by the calling thread and once with the background writer. With
// the background writer, further changes are recorded while a commit is in progress.
class MessageStoreRestart : public ::testing::TestWithParam<JournalWriter> {};
INSTANTIATE_TEST_SUITE_P(Writers, MessageStoreRestart,
                         ::testing::Values(JournalWriter::callingThread, JournalWriter::backgroundThread));

// After a kill, the journal must restore exactly the state of the last commit.
TEST_P(MessageStoreRestart, RestoresWhatTheLastCommitKeptWhenKilledAfterIt) {
  std::mt19937 random(11);
  constexpr std::size_t kMaxBytes = 500000;
  StoreFixture fixture(kMaxBytes, GetParam());
  int compactions = 0;
  std::string committed;
  bool isCommitting = false;
  for (int step = 0; step < 9000; ++step) {
    auto any = [&](const auto& messages) {
      return messages.empty()
                 ? MessageId{0}
                 : std::next(messages.begin(), static_cast<long>(random() % messages.size()))->first;
    };
    auto anyInFlight = [&] { return any(fixture.store.inFlight()); };
    auto action = random() % 7;
    if (action < 2) fixture.accept("c" + std::to_string(step), 50 + random() % 5000);
    if (action == 2) recordNextAttempt(fixture.store, anyInFlight(), step);
    if (action == 3) fixture.store.recordNotExecuted(anyInFlight(), static_cast<int>(random() % 3));
    if (action == 4) fixture.store.recordDelivered(anyInFlight());
    if (action == 5) fixture.store.addPendingNotification(anyInFlight(), FinalOutcome::shed, step);
    if (action == 6) fixture.store.confirmNotification(any(fixture.store.pendingNotifications()));
    if (random() % 3 != 0) continue;
    if (!isCommitting) {
      fixture.store.beginCommit();
      committed = contentOf(fixture.store);
      isCommitting = true;
      if (GetParam() == JournalWriter::backgroundThread && fixture.store.lastCommitHeldRecords() &&
          random() % 2 == 0)
        continue;
    }
    while (!fixture.store.finishCommit(1000)) {
    }
    isCommitting = false;
    if (!fixture.store.lastCommitHeldRecords()) continue;
    int compacting = std::filesystem::exists(fixture.directory.path / "journal.new") ? 1 : 0;
    compactions += compacting;
    if (compacting == 0 && random() % 16 != 0) continue;
    TemporaryDirectory killed;
    std::filesystem::copy(fixture.directory.path / "journal", killed.path / "journal");
    MessageStore restored(fixture.names, killed.path.string(), kMaxBytes);
    ASSERT_EQ(restored.restore(), 0u);
    ASSERT_EQ(contentOf(restored), committed) << step;
  }
  EXPECT_GT(compactions, 10);
}

}  // namespace
}  // namespace stonewing::testing
