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

// A dispatcher process with clients that send nothing, send malformed commands, are too many or send late.
namespace stonewing::testing {
namespace {

// Guards against clients that connect and send nothing, or stop in the middle of a command, by hundreds: they
// must not keep their connections or fill the memory.
TEST(ClientConnections, AreClosedWhenSilentOrHalfWay) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  DispatcherProcess dispatcher(kDispatcherSettings, endpointList(platform), platform.address(),
                               R"({"sockets":256,"disk_mb":3,"memory_mb":4})");
  ASSERT_TRUE(dispatcher.start());
  int silentClient = connectToLoopback(dispatcher.port());
  auto began = std::chrono::steady_clock::now();
  std::vector<int> stalledClients;
  for (int n = 0; n < 12; ++n) {
    sendBytes(stalledClients.emplace_back(connectToLoopback(dispatcher.port())),
              "*5\r\n$6\r\nSUBMIT\r\n$65536\r\n" + std::string(65000, 'x'));
  }
  char byte;
  EXPECT_EQ(::recv(stalledClients.front(), &byte, 1, 0),
            1);  // an error reply: it began first, and the memory is too small for all commands
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(800));
  EXPECT_EQ(::recv(silentClient, &byte, 1, 0), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3000));
  for (int fd : stalledClients) ::close(fd);
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

// A client that has just connected must not be evicted in favour of clients that submit once and keep their
// connections open.
void expectNewClientIsNotEvictedByIdleOnes(const DispatcherProcess& dispatcher) {
  int newClient = connectToLoopback(dispatcher.port());
  char reply[8] = {};
  sendBytes(newClient, respCommand({"PING"}));
  EXPECT_EQ(::recv(newClient, reply, 7, MSG_WAITALL), 7);
  std::vector<int> idleClients;
  for (int n = 0; n < 30; ++n) {
    sendBytes(idleClients.emplace_back(connectToLoopback(dispatcher.port())),
              submitCommand("kept" + std::to_string(n), kFields));
    EXPECT_EQ(::recv(idleClients.back(), reply, 5, MSG_WAITALL), 5);
  }
  sendBytes(newClient, submitCommand("fresh", kFields));
  EXPECT_EQ(::recv(newClient, reply, 5, MSG_WAITALL), 5);
  for (int fd : idleClients) ::close(fd);
  ::close(newClient);
}

// With more clients than descriptors, clients between commands are evicted, and those that stop in the middle
// of a command are closed after a short time-out.
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

// A client that closes without waiting for the reply submits its message elsewhere, so the dispatcher must
// not accept the message. The dispatcher is stopped meanwhile, so that it reads the command and the end of
// the connection at the same time.
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

// The disk has capacity for only one of these messages at a time.
void expectRejectionOnlyWhileTheDiskIsFull(const DispatcherProcess& dispatcher, HttpServerStub& platform) {
  EXPECT_EQ(dispatcher.request(submitCommand("big", kFields, std::string(65000, 'x')) +
                                   submitCommand("big2", kFields, std::string(65000, 'x')),
                               2),
            "+OK\r\n-BUSY\r\n");
  EXPECT_TRUE(eventually(3000, [&] { return platform.requestsContaining("\"big\"") == 1; }))
      << platform.requestsContaining("\"big\"") << " notifications";
  EXPECT_EQ(platform.requestsContaining("\"left\""), 0u);
  EXPECT_EQ(dispatcher.request(submitCommand("big3", kFields, std::string(65000, 'x'))), "+OK\r\n");
}

// All cases run one after another against one dispatcher process, so that a case also shows whether the
// process still serves after the ones before it.
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

// Clients that are rejected without a Retry-After time would submit again at once and prolong the overload.
TEST(ClientConnections, GetATimeToRetryWhenTheMostMessagesAreInFlight) {
  HttpServerStub platform(confirmNotifications);
  platform.start();
  std::string settings =
      settingsWith("\"open-cap\":50", "\"open-cap\":2,\"retry-after\":true,\"max-retry-after-s\":2");
  DispatcherProcess dispatcher(settings, endpointList(platform, "plain", "terminating"), platform.address());
  ASSERT_TRUE(dispatcher.start());
  const std::string list = "c=order,d=5000,dest=7";
  // All three are read in one turn, before the policy can shed a message.
  std::string answers = dispatcher.request(
      submitCommand("one", list) + submitCommand("two", list) + submitCommand("three", list), 3);
  ASSERT_TRUE(answers.starts_with("+OK\r\n+OK\r\n-BUSY ")) << answers;
  int retryAfterMs = std::stoi(answers.substr(16));
  EXPECT_TRUE(retryAfterMs >= 20 && retryAfterMs <= 2000) << retryAfterMs;
}

// A process that stalls reads a message late. If the deadline counted from then, the outcome would be
// notified late by the length of the stall.
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
