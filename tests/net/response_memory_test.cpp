#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/memory_budget.h"
#include "net/http_client_connection.h"
#include "support/loopback.h"

// The memory of responses that several servers send at the same time (incident 479b48).
namespace stonewing::testing {
namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{128} * 1024;

std::string headOf(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

struct ResponseMemory : ::testing::Test, HttpClientConnection::Observer {
  EventLoop loop;
  MemoryBudget budget{200'000};
  int listener = listenOnLoopback();
  std::vector<int> servers;
  std::vector<std::unique_ptr<HttpClientConnection>> connections;
  int responses = 0;
  int broken = 0;

  ~ResponseMemory() override {
    connections.clear();
    for (int fd : servers) ::close(fd);
    ::close(listener);
  }

  void onResponse(HttpClientConnection&) override { ++responses; }
  void onBroken(HttpClientConnection& connection) override {
    EXPECT_EQ(connection.failure(), ConnectionFailure::malformedResponse);
    ++broken;
  }

  void startExchange(const std::string& response) {
    auto& connection = connections.emplace_back(
        std::make_unique<HttpClientConnection>(loop, *this, kMaxResponseBytes, &budget));
    ASSERT_TRUE(connection->open(*parseAddress("127.0.0.1:" + std::to_string(localPort(listener)))));
    connection->add("GET / HTTP/1.1\r\n\r\n");
    connection->startExchange();
    servers.push_back(::accept(listener, nullptr, nullptr));
    sendBytes(servers.back(), response);
  }

  void turnFor(Millis duration) {
    for (Millis until = loop.now() + duration; loop.now() < until;) {
      loop.wait(loop.now() + 2);
      loop.dispatch();
    }
  }
};

TEST_F(ResponseMemory, IsBoundedOverAllConnections) {
  for (int n = 0; n < 20; ++n) startExchange(headOf(100'000) + std::string(50'000, 'x'));
  turnFor(100);
  EXPECT_GT(broken, 0);
  EXPECT_LE(budget.usedBytes(), 200'000 + 2 * kMaxResponseBytes);
  startExchange(headOf(1000) + std::string(1000, 'x'));
  turnFor(50);
  EXPECT_EQ(responses, 1);  // an ordinary response is read all the same
}

TEST_F(ResponseMemory, IsGivenBackWhileAConnectionRests) {
  startExchange(headOf(100'000) + std::string(100'000, 'x'));
  turnFor(50);
  EXPECT_EQ(responses, 1);
  EXPECT_EQ(budget.usedBytes(), 0u);
  EXPECT_TRUE(connections.front()->isOpen());
}

}  // namespace
}  // namespace stonewing::testing
