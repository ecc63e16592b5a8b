#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "support/discovery_harness.h"

// The discovery client with responses that are slow, malformed, missing or from an old address.
namespace stonewing::testing {
namespace {

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

// Where connections take long to come up, discovery must not bear several watches of one dispatcher, nor
// further connections while a watch is open.
TEST(DiscoveryClient, KeepsOneWatchOfSeveralPollsThatWereUnderWay) {
  DiscoveryHarness harness{0};
  int full = connectToLoopback(localPort(harness.listener));  // fills the listener's backlog
  Millis began = harness.loop.now();
  while (harness.loop.now() - began < 300) harness.turn();
  ::listen(harness.listener, 64);
  ::close(::accept(harness.listener, nullptr, nullptr));
  ::close(full);
  std::vector<int> connections;
  while (harness.loop.now() - began < 2400) {
    harness.turn();
    pollfd waiting{harness.listener, POLLIN, 0};
    if (::poll(&waiting, 1, 0) > 0) connections.push_back(::accept(harness.listener, nullptr, nullptr));
  }
  auto isOpen = [](int connection) {
    std::string received = receiveAvailable(connection);
    return received.find("FIN") == std::string::npos && received.find("RST") == std::string::npos;
  };
  EXPECT_EQ(std::count_if(connections.begin(), connections.end(), isOpen), 1);
  EXPECT_LE(connections.size(), 3u);
  for (int connection : connections) ::close(connection);
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
