// Two events that meet at the wrong instant, forced: the parts of the dispatcher are driven on a loop that
// the test turns, so that the order of the two is set. docs/sockets.md has the table.
#include "discovery/discovery_client.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <nlohmann/json.hpp>

#include "base/bytes.h"
#include "server/resp_server.h"
#include "support/policy_harness.h"

namespace stonewing::testing {
namespace {

const std::string kPing = command({"PING"});
const std::string kPong = "+PONG\r\n";

// What comes on a connection until it ends: "FIN" or "RST" stands for the end, nothing for none in that time.
std::string heard(int fd, Millis most = 0) {
  std::string got;
  within(most, [&] {
    char chunk[4096];
    ssize_t n;
    while ((n = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT)) > 0)
      got.append(chunk, static_cast<std::size_t>(n));
    bool none = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    int error = 0;  // behind an end that was told a reset shows here alone
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!none) got += n == 0 && error == 0 ? "FIN" : "RST";
    return !none;
  });
  return got;
}

// The clients' side alone. PING is answered, anything else is accepted.
struct Front {
  EventLoop loop;
  std::vector<std::string> taken;  // ids
  std::uint16_t port{};
  std::vector<int> clients;
  RespServer intake;

  explicit Front(std::size_t most = 64)
      : intake(loop, most, 1 << 20, [this](const auto& words, bool) -> RespServer::CommandReply {
          if (words[0] == "PING") return {kPong};
          if (words[0] != "SUBMIT") throw ProtocolError("unknown command");
          taken.emplace_back(words[2]);
          return {"+OK\r\n"};
        }) {
    int fd = loopback(0, true);
    port = portOf(fd);
    ::close(fd);
    intake.listen(*parseAddress("127.0.0.1:" + std::to_string(port)));
  }
  ~Front() {
    for (int fd : clients) ::close(fd);
  }
  int come() { return clients.emplace_back(loopback(port, false)); }
  void answer() {
    intake.sendReplies([](MessageId) { return true; }, [](MessageId) { return std::nullopt; });
  }
  void turn() {
    loop.wait(loop.now() + 2);
    loop.dispatch();
    intake.onTick();
    answer();
  }
  std::string turns(int fd, Millis most) {
    std::string got;
    for (Millis until = loop.now() + most;
         loop.now() < until && !got.ends_with("FIN") && !got.ends_with("RST");) {
      turn();
      got += heard(fd);
    }
    return got;
  }
  // A client that has asked and heard its answer, and rests.
  int resting() {
    int fd = come();
    put(fd, kPing);
    EXPECT_TRUE(within(1000, [&] {
      turn();
      char byte;
      return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }));
    return fd;
  }
};

// Danger: a close over bytes that were not read resets the connection, and takes the last answer with it.
TEST(Leaving, CrossesARequestThatLiesUnread) {
  Front front;
  int fd = front.resting();
  put(fd, submit("late", "c=a,d=1,dest=7"));
  front.intake.drain();
  EXPECT_EQ(front.turns(fd, 500), kPong + "+OK\r\n" + "FIN");
  EXPECT_EQ(front.taken.size(), 1u);
}

// Danger: what is read after the shutdown can no longer be answered. Taken on and sent on it would be lost.
TEST(Leaving, CrossesARequestThatArrivesBehindTheShutdown) {
  Front front;
  int fd = front.resting();
  front.intake.drain();
  for (std::string part : {submit("late", "c=a,d=1,dest=7"), submit("later", "c=a,d=1,dest=7")}) {
    put(fd, part);
    front.turn();
  }
  EXPECT_EQ(heard(fd, 200), kPong + "FIN");
  front.turn();
  EXPECT_TRUE(front.taken.empty());
  EXPECT_EQ(front.intake.clientCount(), 1u);  // it may still be writing
  ::shutdown(fd, SHUT_WR);
  EXPECT_TRUE(within(500, [&] {
    front.turn();
    return front.intake.clientCount() == 0;
  }));
}

