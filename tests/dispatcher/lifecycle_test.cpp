#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// The shutdown of a dispatcher on SIGTERM: it drains, finishes the messages that it can deliver in time, and
// leaves the others in its journal.
namespace stonewing::testing {
namespace {

TEST(Lifecycle, AcceptsClientsForAWhileFinishesAndEndsInTimeOnSigterm) {
  HttpServerStub endpoint([](auto&, auto&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    return kHttpOk;
  });
  HttpServerStub platform(confirmNotifications);
  endpoint.start();
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(endpoint), platform.address());
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("before", "c=order,d=8000,dest=7")), "+OK\r\n");
  int idle = connectToLoopback(dispatcher.port());
  dispatcher.sendSignal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(dispatcher.request(submitCommand("after", "c=order,d=8000,dest=7") +
                                   submitCommand("stays", "c=order,d=60000,dest=9"),
                               2),
            "+OK\r\n+OK\r\n");
  char byte;
  EXPECT_EQ(::recv(idle, &byte, 1, 0), 0);
  ::close(idle);
  auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3300));
  EXPECT_EQ(endpoint.requests().size(), 2u);
  ASSERT_TRUE(dispatcher.start());
  EXPECT_EQ(dispatcher.request(submitCommand("stays", "c=order,d=60000,dest=9")), "+OK\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(endpoint.requests().size(), 2u);
  EXPECT_EQ(platform.requestsContaining("POST /reports"), 0u);
}

}  // namespace
}  // namespace stonewing::testing
