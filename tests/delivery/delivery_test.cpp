#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>
#include <sys/resource.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "base/bytes.h"
#include "dispatcher/dispatcher.h"
#include "logging/log.h"
#include "net/http_client_connection.h"
#include "server/resp_server.h"
#include "storage/message_store.h"
#include "support/policy_harness.h"

namespace stonewing::testing {
namespace {

using Step = HttpResponseParser::Progress;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kNoContent = "HTTP/1.1 204 No Content\r\n\r\n";

const char* kSettings = R"({"request-classes":[
    {"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"},
    {"name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"}],
  "family-info":{"call-slots":6,"per-call":[1,20]},"kinds":["plain","many"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"cancel":true,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

std::string with(const std::string& part, const std::string& other, std::string settings = kSettings) {
  return settings.replace(settings.find(part), part.size(), other);
}

std::string row(const StandIn& at, const std::string& kind = "plain",
                const std::string& state = "in_service") {
  return R"([{"id":"s-1","addr":")" + at.address() + R"(","zone":"a","kind":")" + kind +
         R"(","cell":7,"state":")" + state + R"(","weight":1.0,"started_ms":0},)" +
         // Destination 9 is there, but nothing can be delivered to it.
         R"({"id":"s-9","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":9,"state":"terminating","weight":1.0,"started_ms":0}])";
}

// Silent on watches, and content with every notice.
std::string platform(const std::string& head, const std::string&) {
  return head.starts_with("POST /reports") ? kNoContent : "";
}

TEST(Commands, AreReadByteByByte) {
  std::string bytes = submit("9b1f", "c=status,d=800,dest=7", std::string("a\r\n\0$", 5));
  std::vector<std::string_view> words;
  std::size_t used = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    ASSERT_EQ(parseRespCommand(std::string_view(bytes).substr(0, n), words, used), RespParseResult::needsMore)
        << n;
  }
  bytes += "*1";
  ASSERT_EQ(parseRespCommand(bytes, words, used), RespParseResult::complete);
  EXPECT_EQ(used, bytes.size() - 2);
  EXPECT_EQ(words.at(4), std::string_view("a\r\n\0$", 5));
}

TEST(Commands, ThatAreBadAreSeenAtOnce) {
  for (std::string bad :
       {"PING\r\n", "*0\r\n", "*99\r\n", "*-1\r\n", "*1\n", "*1\r\n:3\r\n", "*1\r\n$65537\r\n",
        "*1\r\n$2\r\nabX", "*1\r\n$-1\r\n", "*x\r\n", "*1111111111111111111111111111111111"}) {
    std::vector<std::string_view> words;
    std::size_t used = 0;
    EXPECT_EQ(parseRespCommand(bad, words, used), RespParseResult::malformed) << bad;
  }
}

RC_GTEST_PROP(Commands, ComeOutAsTheyWentIn, (std::vector<std::string> words)) {
  if (words.empty()) words.push_back("x");
  if (words.size() > 16) words.resize(16);
  std::string bytes = command(words);
  std::vector<std::string_view> read;
  std::size_t used = 0;
  RC_ASSERT(parseRespCommand(bytes, read, used) == RespParseResult::complete);
  RC_ASSERT(used == bytes.size());
  RC_ASSERT(std::vector<std::string>(read.begin(), read.end()) == words);
}

TEST(Answers, AreReadByteByByte) {
  struct Case {
    std::string bytes, body;
    int status;
    bool keeps;
  };
  for (const Case& c :
       {Case{kOk, "ok", 200, true},
        Case{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Wait\r\nx-backoff-ms:  40 \r\n"
             "Content-Length: 0\r\n\r\n",
             "", 429, true},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n"
             "T: u\r\n\r\n",
             "abc", 200, true},
        Case{"HTTP/1.0 503 Full\r\nContent-Length: 1\r\n\r\nx", "x", 503, false},
        Case{"HTTP/1.1 500 Oh\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", "x", 500, false},
        Case{kNoContent, "", 204, true}}) {
    HttpResponseParser reader;
    for (std::size_t n = 0; n < c.bytes.size(); ++n) {
      ASSERT_EQ(reader.parse(std::string_view(c.bytes).substr(0, n), false), Step::needsMore) << c.bytes << n;
    }
    ASSERT_EQ(reader.parse(c.bytes, false), Step::complete) << c.bytes;
    EXPECT_EQ(reader.status(), c.status);
    EXPECT_EQ(reader.body(c.bytes), c.body);
    EXPECT_EQ(reader.keepsAlive(), c.keeps);
    EXPECT_EQ(reader.length(), c.bytes.size());
    EXPECT_EQ(reader.header(c.bytes, "X-Backoff-Ms"), c.status == 429 ? "40" : "");
  }
  HttpResponseParser toTheEnd;
  std::string open = "HTTP/1.1 200 OK\r\n\r\nall";
  EXPECT_EQ(toTheEnd.parse(open, false), Step::needsMore);
  EXPECT_EQ(toTheEnd.parse(open, true), Step::complete);
  EXPECT_EQ(toTheEnd.body(open), "all");
}

TEST(Answers, ThatAreBrokenAreSeenAsSuch) {
  for (std::string bad :
       {"HTTQ", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 099 x\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 101 Go\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_EQ(HttpResponseParser().parse(bad, false), Step::malformed) << bad;
  }
  EXPECT_EQ(HttpResponseParser().parse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", true),
            Step::malformed);
  EXPECT_EQ(
      HttpResponseParser().parse(std::string("HTTP/1.1 200 OK\r\nA: ") + std::string(20000, 'a'), false),
      Step::malformed);
}

RC_GTEST_PROP(Answers, CutAnywhereGiveTheSameEnd, (std::string body, std::vector<std::uint8_t> cuts)) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Load: x1=3\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  HttpResponseParser reader;
  std::size_t at = 0;
  for (std::uint8_t cut : cuts) {
    at = std::min(at + cut, bytes.size());
    RC_ASSERT(reader.parse(std::string_view(bytes).substr(0, at), false) ==
              (at < bytes.size() ? Step::needsMore : Step::complete));
  }
  RC_ASSERT(reader.parse(bytes, false) == Step::complete);
  RC_ASSERT(reader.body(bytes) == body);
}

RC_GTEST_PROP(Answers, JunkEndsBrokenOrWholeButNeverPastItsBytes, (std::string junk)) {
  std::string bytes = "HTTP/1.1 200 OK\r\n" + junk;
  HttpResponseParser reader;
  reader.parse(bytes, false);
  Step end = reader.parse(bytes, true);
  RC_ASSERT(end != Step::needsMore);
  if (end == Step::complete) RC_ASSERT(reader.length() <= bytes.size());
}

// Danger: a program made anew takes the journal of its forerunner for torn, and cuts all that was accepted.
TEST(Journal, OfTheFirstVersionIsReadGoesOnAndIsWrittenAnewInTheSecond) {
  auto framedFirst = [](const std::string& record) {
    std::uint32_t sum = 0xffffffffu;
    for (unsigned char byte : record) {
      sum ^= byte;
      for (int bit = 0; bit < 8; ++bit) sum = (sum & 1) != 0 ? 0xedb88320u ^ (sum >> 1) : sum >> 1;
    }
    std::string bytes;
    putBytes(bytes, static_cast<std::uint32_t>(record.size()));
    putBytes(bytes, ~sum);
    return bytes + record;
  };
  Folder folder;
  std::string path = (folder.path / "journal").string();
  std::ofstream(path) << framedFirst("old") << framedFirst("older") << "torn";
  std::vector<std::string> read;
  auto keep = [&](std::string_view record) { read.emplace_back(record); };
  {
    Journal journal(folder.path.string(), 100000);
    EXPECT_EQ(journal.replay(keep), 4u);
    ASSERT_TRUE(journal.append("new"));
    EXPECT_TRUE(journal.commit().empty());
  }
  read.clear();
  Journal journal(folder.path.string(), 100000);
  EXPECT_EQ(journal.replay(keep), 0u);
  EXPECT_EQ(read, (std::vector<std::string>{"old", "older", "new"}));
  ASSERT_TRUE(journal.beginCompaction() && journal.appendToCompaction(Journal::framed("old")) &&
              journal.installCompaction());
  ASSERT_TRUE(journal.append("newer"));
  EXPECT_TRUE(journal.commit().empty());
  read.clear();
  Journal(folder.path.string(), 100000).replay(keep);
  EXPECT_EQ(read, (std::vector<std::string>{"old", "newer"}));
}