TEST(Leaving, EndsAClientThatSendsForEver) {
  Front front;
  int fd = front.resting();
  front.intake.drain();
  Millis began = front.loop.now();
  EXPECT_TRUE(within(3000, [&] {
    put(fd, kPing);
    front.turn();
    return front.intake.clientCount() == 0;
  }));
  EXPECT_LT(front.loop.now() - began, 1500);
}

TEST(Leaving, CrossesHalfARequest) {
  Front front;
  int fd = front.resting();
  std::string whole = submit("half", "c=a,d=1,dest=7");
  put(fd, whole.substr(0, 20));
  front.turn();
  front.intake.drain();
  front.turn();
  put(fd, whole.substr(20));
  EXPECT_EQ(front.turns(fd, 500), kPong + "+OK\r\n" + "FIN");
}

// Danger: a new connection that is closed with no answer counts as refused, and its client has nothing to go
// by.
TEST(Leaving, LeavesOneThatHasJustComeTheTimeToAsk) {
  Front front;
  int fd = front.come();
  front.turn();
  front.intake.drain();
  front.turn();
  EXPECT_EQ(heard(fd), "");
  put(fd, submit("first", "c=a,d=1,dest=7"));
  EXPECT_EQ(front.turns(fd, 500), "+OK\r\nFIN");
  int silent = front.come();  // not accepted yet
  front.intake.stopListening();
  Millis began = front.loop.now();
  EXPECT_EQ(front.turns(silent, 2000), "FIN");
  EXPECT_LT(front.loop.now() - began, 800);
}

// Danger: who waits to be accepted when the listener closes is reset with all it has sent.
TEST(Leaving, CrossesClientsThatWaitToBeAccepted) {
  constexpr int kMany = 200;  // more than are accepted in one turn
  Front front(400);
  for (int n = 0; n < kMany; ++n) put(front.come(), submit("c" + std::to_string(n), "c=a,d=1,dest=7"));
  front.intake.stopListening();
  front.intake.drain();
  for (int fd : front.clients) ASSERT_EQ(front.turns(fd, 1000), "+OK\r\nFIN");
  EXPECT_EQ(front.taken.size(), static_cast<std::size_t>(kMany));
}

TEST(Patience, CrossesTheFirstRequestOfAClient) {
  Front front;
  int fd = front.come();
  for (int n = 0; n < 5; ++n) front.turn();  // the last event of its coming is over
  std::this_thread::sleep_for(std::chrono::milliseconds(2250));
  front.loop.wait(front.loop.now());
  front.loop.dispatch();
  put(fd, kPing);
  front.intake.onTick();  // its time is up, and the command lies unread
  EXPECT_EQ(front.turns(fd, 200), kPong);
  int silent = front.come();
  EXPECT_EQ(front.turns(silent, 3000), "FIN");
  put(silent, kPing);  // no reset that would take an answer with it
  for (int n = 0; n < 5; ++n) front.turn();
  EXPECT_EQ(heard(silent), "FIN");
}

// Danger: the place of a client is given to another as its request arrives.
TEST(Places, AreNotTakenFromAClientThatHasJustSpoken) {
  Front front(4);
  std::vector<int> kept;
  for (int n = 0; n < 4; ++n) kept.push_back(front.resting());
  put(kept[0], submit("spoken", "c=a,d=1,dest=7"));  // the one that would go first
  int next = front.come();
  put(next, kPing);
  front.loop.wait(front.loop.now());
  // The listener's event is looked at before the client's.
  EXPECT_TRUE(front.intake.closeIdlestClient());
  EXPECT_EQ(front.turns(kept[0], 100), kPong + "+OK\r\n");
  EXPECT_EQ(front.turns(next, 100), kPong);
}

