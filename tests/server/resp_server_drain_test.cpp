#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "support/resp_commands.h"
#include "support/resp_server_harness.h"

// The drain of the RESP server meets a request or a client at the wrong instant (docs/sockets.md has the
// table).
namespace stonewing::testing {
namespace {

// Closing a connection with unread bytes resets it, and the last reply is lost with it.
TEST(RespServerDrain, AnswersARequestThatIsNotReadYet) {
  RespServerHarness harness;
  int fd = harness.connectIdleClient();
  sendBytes(fd, submitCommand("late", "c=a,d=1,dest=7"));
  harness.server.drain();
  EXPECT_EQ(harness.turnAndReceive(fd, 500), kPong + "+OK\r\n" + "FIN");
  EXPECT_EQ(harness.accepted.size(), 1u);
}

// What is read after the shutdown can no longer be answered. Accepted and sent, it would be lost to its
// client.
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
  EXPECT_EQ(harness.server.clientCount(), 1u);  // it may still be writing
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

// A new connection that is closed without a reply looks like a refused one, and tells its client nothing.
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

// A client that waits to be accepted when the listener closes is reset, with all it has sent.
TEST(RespServerDrain, AnswersClientsThatWaitToBeAccepted) {
  constexpr int kClientCount = 200;  // more than one turn accepts
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