TEST(Journal, OfAVersionThatIsNotKnownIsLeftAsItIs) {
  Folder folder;
  std::string path = (folder.path / "journal").string();
  const std::string bytes = "SWJ\3and what we cannot read";
  std::ofstream(path) << bytes;
  Journal journal(folder.path.string(), 100000);
  EXPECT_THROW(journal.replay([](std::string_view) {}), std::runtime_error);
  std::ifstream in(path);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(in), {}), bytes);
}

TEST(Logs, HaveOneVocabularyInBothFormats) {
  std::initializer_list<log::Field> fields = {
      {"callback", "9b1f"}, {"launch", 2}, {"spent_ms", 1.5}, {"why", "it said \"no\"\n"}, {"bytes", "\xff"}};
  EXPECT_EQ(log::lineOf(log::Format::text, "attempt.finished", fields),
            "attempt.finished callback=9b1f launch=2 spent_ms=1.5 why=\"it said \\\"no\\\"\\n\" bytes=\xff");
  std::string object = "{" + log::lineOf(log::Format::json, "attempt.finished", fields) + "}";
  auto row = nlohmann::json::parse(object);
  EXPECT_EQ(row["event"], "attempt.finished");
  EXPECT_EQ(row["launch"], 2);
  EXPECT_EQ(row["why"], "it said \"no\"\n");
  EXPECT_THROW(log::open("x", "loud", "text"), ConfigError);
  EXPECT_THROW(log::open("x", "info", "xml"), ConfigError);
}

// Danger: a kill in the middle of a write leaves half a record, and all that comes after would be unreadable.
TEST(Journal, CutAtAnyByteKeepsAllWholeRecordsAndTakesNewOnes) {
  Folder folder;
  std::string path = (folder.path / "journal").string();
  const std::string head = "SWJ\2";
  std::string bytes = head + Journal::framed("first") + Journal::framed("second");
  std::size_t whole = head.size() + Journal::framed("first").size();
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::ofstream(path, std::ios::trunc) << bytes.substr(0, cut);
    std::ofstream(path + ".new") << "a rewrite that was cut short";
    std::vector<std::string> read;
    auto keep = [&](std::string_view record) { read.emplace_back(record); };
    {
      Journal journal(folder.path.string(), 100000);
      std::size_t kept = cut < head.size() ? 0 : cut < whole ? head.size() : cut < bytes.size() ? whole : cut;
      EXPECT_EQ(journal.replay(keep), cut - kept);
      ASSERT_TRUE(journal.append("third"));
      EXPECT_TRUE(journal.commit().empty());
    }
    EXPECT_FALSE(std::filesystem::exists(path + ".new"));
    read.clear();
    Journal(folder.path.string(), 100000).replay(keep);
    std::vector<std::string> expected{"third"};
    if (cut == bytes.size()) expected.insert(expected.begin(), "second");
    if (cut >= whole) expected.insert(expected.begin(), "first");
    EXPECT_EQ(read, expected) << cut;
  }
}

struct BookBed {
  Folder folder;
  NameTables facts = readNameTables(kSettings);
  MessageStore book;
  explicit BookBed(std::size_t most = 60000, bool aside = false)
      : book(facts, folder.path.string(), most, aside) {}
  std::optional<MessageId> take(const std::string& ref, std::size_t bytes = 100) {
    return book.accept(book.decode("00", ref, "c=order,d=500,dest=7,k=5c", std::string(bytes, 'b'), 1000));
  }
};

TEST(Book, BringsBackWhatIsOwedAndNothingElse) {
  BookBed bed;
  EXPECT_EQ(bed.book.restore(), 0u);
  auto held = bed.take("held");
  auto done = bed.take("done");
  auto dead = bed.take("dead");
  auto told = bed.take("told");
  EndpointRecord endpoint{"s-1", DestinationId{7}, KindId{1}, ZoneId{0}};
  ASSERT_TRUE(bed.book.recordAttempt(*held, endpoint, 1234));
  ASSERT_TRUE(bed.book.recordAttempt(*held, endpoint, 1300));
  bed.book.recordNotExecuted(*held, 0);
  bed.book.recordDelivered(*done);
  bed.book.addPendingNotification(*dead, FinalOutcome::shed, 250);
  bed.book.addPendingNotification(*told, FinalOutcome::failed, 0);
  bed.book.confirmNotification(*told);
  bed.book.commit();
  MessageStore again(bed.facts, bed.folder.path.string(), 60000);
  EXPECT_EQ(again.restore(), 0u);
  ASSERT_EQ(again.inFlight().size(), 1u);
  const StoredMessage& h = again.inFlight().at(*held);
  EXPECT_EQ(h.reference, "held");
  EXPECT_EQ(h.idempotencyKey, "5c");
  EXPECT_EQ(h.deadlineWall, 1500);
  EXPECT_EQ(h.body->size(), 100u);
  ASSERT_EQ(h.attempts.size(), 2u);
  EXPECT_TRUE(h.attempts[0].provablyNotExecuted);
  EXPECT_FALSE(h.attempts[1].provablyNotExecuted);
  EXPECT_EQ(h.attempts[1].sentWall, 1300);
  EXPECT_EQ(h.attempts[1].endpoint.kind, KindId{1});
  ASSERT_EQ(again.pendingNotifications().size(), 1u);
  EXPECT_EQ(again.pendingNotifications().at(*dead).retryAfter, 250);
  EXPECT_GT(again.accept(again.decode("0", "new", "c=status,d=1,dest=1", "", 0))->value, told->value);
}

// Danger: over its limit on disk a dispatcher counts as crashed, and the old and the new file count together.
TEST(Book, StaysWithinItsDiskWhateverComesAndRefusesWhatDoesNotFit) {
  BookBed bed;
  bed.book.restore();
  std::vector<MessageId> held;
  std::size_t refused = 0;
  for (int n = 0; n < 3000; ++n) {
    if (auto id = bed.take("c" + std::to_string(n), n % 700 == 0 ? 25000 : 300)) {
      held.push_back(*id);
    } else {
      ++refused;
    }
    if (held.size() > 5 || (!held.empty() && refused > 0 && n % 3 == 0)) {
      EXPECT_TRUE(bed.book.recordAttempt(held.front(), {"s-1", {}, {}, {}}, n));
      bed.book.recordDelivered(held.front());
      held.erase(held.begin());
    }
    if (n % 4 == 0) bed.book.commit();
    std::size_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(bed.folder.path)) bytes += file.file_size();
    ASSERT_LE(bytes, 60000u);
  }
  bed.book.commit();
  EXPECT_GT(refused, 0u);
  EXPECT_LT(refused, 100u);
  MessageStore again(bed.facts, bed.folder.path.string(), 60000);
  again.restore();
  EXPECT_EQ(again.inFlight().size(), held.size());
}

std::string toldOf(const MessageStore& book) {
  std::ostringstream told;
  for (const auto& [id, held] : book.inFlight()) {
    told << id.value << held.reference << *held.body;
    for (const AttemptRecord& l : held.attempts) told << " at " << l.sentWall << l.provablyNotExecuted;
  }
  for (const auto& [id, notice] : book.pendingNotifications())
    told << id.value << notice.reference << notice.retryAfter;
  return told.str();
}

// Danger: a kill between any two commits, also in the middle of a rewrite that goes on in parts: what the
// folder then holds must be what the commits kept, no more and no less. Where a thread writes, more is noted
// while a write is under way.
class Kills : public ::testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(Writers, Kills, ::testing::Values(false, true));

