#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/errors.h"
#include "net/event_loop.h"
#include "server/resp_server.h"
#include "support/loopback.h"
#include "support/resp_commands.h"

namespace stonewing::testing {

inline const std::string kPing = respCommand({"PING"});
inline const std::string kPong = "+PONG\r\n";

// A RespServer without a dispatcher, on an event loop whose turns the test runs, so that the test determines
// the order of events. PING is answered, and every SUBMIT is accepted.
struct RespServerHarness {
  EventLoop loop;
  std::vector<std::string> accepted;  // references of the accepted messages
  std::uint16_t port = unusedPort();
  std::vector<int> clients;  // client sockets; closed by the destructor
  RespServer server;

  explicit RespServerHarness(std::size_t maxClients = 64)
      : server(loop, maxClients, 1 << 20,
               [this](const auto& words, CommandSource) -> RespServer::CommandReply {
                 if (words[0] == "PING") return {kPong};
                 if (words[0] != "SUBMIT") throw ProtocolError("unknown command");
                 accepted.emplace_back(words[2]);
                 return {"+OK\r\n"};
               }) {
    server.listen(*parseAddress("127.0.0.1:" + std::to_string(port)));
  }
  ~RespServerHarness() {
    for (int fd : clients) ::close(fd);
  }

  int connectClient() { return clients.emplace_back(connectToLoopback(port)); }

  void sendReplies() {
    server.sendReplies([](MessageId) { return true; }, [](MessageId, ClientSide) { return std::nullopt; });
  }

  void turn() {
    loop.wait(loop.now() + 2);
    loop.dispatch();
    server.onTick();
    sendReplies();
  }

  // Runs turns of the loop for `duration`, or until the connection ends. Returns the bytes that the client
  // received, with FIN or RST appended for the end of the connection.
  std::string turnAndReceive(int fd, Millis duration) {
    std::string received;
    Millis until = loop.now() + duration;
    while (loop.now() < until && !received.ends_with("FIN") && !received.ends_with("RST")) {
      turn();
      received += receiveAvailable(fd);
    }
    return received;
  }

  // Connects a client that has sent PING, has the reply ready to read, and is idle.
  int connectIdleClient() {
    int fd = connectClient();
    sendBytes(fd, kPing);
    EXPECT_TRUE(eventually(1000, [&] {
      turn();
      char byte;
      return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }));
    return fd;
  }
};

}  // namespace stonewing::testing
