#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A whole dispatcher and clients that send nothing, malformed, many or late.
namespace stonewing::testing {
namespace {

// Clients that connect and send nothing, or stop in the middle of a command, by hundreds.
TEST(ClientConnections, AreClosedWhenSilentOrHalfWay) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(platform), platform.address(),
                               R"({"sockets":256,"disk_mb":3,"memory_mb":4})");
  ASSERT_TRUE(dispatcher.start());
  int silentClient = connectToLoopback(dispatcher.port());
  auto began = std::chrono::steady_clock::now();
  std::vector<int> halves;
  for (int n = 0; n < 12; ++n) {
    sendBytes(halves.emplace_back(connectToLoopback(dispatcher.port())),
              "*5\r\n$6\r\nSUBMIT\r\n$65536\r\n" + std::string(65000, 'x'));
  }
  char byte;
  EXPECT_EQ(::recv(halves.front(), &byte, 1, 0),
            1);  // an error: it began first, and there is not enough memory for all
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(800));
  EXPECT_EQ(::recv(silentClient, &byte, 1, 0), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3000));
  for (int fd : halves) ::close(fd);
  ::close(silentClient);
}

const std::string kFields = "c=status,d=900,dest=7";

void expectOneErrorForMalformedInput(const DispatcherProcess& dispatcher) {
  for (const std::string& malformed :
       {std::string("GET / HTTP/1.1\r\n\r\n"), respCommand({"FLUSHALL"}),
        submitCommand("a", "c=status,d=x,dest=7"), submitCommand("a b", kFields),
        std::string("*5\r\n$70000\r\n"), submitCommand("a", kFields, std::string(65537, 'x'))}) {
    std::string answer = dispatcher.request(malformed + respCommand({"PING"}), 9);
    EXPECT_TRUE(answer.starts_with("-ERR ") && std::count(answer.begin(), answer.end(), '\n') == 1) << answer;
  }
}

// Clients that submit once and keep their connection evict none that has just connected.
void expectNewClientIsNotEvictedByIdleOnes(const DispatcherProcess& dispatcher) {
  int fresh = connectToLoopback(dispatcher.port());
  char reply[8] = {};
  sendBytes(fresh, respCommand({"PING"}));
  EXPECT_EQ(::recv(fresh, reply, 7, MSG_WAITALL), 7);
  std::vector<int> kept;
  for (int n = 0; n < 30; ++n) {
    sendBytes(kept.emplace_back(connectToLoopback(dispatcher.port())),
              submitCommand("kept" + std::to_string(n), kFields));
    EXPECT_EQ(::recv(kept.back(), reply, 5, MSG_WAITALL), 5);
  }
  sendBytes(fresh, submitCommand("fresh", kFields));
  EXPECT_EQ(::recv(fresh, reply, 5, MSG_WAITALL), 5);
  for (int fd : kept) ::close(fd);
  ::close(fresh);
}

// More clients than there are descriptors: those between commands are evicted, and those that stop in the
// middle of a command are not kept for long.
void expectServiceWithMoreClientsThanDescriptors(const DispatcherProcess& dispatcher) {
  std::vector<int> idle;
  for (int n = 0; n < 60; ++n) idle.push_back(connectToLoopback(dispatcher.port()));
  EXPECT_EQ(dispatcher.request(respCommand({"PING"}) + submitCommand("first", kFields), 2),
            "+PONG\r\n+OK\r\n");
  for (int fd : idle) ::close(fd);
  for (int& fd : idle) sendBytes(fd = connectToLoopback(dispatcher.port()), "*5\r\n$6");
  std::string late;
  EXPECT_TRUE(
      eventually(9000, [&] { return (late = dispatcher.request(respCommand({"PING"}))) == "+PONG\r\n"; }));
  for (int fd : idle) ::close(fd);
}