TEST_P(Kills, AtAnyCommitLeaveWhatWasKept) {
  std::mt19937 chance(11);
  constexpr std::size_t kMost = 500000;
  BookBed bed(kMost, GetParam());
  int rewrites = 0;
  std::string begun;
  bool under = false;
  for (int n = 0; n < 9000; ++n) {
    auto any = [&](const auto& of) {
      return of.empty() ? MessageId{0}
                        : std::next(of.begin(), static_cast<long>(chance() % of.size()))->first;
    };
    auto held = [&] { return any(bed.book.inFlight()); };
    auto what = chance() % 7;
    if (what < 2) bed.take("c" + std::to_string(n), 50 + chance() % 5000);
    if (what == 2) bed.book.recordAttempt(held(), {"s-1", DestinationId{7}, {}, {}}, n);
    if (what == 3) bed.book.recordNotExecuted(held(), static_cast<int>(chance() % 3));
    if (what == 4) bed.book.recordDelivered(held());
    if (what == 5) bed.book.addPendingNotification(held(), FinalOutcome::shed, n);
    if (what == 6) bed.book.confirmNotification(any(bed.book.pendingNotifications()));
    if (chance() % 3 != 0) continue;
    if (!under) {
      bed.book.beginCommit();
      begun = toldOf(bed.book);
      under = true;
      if (GetParam() && bed.book.lastCommitHeldRecords() && chance() % 2 == 0) continue;
    }
    while (!bed.book.finishCommit(1000)) {
    }
    under = false;
    if (!bed.book.lastCommitHeldRecords()) continue;
    int halfWay = std::filesystem::exists(bed.folder.path / "journal.new") ? 1 : 0;
    rewrites += halfWay;
    if (halfWay == 0 && chance() % 16 != 0) continue;
    Folder copy;
    std::filesystem::copy(bed.folder.path / "journal", copy.path / "journal");
    MessageStore again(bed.facts, copy.path.string(), kMost);
    ASSERT_EQ(again.restore(), 0u);
    ASSERT_EQ(toldOf(again), begun) << n;
  }
  EXPECT_GT(rewrites, 10);
}

// No file of ours may grow past so many bytes from now on; 0: any may.
void limitFiles(std::size_t bytes) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = bytes > 0 ? bytes : limit.rlim_max;
  ::setrlimit(RLIMIT_FSIZE, &limit);
}

// Danger: of what a turn wrote together only a part fits. A attempt that was not kept must not be sent, nor
// may its number let another attempt, which may have run, pass for one that never did.
TEST(Book, OfATurnThatDoesNotFitItKeepsWhatDoesAndCountsLaunchesByThat) {
  BookBed bed;
  bed.book.restore();
  auto first = bed.take("first");
  bed.book.commit();
  limitFiles(std::filesystem::file_size(bed.folder.path / "journal") + 300);
  auto large = bed.take("large", 2000);
  auto small = bed.take("small", 10);
  ASSERT_TRUE(bed.book.recordAttempt(*first, {std::string(400, 'e'), {}, {}, {}}, 1));
  bed.book.commit();
  limitFiles(0);
  EXPECT_TRUE(bed.book.isLostAcceptance(*large));
  EXPECT_FALSE(bed.book.isLostAcceptance(*small));
  EXPECT_TRUE(bed.book.isLostAttempt(*first, 0));
  EXPECT_EQ(bed.book.find(*large), nullptr);
  ASSERT_TRUE(bed.book.recordAttempt(*first, {"s-1", {}, {}, {}}, 2));
  ASSERT_TRUE(bed.book.recordAttempt(*first, {"s-2", {}, {}, {}}, 3));
  bed.book.recordNotExecuted(*first, 0);
  bed.book.recordNotExecuted(*first, 2);
  bed.book.commit();
  MessageStore again(bed.facts, bed.folder.path.string(), 60000);
  again.restore();
  EXPECT_EQ(again.inFlight().size(), 2u);
  const auto& launches = again.find(*first)->attempts;
  ASSERT_EQ(launches.size(), 2u);
  EXPECT_EQ(launches[0].sentWall, 2);
  EXPECT_FALSE(launches[0].provablyNotExecuted);
  EXPECT_TRUE(launches[1].provablyNotExecuted);
}

TEST(Book, NamesWhatIsWrongWithASubmit) {
  BookBed bed;
  for (auto [ref, list] : {std::pair{"a b", "c=order,d=1,dest=1"},
                           {"a", "c=none,d=1,dest=1"},
                           {"a", "c=order,d=1"},
                           {"a", "c=order,d=x,dest=1"},
                           {"a", "c=order,d=-1,dest=1"},
                           {"a", "c=order,d=1,dest=70000"},
                           {"a", "c"},
                           {"a", ""},
                           {"a\r\nX: y", "c=order,d=1,dest=1"},
                           {"", "c=order,d=1,dest=1"}}) {
    EXPECT_THROW(bed.book.decode("00", ref, list, "", 0), ProtocolError) << ref << " " << list;
  }
  EXPECT_THROW(bed.book.decode("zz", "a", "c=order,d=1,dest=1", "", 0), ProtocolError);
}

TEST(Node, DeliversWithAllHeadersAndTellsNothingElse) {
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  std::string body("any\r\n\0bytes", 11);
  EXPECT_EQ(
      node.ask(
          submit("9b1f", "c=order,d=8000,k=5c0f,dest=7", body) + submit("9b20", "c=status,d=8000,dest=7"), 2),
      "+OK\r\n+OK\r\n");
  ASSERT_TRUE(within(2000, [&] { return endpoint.calls().size() == 2; }));
  for (std::string part :
       {"POST /v1/messages HTTP/1.1\r\n", "X-Request-Id: 9b1f\r\n", "Idempotency-Key: 5c0f\r\n",
        "X-Deadline-Ms: ", "Content-Length: 11\r\n", body.c_str()}) {
    EXPECT_EQ(endpoint.count(part) > 0, true) << part;
  }
  EXPECT_EQ(node.end(SIGTERM), 0);
  EXPECT_EQ(world.count("POST /reports"), 0u);
}

// Danger: an effect twice, or a message lost, by a wrong reading of how its attempt ended.
TEST(Node, ReadsEachEndAsTheProtocolSays) {
  struct Case {
    std::string answer;
    std::size_t launches;
    const char* notice;  // nothing where none is owed
  };
  std::string none = "Content-Length: 0\r\n\r\n";
  for (const Case& c : {Case{"HTTP/1.1 500 Oh\r\n" + none, 1, "dead"},
                        {"HTTP/1.1 404 Oh\r\n" + none, 1, "dead"},
                        {"HTTP/1.1 429 No\r\nX-Backoff-Ms: 50\r\n" + none, 2, ""},
                        {"HTTP/1.1 503 No\r\n" + none, 2, ""},
                        {"HTTP/1.1 503 No\r\nX-Egress-Full: 1\r\n" + none, 2, ""},
                        {"HTTP/1.1 503 No\r\nConnection: close\r\n" + none + "\4", 2, ""},
                        {"HTTP/1.1 504 No\r\n" + none, 2, ""},
                        {"HTTP/1.1 410 Gone\r\n" + none, 1, ""},
                        {"HTTP/1.1 200 OK\r\n\4", 1, ""},
                        {"HTTP/1.1 20\4", 1, "dead"},
                        {"HTTP/1.1 200 OK\r\nX: a head that does not end", 1, ""},
                        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 1, ""},
                        {"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nshort", 1, "dead"},
                        {"HTTP/1.1 100 Go on\r\n\r\n" + kOk + kOk, 1, ""},
                        {"no answer at all", 1, "dead"},
                        {"\4", 1, "dead"},
                        {"", 1, "dead"}}) {
    std::atomic<int> calls{0};
    StandIn endpoint([&](auto&, auto&) { return ++calls == 1 ? c.answer : kOk; });
    StandIn world(platform);
    endpoint.start();
    world.start();
    Node node(kSettings, row(endpoint), world.address());
    ASSERT_TRUE(node.start());
    EXPECT_EQ(node.ask(submit("one", "c=order,d=700,dest=7")), "+OK\r\n");
    within(1500, [&] {
      return c.notice[0] != 0 ? world.count("/reports") == 1 : endpoint.calls().size() == c.launches;
    });
    if (c.notice[0] == 0) std::this_thread::sleep_for(std::chrono::milliseconds(60));
    EXPECT_EQ(endpoint.calls().size(), c.launches) << c.answer;
    EXPECT_EQ(world.count("/reports"), c.notice[0] != 0 ? 1u : 0u) << c.answer;
    EXPECT_EQ(world.count(c.notice) > 0, true) << c.answer;
  }
}

