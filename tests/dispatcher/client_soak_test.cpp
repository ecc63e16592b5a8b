#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/client_crowd.h"
#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/kept_clients.h"
#include "support/process_memory.h"
#include "support/resp_commands.h"

// Dispatcher processes under signals in series, with clients that use their connections until the kill, and
// in some runs a crowd of costly ones (incident 479b48). Each run depends on its seed alone, as far as the
// clock allows. SOAK_SEEDS: how many seeds (3 by default); SOAK_FIRST_SEED: the first (1 by default).
namespace stonewing::testing {
namespace {

using std::chrono::milliseconds;
using AfterSending = CrowdBehaviour::AfterSending;

constexpr std::size_t kMemoryLimit = 96'000'000;
constexpr int kKeptClients = 8;
constexpr int kSignalSeries = 3;
// The protocol's figures: a kill comes no sooner than this after SIGTERM, and the next start this long after.
constexpr milliseconds kUntilKill{3700};
constexpr milliseconds kUntilRestart{600};
// How long a message may be delivered, and when at the latest its end is known: its time and 300 ms, or 1.5 s
// after a restart.
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kUntilEnded{kDeadline + milliseconds(1800)};

const std::string kSettings = settingsWith("\"call-slots\":6", "\"call-slots\":100",
                                           settingsWith("\"open-cap\":50", "\"open-cap\":2000"));

int numberFrom(const char* variable, int fallback) {
  const char* text = std::getenv(variable);
  return text != nullptr ? std::atoi(text) : fallback;
}

// An endpoint that takes up to 30 ms for a message, and counts the messages that it executed.
class CountingEndpoint {
 public:
  CountingEndpoint()
      : server_([](const std::string& head, const std::string& body) {
          if (!head.starts_with("POST /v1/messages")) return confirmNotifications(head, body);
          std::this_thread::sleep_for(milliseconds(std::hash<std::string>{}(head) % 30));
          return kHttpOk;
        }) {
    server_.start();
  }

  HttpServerStub& server() { return server_; }

  // How often each message was executed.
  void addExecutions(std::map<std::string, int>& executions) {
    static const std::string kHeader = "X-Request-Id: ";
    for (const std::string& request : server_.requests()) {
      std::size_t begin = request.find(kHeader);
      if (begin == std::string::npos) continue;
      begin += kHeader.size();
      ++executions[request.substr(begin, request.find("\r\n", begin) - begin)];
    }
  }

