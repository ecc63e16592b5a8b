#include "discovery/discovery_client.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <string>
#include <utility>

#include "settings/settings_reader.h"
#include "support/loopback.h"

// The discovery client with responses that are slow, malformed, missing or from an old address.
namespace stonewing::testing {
namespace {

const char* kSettings = R"({"request-classes":[{"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"}],
  "family-info":{"call-slots":6},"kinds":["plain"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

constexpr Millis kDrainGrace = 500;

std::string httpResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A response with a full list of one endpoint.
std::string listResponse(int version, const std::string& state = "in_service",
                         const std::string& id = "s-1") {
  return httpResponse(200, R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":")" +
                               id + R"(","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":7,"state":")" +
                               state + R"(","weight":1.0,"started_ms":0}]})");
}

struct Poll {
  std::string requestLine;  // empty if no poll arrived in time
  Millis after;             // milliseconds until the poll arrived, or of the wait for it
};

// A DiscoveryClient without a dispatcher, on an event loop whose turns the test runs. The test acts as
// discovery.
struct DiscoveryHarness {
  NameTables names = readNameTables(kSettings);
  EventLoop loop;
  DispatchPolicy policy{readDeploymentSettings(kSettings), 7};
  int backlog;
  int listener = listenOnLoopback(0, backlog);
  int connection = -1;  // the latest one from the client
  std::string received;
  DiscoveryClient client{
      loop, policy, names,      *parseAddress("127.0.0.1:" + std::to_string(localPort(listener))),
      "d",  1,      kDrainGrace};

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

  // Waits at most `timeout` milliseconds for the next request.
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

// The wait for a response that arrives byte by byte must not last as long as a whole watch, or for
// ever.
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

// The grace for endpoints that drain must not pass while a poll waits for the rest of an answer.
TEST(DiscoveryClient, AStalledAnswerDoesNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  harness.respond(drain.substr(0, drain.size() / 2));
  int stalled = std::exchange(harness.connection, -1);
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  harness.respond(drain);
  ASSERT_TRUE(eventually(kDrainGrace, [&] {
    harness.turn();
    return !harness.isReady("s-1");
  }));
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
  ::close(stalled);
}

// The delays between polls whose answers are cut must not add up to more than the grace.
TEST(DiscoveryClient, FiveAnswersCutInARowDoNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  for (int cut = 0; cut < 5; ++cut) {
    harness.respond(drain.substr(0, drain.size() / 4));
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  }
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// A rejection after an answer that was cut must not delay the next poll as an overloaded discovery's does.
TEST(DiscoveryClient, ARejectionAfterACutAnswerDoesNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  harness.respond(drain.substr(0, drain.size() / 4));
  ::shutdown(harness.connection, SHUT_WR);
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  harness.respond(httpResponse(503, ""));
  ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// If the news that an endpoint drains cannot be read within the grace, no attempt may begin until it is read.
TEST(DiscoveryClient, NoAttemptBeginsPastTheGraceWhileEveryAnswerIsCut) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string drain = listResponse(2, "terminating");
  Millis writtenAt = harness.loop.now();
  while (harness.loop.now() - writtenAt < 2 * kDrainGrace) {
    harness.respond(drain.substr(0, 1));
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(2 * kDrainGrace).requestLine, "");
    bool isEarly = harness.loop.now() - writtenAt < kDrainGrace / 2;
    EXPECT_TRUE(!isEarly || harness.policy.mayBeginAttempts());
  }
  EXPECT_FALSE(harness.policy.mayBeginAttempts());
  harness.respond(drain);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
  EXPECT_FALSE(harness.isReady("s-1"));
}

// A connection may end before the first byte of the news.
TEST(DiscoveryClient, AnswersCutBeforeTheirFirstByteDoNotHoldBackADrainPastTheGrace) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  Millis writtenAt = harness.loop.now();
  for (int cut = 0; cut < 5; ++cut) {
    ::shutdown(harness.connection, SHUT_WR);
    ASSERT_NE(harness.nextPoll(kDrainGrace).requestLine, "");
  }
  EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
}

// The fleet goes on while discovery restarts: watches end, and polls are rejected for a while.
TEST(DiscoveryClient, ARestartOfDiscoveryPausesNoAttemptsAndIsNotFlooded) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  ::shutdown(harness.connection, SHUT_WR);
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(httpResponse(503, ""));
  Poll poll = harness.nextPoll(6000);
  EXPECT_GE(poll.after, 800);
  EXPECT_TRUE(harness.policy.mayBeginAttempts());
}