// Danger: a list that cannot be read in place of one that can.
TEST(Node, KeepsItsListWhileDiscoveryTalksNonsenseAndAsksAgain) {
  StandIn endpoint([](auto&, auto&) { return kOk; });
  std::vector<std::string> lists{
      "nonsense", R"({"version":"x"})", R"({"version":3,"full":true,"servers":[{"id":"s-1"}]})",
      R"({"version":4,"full":true,"servers":)" + row(endpoint, "unheard-of") + "}"};
  std::atomic<std::size_t> asked{0};
  StandIn world([&](const std::string& head, const std::string& body) -> std::string {
    std::size_t n = head.starts_with("GET") ? asked++ : lists.size();
    if (n == lists.size()) return platform(head, body);
    if (n > lists.size()) return "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(lists[n].size()) + "\r\n\r\n" + lists[n];
  });
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  ASSERT_TRUE(within(4000, [&] { return asked >= lists.size(); }));
  EXPECT_EQ(node.ask(submit("one", "c=order,d=2000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(within(1000, [&] { return endpoint.calls().size() == 1; }));
}

// Danger: what was out at the kill may have run. A pure message goes again; an effectful one never does, and
// the platform hears of it, however often its first answers fail.
TEST(Node, KilledOutrightItOwesEachEndAfterItsReturn) {
  std::atomic<bool> silent{true};
  std::atomic<int> reports{0};
  StandIn endpoint([&](auto&, auto&) { return silent ? "" : kOk; });
  StandIn world([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("POST /reports")) return "";
    return ++reports < 3 ? "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" : platform(head, body);
  });
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("pure", "c=status,d=8000,dest=7") + submit("effect", "c=order,d=8000,dest=7") +
                         submit("nowhere", "c=order,d=8000,dest=9"),
                     3),
            "+OK\r\n+OK\r\n+OK\r\n");
  ASSERT_TRUE(within(2000, [&] { return endpoint.calls().size() == 2; }));
  EXPECT_EQ(node.end(SIGKILL), -SIGKILL);
  silent = false;
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("nowhere", "c=order,d=8000,dest=9")), "+OK\r\n");  // still held
  ASSERT_TRUE(within(2000, [&] { return reports >= 3 && endpoint.calls().size() == 3; }));
  EXPECT_EQ(endpoint.count("X-Request-Id: effect"), 1u);
  EXPECT_EQ(endpoint.count("X-Request-Id: pure"), 2u);
  EXPECT_GE(world.count("{\"ref\":\"effect\",\"result\":\"dead\"}\n"), 3u);
  // Until the confirmation is written down, which is after the platform gave it.
  EXPECT_TRUE(within(2000, [&] {
    Folder copy;
    std::filesystem::copy(node.folder.path / "journal", copy.path / "journal");
    NameTables facts = readNameTables(kSettings);
    MessageStore book(facts, copy.path.string(), 3'000'000);
    book.restore();
    return book.pendingNotifications().empty();
  }));
  EXPECT_EQ(node.end(SIGKILL), -SIGKILL);
  int told = reports;
  ASSERT_TRUE(node.start());  // both are over; the one for nowhere waits on
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(endpoint.calls().size(), 3u);
  EXPECT_EQ(reports, told);
}

// Danger: one batch, some refused and with a wait: each has its own end, and the wait binds.
TEST(Node, ReadsTheEndOfEachInACallOfSeveral) {
  std::atomic<int> calls{0};
  StandIn endpoint([&](auto&, auto&) -> std::string {
    if (++calls > 1) return kOk;
    std::string lines = "one ok\r\ntwo later\r\nthree gone\r\nfour error\r\n";
    return "HTTP/1.1 200 OK\r\nX-Backoff-Ms: 400\r\nContent-Length: " + std::to_string(lines.size()) +
           "\r\n\r\n" + lines;
  });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint, "many"), world.address());
  ASSERT_TRUE(node.start());
  std::string all;
  for (const char* ref : {"one", "two", "three", "four"})
    all += submit(ref, "c=order,d=8000,dest=7", "hello");
  node.ask(all, 4);
  ASSERT_TRUE(within(2000, [&] { return world.count("\"four\"") == 1; }));
  std::string first = endpoint.calls().at(0);
  EXPECT_TRUE(first.starts_with("POST /v1/messages:batch HTTP/1.1\r\n"));
  EXPECT_TRUE(
      first.ends_with("one - 5\r\nhello\r\ntwo - 5\r\nhello\r\nthree - 5\r\nhello\r\nfour - 5\r\nhello\r\n"));
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(calls, 1);
  ASSERT_TRUE(within(3000, [&] { return endpoint.count("X-Request-Id: two") == 1; }));
  EXPECT_EQ(calls, 2);
}

// Danger: a buffer or an index made for the endpoints of one deployment. 1,024 of them, in lists that are
// written for people's eyes, are read from the start file and from discovery, and each is reached.
TEST(Node, ServesAThousandEndpointsFromIndentedLists) {
  constexpr int kMany = 1024;
  StandIn endpoint([](auto&, auto&) { return kOk; });
  endpoint.start();
  auto listOf = [&](const char* prefix, int version) {
    nlohmann::json list{{"version", version}, {"full", true}, {"servers", nlohmann::json::array()}};
    for (int n = 0; n < kMany; ++n) {
      list["servers"].push_back({{"id", prefix + std::to_string(n)},
                                 {"addr", endpoint.address()},
                                 {"zone", "a"},
                                 {"kind", "plain"},
                                 {"cell", n},
                                 {"state", "in_service"},
                                 {"weight", 1.0},
                                 {"started_ms", 0},
                                 {"about", std::string(900, 'x')}});  // nothing that we know
    }
    return list.dump(8);
  };
  std::string whole = listOf("new-", 2);
  std::atomic<bool> asked{false};
  StandIn world([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET") || asked.exchange(true)) return platform(head, body);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole;
  });
  Node node(kSettings, nlohmann::json::parse(listOf("known-", 1)).at("servers").dump(8), world.address(),
            R"({"sockets":512,"disk_mb":3})");
  ASSERT_TRUE(node.start());
  auto serves = [&](int first) {
    for (int n = first; n < kMany; n += 100) {
      std::string ref = "r" + std::to_string(n);
      std::string taken = submit(ref, "c=order,d=8000,dest=" + std::to_string(n));
      // -BUSY while the turn that reads the list is long: its client comes again.
      EXPECT_TRUE(within(3000, [&] { return node.ask(taken) == "+OK\r\n"; })) << n;
      EXPECT_TRUE(within(3000, [&] { return endpoint.count("X-Request-Id: " + ref + "\r\n") == 1; })) << n;
    }
  };
  serves(23);  // by the start file: discovery has said nothing
  world.start();
  ASSERT_TRUE(within(5000, [&] { return world.count("since=2") > 0; }));
  serves(1);
}

