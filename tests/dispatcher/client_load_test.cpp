#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/client_crowd.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/ordinary_clients.h"
#include "support/process_memory.h"
#include "support/resp_commands.h"

// A dispatcher process with clients that cost more than they should, beside ordinary ones (incident 479b48).
// Whatever these clients do, the process stays within its memory limit, and the ordinary clients are answered
// within the 400 ms that they wait.
namespace stonewing::testing {
namespace {

using AfterSending = CrowdBehaviour::AfterSending;

constexpr std::size_t kMemoryLimit = 96'000'000;
constexpr int kOrdinaryClients = 20;
constexpr std::chrono::milliseconds kDuration{3000};
// Ordinary clients must not be refused for a load that others cause. A burst at the very start may be met by
// all alike.
constexpr double kMaxRefusedShare = 0.05;

const std::string kSettings = settingsWith("\"call-slots\":6", "\"call-slots\":200",
                                           settingsWith("\"open-cap\":50", "\"open-cap\":2000"));

struct Crowd {
  int connections{};
  CrowdBehaviour behaviour;
};

std::string respondAtOnce(const std::string& head, const std::string& body) {
  if (head.starts_with("POST /v1/messages")) return kHttpOk;
  return confirmNotifications(head, body);
}

// Endpoint s-1 of destination 7 responds, s-2 of destination 8 never does.
std::string listOf(const HttpServerStub& healthy, const HttpServerStub& unresponsive) {
  auto entry = [](const std::string& name, const HttpServerStub& stub, const std::string& cell) {
    return R"({"id":")" + name + R"(","addr":")" + stub.address() + R"(","zone":"a","kind":"plain","cell":)" +
           cell + R"(,"state":"in_service","weight":1.0,"started_ms":0})";
  };
  return "[" + entry("s-1", healthy, "7") + "," + entry("s-2", unresponsive, "8") + "]";
}

void expectOrdinaryClientsServedBeside(const std::vector<Crowd>& crowds, const std::string& diskLimit = "3") {
  HttpServerStub healthy(respondAtOnce);
  HttpServerStub unresponsive([](const auto&, const auto&) { return ""; });
  healthy.start();
  unresponsive.start();
  DispatcherProcess dispatcher(kSettings, listOf(healthy, unresponsive), healthy.address(),
                               R"({"sockets":1024,"memory_mb":96,"disk_mb":)" + diskLimit + "}");
  ASSERT_TRUE(dispatcher.start());
  ClientSummary summary;
  {
    std::vector<std::unique_ptr<ClientCrowd>> running;
    for (const Crowd& crowd : crowds) {
      running.push_back(std::make_unique<ClientCrowd>(dispatcher.port(), crowd.connections, crowd.behaviour));
    }
    OrdinaryClients ordinary(dispatcher.port(), kOrdinaryClients, "c=status,d=2000,dest=7");
    std::this_thread::sleep_for(kDuration);
    summary = ordinary.finish();
    for (const auto& crowd : running) EXPECT_GT(crowd->sentBytes(), 0u);
  }
  std::size_t peakMemory = peakMemoryOf(dispatcher.pid());
  auto answers = static_cast<double>(summary.answerTimes.size());
  std::printf("p50 %.1f ms, p99 %.1f ms, accepted %d, refused %d, unanswered %d, memory %.1f MB\n",
              summary.quantile(0.5), summary.quantile(0.99), summary.accepted, summary.refused,
              summary.unanswered, static_cast<double>(peakMemory) / 1e6);
  EXPECT_GT(answers, 0);
  EXPECT_EQ(summary.unanswered, 0);
  EXPECT_LE(summary.refused, kMaxRefusedShare * answers);
  if (kIsMemoryMeaningful) {
    EXPECT_LT(peakMemory, kMemoryLimit);
  }
  EXPECT_EQ(dispatcher.stop(SIGTERM), 0);
}

std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int n = 0; n < times; ++n) all += text;
  return all;
}

const std::string kPings = repeated(respCommand({"PING"}), 4000);

TEST(ClientLoad, OneClientThatPipelinesAndReads) {
  expectOrdinaryClientsServedBeside({{1, {.bytes = kPings, .readsReplies = true}}});
}

TEST(ClientLoad, HundredsOfClientsThatPipelineAndRead) {
  expectOrdinaryClientsServedBeside({{300, {.bytes = kPings, .readsReplies = true}}});
}

TEST(ClientLoad, HundredsOfClientsThatPipelineAndReadNothing) {
  expectOrdinaryClientsServedBeside({{300, {.bytes = kPings}}});
}

// A reply that waits for its message makes all later replies of its client wait.
TEST(ClientLoad, HundredsOfClientsThatSubmitThenPipelineAndReadNothing) {
  expectOrdinaryClientsServedBeside(
      {{300, {.bytes = submitCommand("once", "c=status,d=2000,dest=8") + kPings}}});
}

// Refusing messages must not cost so much that ordinary clients are refused as well.
TEST(ClientLoad, OneClientThatPipelinesUnacceptableMessages) {
  expectOrdinaryClientsServedBeside(
      {{1,
        {.bytes = repeated(submitCommand("same", "c=status,d=2000,dest=8"), 1000), .readsReplies = true}}});
}

TEST(ClientLoad, ClientsWithFieldListsOfThousandsOfFields) {
  std::string list = "c=status,d=2000,dest=7" + repeated(",a=b", 14'000);
  expectOrdinaryClientsServedBeside({{4, {.bytes = submitCommand("fields", list), .readsReplies = true}}});
}

TEST(ClientLoad, LargeBodiesToAnUnresponsiveDestination) {
  std::string submissions;
  for (int n = 0; n < 2000; ++n) {
    submissions +=
        submitCommand("large-" + std::to_string(n), "c=status,d=9000,dest=8", std::string(60'000, 'x'));
  }
  expectOrdinaryClientsServedBeside({{4, {.bytes = submissions, .readsReplies = true}}}, "2000");
}

TEST(ClientLoad, UnsoundCommandsOnEverNewConnections) {
  CrowdBehaviour unsound{.bytes = "*1\r\n$4\r\nPONG\r\n", .afterSending = AfterSending::awaitClose};
  CrowdBehaviour garbage{.bytes = "GET / HTTP/1.1\r\n\r\n", .afterSending = AfterSending::awaitClose};
  expectOrdinaryClientsServedBeside({{4, unsound}, {4, garbage}});
}

TEST(ClientLoad, HundredsOfClientsThatStopHalfWayThroughALargeMessage) {
  std::string half =
      submitCommand("half", "c=status,d=2000,dest=7", std::string(60'000, 'x')).substr(0, 45'000);
  CrowdBehaviour slow{.bytes = half,
                      .afterSending = AfterSending::stay,
                      .bytesPerWrite = 1000,
                      .writePause = std::chrono::milliseconds(20)};
  CrowdBehaviour quick{.bytes = half, .afterSending = AfterSending::stay};
  expectOrdinaryClientsServedBeside({{250, slow}, {250, quick}});
}

TEST(ClientLoad, HundredsOfClientsThatResetInTheMiddleOfACommand) {
  expectOrdinaryClientsServedBeside(
      {{300, {.bytes = "*5\r\n$6\r\nSUB", .afterSending = AfterSending::reset}}});
}

}  // namespace
}  // namespace stonewing::testing
