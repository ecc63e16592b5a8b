#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A dispatcher process with clients that leave without reading the replies to what they have sent, and submit
// the same again later (incident 479b48, picture c).
namespace stonewing::testing {
namespace {

constexpr int kMessages = 50;
constexpr int kRounds = 4;
// An attempt may have been on its way when the reset arrived.
constexpr std::chrono::milliseconds kTimeToNotice{50};
const std::string kUnsafeFields = "c=order,d=4000,dest=7";
const std::string kSettings = settingsWith("\"call-slots\":6", "\"call-slots\":200",
                                           settingsWith("\"open-cap\":50", "\"open-cap\":2000"));

std::string referenceOf(int round, int number) {
  return "left-" + std::to_string(round) + "-" + std::to_string(number) + "-";
}

std::string submissionsOf(int round) {
  std::string submissions;
  for (int n = 0; n < kMessages; ++n) submissions += submitCommand(referenceOf(round, n), kUnsafeFields);
  return submissions;
}

void resetAndClose(int fd) {
  linger discard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  ::close(fd);
}

void sendAndReset(const DispatcherProcess& dispatcher, const std::string& bytes,
                  std::chrono::milliseconds pause = std::chrono::milliseconds(0)) {
  int fd = connectToLoopback(dispatcher.port());
  sendBytes(fd, bytes);
  std::this_thread::sleep_for(pause);
  resetAndClose(fd);
}

std::string answerSlowly(const std::string& head, const std::string& body) {
  if (!head.starts_with("POST /v1/messages")) return confirmNotifications(head, body);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return kHttpOk;
}

struct LeavingClients : ::testing::Test {
  HttpServerStub endpoint{answerSlowly};
  DispatcherProcess dispatcher{kSettings, endpointList(endpoint), endpoint.address(),
                               R"({"sockets":512,"memory_mb":96,"disk_mb":3})"};

  void SetUp() override {
    endpoint.start();
    ASSERT_TRUE(dispatcher.start());
  }

  int sentMoreThanOnce() {
    int count = 0;
    for (int round = 0; round < kRounds; ++round) {
      for (int n = 0; n < kMessages; ++n)
        count += endpoint.requestsContaining(referenceOf(round, n)) > 1 ? 1 : 0;
    }
    return count;
  }
};

TEST_F(LeavingClients, NothingIsSentOnForAClientThatResetsItsConnection) {
  for (int round = 0; round < kRounds; ++round) {
    sendAndReset(dispatcher, submissionsOf(round));
    std::this_thread::sleep_for(kTimeToNotice);
    std::size_t sent = endpoint.requestsContaining("left-" + std::to_string(round));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(endpoint.requestsContaining("left-" + std::to_string(round)), sent) << "round " << round;
  }
}

// The client leaves with much unread at the dispatcher, which reads it in several turns.
TEST_F(LeavingClients, NothingIsSentOnOfWhatIsNotReadWhenAClientLeaves) {
  const std::string body(2000, 'x');
  std::string submissions;
  for (int n = 0; n < 1000; ++n) submissions += submitCommand(referenceOf(0, n), kUnsafeFields, body);
  dispatcher.sendSignal(SIGSTOP);
  sendAndReset(dispatcher, submissions);
  dispatcher.sendSignal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(endpoint.requestsContaining("left-0-"), 0u);
}

TEST_F(LeavingClients, NoUnsafeMessageIsSentTwiceWhenItsClientComesAgainWithTheSameId) {
  for (int round = 0; round < kRounds; ++round) {
    sendAndReset(dispatcher, submissionsOf(round), std::chrono::milliseconds(round));
    std::this_thread::sleep_for(std::chrono::milliseconds(round % 2 == 0 ? 100 : 500));
    std::string replies = dispatcher.request(submissionsOf(round), kMessages);
    EXPECT_EQ(std::count(replies.begin(), replies.end(), '\n'), kMessages) << replies;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_EQ(sentMoreThanOnce(), 0);
}

// The acceptance is written to the journal while the client leaves, and cannot reach anybody. The same
// id may come again, and is then a new message.
TEST_F(LeavingClients, AMessageIsRevokedWhenItsClientLeavesBeforeTheAcceptanceIsWritten) {
  dispatcher.stop(SIGTERM);
  dispatcher.preload(STONEWING_HANG);
  ASSERT_TRUE(dispatcher.start());
  const std::string submission = submitCommand("revoked", kUnsafeFields);
  std::ofstream(dispatcher.directory() / "hang") << "";
  int fd = connectToLoopback(dispatcher.port());
  sendBytes(fd, submission);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  resetAndClose(fd);
  std::filesystem::remove(dispatcher.directory() / "hang");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(endpoint.requestsContaining("revoked"), 0u);
  EXPECT_EQ(dispatcher.request(submission), "+OK\r\n");
  EXPECT_TRUE(eventually(2000, [&] { return endpoint.requestsContaining("revoked") == 1; }));
}

// A client that reads the acceptance and then resets its connection has handed the message over.
TEST_F(LeavingClients, WhatAClientKnowsToBeAcceptedIsDelivered) {
  int fd = connectToLoopback(dispatcher.port());
  sendBytes(fd, submissionsOf(0));
  std::string replies;
  EXPECT_TRUE(eventually(2000, [&] {
    replies += receiveAvailable(fd);
    return std::count(replies.begin(), replies.end(), '\n') == kMessages;
  }));
  resetAndClose(fd);
  EXPECT_EQ(replies, [] {
    std::string all;
    for (int n = 0; n < kMessages; ++n) all += "+OK\r\n";
    return all;
  }());
  EXPECT_TRUE(eventually(4000, [&] { return endpoint.requestsContaining("left-0-") == kMessages; }));
}

// What was executed before a restart is not executed again after it.
TEST_F(LeavingClients, NoUnsafeMessageIsSentTwiceWhenItComesAgainAfterARestart) {
  std::string replies = dispatcher.request(submissionsOf(0), kMessages);
  EXPECT_TRUE(eventually(3000, [&] { return endpoint.requestsContaining("left-0-") == kMessages; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  dispatcher.stop(SIGKILL);
  ASSERT_TRUE(dispatcher.start());
  replies = dispatcher.request(submissionsOf(0), kMessages);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(sentMoreThanOnce(), 0);
}

}  // namespace
}  // namespace stonewing::testing