// Danger: a connection that comes up late. Its call counts from its first byte, and by then the endpoint may
// drain.
TEST(Node, SendsNothingOnAConnectionThatComesUpAfterADrainWasTold) {
  StandIn endpoint([](auto&, auto&) { return kOk; }, 0);
  int held = loopback(endpoint.port(), false);  // its queue is full
  std::string list = R"({"version":2,"full":false,"servers":)" + row(endpoint, "plain", "terminating") + "}";
  std::atomic<int> watches{0};
  StandIn world([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET") || ++watches > 1) return platform(head, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  });
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  int slow = loopback(node.port, false);
  EXPECT_EQ(node.ask(submit("late", "c=order,d=2100,dest=7")), "+OK\r\n");
  ASSERT_TRUE(within(2000, [&] { return watches > 1; }));
  endpoint.start();
  ASSERT_TRUE(within(4000, [&] { return world.count("\"late\"") == 1; }));
  EXPECT_EQ(endpoint.calls().size(), 0u);
  ::close(held);
  // Meanwhile a client stood idle for longer than half a command may: its next one is its own time.
  put(slow, command({"PING"}).substr(0, 6));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  put(slow, command({"PING"}).substr(6));
  char answer[8] = {};
  EXPECT_EQ(::recv(slow, answer, 7, MSG_WAITALL), 7);
  EXPECT_EQ(std::string(answer), "+PONG\r\n");
  ::close(slow);
}

// Danger: of several in one call one ends while the connection is coming up. A part of the network that was
// cut off for seconds brings up hundreds of such at once, and each sent what was over.
TEST(Node, LeavesOutOfACallThatComesUpLateWhatHasEndedMeanwhile) {
  StandIn endpoint([](auto&, auto&) { return kOk; }, 0);
  int held = loopback(endpoint.port(), false);  // its queue is full
  StandIn world(platform);
  world.start();
  Node node(kSettings, row(endpoint, "many"), world.address());
  ASSERT_TRUE(node.start());
  std::string both = submit("over", "c=status,d=300,dest=7") + submit("left", "c=status,d=8000,dest=7");
  EXPECT_EQ(node.ask(both, 2), "+OK\r\n+OK\r\n");
  ASSERT_TRUE(within(900, [&] { return world.count("\"over\"") == 1; }));
  endpoint.start();
  ASSERT_TRUE(within(4000, [&] { return endpoint.count("left") == 1; }));
  EXPECT_EQ(endpoint.count("over"), 0u);
  ::close(held);
}

// Danger: the program ends on the signal, or goes on asking, and telling, an address that is no more.
TEST(Node, TakesANewAddressOfDiscoveryWhenToldToReread) {
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn first(platform);
  std::string list = R"({"version":1,"full":true,"servers":)" + row(endpoint) + "}";
  StandIn second([&](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("GET /catalog/members HTTP")) return platform(head, body);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  });
  endpoint.start();
  first.start();
  second.start();
  Node node(kSettings, row(endpoint, "plain", "terminating"), first.address());
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("held", "c=order,d=9000,dest=7") + submit("dead", "c=order,d=900,dest=9"), 2),
            "+OK\r\n+OK\r\n");
  EXPECT_EQ(node.ask(submit("x", "c=order,d=900,dest=8")), "-BUSY\r\n");
  node.replace("nonsense");
  ::kill(node.pid, SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(node.ask(command({"PING"})), "+PONG\r\n");
  node.replace(node.text(second.address()));
  ::kill(node.pid, SIGHUP);
  EXPECT_TRUE(within(1500, [&] { return endpoint.count("X-Request-Id: held") == 1; }));
  EXPECT_TRUE(within(1500, [&] { return second.count("\"dead\"") == 1; }));
  EXPECT_EQ(first.count("POST /reports"), 0u);
  // What only an old list lacks may be there; what discovery itself does not know is not.
  EXPECT_EQ(node.ask(submit("x", "c=order,d=900,dest=8")), "-ERR unknown dest\r\n");
  EXPECT_EQ(node.end(SIGTERM), 0);
}

// Danger: hundreds that begin at once overbook discovery, and asked again at once, for whole lists, it stays
// so.
TEST(Node, AsksADiscoveryThatTurnsItAwaySeldomAndForChangesOnly) {
  StandIn world([](const std::string& head, const std::string& body) -> std::string {
    if (head.starts_with("GET /catalog")) return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    return platform(head, body);
  });
  world.start();
  Node node(kSettings, row(world), world.address());
  ASSERT_TRUE(node.start());
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  EXPECT_GE(world.count("GET /catalog"), 2u);  // what it has to tell counts as told 6 s later
  EXPECT_LE(world.count("GET /catalog"), 4u);
  EXPECT_EQ(world.count("GET /catalog/members HTTP"), 0u);
}

// Danger: answers that never become whole hold calls until their time-outs.
TEST(Node, WaitsForNoRestThatDoesNotCome) {
  StandIn endpoint([](auto&, auto&) { return "HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nshort"; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("one", "c=order,d=9000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(within(1500, [&] { return world.count("\"one\"") == 1; }));
}

// Danger: clients that connect and say nothing, or stop in the middle of a command, by hundreds.
TEST(Node, LetsNoSilentClientHoldAPlaceNorMuchMemory) {
  StandIn world(platform);
  world.start();
  Node node(kSettings, row(world), world.address(), R"({"sockets":256,"disk_mb":3,"memory_mb":4})");
  ASSERT_TRUE(node.start());
  int silent = loopback(node.port, false);
  auto began = std::chrono::steady_clock::now();
  std::vector<int> halves;
  for (int n = 0; n < 12; ++n) {
    put(halves.emplace_back(loopback(node.port, false)),
        "*5\r\n$6\r\nSUBMIT\r\n$65536\r\n" + std::string(65000, 'x'));
  }
  char byte;
  EXPECT_EQ(::recv(halves.front(), &byte, 1, 0),
            1);  // an error: it began first, and there is no room for all
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(800));
  EXPECT_EQ(::recv(silent, &byte, 1, 0), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3000));
  for (int fd : halves) ::close(fd);
  ::close(silent);
}

// Danger: noise taken for a limit.
TEST(Reports, ThatCannotBeReadTellNothing) {
  std::vector<std::string> fields{"x0", "x1"};
  EXPECT_EQ(reportIn("x0=0.4,x1=25", fields).rateLimit, 25);
  for (const char* bad : {"", "x1=25,x0=", "x1=25;x0", "x1=2e5z,x0=1", "x1=nan", "x1=-3", "y1=3,x1=4",
                          "x1=1e999", "x1=0x20", "\x01\xff"}) {
    EXPECT_EQ(reportIn(bad, fields).rateLimit, -1) << bad;
  }
}

TEST(Node, AnswersBadInputOnceAndGoesOn) {
  StandIn world(platform);
  world.start();
  Node node(kSettings, row(world, "plain", "terminating"), world.address(),
            R"({"sockets":60,"disk_mb":0.2})");
  ASSERT_TRUE(node.start());
  std::string list = "c=status,d=900,dest=7";
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n\r\n"), command({"FLUSHALL"}), submit("a", "c=status,d=x,dest=7"),
        submit("a b", list), std::string("*5\r\n$70000\r\n"), submit("a", list, std::string(65537, 'x'))}) {
    std::string answer = node.ask(bad + command({"PING"}), 9);
    EXPECT_TRUE(answer.starts_with("-ERR ") && std::count(answer.begin(), answer.end(), '\n') == 1) << answer;
  }
  // Clients that come once and keep their connection drive out none that has just come.
  int fresh = loopback(node.port, false);
  char said[8] = {};
  put(fresh, command({"PING"}));
  EXPECT_EQ(::recv(fresh, said, 7, MSG_WAITALL), 7);
  std::vector<int> kept;
  for (int n = 0; n < 30; ++n) {
    put(kept.emplace_back(loopback(node.port, false)), submit("kept" + std::to_string(n), list));
    EXPECT_EQ(::recv(kept.back(), said, 5, MSG_WAITALL), 5);
  }
  put(fresh, submit("fresh", list));
  EXPECT_EQ(::recv(fresh, said, 5, MSG_WAITALL), 5);
  for (int fd : kept) ::close(fd);
  ::close(fresh);
  // More clients than there are places: those between commands make room.
  std::vector<int> idle;
  for (int n = 0; n < 60; ++n) idle.push_back(loopback(node.port, false));
  EXPECT_EQ(node.ask(command({"PING"}) + submit("first", list), 2), "+PONG\r\n+OK\r\n");
  for (int fd : idle) ::close(fd);
  // Clients that stop in the middle of a command hold no place for long.
  for (int& fd : idle) put(fd = loopback(node.port, false), "*5\r\n$6");
  std::string late;
  EXPECT_TRUE(within(9000, [&] { return (late = node.ask(command({"PING"}))) == "+PONG\r\n"; }));
  for (int fd : idle) ::close(fd);
  // A client that has not waited hands it in elsewhere: it is not accepted. Stopped, the dispatcher finds the
  // command and the end behind it at the same time.
  ::kill(node.pid, SIGSTOP);
  std::thread later([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    ::kill(node.pid, SIGCONT);
  });
  EXPECT_EQ(node.ask(submit("left", list), 1, true), "-BUSY\r\n");
  later.join();
  // No room on disk for two of these at any time.
  EXPECT_EQ(
      node.ask(submit("big", list, std::string(65000, 'x')) + submit("big2", list, std::string(65000, 'x')),
               2),
      "+OK\r\n-BUSY\r\n");
  EXPECT_TRUE(within(3000, [&] { return world.count("\"big\"") == 1; }));
  EXPECT_EQ(world.count("\"left\""), 0u);
  EXPECT_EQ(node.ask(submit("big3", list, std::string(65000, 'x'))), "+OK\r\n");
}

