#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "support/resp_commands.h"
#include "support/resp_server_harness.h"

// What the RESP server's clients occupy in memory and take of a turn (incident 479b48).
namespace stonewing::testing {
namespace {

std::string repeatedPing(int times) {
  std::string pings;
  for (int n = 0; n < times; ++n) pings += kPing;
  return pings;
}

// Clients that once sent a large command kept its memory for as long as they stayed connected.
TEST(RespServerMemory, IsGivenBackAfterALargeCommand) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  sendBytes(fd, submitCommand("large", "c=a,d=1,dest=7", std::string(60'000, 'x')));
  EXPECT_EQ(harness.turnAndReceive(fd, 50), "+OK\r\n");
  EXPECT_EQ(harness.server.memoryBytes(), 0u);
}

TEST(RespServerMemory, StaysWithinItsLimitInEveryTurn) {
  RespServerHarness harness;
  std::string half = submitCommand("half", "c=a,d=1,dest=7", std::string(60'000, 'x')).substr(0, 50'000);
  for (int n = 0; n < 60; ++n) sendBytes(harness.connectClient(), half);
  for (int n = 0; n < 100; ++n) {
    harness.turn();
    EXPECT_LE(harness.server.memoryBytes(), std::size_t{1} << 20);
  }
}

TEST(RespServerMemory, IsBoundedForAClientThatReadsNoReply) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  const std::string pings = repeatedPing(1000);
  for (int n = 0; n < 300; ++n) {
    (void)!::send(fd, pings.data(), pings.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    harness.turn();
    EXPECT_LT(harness.server.memoryBytes(), 100'000u);
  }
}

// One client that pipelines made each turn as long as what it had sent.
TEST(RespServerTurn, AnswersAnOrdinaryClientBesideOneThatPipelines) {
  RespServerHarness harness;
  int greedy = harness.connectClient();
  sendBytes(greedy, repeatedPing(4000));
  harness.turn();
  int ordinary = harness.connectClient();
  sendBytes(ordinary, kPing);
  harness.turn();
  harness.turn();
  EXPECT_EQ(receiveAvailable(ordinary), kPong);
  EXPECT_LE(receiveAvailable(greedy).size(), 3 * TurnAllowance::kMaxCommands * kPong.size());
}

TEST(RespServerTurn, AnswersAllCommandsOfAClientThatPipelines) {
  constexpr int kCommands = 4000;
  RespServerHarness harness;
  int fd = harness.connectClient();
  sendBytes(fd, repeatedPing(kCommands));
  EXPECT_EQ(harness.turnAndReceive(fd, 300).size(), kCommands * kPong.size());
}

// A client that reads slowly gets all replies too, once it reads them.
TEST(RespServerTurn, GoesOnWithAClientOnceItReadsItsReplies) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  const std::string pings = repeatedPing(1000);
  std::size_t sent = 0;
  for (int n = 0; n < 500; ++n) {
    const std::size_t offset = sent % kPing.size();  // continues a command that was sent in part
    ssize_t accepted = ::send(fd, pings.data() + offset, pings.size() - offset, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (accepted > 0) sent += static_cast<std::size_t>(accepted);
    harness.turn();
  }
  std::string received;
  EXPECT_TRUE(eventually(5000,
                         [&] {
                           received += harness.turnAndReceive(fd, 20);
                           return received.size() / kPong.size() == sent / kPing.size();
                         }))
      << received.size() / kPong.size() << " replies to " << sent / kPing.size();
}

}  // namespace
}  // namespace stonewing::testing
