#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// Many clients submit different messages under a few ids, and repeat some of them, while the dispatcher is
// killed in series. Each id must stay with one message (review case 8). SHARED_ID_SEEDS: how many seeds (2 by
// default); SHARED_ID_FIRST_SEED: the first (1 by default).
namespace stonewing::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kClients = 6;
constexpr int kIds = 300;
constexpr int kBodies = 3;
constexpr int kKills = 3;
constexpr milliseconds kUntilKill{600};
// After the last submission: until what is in flight has ended, with a restart before it.
constexpr milliseconds kUntilEnded{2500};

const std::string kSettings = settingsWith("\"call-slots\":6", "\"call-slots\":100",
                                           settingsWith("\"open-cap\":50", "\"open-cap\":2000"));

int numberFrom(const char* variable, int fallback) {
  const char* text = std::getenv(variable);
  return text != nullptr ? std::atoi(text) : fallback;
}

// One of the messages that clients submit under an id.
struct Variant {
  std::string reference;
  std::string type;
  std::string destination;
  std::string body;

  std::string command() const {
    return submitCommand(reference, "c=" + type + ",d=8000,dest=" + destination, body);
  }
  // What its endpoint executes.
  std::string execution() const { return destination + " " + body; }
};

Variant drawVariant(std::mt19937& random) {
  const std::string id = std::to_string(random() % kIds);
  return {.reference = "shared-" + id,
          .type = random() % 2 == 0 ? "status" : "order",
          .destination = random() % 2 == 0 ? "7" : "8",
          .body = "body " + std::to_string(random() % kBodies)};
}

std::string referenceOf(const std::string& request) {
  static const std::string kHeader = "X-Request-Id: ";
  const std::size_t begin = request.find(kHeader);
  if (begin == std::string::npos) return "";
  return request.substr(begin + kHeader.size(), request.find("\r\n", begin) - begin - kHeader.size());
}

std::string bodyOf(const std::string& request) { return request.substr(request.find("\r\n\r\n") + 4); }

class SharedIdsSoak {
 public:
  explicit SharedIdsSoak(unsigned seed) : seed_(seed) {
    platform_.start();
    for (HttpServerStub* endpoint : {&seven_, &eight_}) endpoint->start();
  }

  void run() {
    ASSERT_TRUE(dispatcher_.start());
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < kClients; ++client)
      clients.emplace_back([this, client] { submitUntilStopped(client); });
    bool starts = true;
    for (int kill = 0; kill < kKills && starts; ++kill) {
      std::this_thread::sleep_for(kUntilKill);
      dispatcher_.stop(SIGKILL);
      starts = dispatcher_.start();
    }
    std::this_thread::sleep_for(kUntilKill);
    stops_ = true;
    for (std::thread& client : clients) client.join();
    ASSERT_TRUE(starts);
    std::this_thread::sleep_for(kUntilEnded);
    check();
  }

 private:
  void submitUntilStopped(unsigned client) {
    std::mt19937 random(seed_ * kClients + client);
    while (!stops_) {
      const Variant variant = drawVariant(random);
      const std::string reply = dispatcher_.request(variant.command());
      std::lock_guard lock(mutex_);
      refused_ += reply.starts_with("-BUSY") ? 1 : 0;
      if (reply == "+OK\r\n") accepted_.push_back(variant);
    }
  }

  void check() {
    std::map<std::string, std::multiset<std::string>> executions;
    addExecutions(seven_, "7", executions);
    addExecutions(eight_, "8", executions);
    for (const auto& [reference, executed] : executions) {
      EXPECT_EQ(std::set<std::string>(executed.begin(), executed.end()).size(), 1u)
          << reference << " was executed as different messages";
    }
    for (const Variant& variant : accepted_) {
      const auto& executed = executions[variant.reference];
      const bool isNotified = platform_.requestsContaining("\"" + variant.reference + "\"") > 0;
      EXPECT_TRUE(executed.contains(variant.execution()) || (executed.empty() && isNotified))
          << variant.reference << " was accepted for " << variant.execution();
      if (variant.type == "order") {
        EXPECT_LE(executed.size(), 1u) << variant.reference << " was executed more than once";
      }
    }
    std::printf("%zu accepted, %d refused\n", accepted_.size(), refused_);
    EXPECT_GT(accepted_.size(), static_cast<std::size_t>(kIds));  // with honest repeats among them
    EXPECT_GT(refused_, kIds);
  }

  static void addExecutions(HttpServerStub& endpoint, const std::string& destination,
                            std::map<std::string, std::multiset<std::string>>& executions) {
    for (const std::string& request : endpoint.requests()) {
      if (const std::string reference = referenceOf(request); !reference.empty())
        executions[reference].insert(destination + " " + bodyOf(request));
    }
  }

  std::string endpoints() const {
    auto entry = [](const char* id, const HttpServerStub& stub, const char* cell) {
      return std::string(R"({"id":")") + id + R"(","addr":")" + stub.address() +
             R"(","zone":"a","kind":"plain","cell":)" + cell + R"(,"state":"in_service","weight":1.0})";
    };
    return "[" + entry("s-7", seven_, "7") + "," + entry("s-8", eight_, "8") + "]";
  }

  unsigned seed_;
  HttpServerStub platform_{confirmNotifications};
  HttpServerStub seven_{[](auto&, auto&) { return kHttpOk; }};
  HttpServerStub eight_{[](auto&, auto&) { return kHttpOk; }};
  DispatcherProcess dispatcher_{kSettings, endpoints(), platform_.address(),
                                R"({"sockets":512,"memory_mb":96,"disk_mb":3})"};
  std::atomic<bool> stops_{false};
  std::mutex mutex_;  // guards what was accepted and refused
  std::vector<Variant> accepted_;
  int refused_{0};
};

TEST(SharedIdsSoak, EachIdStaysWithOneMessageUnderKills) {
  const int firstSeed = numberFrom("SHARED_ID_FIRST_SEED", 1);
  const int seeds = numberFrom("SHARED_ID_SEEDS", 2);
  for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
    SCOPED_TRACE("SHARED_ID_FIRST_SEED=" + std::to_string(seed) + " SHARED_ID_SEEDS=1");
    SharedIdsSoak(static_cast<unsigned>(seed)).run();
  }
}

}  // namespace
}  // namespace stonewing::testing
