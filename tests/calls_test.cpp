// Calls of several messages, with the rules, the book and the loop of a dispatcher around them and an
// endpoint that the test answers for. Withdrawals are handed in as decisions, so that the outcome does not
// hang on the clock.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

#include <nlohmann/json.hpp>

#include "bench_free.h"
#include "delivery/attempt_sender.h"
#include "discovery/discovery_client.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing::testing {
namespace {

const char* kSettings = R"({"request-classes":[
    {"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"},
    {"name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"},
    {"name":"repeat","aim-s":1,"deadline-s":10,"effect":"keyed","repeat-window-s":1,"group":"all"}],
  "family-info":{"call-slots":6,"per-call":[20]},"kinds":["many"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"cancel":true,"may-duplicate":false,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

DeploymentSettings withCopies(bool may) {
  DeploymentSettings terms = readDeploymentSettings(kSettings);
  terms.mayHedge = may;
  return terms;
}

// One call to one endpoint, which reads it and says nothing until it is told to.
struct Desk {
  Folder folder;
  int listener = loopback(0, true);
  int far = -1;
  EventLoop loop;
  DeploymentSettings terms;
  NameTables facts = readNameTables(kSettings);
  DispatchPolicy rules{terms, 7};
  std::size_t disk;
  MessageStore book{facts, folder.path.string(), disk};
  DiscoveryClient catalog{loop, rules, facts, *parseAddress("127.0.0.1:9"), "nowhere", 1};
  AttemptSender calls{loop, rules, book, catalog, terms, facts, 64, 8};
  std::string got;  // by the endpoint
  std::map<std::string, MessageId> ids;
  bool withdraws{false};  // as the module decides it, too

  explicit Desk(bool mayCopy = false, std::size_t most = 3'000'000) : terms(withCopies(mayCopy)), disk(most) {
    rules.beginRound(loop.now());
    list("in_service");
  }
  void list(const std::string& state) {
    catalog.applyAnswer(nlohmann::json::parse(
        R"({"version":1,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
        std::to_string(portOf(listener)) + R"(","zone":"a","kind":"many","cell":7,"state":")" + state +
        R"(","weight":1.0,"started_ms":0}]})"));
  }
  ~Desk() {
    if (far >= 0) ::close(far);
    ::close(listener);
  }
  void take(const std::string& ref, const std::string& type, Millis left, const std::string& body = "x") {
    StoredMessage held = book.decode("00", ref, "c=" + type + ",d=1,dest=7", body, 0);
    ids[ref] = *book.accept(std::move(held));
    const StoredMessage* kept = book.find(ids[ref]);
    rules.acceptMessage(ids[ref], kept->type, {}, {}, DestinationId{7}, loop.now() + left);
  }
  void round(Millis most) {
    loop.wait(loop.now() + most);
    rules.beginRound(loop.now());
  }
  // One whose window of a second has just begun, with an attempt that may have run.
  void takeRepeat(const std::string& ref, const std::string& body = "x") {
    take(ref, "repeat", 9000, body);
    rules.recordEarlierAttempt(ids[ref], catalog.idOf("s-1"), loop.now(), false);
    round(5);
  }
  // The last call is answered 200, and what it carried is over.
  bool answered() {
    put(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    return within(1000, [&] {
      turn();
      return book.inFlight().empty();
    });
  }
  void turn() {
    round(5);
    loop.dispatch();
    calls.onTick();
  }
  // What is held goes out in one call, and the endpoint has read it.
  bool sent(const std::string& lastBytes) {
    decide();
    return read(lastBytes);
  }
  // Decided, noted and sent, as the dispatcher does it. meanwhile: while the journal is written.
  void decide(const std::function<void()>& meanwhile = [] {}) {
    while (auto d = rules.nextDecision()) {
      if (const auto* send = std::get_if<SendAttempt>(&*d)) calls.sendAttempt(*send);
      if (const auto* cancel = std::get_if<CancelAttempt>(&*d); cancel && withdraws) {
        calls.cancelAttempt(*cancel);
      }
    }
    calls.recordBatches();
    book.commit();
    meanwhile();
    if (loop.refreshTime(5)) rules.beginRound(loop.now());
    calls.sendBatches();
  }
  // Whether the endpoint reads up to these bytes, or so many.
  bool read(const std::string& lastBytes, std::size_t many = 1e9) {
    return within(1000, [&] {
      turn();
      pollfd waits{listener, POLLIN, 0};
      if (far < 0 && ::poll(&waits, 1, 0) > 0) far = ::accept(listener, nullptr, nullptr);
      std::vector<char> chunk(1 << 20);
      ssize_t n = far < 0 ? 0 : ::recv(far, chunk.data(), chunk.size(), MSG_DONTWAIT);
      if (n > 0) got.append(chunk.data(), static_cast<std::size_t>(n));
      return got.ends_with(lastBytes) || got.size() >= many;
    });
  }
  void callOff(const std::string& ref) { calls.cancelAttempt({ids[ref], 0}); }
  bool out(const std::string& ref) const {
    const auto& held = rules.state().messages;
    auto at = held.find(ids.at(ref));
    return at != held.end() && at->second.attempts.at(0).pending;
  }
  // Whether the endpoint sees the end of the connection.
  bool closed() const {
    char byte;
    return ::recv(far, &byte, 1, MSG_DONTWAIT) == 0;
  }
};

