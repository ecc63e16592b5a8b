#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "support/resp_commands.h"
#include "support/resp_server_harness.h"

// A request or a client arrives at a critical moment of the RESP server's drain (docs/sockets.md has a table
// of the cases).
namespace stonewing::testing {
namespace {

// Closing a connection with unread bytes resets it, and the client can lose its last reply.
TEST(RespServerDrain, AnswersARequestThatIsNotReadYet) {
  RespServerHarness harness;
  int fd = harness.connectIdleClient();
  sendBytes(fd, submitCommand("late", "c=a,d=1,dest=7"));
  harness.server.drain();
  EXPECT_EQ(harness.turnAndReceive(fd, 500), kPong + "+OK\r\n" + "FIN");
  EXPECT_EQ(harness.accepted.size(), 1u);
}

// A request that is read after the shutdown can no longer be answered. If it were accepted, its message would
// be sent without the client's knowledge.
TEST(RespServerDrain, DoesNotAcceptARequestThatArrivesAfterTheShutdown) {
  RespServerHarness harness;
  int fd = harness.connectIdleClient();
  harness.server.drain();
  for (const std::string& request :
       {submitCommand("late", "c=a,d=1,dest=7"), submitCommand("later", "c=a,d=1,dest=7")}) {
    sendBytes(fd, request);
    harness.turn();
  }
  EXPECT_EQ(receiveAvailable(fd, 200), kPong + "FIN");
  harness.turn();
  EXPECT_TRUE(harness.accepted.empty());
  EXPECT_EQ(harness.server.clientCount(), 1u);  // the client may still be sending
  ::shutdown(fd, SHUT_WR);
  EXPECT_TRUE(eventually(500, [&] {
    harness.turn();
    return harness.server.clientCount() == 0;
  }));
}

TEST(RespServerDrain, ClosesAClientThatNeverStopsSending) {
  RespServerHarness harness;
  int fd = harness.connectIdleClient();
  harness.server.drain();
  Millis began = harness.loop.now();
  EXPECT_TRUE(eventually(3000, [&] {
    sendBytes(fd, kPing);
    harness.turn();
    return harness.server.clientCount() == 0;
  }));
  EXPECT_LT(harness.loop.now() - began, 1500);
}

TEST(RespServerDrain, AnswersARequestThatIsHalfReceived) {
  RespServerHarness harness;
  int fd = harness.connectIdleClient();
  std::string whole = submitCommand("half", "c=a,d=1,dest=7");
  sendBytes(fd, whole.substr(0, 20));
  harness.turn();
  harness.server.drain();
  harness.turn();
  sendBytes(fd, whole.substr(20));
  EXPECT_EQ(harness.turnAndReceive(fd, 500), kPong + "+OK\r\n" + "FIN");
}

// To the client, a new connection that is closed without a reply looks like a refused one.
TEST(RespServerDrain, GivesANewClientTheTimeForItsFirstRequest) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  harness.turn();
  harness.server.drain();
  harness.turn();
  EXPECT_EQ(receiveAvailable(fd), "");
  sendBytes(fd, submitCommand("first", "c=a,d=1,dest=7"));
  EXPECT_EQ(harness.turnAndReceive(fd, 500), "+OK\r\nFIN");
  int silentClient = harness.connectClient();  // not accepted yet
  harness.server.stopListening();
  Millis began = harness.loop.now();
  EXPECT_EQ(harness.turnAndReceive(silentClient, 2000), "FIN");
  EXPECT_LT(harness.loop.now() - began, 800);
}

// Closing the listener resets connections that wait to be accepted, and the requests sent on them are lost.
TEST(RespServerDrain, AnswersClientsThatWaitToBeAccepted) {
  constexpr int kClientCount = 200;  // more than the server accepts in one turn
  RespServerHarness harness(400);
  for (int n = 0; n < kClientCount; ++n)
    sendBytes(harness.connectClient(), submitCommand("c" + std::to_string(n), "c=a,d=1,dest=7"));
  harness.server.stopListening();
  harness.server.drain();
  for (int fd : harness.clients) ASSERT_EQ(harness.turnAndReceive(fd, 1000), "+OK\r\nFIN");
  EXPECT_EQ(harness.accepted.size(), static_cast<std::size_t>(kClientCount));
}

}  // namespace
}  // namespace stonewing::testing