 private:
  HttpServerStub server_;
};

CrowdBehaviour drawCrowd(std::mt19937& random) {
  std::string pings;
  for (int n = 0; n < 2000; ++n) pings += respCommand({"PING"});
  const std::string half =
      submitCommand("half", "c=status,d=2000,dest=7", std::string(60'000, 'x')).substr(0, 40'000);
  std::string burst;
  for (int n = 0; n < 50; ++n) burst += submitCommand("burst-" + std::to_string(n), "c=status,d=900,dest=7");
  const std::vector<CrowdBehaviour> behaviours{
      {.bytes = pings, .readsReplies = true},
      {.bytes = pings},
      {.bytes = half, .afterSending = AfterSending::stay},
      {.bytes = half,
       .afterSending = AfterSending::stay,
       .bytesPerWrite = 500,
       .writePause = milliseconds(20)},
      {.bytes = burst, .afterSending = AfterSending::reset},
      {.bytes = "*1\r\n$4\r\nPONG\r\n", .afterSending = AfterSending::awaitClose}};
  return behaviours.at(random() % behaviours.size());
}

class Soak {
 public:
  explicit Soak(unsigned seed) : random_(seed) { platform_.start(); }

  void run() {
    ASSERT_TRUE(dispatcher_.start());
    KeptClients unsafeClients(dispatcher_.port(), kKeptClients, "unsafe-", fieldsOf("order"));
    KeptClients safeClients(dispatcher_.port(), kKeptClients, "safe-", fieldsOf("status"));
    std::unique_ptr<ClientCrowd> crowd;
    if (draw(0, 2) > 0) {
      const int connections = draw(1, 300);
      crowd = std::make_unique<ClientCrowd>(dispatcher_.port(), connections, drawCrowd(random_));
    }
    for (int n = 0; n < kSignalSeries && !::testing::Test::HasFatalFailure(); ++n) playSignals();
    std::this_thread::sleep_for(milliseconds(draw(200, 800)));
    if (crowd) {
      EXPECT_GT(crowd->sentBytes(), 0u);
    }
    crowd.reset();
    std::vector<SubmittedMessage> messages = unsafeClients.finish();
    for (SubmittedMessage& message : safeClients.finish()) messages.push_back(std::move(message));
    std::this_thread::sleep_for(kUntilEnded);
    checkMemory();
    check(messages);
    EXPECT_EQ(dispatcher_.stop(SIGTERM), 0);
  }

 private:
  static std::string fieldsOf(const std::string& type) {
    return "c=" + type + ",d=" + std::to_string(kDeadline.count()) + ",dest=7";
  }

  int draw(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
  }

  void playSignals() {
    std::this_thread::sleep_for(milliseconds(draw(100, 900)));
    for (int n = draw(0, 2); n > 0; --n) {
      dispatcher_.sendSignal(SIGHUP);
      std::this_thread::sleep_for(milliseconds(draw(0, 50)));
    }
    if (draw(0, 1) == 1) {
      dispatcher_.sendSignal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(150));
      dispatcher_.sendSignal(SIGCONT);
    }
    checkMemory();
    const bool isPlanned = draw(0, 1) == 1;
    if (isPlanned) {
      dispatcher_.sendSignal(SIGTERM);
      std::this_thread::sleep_for(kUntilKill);
    }
    const int status = dispatcher_.stop(SIGKILL);
    // A process that has ended by itself is not there to be killed.
    EXPECT_EQ(status, isPlanned ? 0 : -SIGKILL);
    std::this_thread::sleep_for(kUntilRestart);
    ASSERT_TRUE(dispatcher_.start());
  }

  void checkMemory() const {
    if (kIsMemoryMeaningful) {
      EXPECT_LT(peakMemoryOf(dispatcher_.pid()), kMemoryLimit);
    }
  }

  void check(const std::vector<SubmittedMessage>& messages) {
    std::map<std::string, int> executions;
    for (CountingEndpoint& endpoint : endpoints_) endpoint.addExecutions(executions);
    std::string notifications;
    for (const std::string& request : platform_.requests()) notifications += request;
    int accepted = 0;
    for (const SubmittedMessage& message : messages) {
      if (message.reference.starts_with("unsafe-")) {
        EXPECT_LE(executions[message.reference], 1) << message.reference;
      }
      if (!message.accepted) continue;
      ++accepted;
      EXPECT_TRUE(executions[message.reference] > 0 ||
                  notifications.find("\"" + message.reference + "\"") != std::string::npos)
          << message.reference << " was accepted, and has no end";
    }
    std::printf("%d of %zu messages accepted\n", accepted, messages.size());
    EXPECT_GT(accepted, 0);
  }

  static std::string listOf(const std::vector<std::string>& addresses) {
    std::string list;
    for (std::size_t n = 0; n < addresses.size(); ++n) {
      list += (n == 0 ? "" : ",") + std::string(R"({"id":"s-)") + std::to_string(n) + R"(","addr":")" +
              addresses[n] + R"(","zone":"a","kind":"plain","cell":7,"state":"in_service","weight":1.0})";
    }
    return "[" + list + "]";
  }

  std::mt19937 random_;
  HttpServerStub platform_{confirmNotifications};
  CountingEndpoint endpoints_[2];
  DispatcherProcess dispatcher_{kSettings,
                                listOf({endpoints_[0].server().address(), endpoints_[1].server().address()}),
                                platform_.address(), R"({"sockets":1024,"memory_mb":96,"disk_mb":3})"};
};

TEST(ClientSoak, KeepsItsPromisesUnderSignalsInSeriesAndCrowds) {
  const int firstSeed = numberFrom("SOAK_FIRST_SEED", 1);
  const int seeds = numberFrom("SOAK_SEEDS", 3);
  for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
    SCOPED_TRACE("SOAK_FIRST_SEED=" + std::to_string(seed) + " SOAK_SEEDS=1");
    Soak(static_cast<unsigned>(seed)).run();
    std::printf("seed %d played, %s so far\n", seed,
                ::testing::Test::HasFailure() ? "failures" : "no failure");
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace stonewing::testing