// Seen on roll+brink+mass and zone+brink+mass: "message.ended result=given_up" for the first of seven, then
// ok for all seven, and six that passed for never ended.
TEST(CallsOfSeveral, BeginWithTheOneThatEndsLast) {
  Desk desk;
  desk.take("soon", "status", 400);
  desk.take("last", "status", 9000);
  desk.take("then", "order", 2000);
  ASSERT_TRUE(desk.sent("soon - 1\r\nx\r\n"));
  std::size_t body = desk.got.find("\r\n\r\n") + 4;
  EXPECT_EQ(desk.got.substr(body), "last - 1\r\nx\r\nthen - 1\r\nx\r\nsoon - 1\r\nx\r\n");
}

// Seen on roll+brink+mass of a deployment that allows no second hedge: "attempt.ended attempt=1
// ending=cancelled" out of a call of six, "attempt.sent attempt=2" 345 ms later, the other five answered on
// the first call after that.
TEST(CallsOfSeveral, AreCalledOffAsAWholeOrNotAtAll) {
  for (bool mayCopy : {false, true}) {
    Desk desk(mayCopy);
    for (const char* ref : {"one", "two", "three"}) desk.take(ref, "status", 9000);
    ASSERT_TRUE(desk.sent("three - 1\r\nx\r\n"));
    desk.callOff("two");
    EXPECT_EQ(desk.out("two"), !mayCopy);  // beside its call another attempt of it would be a hedge
    desk.callOff("one");
    EXPECT_TRUE(desk.out("one"));  // the first
    desk.turn();
    EXPECT_FALSE(desk.closed());
    desk.callOff("three");
    for (const char* ref : {"one", "two", "three"}) EXPECT_FALSE(desk.out(ref)) << ref;
    EXPECT_TRUE(within(1000, [&] { return desk.closed(); }));
  }
}