// An entry that has arrived must not wait for the rest of its list.
TEST(DiscoveryClient, ADrainIsActedOnAlthoughTheListBehindItDoesNotArrive) {
  for (bool isChunked : {false, true}) {
    DiscoveryHarness harness;
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    harness.respond(listResponse(1));
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    std::string drain = listResponse(2, "terminating");
    std::string body = drain.substr(drain.find("{")) + " ";
    std::string entries = body.substr(0, body.rfind("]")) + ",";
    Millis writtenAt = harness.loop.now();
    harness.respond(isChunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" + entries
                              : "HTTP/1.1 200 OK\r\nContent-Length: 4095\r\n\r\n" + entries);
    int stalled = std::exchange(harness.connection, -1);
    ASSERT_TRUE(eventually(2 * kDrainGrace, [&] {
      harness.turn();
      return !harness.isReady("s-1");
    }));
    EXPECT_LT(harness.loop.now() - writtenAt, kDrainGrace);
    ::close(stalled);
  }
}

// Polls that discovery leaves unanswered, as it does with nothing to tell, must not be repeated for long.
TEST(DiscoveryClient, PollsAsBeforeOnceDiscoveryHasNothingToTellAfterACutAnswer) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond("HTTP/1.1 200 OK\r\nContent-Le");
  ::shutdown(harness.connection, SHUT_WR);
  int polls = 0;
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1900) polls += harness.nextPoll(20).requestLine.empty() ? 0 : 1;
  EXPECT_LE(polls, 5);
  EXPECT_EQ(harness.nextPoll(300).requestLine, "");
}

// A response that takes long but goes on must become complete, however many polls start beside it.
TEST(DiscoveryClient, ASlowAnswerIsReadToItsEnd) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  std::string list = listResponse(3);
  std::size_t half = list.size() / 2;
  harness.respond(list.substr(0, half));
  int slow = std::exchange(harness.connection, -1);
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1500) harness.nextPoll(20);
  EXPECT_FALSE(harness.isReady("s-1"));
  sendBytes(slow, list.substr(half));
  EXPECT_TRUE(eventually(200, [&] {
    harness.turn();
    return harness.isReady("s-1");
  }));
  ::close(slow);
}

// A list repeated on a kept connection would count for the next poll, and replace a newer list.
TEST(DiscoveryClient, ARepeatedListReplacesNoNewerOne) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  int first = ::dup(harness.connection);
  harness.respond(listResponse(6, "terminating"));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  sendBytes(first, listResponse(5, "in_service"));
  for (int count = 0; count < 10; ++count) harness.turn();
  EXPECT_FALSE(harness.isReady("s-1"));
  ::close(first);
}

// An older list, as a cache before discovery may send it, must not make an endpoint ready again that drains.
TEST(DiscoveryClient, AnOlderListAfterANewerOneMakesNoDrainingEndpointReady) {
  DiscoveryHarness harness;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(41, "terminating"));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  for (int count = 0; count < 3; ++count) {
    harness.respond(listResponse(40, "in_service"));
    Poll poll = harness.nextPoll(kDrainGrace);
    EXPECT_TRUE(poll.requestLine.starts_with("GET /catalog/members HTTP")) << poll.requestLine;
    EXPECT_FALSE(harness.isReady("s-1"));
  }
  harness.respond(listResponse(42, "in_service"));
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  EXPECT_TRUE(harness.isReady("s-1"));
}

// The wait for a connection that is not established must not last as long as a whole watch.
TEST(DiscoveryClient, PollsAgainWhenAConnectionIsNotEstablished) {
  DiscoveryHarness harness{0};
  int full = connectToLoopback(localPort(harness.listener));  // fills the listener's backlog
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 1200) harness.turn();
  ::close(::accept(harness.listener, nullptr, nullptr));  // discovery can be reached from now on
  ::close(full);
  EXPECT_NE(harness.nextPoll(3000).requestLine, "");
  EXPECT_LT(harness.loop.now() - began, 2300);
}