TEST(Places, AreFreedByTellingClientsOfTheEndBeforeAllAreTaken) {
  Front front(64);
  std::vector<int> kept;
  for (int n = 0; n < 64; ++n) kept.push_back(front.resting());
  std::string first = heard(kept[0]);
  EXPECT_EQ(first, kPong + "FIN");
  put(kept[0], kPing);  // crosses the end: no reset that would take an answer with it
  for (int n = 0; n < 5; ++n) front.turn();
  EXPECT_EQ(heard(kept[0]), "FIN");
  EXPECT_EQ(heard(kept[63]), kPong);
}

// Danger: behind an error come more bytes than we care to read. Closed on them the error is lost.
TEST(Errors, StandAtTheEndHoweverMuchComesBehindThem) {
  Front front;
  int fd = front.come();
  std::thread sends([&] { put(fd, "nonsense\r\n" + std::string(3 << 20, 'x')); });
  std::string got;
  EXPECT_TRUE(within(900, [&] {
    front.turn();
    got += heard(fd);
    return got.ends_with("FIN");
  }));
  EXPECT_TRUE(got.starts_with("-ERR ")) << got;
  for (int n = 0; n < 20; ++n) front.turn();
  EXPECT_EQ(heard(fd), "FIN");
  ::shutdown(fd, SHUT_RDWR);
  sends.join();
  EXPECT_TRUE(within(2000, [&] {
    front.turn();
    return front.intake.clientCount() == 0;
  }));
}

// Danger: a client sends much and goes. All it has sent is read, and nothing is written to nobody for ever.
TEST(Errors, OfAClientThatSendsMuchAndGoesHoldNoPlace) {
  Front front;
  int fd = front.come();
  std::string all;
  for (int n = 0; n < 200; ++n)
    all += submit("c" + std::to_string(n), "c=a,d=1,dest=7", std::string(900, 'x'));
  put(fd, all);
  ::close(fd);
  front.clients.clear();
  EXPECT_TRUE(within(2000, [&] {
    front.turn();
    return front.intake.clientCount() == 0 && front.taken.size() > 0;
  }));
}

const char* kSettings = R"({"request-classes":[{"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"}],
  "family-info":{"call-slots":6},"kinds":["plain"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

std::string answer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string listOf(int version, const std::string& state = "in_service", const std::string& id = "s-1") {
  return answer(200, R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":")" + id +
                         R"(","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":7,"state":")" + state +
                         R"(","weight":1.0,"started_ms":0}]})");
}

// The list's side alone, and a discovery that the test plays.
struct Watcher {
  NameTables facts = readNameTables(kSettings);
  EventLoop loop;
  DispatchPolicy rules{readDeploymentSettings(kSettings), 7};
  int backlog;
  int listener = loopback(0, true, backlog);
  int far = -1;
  std::string in;
  DiscoveryClient catalog{loop, rules, facts, *parseAddress("127.0.0.1:" + std::to_string(portOf(listener))),
                          "d",  1};
  explicit Watcher(int most = 8) : backlog(most) { rules.beginRound(loop.now()); }
  ~Watcher() {
    if (far >= 0) ::close(far);
    ::close(listener);
  }
  void turn() {
    loop.wait(loop.now() + 2);
    rules.beginRound(loop.now());
    loop.dispatch();
    catalog.onTick();
  }
  // The next question, and after how long it came; "" where none comes.
  std::string asked(Millis most, Millis* after = nullptr) {
    Millis began = loop.now();
    std::string line;
    within(most, [&] {
      turn();
      pollfd waits{listener, POLLIN, 0};
      if (::poll(&waits, 1, 0) > 0) {
        if (far >= 0) ::close(far);
        far = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        in.clear();
      }
      std::string more = far < 0 ? "" : heard(far);
      in += more.substr(0, std::min(more.find("FIN"), more.find("RST")));
      std::size_t end = in.find("\r\n\r\n");
      if (end == std::string::npos) return loop.now() - began >= most;
      line = in.substr(0, in.find("\r\n"));
      in.erase(0, end + 4);
      return true;
    });
    if (after != nullptr) *after = loop.now() - began;
    return line;
  }
  bool lists(const std::string& name) {
    auto at = rules.state().endpoints.find(catalog.idOf(name));
    return at != rules.state().endpoints.end() && at->second.state == EndpointState::ready;
  }
};

