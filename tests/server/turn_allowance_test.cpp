#include "server/turn_allowance.h"

#include <gtest/gtest.h>

#include <vector>

namespace stonewing::testing {
namespace {

std::size_t takeAll(TurnAllowance::Share& share) {
  std::size_t taken = 0;
  while (share.takeCommand()) ++taken;
  return taken;
}

// A client that sends without end must not delay those that send one command at a time.
TEST(TurnAllowance, LeavesEachClientItsOwnPartWhateverTheOthersTake) {
  TurnAllowance allowance;
  std::vector<TurnAllowance::Share> greedy(100, TurnAllowance::Share(allowance));
  std::size_t taken = 0;
  for (TurnAllowance::Share& share : greedy) taken += takeAll(share);
  EXPECT_EQ(taken, greedy.size() * TurnAllowance::kOwnCommands + TurnAllowance::kSharedCommands);
  TurnAllowance::Share ordinary(allowance);
  EXPECT_EQ(takeAll(ordinary), TurnAllowance::kOwnCommands);
}

TEST(TurnAllowance, BoundsTheCommandsOfOneClientAndRenewsThemEachTurn) {
  TurnAllowance allowance;
  TurnAllowance::Share share(allowance);
  EXPECT_EQ(takeAll(share), TurnAllowance::kMaxCommands);
  EXPECT_EQ(takeAll(share), 0u);
  allowance.beginTurn();
  EXPECT_EQ(takeAll(share), TurnAllowance::kMaxCommands);
}

TEST(TurnAllowance, BoundsTheBytesOfAllClientsInATurn) {
  TurnAllowance allowance;
  std::vector<TurnAllowance::Share> shares(1000, TurnAllowance::Share(allowance));
  std::size_t read = 0;
  for (TurnAllowance::Share& share : shares) {
    const std::size_t bytes = share.readableBytes();
    EXPECT_GE(bytes, TurnAllowance::kOwnBytes);
    share.recordRead(bytes);
    read += bytes;
    EXPECT_LT(share.readableBytes(), bytes + 1);
  }
  EXPECT_EQ(read, shares.size() * TurnAllowance::kOwnBytes + TurnAllowance::kSharedBytes);
  EXPECT_EQ(shares.front().readableBytes(), 0u);
}

}  // namespace
}  // namespace stonewing::testing