TEST(CallsOfSeveral, AnswerForOneThatWasToBeCalledOffToo) {
  Desk desk;
  desk.take("one", "status", 9000);
  desk.take("two", "status", 9000);
  ASSERT_TRUE(desk.sent("two - 1\r\nx\r\n"));
  desk.callOff("two");
  put(desk.far, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\none ok\r\ntwo ok\r\n");
  ASSERT_TRUE(within(1000, [&] {
    desk.turn();
    return !desk.out("one");
  }));
  EXPECT_EQ(desk.book.inFlight().size(), 0u);
}

// One whose time is up ends at once; the rest of the call goes on.
TEST(CallsOfSeveral, GoOnWhenTheTimeOfOneIsUp) {
  Desk desk;
  desk.take("long", "order", 9000);
  desk.take("short", "status", 400);
  ASSERT_TRUE(desk.sent("short - 1\r\nx\r\n"));
  ASSERT_TRUE(within(1000, [&] {
    desk.turn();
    return !desk.out("short");
  }));
  EXPECT_TRUE(desk.out("long"));
  EXPECT_FALSE(desk.closed());
}

// The first one may end by another attempt. The rest cannot be delivered by this call any more.
TEST(CallsOfSeveral, EndWithTheirFirst) {
  Desk desk;
  desk.take("first", "status", 9000);
  desk.take("second", "status", 8000);
  ASSERT_TRUE(desk.sent("second - 1\r\nx\r\n"));
  desk.rules.cancelMessage(desk.ids["first"]);
  desk.callOff("first");
  EXPECT_FALSE(desk.out("second"));
  EXPECT_TRUE(within(1000, [&] { return desk.closed(); }));
}

// Seen on roll+brink+mass, 300 dispatchers, seed 54: "attempt.sent time_out_ms=11999.0", "attempt.ended
// ending=completed spent_ms=11999.42", and a message that had never ended.
TEST(Calls, AnsweredAtTheEndOfTheirTimeAreToldToThePlatformToo) {
  for (Millis left : {9000.0, 400.0}) {
    Desk desk;
    desk.take("one", "order", left);
    ASSERT_TRUE(desk.sent("\r\n\r\nx"));
    Millis at = desk.loop.now() + 350;
    while (desk.loop.now() < at) desk.turn();
    put(desk.far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(within(1000, [&] {
      desk.turn();
      return desk.book.inFlight().empty();
    }));
    EXPECT_EQ(desk.book.pendingNotifications().size(), left < 1000 ? 1u : 0u) << left;
  }
}

// Danger: clients hold all descriptors. A attempt that could not have one passed for a failed connection, and
// its destination for out.
TEST(Calls, ThatLackADescriptorTellNothingOfTheEndpointAndGoOutLater) {
  Desk desk;
  desk.take("one", "order", 9000);
  rlimit usual{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  int next = ::dup(0);
  ::close(next);
  rlimit none{static_cast<rlim_t>(next), usual.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  desk.decide();
  for (int n = 0; n < 5; ++n) desk.turn();
  ::setrlimit(RLIMIT_NOFILE, &usual);
  EXPECT_FALSE(desk.out("one"));
  EXPECT_TRUE(desk.rules.state().messages.at(desk.ids["one"]).attempts.at(0).provablyNotExecuted);
  EXPECT_EQ(desk.rules.state().endpoints.begin()->second.failures.consecutiveFailures(), 0);
  EXPECT_FALSE(desk.rules.state().routes.begin()->second.recovery.isOutage());
  EXPECT_TRUE(within(1000, [&] {
    desk.turn();
    desk.decide();
    return desk.rules.state().messages.at(desk.ids["one"]).attempts.size() == 2;
  }));
}

// Danger: more probes than descriptors were dealt out for; what is over goes back and says nothing.
TEST(Calls, ProbeNoMoreAtOnceThanTheirPartOfTheConnections) {
  Desk desk;
  EndpointId id = desk.catalog.idOf("s-1");
  for (int n = 0; n < 12; ++n) desk.calls.sendHealthCheck(id);
  int came = 0;
  for (pollfd waits{desk.listener, POLLIN, 0}; ::poll(&waits, 1, 100) > 0; ++came)
    ::close(::accept(desk.listener, nullptr, nullptr));
  EXPECT_EQ(came, 8);
  EXPECT_EQ(desk.rules.state().endpoints.at(id).failures.consecutiveFailures(), 0);
}

// A connection is made free where one can be, and the attempt goes out at once.
TEST(Calls, HaveRoomMadeForThem) {
  Desk desk;
  desk.take("one", "order", 9000);
  int idle = ::dup(0);
  rlimit usual{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  rlimit none{static_cast<rlim_t>(idle) + 1, usual.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  desk.loop.onDescriptorExhaustion([&] { return idle >= 0 && ::close(std::exchange(idle, -1)) == 0; });
  desk.decide();
  ::setrlimit(RLIMIT_NOFILE, &usual);
  EXPECT_EQ(idle, -1);
  EXPECT_TRUE(desk.read("\r\n\r\nx"));
}

// Danger: a repeat whose last bytes leave after its window is over: the endpoint has forgotten the first.
TEST(Calls, HalfWrittenAreBrokenOffWhenTheWindowOfTheRepeatIsOver) {
  for (bool late : {false, true}) {
    Desk desk(true, 30'000'000);
    desk.takeRepeat("one", std::string(8'000'000, 'x'));
    desk.decide();
    desk.far = ::accept(desk.listener, nullptr, nullptr);
    for (int n = 0; n < 20; ++n) desk.turn();  // as much as the system takes
    if (late) std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    desk.round(0);
    EXPECT_EQ(desk.read("xxxx\n\n", 8'000'000), !late);
    const Attempt& launch = desk.rules.state().messages.at(desk.ids["one"]).attempts.at(1);
    EXPECT_EQ(launch.provablyNotExecuted, late);
  }
}

// A journal that hung, or a long turn: what was decided is asked again before its bytes leave.
TEST(Calls, OfATurnThatHasGrownOldAreAskedAgain) {
  for (bool late : {false, true}) {
    Desk desk(true);
    desk.takeRepeat("one");
    desk.decide([&] {
      if (late) std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    });
    EXPECT_EQ(desk.read("\r\n\r\nx"), !late);
  }
}

// The connection that was chosen has ended while the journal was written: nothing is written to it.
TEST(Calls, OfATurnThatHasGrownOldGoOutOnNoConnectionThatHasEnded) {
  Desk desk;
  desk.take("one", "order", 9000);
  ASSERT_TRUE(desk.sent("\r\n\r\nx"));
  ASSERT_TRUE(desk.answered());
  desk.take("two", "order", 9000);
  desk.decide([&] {
    ::shutdown(desk.far, SHUT_RDWR);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  });
  for (int n = 0; n < 5; ++n) desk.turn();
  const auto& launches = desk.rules.state().messages.at(desk.ids["two"]).attempts;
  EXPECT_TRUE(launches.at(0).provablyNotExecuted);  // an effectful one, and it may go again
}

// A connection that rests, and bytes of its endpoint on it that nobody asked for: half a line, or an answer
// before its question. Danger: the next call takes them for its own answer, and passes for delivered.
TEST(Calls, GoOutOnNoConnectionWithStrayBytesOnIt) {
  for (std::string stray : {"HT", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    // While it rests and the loop has heard of them; while it rests and the loop has not; while the journal
    // is written, the call decided and the connection chosen.
    for (int when : {0, 1, 2}) {
      Desk desk;
      desk.take("one", "order", 9000);
      ASSERT_TRUE(desk.sent("\r\n\r\nx"));
      ASSERT_TRUE(desk.answered());
      int old = std::exchange(desk.far, -1);
      auto speak = [&] { put(old, stray); };
      if (when < 2) speak();
      for (int n = 0; when == 0 && n < 5; ++n) desk.turn();
      desk.take("two", "order", 9000);
      desk.got.clear();
      desk.decide(when == 2 ? std::function<void()>(speak) : [] {});
      EXPECT_EQ(desk.read("\r\n\r\nx"), when < 2) << when;  // on a new connection, or not at all
      char byte;
      EXPECT_LE(::recv(old, &byte, 1, MSG_DONTWAIT), 0) << "two went to it";
      ASSERT_TRUE(desk.book.contains("two")) << when << stray;  // and nothing has answered it
      const Attempt& launch = desk.rules.state().messages.at(desk.ids["two"]).attempts.at(0);
      EXPECT_EQ(launch.pending, when < 2);
      EXPECT_EQ(launch.provablyNotExecuted, when == 2);
      ::close(old);
    }
  }
}

// Two endpoints, each with what it has read and not answered. A hedge costs of the retry budget, which twenty
// messages that are answered at once have earned.
struct Pair : Desk {
  struct End {
    int listener;
    std::vector<int> connections;
    int asked;  // the connection on which a call lies whole
  };
  std::array<End, 2> ends{End{listener, {}, -1}, End{loopback(0, true), {}, -1}};

  Pair() : Desk(true) {
    withdraws = true;
    catalog.applyAnswer(nlohmann::json::parse(
        R"({"version":2,"full":false,"servers":[{"id":"s-2","addr":"127.0.0.1:)" +
        std::to_string(portOf(ends[1].listener)) +
        R"(","zone":"a","kind":"many","cell":7,"state":"in_service","weight":1.0,"started_ms":0}]})"));
    for (int n = 0; n < 20; ++n) {
      take("w" + std::to_string(n), "status", 9000);
      decide();
      EXPECT_TRUE(within(1000, [&] {
        turn();
        for (End& end : ends) {
          if (heard(end)) answer(end);
        }
        return book.inFlight().empty();
      }));
    }
  }
  ~Pair() {
    for (const End& end : ends) {
      for (int fd : end.connections) ::close(fd);
    }
    ::close(ends[1].listener);
  }
  static bool heard(End& end) {
    pollfd waits{end.listener, POLLIN, 0};
    while (::poll(&waits, 1, 0) > 0) end.connections.push_back(::accept(end.listener, nullptr, nullptr));
    for (int fd : end.connections) {
      char bytes[4096];
      ssize_t n = end.asked < 0 ? ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) : 0;
      if (n > 0 && std::string_view(bytes, static_cast<std::size_t>(n)).ends_with("\r\n\r\nx"))
        end.asked = fd;
    }
    return end.asked >= 0;
  }
  static void answer(End& end) {
    put(std::exchange(end.asked, -1), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  std::size_t launches(const std::string& ref) { return rules.state().messages.at(ids[ref]).attempts.size(); }
};

// A hedge is out, and both attempts are answered before the loop turns again; or the first is while the hedge
// is being noted; or the loser's answer comes behind the winner's end. One end, told to nobody, nothing sent
// after it, and the loser's answer is not taken for that of a later call.
TEST(Calls, OfAHedgedPairBothAnsweredInOneTurnEndItOnce) {
  enum class Order { both, whileNoted, loserBehind };
  for (Order order : {Order::both, Order::whileNoted, Order::loserBehind}) {
    Pair pair;
    pair.take("one", "status", 9000);
    pair.decide();
    ASSERT_TRUE(within(1000, [&] {
      pair.turn();
      return Pair::heard(pair.ends[0]) || Pair::heard(pair.ends[1]);
    }));
    Pair::End& first = pair.ends[0].asked >= 0 ? pair.ends[0] : pair.ends[1];
    Pair::End& second = pair.ends[0].asked >= 0 ? pair.ends[1] : pair.ends[0];
    ASSERT_TRUE(within(3000, [&] {
      pair.turn();
      pair.decide([&] {
        if (order == Order::whileNoted && pair.launches("one") == 2) Pair::answer(first);
      });
      return pair.launches("one") == 2;
    }));
    if (order != Order::whileNoted) {
      ASSERT_TRUE(within(1000, [&] {
        if (!Pair::heard(second)) pair.turn();
        return second.asked >= 0;
      }));
      Pair::answer(first);
      if (order == Order::both) Pair::answer(second);
    }
    EXPECT_TRUE(within(1000, [&] {
      pair.turn();
      return pair.book.inFlight().empty();
    }));
    if (order == Order::loserBehind) {
      pair.decide();
      char byte;  // the loser's connection was closed with its call
      EXPECT_EQ(::recv(second.asked, &byte, 1, 0), 0);
      Pair::answer(second);
    }
    for (int n = 0; n < 20; ++n) {
      pair.turn();
      pair.decide();
    }
    EXPECT_TRUE(pair.book.pendingNotifications().empty());
    EXPECT_EQ(pair.rules.state().requestsInFlight, 0) << static_cast<int>(order);
    // What comes next waits for an answer of its own, whichever connection it takes.
    pair.take("two", "status", 9000);
    pair.decide();
    for (int n = 0; n < 5; ++n) pair.turn();
    EXPECT_TRUE(pair.book.contains("two"));
    EXPECT_EQ(pair.rules.state().requestsInFlight, 1) << static_cast<int>(order);
  }
}

// An answer comes half before and half after what its message waits for: the end of the clients, a signal, a
// turn in which nothing else happens. It counts as one, and counts once.
TEST(Calls, HalfAnsweredEndByTheWholeAnswer) {
  for (std::size_t cut = 1; cut < 38; ++cut) {
    Desk desk;
    desk.take("one", "order", 9000);
    ASSERT_TRUE(desk.sent("\r\n\r\nx"));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    put(desk.far, answer.substr(0, cut));
    for (int n = 0; n < 2; ++n) desk.turn();
    ASSERT_TRUE(desk.book.contains("one")) << cut;
    EXPECT_TRUE(desk.out("one")) << cut;
    put(desk.far, answer.substr(cut));
    EXPECT_TRUE(within(1000, [&] {
      desk.turn();
      return desk.book.inFlight().empty();
    }));
    EXPECT_TRUE(desk.book.pendingNotifications().empty());
  }
}

// An endpoint leaves the list, drains, or comes back at another address while a call to it is on its way.
TEST(Calls, CrossAListThatChanges) {
  // Decided and in the journal, the connection not up: the drain is told first.
  Desk desk;
  desk.take("one", "order", 9000);
  desk.decide();
  desk.list("terminating");
  EXPECT_FALSE(desk.read("x"));
  EXPECT_TRUE(desk.rules.state().messages.at(desk.ids["one"]).attempts.at(0).provablyNotExecuted);
  // Decided and not noted yet: it has gone altogether.
  Desk other;
  other.take("one", "order", 9000);
  other.decide([&] {
    other.list("terminated");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  });
  EXPECT_FALSE(other.read("x"));
  EXPECT_TRUE(other.rules.state().messages.at(other.ids["one"]).attempts.at(0).provablyNotExecuted);
  // Back under its name with another address: the kept connection leads to where it was.
  Desk moved;
  moved.take("one", "order", 9000);
  ASSERT_TRUE(moved.sent("\r\n\r\nx"));
  ASSERT_TRUE(moved.answered());
  int before = std::exchange(moved.listener, loopback(0, true));
  int old = std::exchange(moved.far, -1);
  moved.list("in_service");
  moved.take("two", "order", 9000);
  moved.got.clear();
  EXPECT_TRUE(moved.sent("\r\n\r\nx"));
  EXPECT_NE(moved.got.find("X-Request-Id: two"), std::string::npos);
  ::close(before);
  ::close(old);
}

}  // namespace
}  // namespace stonewing::testing