// Danger: refused with no time to come back, clients come again at once and keep the surge up.
TEST(Node, AtTheMostThatMayBeHeldItTellsWhenToComeAgain) {
  StandIn world(platform);
  world.start();
  std::string settings =
      with("\"open-cap\":50", "\"open-cap\":2,\"retry-after\":true,\"max-retry-after-s\":2");
  Node node(settings, row(world, "plain", "terminating"), world.address());
  ASSERT_TRUE(node.start());
  const std::string list = "c=order,d=5000,dest=7";
  // In one turn, so that the rules have made no room yet.
  std::string answers = node.ask(submit("one", list) + submit("two", list) + submit("three", list), 3);
  ASSERT_TRUE(answers.starts_with("+OK\r\n+OK\r\n-BUSY ")) << answers;
  int wait = std::stoi(answers.substr(16));
  EXPECT_TRUE(wait >= 20 && wait <= 2000) << wait;
}

// Danger: a process held up for a while reads a message late, and its end would be overdue by as much.
TEST(Node, HeldUpItCountsATimeFromWhenTheClientSentIt) {
  StandIn world(platform);
  world.start();
  Node node(kSettings, row(world, "plain", "terminating"), world.address());
  ASSERT_TRUE(node.start());
  ::kill(node.pid, SIGSTOP);
  auto began = std::chrono::steady_clock::now();
  int fd = loopback(node.port, false);
  put(fd, submit("held-up", "c=order,d=1200,dest=7"));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  ::kill(node.pid, SIGCONT);
  EXPECT_TRUE(within(3000, [&] { return world.count("\"held-up\"") == 1; }));
  auto spent = std::chrono::steady_clock::now() - began;
  EXPECT_GT(spent, std::chrono::milliseconds(1000));
  EXPECT_LT(spent, std::chrono::milliseconds(1700));
  ::close(fd);
}

// Danger: held up, a dispatcher has more answers to read than one look at the kernel brings. What is decided
// on half of them attempts messages again that were delivered. Whether they were in time it cannot know:
// each end is told once to the platform too, which does no harm.
TEST(Node, HeldUpItReadsAllAnswersBeforeItGivesAnyUp) {
  constexpr int kMany = 600;
  std::atomic<bool> go{false};
  auto held = [&](auto&, auto&) { return within(8000, [&] { return go.load(); }) ? kOk : ""; };
  StandIn endpoint(held, 1024);
  StandIn world(platform);
  endpoint.start();
  world.start();
  std::string settings =
      with("\"open-cap\":50", "\"open-cap\":2000", with("\"call-slots\":6", "\"call-slots\":2000"));
  Node node(settings, row(endpoint), world.address(), R"({"sockets":4096,"disk_mb":9})");
  ASSERT_TRUE(node.start());
  std::string all;
  for (int n = 0; n < kMany; ++n) all += submit("c" + std::to_string(n), "c=order,d=4000,dest=7");
  node.ask(all, kMany);
  ASSERT_TRUE(within(3000, [&] { return endpoint.calls().size() == kMany; }));
  ::kill(node.pid, SIGSTOP);
  go = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(4200));
  ::kill(node.pid, SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(node.end(SIGTERM), 0);
  EXPECT_EQ(endpoint.calls().size(), static_cast<std::size_t>(kMany));
  std::string told;
  for (const std::string& call : world.calls()) told += call.starts_with("POST /reports") ? call : "";
  for (int n = 0; n < kMany; ++n) {
    std::string ref = "\"c" + std::to_string(n) + "\"";
    std::size_t at = told.find(ref);
    EXPECT_NE(at, std::string::npos) << n;
    EXPECT_EQ(told.find(ref, at + 1), std::string::npos) << n;
  }
}

TEST(Node, ToldToEndItTakesClientsForAWhileFinishesAndLeavesInTime) {
  StandIn endpoint([](auto&, auto&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    return kOk;
  });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("before", "c=order,d=8000,dest=7")), "+OK\r\n");
  int idle = loopback(node.port, false);
  ::kill(node.pid, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(node.ask(submit("after", "c=order,d=8000,dest=7") + submit("stays", "c=order,d=60000,dest=9"), 2),
            "+OK\r\n+OK\r\n");
  char byte;
  EXPECT_EQ(::recv(idle, &byte, 1, 0), 0);
  ::close(idle);
  auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(node.end(SIGTERM), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3300));
  EXPECT_EQ(endpoint.calls().size(), 2u);
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("stays", "c=order,d=60000,dest=9")), "+OK\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(endpoint.calls().size(), 2u);
  EXPECT_EQ(world.count("POST /reports"), 0u);
}