// A change must reach the dispatcher within 6 s even if discovery is overloaded and rejects polls.
TEST(DiscoveryClient, PollsInTimeForAChangeAfterRejectionsAndSilence) {
  DiscoveryHarness harness;
  Poll poll;
  ASSERT_NE(harness.nextPoll(500).requestLine, "");
  harness.respond(listResponse(1));
  std::string watchRequest = harness.nextPoll(500).requestLine;
  ASSERT_NE(watchRequest.find("since=1"), std::string::npos) << watchRequest;
  Millis silentSince = harness.loop.now();  // a change may happen from here on
  ASSERT_NE((poll = harness.nextPoll(3500)).requestLine, "");
  EXPECT_LT(poll.after, 2800);
  for (int n = 0; n < 3; ++n) {
    harness.respond(httpResponse(503, ""));
    poll = harness.nextPoll(6000);
    ASSERT_NE(poll.requestLine, "");
    EXPECT_LE(poll.after, 2800);
    EXPECT_GE(poll.after, 800);  // polls of hundreds of rejected clients must be spread over time
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

// The address of discovery changes while a poll is pending, has been rejected or is in backoff. The full list
// must be polled at once at the new address, and a late response from the old address must be ignored.
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
    int oldConnection = std::exchange(harness.connection, -1);
    sendBytes(oldConnection, listResponse(9, "in_service", "old"));
    Poll poll = harness.nextPoll(1000);
    EXPECT_TRUE(poll.requestLine.starts_with("GET /catalog/members HTTP")) << phase << poll.requestLine;
    EXPECT_LT(poll.after, 100);
    harness.respond(listResponse(3, "in_service", "new"));
    ASSERT_NE(harness.nextPoll(500).requestLine, "");
    EXPECT_TRUE(harness.isReady("new") && !harness.isReady("old"));
    ::close(oldConnection);
    ::close(next);
  }
}

// A response that ends early, is no list or has only an unreadable entry must not change the endpoints.
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
    // After a response that ended early the last version is still valid; after one with malformed content the
    // full list is polled.
    bool brokeOff = !malformed.ends_with("}") && !malformed.ends_with("\r\n\r\n");
    EXPECT_TRUE(poll.requestLine.starts_with(brokeOff ? "GET /catalog/members?since=1&"
                                                      : "GET /catalog/members HTTP"))
        << malformed << poll.requestLine;
    EXPECT_LT(poll.after, 1700) << malformed;
    EXPECT_TRUE(harness.isReady("s-1"));
  }
}

// An entry that is malformed, or of a zone that the settings do not name, must not prevent the other entries
// from being applied for as long as it is in the list.
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
  // A list of changes: readable parts are applied, including a drain, and the full list is polled for the
  // others.
  harness.respond(list(2, false,
                       R"({"id":"s-1","state":"in_service","cell":"x"},5,)" +
                           entry("s-2", "terminating", "new") + "," + entry("s-3", "in_service")));
  Poll poll;
  EXPECT_TRUE((poll = harness.nextPoll(500)).requestLine.starts_with("GET /catalog/members HTTP"));
  EXPECT_LT(poll.after, 200);
  EXPECT_TRUE(harness.isReady("s-1") && !harness.isReady("s-2") && harness.isReady("s-3"));
  // The full list has unusable entries too: it is accepted all the same, and changes are polled since its
  // version.
  harness.respond(list(3, true,
                       entry("s-1", "in_service", "new") + "," + entry("s-4", "in_service", "new") + "," +
                           entry("s-5", "in_service")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members?since=3&"));
  EXPECT_TRUE(harness.isReady("s-1") && !harness.isReady("s-3") && !harness.isReady("s-4") &&
              harness.isReady("s-5"));
  // Unusable entries in a later list of changes again lead to a poll of the full list. An entry that was
  // malformed before is applied once it is correct.
  harness.respond(list(4, false, entry("s-5", "terminating", "new") + "," + entry("s-6", "no-such-state")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members HTTP"));
  EXPECT_FALSE(harness.isReady("s-5"));
  harness.respond(list(4, true, entry("s-5", "in_service") + "," + entry("s-6", "in_service")));
  EXPECT_TRUE(harness.nextPoll(500).requestLine.starts_with("GET /catalog/members?since=4&"));
  EXPECT_TRUE(!harness.isReady("s-1") && harness.isReady("s-5") && harness.isReady("s-6"));
}

}  // namespace
}  // namespace stonewing::testing
