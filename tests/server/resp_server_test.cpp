#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "support/resp_commands.h"
#include "support/resp_server_harness.h"

// Time-outs, eviction and errors of the RESP server meet a request at the wrong instant.
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
  harness.server.onTick();  // its time has expired, and the command is unread
  EXPECT_EQ(harness.turnAndReceive(fd, 200), kPong);
  int silentClient = harness.connectClient();
  EXPECT_EQ(harness.turnAndReceive(silentClient, 3000), "FIN");
  sendBytes(silentClient, kPing);  // no reset, which would lose a reply
  for (int n = 0; n < 5; ++n) harness.turn();
  EXPECT_EQ(receiveAvailable(silentClient), "FIN");
}

// Its place must not be given to another client as its request arrives.
TEST(RespServerEviction, SparesAClientWhoseRequestHasJustArrived) {
  RespServerHarness harness(4);
  std::vector<int> kept;
  for (int n = 0; n < 4; ++n) kept.push_back(harness.connectIdleClient());
  sendBytes(kept[0], submitCommand("arrived", "c=a,d=1,dest=7"));  // the one that would be evicted first
  int next = harness.connectClient();
  sendBytes(next, kPing);
  harness.loop.wait(harness.loop.now());
  // The listener's event is handled before the client's.
  EXPECT_TRUE(harness.server.closeIdlestClient());
  EXPECT_EQ(harness.turnAndReceive(kept[0], 100), kPong + "+OK\r\n");
  EXPECT_EQ(harness.turnAndReceive(next, 100), kPong);
}

TEST(RespServerEviction, ShutsDownIdleClientsBeforeAllPlacesAreTaken) {
  RespServerHarness harness(64);
  std::vector<int> kept;
  for (int n = 0; n < 64; ++n) kept.push_back(harness.connectIdleClient());
  std::string first = receiveAvailable(kept[0]);
  EXPECT_EQ(first, kPong + "FIN");
  sendBytes(kept[0], kPing);  // crosses the end: no reset, which would lose a reply
  for (int n = 0; n < 5; ++n) harness.turn();
  EXPECT_EQ(receiveAvailable(kept[0]), "FIN");
  EXPECT_EQ(receiveAvailable(kept[63]), kPong);
}

// After an error more bytes arrive than are worth reading. If the connection were closed on them, the error
// would be lost.
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

// All that it has sent is read, and replies to nobody are not written for ever.
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