// Danger: a folder that hangs for seconds holds the loop up, so that every client goes unanswered and what
// endpoints answer meanwhile lies unread; and nothing may be said or sent that is not written.
TEST(Node, WithAFolderThatHangsItRefusesAtOnceAndSaysAndSendsNothingThatIsNotWritten) {
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint), world.address());
  std::string aside = node.text(world.address());
  aside.insert(1, R"("journal":{"writer":"aside"},)");
  node.replace(aside);
  node.preloaded = STONEWING_HANG;
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("one", "c=order,d=8000,dest=7")), "+OK\r\n");
  ASSERT_TRUE(within(2000, [&] { return endpoint.calls().size() == 1; }));
  std::ofstream(node.folder.path / "hang") << "";
  std::string late;
  std::thread waits([&] { late = node.ask(submit("two", "c=order,d=8000,dest=7")); });
  std::thread tooLate([&] { node.ask(submit("three", "c=status,d=400,dest=7")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto asked = std::chrono::steady_clock::now();
  EXPECT_TRUE(node.ask(submit("four", "c=order,d=8000,dest=7")).starts_with("-BUSY"));
  EXPECT_EQ(node.ask("*1\r\n$4\r\nPING\r\n"), "+PONG\r\n");
  EXPECT_LT(std::chrono::steady_clock::now() - asked, std::chrono::milliseconds(100));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(endpoint.calls().size(), 1u);
  EXPECT_EQ(world.count("/reports"), 0u);
  std::filesystem::remove(node.folder.path / "hang");
  waits.join();
  tooLate.join();
  EXPECT_EQ(late, "+OK\r\n");
  EXPECT_TRUE(within(1000, [&] { return endpoint.count("X-Request-Id: two") == 1; }));
  EXPECT_TRUE(within(1000, [&] { return world.count("three") == 1; }));
  EXPECT_EQ(endpoint.count("X-Request-Id: three"), 0u);
  // Killed while it hangs: what was not answered may be lost, and nothing that was.
  std::ofstream(node.folder.path / "hang") << "";
  std::thread unheard([&] { node.ask(submit("five", "c=order,d=8000,dest=7")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  node.end(SIGKILL);
  unheard.join();
  std::filesystem::remove(node.folder.path / "hang");
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("six", "c=order,d=8000,dest=7")), "+OK\r\n");
  EXPECT_TRUE(within(1000, [&] { return endpoint.count("X-Request-Id: six") == 1; }));
  EXPECT_EQ(endpoint.count("X-Request-Id: two"), 1u);
  EXPECT_EQ(endpoint.count("X-Request-Id: five"), 0u);
  EXPECT_EQ(node.end(SIGTERM), 0);
}

// Danger: descriptors that clients, endpoints and probes may all take, until none is left for discovery.
TEST(Descriptors, AreDealtOutSoThatNobodyTakesThoseOfAnother) {
  for (std::size_t sockets : {28, 29, 40, 64, 96, 256, 512, 1024, 65536}) {
    for (int slots : {1, 2, 30, 200, 5000}) {
      DescriptorBudget d = descriptorBudget(sockets, slots);
      EXPECT_EQ(d.own + d.endpointConnections + d.clients, sockets);
      EXPECT_GE(d.own, 14u);
      EXPECT_GE(d.clients, sockets / 8) << sockets << " " << slots;
      EXPECT_GE(d.healthChecks, 1u);
      EXPECT_TRUE(d.maxConcurrentRequests >= 1 && d.maxConcurrentRequests <= slots);
      EXPECT_EQ(static_cast<std::size_t>(d.maxConcurrentRequests) + d.healthChecks, d.endpointConnections)
          << sockets << " " << slots;
    }
  }
  EXPECT_EQ(descriptorBudget(1024, 200).maxConcurrentRequests, 200);
  EXPECT_THROW(descriptorBudget(27, 1), ConfigError);
}

// Danger: idle clients hold all descriptors while discovery is silent; then nothing can be delivered, told or
// asked any more, though clients alone are to blame.
TEST(Node, IdleClientsTakeNoDescriptorFromTheRest) {
  for (bool lowered : {false, true}) {
    StandIn endpoint([](auto&, auto&) { return kOk; });
    std::string list = R"({"version":2,"full":true,"servers":)" + row(endpoint) + "}";
    enum class Mode { closes, silent, answers };
    std::atomic<Mode> mode{Mode::closes};
    std::atomic<int> asked{0};
    StandIn world([&](const std::string& head, const std::string& body) -> std::string {
      if (mode == Mode::closes) return platform(head, body) + "\4";  // hears the reports
      mode.wait(Mode::silent);
      if (!head.starts_with("GET") || ++asked > 1) return platform(head, body);
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
    });
    endpoint.start();
    world.start();
    Node node(kSettings, row(endpoint), world.address(), R"({"sockets":48,"disk_mb":3})");
    ASSERT_TRUE(node.start());
    // The sanitizers look at each type once by way of a pipe, which takes descriptors: an endpoint, discovery
    // and the platform are all called while there are some.
    node.ask(submit("before", "c=order,d=8000,dest=7") + submit("early", "c=order,d=300,dest=9"), 2);
    ASSERT_TRUE(within(2000, [&] {
      return endpoint.count("X-Request-Id: before") == 1 && world.count("GET") > 0 && world.count("POST") > 0;
    }));
    mode = Mode::silent;
    std::vector<int> idle;
    for (int n = 0; n < 40; ++n) {
      idle.push_back(loopback(node.port, false));
      put(idle.back(), command({"PING"}));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    if (lowered) {  // and now there are fewer than it was told: not one is left
      rlimit most{20, 20};
      EXPECT_EQ(::prlimit(node.pid, RLIMIT_NOFILE, &most, nullptr), 0);
    }
    // On a connection of its own; or, where none can be taken, on one that is up, so that no accept makes
    // room.
    std::string callbacks = submit("one", "c=order,d=8000,dest=7") + submit("two", "c=order,d=300,dest=9");
    if (lowered) {
      put(idle.back(), callbacks);
      std::string answers(17, ' ');
      EXPECT_EQ(::recv(idle.back(), answers.data(), answers.size(), MSG_WAITALL), 17);
      EXPECT_EQ(answers, "+PONG\r\n+OK\r\n+OK\r\n");
    } else {
      EXPECT_TRUE(within(3000, [&] { return node.ask(callbacks, 2) == "+OK\r\n+OK\r\n"; }));
    }
    EXPECT_TRUE(within(1000, [&] { return endpoint.count("X-Request-Id: one") == 1; }));
    mode = Mode::answers;
    mode.notify_all();
    EXPECT_TRUE(within(2500, [&] { return asked > 0; }));
    EXPECT_TRUE(within(2000, [&] { return world.count("\"two\"") > 0; }));
    for (int fd : idle) ::close(fd);
    EXPECT_EQ(node.end(SIGTERM), 0);
  }
}

// Danger: a wall clock that was set back while no process ran. What was sent lies in the future then, and the
// window of its repeat would be open for as much longer.
TEST(Node, AfterAClockSetBackItTakesTheWindowsOfWhatWasOutForOver) {
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  std::string settings =
      with(R"("effect":"unsafe")", R"("effect":"keyed","repeat-window-s":4,"group":"all")");
  for (Millis ahead : {5000.0, -100.0}) {
    Node node(settings, row(endpoint), world.address());
    std::string ref = ahead > 0 ? "ahead" : "before";
    {
      NameTables facts = readNameTables(settings);
      MessageStore book(facts, node.folder.path.string(), 3'000'000);
      auto id = book.accept(book.decode("00", ref, "c=order,d=8000,dest=7,k=5c", "x", wallNow()));
      book.recordAttempt(*id, {"s-1", DestinationId{7}, KindId{0}, ZoneId{0}}, wallNow() + ahead);
      book.commit();
    }
    ASSERT_TRUE(node.start());
    EXPECT_TRUE(within(1500, [&] { return endpoint.count(ref) + world.count(ref) == 1; }));
    EXPECT_EQ(endpoint.count(ref), ahead > 0 ? 0u : 1u);
  }
}

// What a restart costs: ready is to be ready soon where hundreds come back together on few cores. Each held
// message was attempted at an endpoint that no list names any more, the dearest case.
TEST(Node, IsReadySoonWithAFullJournal) {
  StandIn world(platform);  // discovery is silent
  for (std::uint32_t many : {1000u, 10000u}) {
    std::string settings = with("\"open-cap\":50", "\"open-cap\":20000");
    Node node(settings, row(world), world.address(), R"({"sockets":256,"disk_mb":40})");
    {
      NameTables facts = readNameTables(settings);
      MessageStore book(facts, node.folder.path.string(), 40'000'000);
      for (std::uint32_t n = 0; n < many; ++n) {
        std::string ref = "r" + std::to_string(n);
        auto id = book.accept(book.decode("00", ref, "c=order,d=60000,dest=7", "x", wallNow()));
        ASSERT_TRUE(id.has_value());
        std::string name = "gone-" + std::to_string(n % 1024);
        book.recordAttempt(*id, {name, DestinationId{7}, KindId{0}, ZoneId{0}}, wallNow());
        book.recordNotExecuted(*id, 0);
      }
      book.commit();
    }
    ASSERT_TRUE(node.start());
    std::ifstream stat("/proc/" + std::to_string(node.pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int n = 1; n <= 15 && stat >> word; ++n) ticks += n >= 14 ? std::stod(word) : 0;
    double seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    RecordProperty("cpu_s_" + std::to_string(many), std::to_string(seconds));
    std::cout << many << " held: " << seconds << " s of processor time until ready\n";
    EXPECT_LT(seconds, 4.0);                                                 // under the sanitizers too
    EXPECT_EQ(node.ask(submit("r7", "c=order,d=60000,dest=7")), "+OK\r\n");  // it is held
    node.end(SIGKILL);
  }
}

// SIGTERM crosses a second one, a new configuration, and half an answer to an effectful message.
TEST(Node, ToldToEndTwiceAndToRereadItTellsTheNewPlatformAndKeepsTheRest) {
  StandIn endpoint([](auto&, auto&) { return "HTTP/1.1 2"; });
  StandIn first([](auto&, auto&) { return ""; });  // silent on notices too
  StandIn second(platform);
  endpoint.start();
  first.start();
  second.start();
  Node node(kSettings, row(endpoint), first.address());
  ASSERT_TRUE(node.start());
  EXPECT_EQ(node.ask(submit("over", "c=order,d=200,dest=9") + submit("half", "c=order,d=9000,dest=7") +
                         submit("stays", "c=order,d=60000,dest=9"),
                     3),
            "+OK\r\n+OK\r\n+OK\r\n");
  ASSERT_TRUE(within(2000, [&] { return first.count("\"over\"") > 0 && endpoint.calls().size() == 1; }));
  node.replace(node.text(second.address()));
  ::kill(node.pid, SIGTERM);
  ::kill(node.pid, SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(within(1000, [&] { return second.count("\"over\"") == 1; }));
  auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(node.end(SIGTERM), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3700));
  ASSERT_TRUE(node.start());
  EXPECT_TRUE(within(2000, [&] { return second.count("\"half\"") == 1; }));  // it may have run
  EXPECT_EQ(endpoint.calls().size(), 1u);
  EXPECT_EQ(node.ask(submit("stays", "c=order,d=60000,dest=9")), "+OK\r\n");  // still held
  EXPECT_EQ(second.count("\"stays\""), 0u);
}

// SIGTERM before the start is over, with much to read: nothing is lost by it, nor by a kill in the replay.
TEST(Node, EndedInTheMiddleOfItsStartItKeepsAllItHeld) {
  constexpr int kMany = 20000;
  StandIn world(platform);
  world.start();
  std::string settings = with("\"open-cap\":50", "\"open-cap\":30000");
  Node node(settings, row(world, "plain", "terminating"), world.address(), R"({"sockets":256,"disk_mb":80})");
  {
    NameTables facts = readNameTables(settings);
    MessageStore book(facts, node.folder.path.string(), 80'000'000);
    for (int n = 0; n < kMany; ++n) {
      std::string ref = "r" + std::to_string(n);
      ASSERT_TRUE(book.accept(book.decode("00", ref, "c=order,d=60000,dest=7", "x", wallNow())));
    }
    book.commit();
  }
  for (int wait : {0, 10}) {
    for (int signal : {SIGTERM, SIGKILL}) {
      ASSERT_TRUE(node.spawn());
      std::this_thread::sleep_for(std::chrono::milliseconds(wait));
      node.end(signal);
    }
  }
  ASSERT_TRUE(node.start());
  for (const char* ref : {"r0", "r9999", "r19999"})
    EXPECT_EQ(node.ask(submit(ref, "c=order,d=1,dest=7")), "+OK\r\n") << ref;  // held under its first time
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_EQ(world.count("/reports"), 0u);
}

// What a restart finds untried is tried, however much of it there is, and soon.
TEST(Node, TriesAllThatARestartFindsUntried) {
  constexpr int kMany = 47;  // the most that settings let it hold, less the room that is kept
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  Node node(kSettings, row(endpoint, "plain", "terminating"), world.address());
  ASSERT_TRUE(node.start());
  std::string all;
  for (int n = 0; n < kMany; ++n) all += submit("c" + std::to_string(n), "c=order,d=9000,dest=7");
  node.ask(all, kMany);
  EXPECT_EQ(node.end(SIGKILL), -SIGKILL);
  Node after(kSettings, row(endpoint), world.address());
  std::filesystem::copy(node.folder.path / "journal", after.folder.path / "journal");
  ASSERT_TRUE(after.start());
  EXPECT_TRUE(within(4000, [&] { return endpoint.calls().size() == kMany; }));
  EXPECT_EQ(world.count("/reports"), 0u);
}

// SIGKILL again and again, wherever the replay, the calls, the ends and the notices are just then; the next
// process goes on from what was written. No effect twice, none without an end.
TEST(Node, KilledAgainAndAgainWhileItDeliversItLosesNothingAndRepeatsNoEffect) {
  constexpr int kMany = 1000;
  StandIn endpoint([](auto&, auto&) { return kOk; });
  StandIn world(platform);
  endpoint.start();
  world.start();
  std::string settings = with("\"open-cap\":50", "\"open-cap\":2000");
  Node node(settings, row(endpoint), world.address());
  {
    NameTables facts = readNameTables(settings);
    MessageStore book(facts, node.folder.path.string(), 3'000'000);
    for (int n = 0; n < kMany; ++n) {
      std::string list = n % 2 == 0 ? "c=order,d=60000,dest=7" : "c=status,d=60000,dest=7";
      ASSERT_TRUE(book.accept(book.decode("00", "r" + std::to_string(n) + ".", list, "x", wallNow())));
    }
    book.commit();
  }
  std::mt19937 chance(4711);
  std::set<std::size_t> heard;  // by the endpoint before each kill
  for (int kill = 0; kill < 20 && endpoint.calls().size() < kMany; ++kill) {
    ASSERT_TRUE(node.spawn());
    // The first few at any time of the start, the others after so many calls.
    std::size_t until = kill < 3 ? kMany : endpoint.calls().size() + 1 + chance() % 60;
    auto most = std::chrono::steady_clock::now() + std::chrono::milliseconds(kill < 3 ? kill * 4 : 2000);
    while (endpoint.calls().size() < until && std::chrono::steady_clock::now() < most)
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    node.end(SIGKILL);
    heard.insert(endpoint.calls().size());
  }
  EXPECT_GE(heard.size(), 5u);  // kills among the deliveries, not before or behind all of them
  ASSERT_TRUE(node.start());
  auto over = [&](int n) {
    std::string ref = "r" + std::to_string(n) + ".";
    return endpoint.count("X-Request-Id: " + ref + "\r") + world.count("\"" + ref + "\"") > 0;
  };
  EXPECT_TRUE(within(8000, [&] { return over(kMany - 1) && over(kMany - 2); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (int n = 0; n < kMany; ++n) {
    std::string ref = "r" + std::to_string(n) + ".";
    std::size_t calls = endpoint.count("X-Request-Id: " + ref + "\r");
    EXPECT_TRUE(over(n)) << ref;
    EXPECT_TRUE(n % 2 == 0 ? calls <= 1 : calls >= 1) << ref << " " << calls;
  }
}

// A setting that cannot be used is named, with what would be right; a key that nobody knows does no harm.
TEST(Settings, ThatAreWrongAreNamedWithWhatWouldBeRight) {
  struct Case {
    std::string part, other, says;
  };
  for (const Case& c :
       {Case{R"("effect":"safe")", R"("effect":"often")",
             R"(setting 'effect' of class 'status' is "often"; it must be "safe", "keyed" or "unsafe")"},
        {R"("effect":"unsafe")", R"("effect":"keyed","group":"all","repeat-window-s":-1)",
         "setting 'repeat-window-s' of class 'order' is -1; it must be 0 or more"},
        {R"("effect":"unsafe")", R"("effect":"keyed","group":"ring","repeat-window-s":1)",
         R"(setting 'group' of class 'order' is "ring"; it must be "all", "zone" or "cell")"},
        {R"("aim-s":1)", R"("aim-s":0)", "setting 'aim-s' of class 'status' is 0; it must be more than 0"},
        {R"("deadline-s":10)", R"("deadline-s":-5)",
         "setting 'deadline-s' of class 'status' is -5; it must be more than 0"}}) {
    try {
      readDeploymentSettings(with(c.part, c.other));
      ADD_FAILURE() << c.other;
    } catch (const Error& problem) {
      EXPECT_EQ(std::string(problem.what()), c.says);
    }
  }
  auto settings = nlohmann::json::parse(kSettings);
  settings["request-classes"] = nlohmann::json::array();
  EXPECT_THROW(readDeploymentSettings(settings.dump()), SettingsError);
  EXPECT_EQ(readDeploymentSettings(with(R"("aim-s":1)", R"("aim-s":1,"hue":"blue")")).types.size(), 2u);
}

TEST(Orders, SayWhatIsWrong) {
  auto none = [](const char*) { return std::string(); };
  for (auto [text, part] : {std::pair{"nonsense", "JSON"},
                            {"{}", "listen"},
                            {R"({"listen":"a","discovery":"b","state":"c"})", "settings"},
                            {R"({"listen":"a","discovery":"b","state":"c","seed":"zz"})", "seed"},
                            {R"({"listen":1})", "type"}}) {
    try {
      readConfig(text, none);
      ADD_FAILURE() << text;
    } catch (const Error& problem) {
      EXPECT_NE(std::string(problem.what()).find(part), std::string::npos) << problem.what();
    }
  }
  DispatcherConfig orders;
  orders.settings = kSettings;
  orders.listen = "not an address";
  orders.discovery = "127.0.0.1:1";
  Folder folder;
  orders.state = folder.path.string();
  orders.sockets = 100;
  EXPECT_THROW(Dispatcher{orders}, ConfigError);
}

}  // namespace
}  // namespace stonewing::testing