// Danger: an answer that trickles is waited for as long as the whole watch, or for ever.
TEST(Watch, CrossesAnAnswerThatTrickles) {
  Watcher w;
  ASSERT_NE(w.asked(500), "");
  Millis began = w.loop.now();
  put(w.far, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
  int first = std::exchange(w.far, -1);
  Millis after = 0;
  for (std::string line; line.empty() && w.loop.now() - began < 4000;) {
    put(first, "x");
    line = w.asked(20, &after);
  }
  EXPECT_LT(w.loop.now() - began, 1300);
  ::close(first);
}

// Danger: as long is waited for a connection that never comes up.
TEST(Watch, CrossesAConnectionThatDoesNotComeUp) {
  Watcher w(0);
  int full = loopback(portOf(w.listener), false);  // its queue
  Millis began = w.loop.now();
  while (w.loop.now() - began < 1200) w.turn();
  ::close(::accept(w.listener, nullptr, nullptr));  // it can be reached from now on
  ::close(full);
  Millis after = 0;
  EXPECT_NE(w.asked(3000, &after), "");
  EXPECT_LT(w.loop.now() - began, 2300);
}

// Danger: a change at an overbooked discovery counts as told 6 s later, whatever pauses it asks for.
TEST(Watch, CrossesRefusalsAndSilence) {
  Watcher w;
  Millis after = 0;
  ASSERT_NE(w.asked(500), "");
  put(w.far, listOf(1));
  std::string watch = w.asked(500);
  ASSERT_NE(watch.find("since=1"), std::string::npos) << watch;
  Millis silent = w.loop.now();  // a change from here on
  ASSERT_NE(w.asked(3500, &after), "");
  EXPECT_LT(after, 2800);
  for (int n = 0; n < 3; ++n) {
    put(w.far, answer(503, ""));
    std::string line = w.asked(6000, &after);
    ASSERT_NE(line, "");
    EXPECT_LE(after, 2800);
    EXPECT_GE(after, 800);  // hundreds that were turned away together come spread
    EXPECT_NE(line.find("timeout_ms=2000"), std::string::npos) << line;
    if (n == 0) {
      EXPECT_LT(w.loop.now() - silent, 5800);
    }
  }
  put(w.far, listOf(2, "in_service", "s-2"));
  EXPECT_NE(w.asked(500, &after), "");
  EXPECT_LT(after, 100);
  EXPECT_TRUE(w.lists("s-2") && !w.lists("s-1"));
}

// Discovery moves while a call is out, refused or pausing: the whole list is asked for at once at the new
// one, and what the old one still says is not heard.
TEST(Watch, CrossesAMoveOfDiscovery) {
  for (int state = 0; state < 3; ++state) {
    Watcher w;
    ASSERT_NE(w.asked(500), "");
    put(w.far, listOf(1));
    ASSERT_NE(w.asked(500), "");
    if (state > 0) put(w.far, answer(503, ""));
    for (int n = 0; n < 5; ++n) w.turn();
    if (state == 2) put(w.far, listOf(9, "in_service", "old"));
    int next = loopback(0, true);
    std::swap(next, w.listener);
    w.catalog.changeAddress(*parseAddress("127.0.0.1:" + std::to_string(portOf(w.listener))), "d");
    int before = std::exchange(w.far, -1);
    put(before, listOf(9, "in_service", "old"));
    Millis after = 0;
    std::string line = w.asked(1000, &after);
    EXPECT_TRUE(line.starts_with("GET /catalog/members HTTP")) << state << line;
    EXPECT_LT(after, 100);
    put(w.far, listOf(3, "in_service", "new"));
    ASSERT_NE(w.asked(500), "");
    EXPECT_TRUE(w.lists("new") && !w.lists("old"));
    ::close(before);
    ::close(next);
  }
}

// An answer that ends in its middle, is no list or has a line that cannot be read changes nothing.
TEST(Watch, CrossesASpoiltAnswer) {
  Watcher w;
  ASSERT_NE(w.asked(500), "");
  put(w.far, listOf(1));
  ASSERT_NE(w.asked(500), "");
  for (std::string bad :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\""), std::string("noise"),
        answer(200, "{}"), answer(404, ""), listOf(7, "no-such-state")}) {
    put(w.far, bad);
    if (!bad.ends_with("}")) ::shutdown(w.far, SHUT_WR);
    Millis after = 0;
    std::string line = w.asked(2500, &after);
    // Of one that broke off nothing is known; one that says what cannot be is not gone on from.
    bool brokeOff = !bad.ends_with("}") && !bad.ends_with("\r\n\r\n");
    EXPECT_TRUE(line.starts_with(brokeOff ? "GET /catalog/members?since=1&" : "GET /catalog/members HTTP"))
        << bad << line;
    EXPECT_LT(after, 1700) << bad;
    EXPECT_TRUE(w.lists("s-1"));
  }
}

