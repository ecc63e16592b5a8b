#include "discovery/discovery_client.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <string>
#include <utility>

#include "settings/settings_reader.h"
#include "support/loopback.h"

// The discovery client meets responses that are slow, malformed, missing or from an old address.
namespace stonewing::testing {
namespace {

const char* kSettings = R"({"request-classes":[{"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"}],
  "family-info":{"call-slots":6},"kinds":["plain"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

std::string httpResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A whole list with one endpoint.
std::string listResponse(int version, const std::string& state = "in_service",
                         const std::string& id = "s-1") {
  return httpResponse(200, R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":")" +
                               id + R"(","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":7,"state":")" +
                               state + R"(","weight":1.0,"started_ms":0}]})");
}

struct Poll {
  std::string requestLine;  // empty where none came
  Millis after;             // milliseconds until it came
};

// A DiscoveryClient alone, on an event loop that the test turns, and a discovery that the test plays.
struct DiscoveryHarness {
  NameTables names = readNameTables(kSettings);
  EventLoop loop;
  DispatchPolicy policy{readDeploymentSettings(kSettings), 7};
  int backlog;
  int listener = listenOnLoopback(0, backlog);
  int connection = -1;  // from the client, the latest
  std::string received;
  DiscoveryClient client{
      loop, policy, names, *parseAddress("127.0.0.1:" + std::to_string(localPort(listener))), "d", 1};

  explicit DiscoveryHarness(int listenBacklog = 8) : backlog(listenBacklog) { policy.beginRound(loop.now()); }
  ~DiscoveryHarness() {
    if (connection >= 0) ::close(connection);
    ::close(listener);
  }

  void turn() {
    loop.wait(loop.now() + 2);
    policy.beginRound(loop.now());
    loop.dispatch();
    client.onTick();
  }

  // The next request, waiting for at most that many milliseconds.
  Poll nextPoll(Millis timeout) {
    Millis began = loop.now();
    Poll poll;
    eventually(timeout, [&] {
      turn();
      acceptConnection();
      std::string more = connection < 0 ? "" : receiveAvailable(connection);
      received += more.substr(0, std::min(more.find("FIN"), more.find("RST")));
      std::size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) return loop.now() - began >= timeout;
      poll.requestLine = received.substr(0, received.find("\r\n"));
      received.erase(0, end + 4);
      return true;
    });
    poll.after = loop.now() - began;
    return poll;
  }

  void respond(const std::string& bytes) const { sendBytes(connection, bytes); }

  bool isReady(const std::string& endpoint) {
    auto found = policy.state().endpoints.find(client.idOf(endpoint));
    return found != policy.state().endpoints.end() && found->second.state == EndpointState::ready;
  }

 private:
  void acceptConnection() {
    pollfd waiting{listener, POLLIN, 0};
    if (::poll(&waiting, 1, 0) <= 0) return;
    if (connection >= 0) ::close(connection);
    connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    received.clear();
  }
};

// A response that trickles must not be waited for as long as a whole watch, or for ever.
TEST(DiscoveryClient, PollsAgainWhenAResponseTrickles) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  Millis began = harness.loop.now();
  harness.respond("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
  int first = std::exchange(harness.connection, -1);
  for (std::string requestLine; requestLine.empty() && harness.loop.now() - began < 4000;) {
    sendBytes(first, "x");
    requestLine = harness.nextPoll(20).requestLine;
  }
  EXPECT_LT(harness.loop.now() - began, 1300);
  ::close(first);
}

// Nor may a connection that is never established be waited for as long.
TEST(DiscoveryClient, PollsAgainWhenAConnectionIsNotEstablished) {
  DiscoveryHarness harness{0};
  int full = connectToLoopback(localPort(harness.listener));  // its backlog
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1200) harness.turn();
  ::close(::accept(harness.listener, nullptr, nullptr));  // it can be reached from now on
  ::close(full);
  EXPECT_NE(harness.nextPoll(3000).requestLine, "");
  EXPECT_LT(harness.loop.now() - began, 2300);
}

// A change at an overloaded discovery counts as notified 6 s later, whatever backoff it asks for.
TEST(DiscoveryClient, PollsInTimeForAChangeAfterRejectionsAndSilence) {
  DiscoveryHarness harness;
  Poll poll;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  std::string watch = harness.nextPoll(500).requestLine;
  ASSERT_NE(watch.find("since=1"), std::string::npos) << watch;
  Millis silentSince = harness.loop.now();  // a change from here on
  ASSERT_NE((poll = harness.nextPoll(3500)).requestLine, "");
  EXPECT_LT(poll.after, 2800);
  for (int n = 0; n < 3; ++n) {
    harness.respond(httpResponse(503, ""));
    poll = harness.nextPoll(6000);
    ASSERT_NE(poll.requestLine, "");
    EXPECT_LE(poll.after, 2800);
    EXPECT_GE(poll.after, 800);  // hundreds that were rejected together poll spread over time
    EXPECT_NE(poll.requestLine.find("timeout_ms=2000"), std::string::npos) << poll.requestLine;
    if (n == 0) {
      EXPECT_LT(harness.loop.now() - silentSince, 5800);
    }
  }
  harness.respond(listResponse(2, "in_service", "s-2"));
  EXPECT_NE((poll = harness.nextPoll(500)).requestLine, "");
  EXPECT_LT(poll.after, 100);
  EXPECT_TRUE(harness.isReady("s-2") && !harness.isReady("s-1"));
}