// A client that has not waited submits elsewhere: the message is not accepted. Stopped, the dispatcher finds
// the command and the end of the connection behind it at the same time.
void expectNothingIsAcceptedFromAClientThatHasLeft(const DispatcherProcess& dispatcher) {
  dispatcher.sendSignal(SIGSTOP);
  std::thread resume([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    dispatcher.sendSignal(SIGCONT);
  });
  EXPECT_EQ(
      dispatcher.request(submitCommand("left", kFields), 1, DispatcherProcess::AfterSending::shutDownWriting),
      "-BUSY\r\n");
  resume.join();
}

// The disk has no capacity for two of these at any time.
void expectRejectionOnlyWhileTheDiskIsFull(const DispatcherProcess& dispatcher, HttpServerStub& platform) {
  EXPECT_EQ(dispatcher.request(submitCommand("big", kFields, std::string(65000, 'x')) +
                                   submitCommand("big2", kFields, std::string(65000, 'x')),
                               2),
            "+OK\r\n-BUSY\r\n");
  EXPECT_TRUE(eventually(3000, [&] { return platform.requestsContaining("\"big\"") == 1; }));
  EXPECT_EQ(platform.requestsContaining("\"left\""), 0u);
  EXPECT_EQ(dispatcher.request(submitCommand("big3", kFields, std::string(65000, 'x'))), "+OK\r\n");
}

// One process bears all of it, one thing after the other.
TEST(ClientConnections, GetOneErrorForMalformedInputAndOthersAreServed) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(platform, "plain", "terminating"),
                               platform.address(), R"({"sockets":60,"disk_mb":0.2})");
  ASSERT_TRUE(dispatcher.start());
  expectOneErrorForMalformedInput(dispatcher);
  expectNewClientIsNotEvictedByIdleOnes(dispatcher);
  expectServiceWithMoreClientsThanDescriptors(dispatcher);
  expectNothingIsAcceptedFromAClientThatHasLeft(dispatcher);
  expectRejectionOnlyWhileTheDiskIsFull(dispatcher, platform);
}

// Clients that are rejected with no time to retry would submit again at once and keep the surge up.
TEST(ClientConnections, GetATimeToRetryWhenTheMostMessagesAreInFlight) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  std::string settings =
      settingsWith("\"open-cap\":50", "\"open-cap\":2,\"retry-after\":true,\"max-retry-after-s\":2");
  DispatcherProcess dispatcher(settings, endpointList(platform, "plain", "terminating"), platform.address());
  ASSERT_TRUE(dispatcher.start());
  const std::string list = "c=order,d=5000,dest=7";
  // In one turn, so that the policy has shed nothing yet.
  std::string answers = dispatcher.request(
      submitCommand("one", list) + submitCommand("two", list) + submitCommand("three", list), 3);
  ASSERT_TRUE(answers.starts_with("+OK\r\n+OK\r\n-BUSY ")) << answers;
  int wait = std::stoi(answers.substr(16));
  EXPECT_TRUE(wait >= 20 && wait <= 2000) << wait;
}

// A process that stalls for a while reads a message late, and its outcome would be overdue by as much.
TEST(ClientConnections, DeadlineCountsFromTheTimeOfSendingWhenTheProcessStalled) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(platform, "plain", "terminating"),
                               platform.address());
  ASSERT_TRUE(dispatcher.start());
  dispatcher.sendSignal(SIGSTOP);
  auto began = std::chrono::steady_clock::now();
  int fd = connectToLoopback(dispatcher.port());
  sendBytes(fd, submitCommand("stalled", "c=order,d=1200,dest=7"));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  dispatcher.sendSignal(SIGCONT);
  EXPECT_TRUE(eventually(3000, [&] { return platform.requestsContaining("\"stalled\"") == 1; }));
  auto spent = std::chrono::steady_clock::now() - began;
  EXPECT_GT(spent, std::chrono::milliseconds(1000));
  EXPECT_LT(spent, std::chrono::milliseconds(1700));
  ::close(fd);
}

}  // namespace
}  // namespace stonewing::testing
