#include "server/reply_queue.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "support/loopback.h"

namespace stonewing::testing {
namespace {

constexpr MessageId kFirst{1};
constexpr MessageId kSecond{2};

class ReplyQueueTest : public ::testing::Test {
 protected:
  ReplyQueueTest() { EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()), 0); }
  ~ReplyQueueTest() override {
    for (int fd : sockets) ::close(fd);
  }

  static std::optional<std::string> keep(MessageId) { return std::nullopt; }

  std::array<int, 2> sockets{};
  ReplyQueue replies;
  AcknowledgementChanges changes;
};

TEST_F(ReplyQueueTest, SendsRepliesInOrderAndReplacesThoseOfLostMessages) {
  replies.add({"+PONG\r\n"});
  replies.add({"+OK\r\n", kFirst});
  replies.add({"+OK\r\n", kSecond});
  replies.add({"+PONG\r\n"});
  EXPECT_TRUE(replies.awaitsDecision([](MessageId id) { return id == kFirst; }));
  replies.makeReady(
      [](MessageId id) { return id == kFirst ? std::optional<std::string>("-BUSY\r\n") : std::nullopt; },
      changes);
  EXPECT_EQ(replies.write(sockets[0], changes), ReplyQueue::WriteResult::all);
  EXPECT_EQ(receiveAvailable(sockets[1]), "+PONG\r\n-BUSY\r\n+OK\r\n+PONG\r\n");
  EXPECT_EQ(changes.dropped, std::vector{kFirst});
  EXPECT_EQ(changes.written, std::vector{kSecond});
  EXPECT_TRUE(replies.empty());
}

// A message whose acceptance the client cannot have read may be revoked; one whose acceptance it may have
// read may not.
TEST_F(ReplyQueueTest, ReportsAnAcceptanceAsWrittenOnlyOnceItIsWrittenWhole) {
  replies.add({"+OK\r\n", kFirst});
  replies.add({std::string(4'000'000, 'x')});
  replies.add({"+OK\r\n", kSecond});
  replies.makeReady(keep, changes);
  EXPECT_EQ(replies.write(sockets[0], changes), ReplyQueue::WriteResult::part);
  EXPECT_EQ(changes.written, std::vector{kFirst});
  replies.drop(changes);
  EXPECT_EQ(changes.dropped, std::vector{kSecond});
}

// Thousands of replies of a few bytes must not cost many times their size.
TEST_F(ReplyQueueTest, CountsTheMemoryThatRepliesOccupyAndGivesItBack) {
  constexpr int kReplies = 10'000;
  for (int n = 0; n < kReplies; ++n) replies.add({"+PONG\r\n"});
  EXPECT_GE(replies.memoryBytes(), replies.size());
  EXPECT_LE(replies.memoryBytes(), 3 * replies.size());
  replies.makeReady(keep, changes);
  while (replies.write(sockets[0], changes) != ReplyQueue::WriteResult::all) receiveAvailable(sockets[1]);
  EXPECT_EQ(replies.memoryBytes(), 0u);
}

TEST_F(ReplyQueueTest, FailsWhenTheClientHasGone) {
  ::close(sockets[1]);
  replies.add({"+OK\r\n", kFirst});
  replies.makeReady(keep, changes);
  EXPECT_EQ(replies.write(sockets[0], changes), ReplyQueue::WriteResult::broken);
  replies.drop(changes);
  EXPECT_EQ(changes.dropped, std::vector{kFirst});
  EXPECT_TRUE(changes.written.empty());
}

}  // namespace
}  // namespace stonewing::testing
