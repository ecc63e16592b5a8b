#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "support/resp_commands.h"
#include "support/resp_server_harness.h"

// A request arrives at the moment of a time-out, an eviction or an error of the RESP server.
namespace stonewing::testing {
namespace {

TEST(RespServerTimeout, DoesNotCloseAClientWhoseFirstRequestHasArrived) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  for (int n = 0; n < 5; ++n) harness.turn();  // the events of the new connection are handled
  std::this_thread::sleep_for(std::chrono::milliseconds(2250));
  harness.loop.wait(harness.loop.now());
  harness.loop.dispatch();
  sendBytes(fd, kPing);
  harness.server.onTick();  // its time-out has expired while its command is unread
  EXPECT_EQ(harness.turnAndReceive(fd, 200), kPong);
  int silentClient = harness.connectClient();
  EXPECT_EQ(harness.turnAndReceive(silentClient, 3000), "FIN");
  sendBytes(silentClient, kPing);  // must not cause a reset, which would lose a reply
  for (int n = 0; n < 5; ++n) harness.turn();
  EXPECT_EQ(receiveAvailable(silentClient), "FIN");
}

// The idlest client must not be closed for a new one at the moment its request arrives.
TEST(RespServerEviction, SparesAClientWhoseRequestHasJustArrived) {
  RespServerHarness harness(4);
  std::vector<int> idleClients;
  for (int n = 0; n < 4; ++n) idleClients.push_back(harness.connectIdleClient());
  // This client would be evicted first.
  sendBytes(idleClients[0], submitCommand("arrived", "c=a,d=1,dest=7"));
  int newClient = harness.connectClient();
  sendBytes(newClient, kPing);
  harness.loop.wait(harness.loop.now());
  // The listener's event is handled before the client's.
  EXPECT_TRUE(harness.server.closeIdlestClient());
  EXPECT_EQ(harness.turnAndReceive(idleClients[0], 100), kPong + "+OK\r\n");
  EXPECT_EQ(harness.turnAndReceive(newClient, 100), kPong);
}

TEST(RespServerEviction, ShutsDownIdleClientsBeforeAllPlacesAreTaken) {
  RespServerHarness harness(64);
  std::vector<int> idleClients;
  for (int n = 0; n < 64; ++n) idleClients.push_back(harness.connectIdleClient());
  std::string first = receiveAvailable(idleClients[0]);
  EXPECT_EQ(first, kPong + "FIN");
  // Input that crosses the FIN must not cause a reset, which would lose a reply.
  sendBytes(idleClients[0], kPing);
  for (int n = 0; n < 5; ++n) harness.turn();
  EXPECT_EQ(receiveAvailable(idleClients[0]), "FIN");
  EXPECT_EQ(receiveAvailable(idleClients[63]), kPong);
}

// After an error reply more bytes arrive than the server is willing to read. If the connection were closed
// with unread bytes, the client would lose the error reply.
TEST(RespServerErrors, ReachTheClientHoweverMuchItSendsAfterwards) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  std::thread sender([&] { sendBytes(fd, "nonsense\r\n" + std::string(3 << 20, 'x')); });
  std::string received;
  EXPECT_TRUE(eventually(900, [&] {
    harness.turn();
    received += receiveAvailable(fd);
    return received.ends_with("FIN");
  }));
  EXPECT_TRUE(received.starts_with("-ERR ")) << received;
  for (int n = 0; n < 20; ++n) harness.turn();
  EXPECT_EQ(receiveAvailable(fd), "FIN");
  ::shutdown(fd, SHUT_RDWR);
  sender.join();
  EXPECT_TRUE(eventually(2000, [&] {
    harness.turn();
    return harness.server.clientCount() == 0;
  }));
}

// The server reads all that the client has sent, and must not go on writing replies to a client that is gone.
TEST(RespServerErrors, DoNotKeepAClientThatSendsMuchAndCloses) {
  RespServerHarness harness;
  int fd = harness.connectClient();
  std::string all;
  for (int n = 0; n < 200; ++n)
    all += submitCommand("c" + std::to_string(n), "c=a,d=1,dest=7", std::string(900, 'x'));
  sendBytes(fd, all);
  ::close(fd);
  harness.clients.clear();
  EXPECT_TRUE(eventually(2000, [&] {
    harness.turn();
    return harness.server.clientCount() == 0 && harness.accepted.size() > 0;
  }));
}

}  // namespace
}  // namespace stonewing::testing