// Danger: an entry that is spoilt, or of a zone that is new to our settings, keeps the rest from being told,
// for as long as it stands in the list.
TEST(Watch, CrossesAnEntryThatCannotBeUsed) {
  auto entry = [](const std::string& id, const std::string& state, const std::string& zone = "a") {
    return R"({"id":")" + id + R"(","addr":"127.0.0.1:9","zone":")" + zone +
           R"(","kind":"plain","cell":7,"state":")" + state + R"("})";
  };
  auto list = [](int version, bool full, const std::string& entries) {
    return answer(200, R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                           (full ? "true" : "false") + R"(,"servers":[)" + entries + "]}");
  };
  Watcher w;
  ASSERT_NE(w.asked(500), "");
  put(w.far, list(1, true, entry("s-1", "in_service") + "," + entry("s-2", "in_service")));
  ASSERT_TRUE(w.asked(500).starts_with("GET /catalog/members?since=1&"));
  // Changes: what can be read is taken, and a drain is one of it; for the rest the whole list is asked for.
  put(w.far, list(2, false,
                  R"({"id":"s-1","state":"in_service","cell":"x"},5,)" + entry("s-2", "terminating", "new") +
                      "," + entry("s-3", "in_service")));
  Millis after = 0;
  EXPECT_TRUE(w.asked(500, &after).starts_with("GET /catalog/members HTTP"));
  EXPECT_LT(after, 200);
  EXPECT_TRUE(w.lists("s-1") && !w.lists("s-2") && w.lists("s-3"));
  // The whole list has such entries too: that is how it is, and it is gone on from.
  put(w.far, list(3, true,
                  entry("s-1", "in_service", "new") + "," + entry("s-4", "in_service", "new") + "," +
                      entry("s-5", "in_service")));
  EXPECT_TRUE(w.asked(500).starts_with("GET /catalog/members?since=3&"));
  EXPECT_TRUE(w.lists("s-1") && !w.lists("s-3") && !w.lists("s-4") && w.lists("s-5"));
  // A later change with one is asked for again; and one that is spoilt once comes out right.
  put(w.far, list(4, false, entry("s-5", "terminating", "new") + "," + entry("s-6", "no-such-state")));
  EXPECT_TRUE(w.asked(500).starts_with("GET /catalog/members HTTP"));
  EXPECT_FALSE(w.lists("s-5"));
  put(w.far, list(4, true, entry("s-5", "in_service") + "," + entry("s-6", "in_service")));
  EXPECT_TRUE(w.asked(500).starts_with("GET /catalog/members?since=4&"));
  EXPECT_TRUE(!w.lists("s-1") && w.lists("s-5") && w.lists("s-6"));
}

}  // namespace
}  // namespace stonewing::testing