// Discovery moves while a poll is pending, rejected or in backoff: the whole list is asked for at once at
// the new address, and what the old one still says is ignored.
TEST(DiscoveryClient, AsksTheNewAddressForTheWholeListWhenDiscoveryMoves) {
  for (int phase = 0; phase < 3; ++phase) {
    DiscoveryHarness harness;
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    harness.respond(listResponse(1));
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    if (phase > 0) harness.respond(httpResponse(503, ""));
    for (int n = 0; n < 5; ++n) harness.turn();
    if (phase == 2) harness.respond(listResponse(9, "in_service", "old"));
    int next = listenOnLoopback();
    std::swap(next, harness.listener);
    harness.client.changeAddress(*parseAddress("127.0.0.1:" + std::to_string(localPort(harness.listener))),
                                 "d");
    int before = std::exchange(harness.connection, -1);
    sendBytes(before, listResponse(9, "in_service", "old"));
    Poll poll = harness.nextPoll(1000);
    EXPECT_TRUE(poll.requestLine.starts_with("GET /catalog/members HTTP")) << phase << poll.requestLine;
    EXPECT_LT(poll.after, 100);
    harness.respond(listResponse(3, "in_service", "new"));
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    EXPECT_TRUE(harness.isReady("new") && !harness.isReady("old"));
    ::close(before);
    ::close(next);
  }
}

// A response that ends half-way, is no list or has an entry that cannot be read changes nothing.
TEST(DiscoveryClient, KeepsItsListWhenAResponseIsMalformed) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  for (const std::string& malformed :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\""), std::string("noise"),
        httpResponse(200, "{}"), httpResponse(404, ""), listResponse(7, "no-such-state")}) {
    harness.respond(malformed);
    if (!malformed.ends_with("}")) ::shutdown(harness.connection, SHUT_WR);
    Poll poll = harness.nextPoll(2500);
    // Of one that broke off nothing is known; one with impossible content is not continued from.
    bool brokeOff = !malformed.ends_with("}") && !malformed.ends_with("\r\n\r\n");
    EXPECT_TRUE(poll.requestLine.starts_with(brokeOff ? "GET /catalog/members?since=1&"
                                                      : "GET /catalog/members HTTP"))
        << malformed << poll.requestLine;
    EXPECT_LT(poll.after, 1700) << malformed;
    EXPECT_TRUE(harness.isReady("s-1"));
  }
}

// An entry that is malformed, or of a zone that the settings do not name, must not keep the rest from being
// applied for as long as it is in the list.
TEST(DiscoveryClient, AppliesTheOtherEntriesWhenOneCannotBeUsed) {
  auto entry = [](const std::string& id, const std::string& state, const std::string& zone = "a") {
    return R"({"id":")" + id + R"(","addr":"127.0.0.1:9","zone":")" + zone +
           R"(","kind":"plain","cell":7,"state":")" + state + R"("})";
  };
  auto list = [](int version, bool full, const std::string& entries) {
    return httpResponse(200, R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                                 (full ? "true" : "false") + R"(,"servers":[)" + entries + "]}");
  };
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(list(1, true, entry("s-1", "in_service") + "," + entry("s-2", "in_service")));
  ASSERT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members?since=1&"));
  // Changes: what can be read is applied, a drain among it; for the rest the whole list is asked for.
  harness.respond(list(2, false,
                       R"({"id":"s-1","state":"in_service","cell":"x"},5,)" +
                           entry("s-2", "terminating", "new") + "," + entry("s-3", "in_service")));
  Poll poll;
  EXPECT_TRUE((poll = harness.nextPoll(500)).requestLine.starts_with("GET /catalog/members HTTP"));
  EXPECT_LT(poll.after, 200);
  EXPECT_TRUE(harness.isReady("s-1") && !harness.isReady("s-2") && harness.isReady("s-3"));
  // The whole list has such entries too: then nothing better is to be had, and it is continued from.
  harness.respond(list(3, true,
                       entry("s-1", "in_service", "new") + "," + entry("s-4", "in_service", "new") + "," +
                           entry("s-5", "in_service")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members?since=3&"));
  EXPECT_TRUE(harness.isReady("s-1") && !harness.isReady("s-3") && !harness.isReady("s-4") &&
              harness.isReady("s-5"));
  // A later change with one is asked for again; and an entry that was malformed once is applied when it is
  // right.
  harness.respond(list(4, false, entry("s-5", "terminating", "new") + "," + entry("s-6", "no-such-state")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members HTTP"));
  EXPECT_FALSE(harness.isReady("s-5"));
  harness.respond(list(4, true, entry("s-5", "in_service") + "," + entry("s-6", "in_service")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members?since=4&"));
  EXPECT_TRUE(!harness.isReady("s-1") && harness.isReady("s-5") && harness.isReady("s-6"));
}

}  // namespace
}  // namespace stonewing::testing
