#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "support/dispatcher_process.h"
#include "support/dispatcher_settings.h"
#include "support/http_server_stub.h"
#include "support/resp_commands.h"

// A dispatcher process whose clients submit different messages under one id, by mistake or by intent. The id
// does not prove that a message is the one that was accepted before (review case 8).
namespace stonewing::testing {
namespace {

// In which a response is read and the delivery is written to the journal.
constexpr std::chrono::milliseconds kTimeToJournal{200};
const std::string kBusy = "-BUSY\r\n";
const std::string kOk = "+OK\r\n";
const std::string kFailed = "-FAILED the message has ended, and may have been executed\r\n";

const std::string kSettings = settingsWith(
    R"("name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"})",
    R"("name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"},
       {"name":"charge","aim-s":1,"deadline-s":10,"effect":"keyed","repeat-window-s":4,"group":"all"})",
    settingsWith(R"("kinds")",
                 R"("orgs":[{"name":"north","quota-per-s":500},{"name":"south","quota-per-s":500}],"kinds")",
                 settingsWith("\"open-cap\":50", "\"open-cap\":500")));

// The parts of a SUBMIT that say which message it is, with its deadline and marks.
struct Submission {
  std::string reference;
  std::string type{"order"};
  std::string destination{"7"};
  std::string tenant{"north"};
  std::string idempotencyKey{"5c"};
  std::string orderingKey{"0000000000000000"};
  std::string body{"lamp 7"};
  std::string deadlineAndMarks{"d=8000"};

  std::string command() const {
    return respCommand({"SUBMIT", orderingKey, reference,
                        "c=" + type + ",t=" + tenant + "," + deadlineAndMarks + ",k=" + idempotencyKey +
                            ",dest=" + destination,
                        body});
  }
};

// Messages that differ from the first one in one part.
std::vector<Submission> differingFrom(const Submission& first) {
  std::vector<Submission> others(7, first);
  others[0].destination = first.destination == "7" ? "9" : "7";
  others[1].body = "lamp 8";
  others[2].body = "lamp 7 and more";
  others[3].type = first.type == "status" ? "order" : "status";
  others[4].tenant = "south";
  others[5].idempotencyKey = "5d";
  others[6].orderingKey = "000000000000002a";
  return others;
}

// What a client sends that has not heard the reply to the first one.
std::vector<Submission> repeatsOf(const Submission& first) {
  std::vector<Submission> repeats(4, first);
  repeats[1].deadlineAndMarks = "d=6000";
  repeats[2].deadlineAndMarks = "d=8000,r=1";
  repeats[3].deadlineAndMarks = "d=8000,again=1";
  return repeats;
}

struct SubmissionIds : ::testing::Test {
  HttpServerStub endpoint{[](auto&, auto&) { return kHttpOk; }};
  std::atomic<bool> isPlatformDown{false};
  HttpServerStub platform{[this](const std::string& head, const std::string& body) -> std::string {
    if (!head.starts_with("POST /reports")) return "";
    return isPlatformDown ? "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
                          : confirmNotifications(head, body);
  }};
  DispatcherProcess dispatcher{kSettings, endpointList(endpoint), platform.address()};

  void SetUp() override {
    endpoint.start();
    platform.start();
    ASSERT_TRUE(dispatcher.start());
  }

  void restartAfterKill() {
    EXPECT_EQ(dispatcher.stop(SIGKILL), -SIGKILL);
    ASSERT_TRUE(dispatcher.start());
  }

  std::string submit(const Submission& submission) { return dispatcher.request(submission.command()); }

  std::size_t deliveriesOf(const std::string& reference) {
    return endpoint.requestsContaining("X-Request-Id: " + reference + "\r\n");
  }

  bool isDeliveredOnce(const std::string& reference) {
    return eventually(2000, [&] { return deliveriesOf(reference) == 1; });
  }

  void expectRefusesOthers(const Submission& first) {
    for (const Submission& other : differingFrom(first)) EXPECT_EQ(submit(other), kBusy) << other.command();
  }

  void expectAcceptsRepeats(const Submission& first) {
    for (const Submission& repeat : repeatsOf(first)) EXPECT_EQ(submit(repeat), kOk) << repeat.command();
  }
};

// Guards against an acceptance of another message in place of the one in flight, whose client was answered
// +OK for a message that was never sent and has no end.
TEST_F(SubmissionIds, AreNotTakenOverFromAMessageInFlight) {
  for (const char* type : {"status", "order", "charge"}) {
    Submission first{.reference = std::string("waits-") + type, .type = type, .destination = "9"};
    EXPECT_EQ(submit(first), kOk);
    expectRefusesOthers(first);
    expectAcceptsRepeats(first);
  }
}

// The same after a kill, where the first message is known from the journal.
TEST_F(SubmissionIds, AreNotTakenOverFromAMessageInFlightAfterAKill) {
  std::vector<Submission> accepted;
  for (const char* type : {"status", "order", "charge"}) {
    accepted.push_back({.reference = std::string("waits-") + type, .type = type, .destination = "9"});
    EXPECT_EQ(submit(accepted.back()), kOk);
  }
  restartAfterKill();
  for (const Submission& first : accepted) {
    expectRefusesOthers(first);
    expectAcceptsRepeats(first);
  }
}

// Guards against +OK for a message that was never sent, since another one with its id has been delivered.
TEST_F(SubmissionIds, AreNotTakenOverFromADeliveredMessage) {
  for (const char* type : {"status", "order", "charge"}) {
    Submission first{.reference = std::string("done-") + type, .type = type};
    EXPECT_EQ(submit(first), kOk);
    ASSERT_TRUE(isDeliveredOnce(first.reference));
    expectRefusesOthers(first);
    expectAcceptsRepeats(first);
    EXPECT_EQ(deliveriesOf(first.reference), 1u);
  }
}

// Each message is the first of its process, so that its response is the first on its connection and believed.
TEST_F(SubmissionIds, AreNotTakenOverFromADeliveredMessageAfterAKill) {
  for (const char* type : {"status", "order", "charge"}) {
    Submission first{.reference = std::string("done-") + type, .type = type};
    EXPECT_EQ(submit(first), kOk);
    ASSERT_TRUE(isDeliveredOnce(first.reference));
    std::this_thread::sleep_for(kTimeToJournal);
    restartAfterKill();
    expectRefusesOthers(first);
    expectAcceptsRepeats(first);
    EXPECT_EQ(deliveriesOf(first.reference), 1u);
  }
}

// Guards against a second execution of a message whose acceptance was read and delivery was journaled, after
// a compaction of the journal and a kill.
TEST_F(SubmissionIds, AreKnownAfterACompactionAndAKill) {
  constexpr int kOthers = 600;  // more than the journal holds
  DispatcherProcess compacting{kSettings, endpointList(endpoint), platform.address(),
                               R"({"sockets":256,"disk_mb":1})"};
  ASSERT_TRUE(compacting.start());
  Submission first{.reference = "done", .type = "order"};
  EXPECT_EQ(compacting.request(first.command()), kOk);
  ASSERT_TRUE(isDeliveredOnce("done"));
  std::this_thread::sleep_for(kTimeToJournal);
  for (int number = 0; number < kOthers; ++number) {
    Submission other{.reference = "other-" + std::to_string(number), .body = std::string(2000, 'b')};
    // Many in flight at once are too many for the journal or for the settings.
    ASSERT_TRUE(eventually(3000, [&] { return compacting.request(other.command()) == kOk; })) << number;
  }
  ASSERT_LT(std::filesystem::file_size(compacting.directory() / "journal"), 1'000'000u);
  EXPECT_EQ(compacting.stop(SIGKILL), -SIGKILL);
  ASSERT_TRUE(compacting.start());
  for (const Submission& other : differingFrom(first))
    EXPECT_EQ(compacting.request(other.command()), kBusy) << other.command();
  for (const Submission& repeat : repeatsOf(first))
    EXPECT_EQ(compacting.request(repeat.command()), kOk) << repeat.command();
  EXPECT_EQ(deliveriesOf("done"), 1u);
}

// Guards against -FAILED for a message that was never sent: its client would not dare to submit it again.
TEST_F(SubmissionIds, AreNotTakenOverFromAMessageThatMayHaveBeenExecuted) {
  isPlatformDown = true;
  HttpServerStub unresponsive([](auto&, auto&) { return ""; });
  unresponsive.start();
  DispatcherProcess killed{kSettings, endpointList(unresponsive), platform.address()};
  ASSERT_TRUE(killed.start());
  Submission first{.reference = "killed", .type = "order"};
  EXPECT_EQ(killed.request(first.command()), kOk);
  ASSERT_TRUE(eventually(2000, [&] { return unresponsive.requestsContaining("killed") == 1; }));
  EXPECT_EQ(killed.stop(SIGKILL), -SIGKILL);
  ASSERT_TRUE(killed.start());
  ASSERT_TRUE(eventually(2000, [&] { return platform.requestsContaining("killed") > 0; }));
  for (const Submission& other : differingFrom(first)) EXPECT_EQ(killed.request(other.command()), kBusy);
  for (const Submission& repeat : repeatsOf(first)) EXPECT_EQ(killed.request(repeat.command()), kFailed);
  EXPECT_EQ(unresponsive.requestsContaining("killed"), 1u);
}

// Guards against two ends of one id: a message was accepted under the id of a shed one and delivered, and
// then the platform was notified that the id was rejected.
TEST_F(SubmissionIds, HaveOneEndWhileTheNotificationOfAShedMessageIsPending) {
  isPlatformDown = true;
  Submission first{.reference = "shed", .type = "status", .destination = "9", .deadlineAndMarks = "d=300"};
  EXPECT_EQ(submit(first), kOk);
  ASSERT_TRUE(eventually(3000, [&] { return platform.requestsContaining("\"shed\"") > 0; }));
  for (const Submission& other : differingFrom(first)) EXPECT_TRUE(submit(other).starts_with("-BUSY"));
  for (const Submission& repeat : repeatsOf(first)) EXPECT_TRUE(submit(repeat).starts_with("-BUSY"));
  restartAfterKill();
  for (const Submission& other : differingFrom(first)) EXPECT_TRUE(submit(other).starts_with("-BUSY"));
  isPlatformDown = false;
  // Submitting it again under a new id is harmless.
  Submission anew{.reference = "anew", .type = "status", .deadlineAndMarks = "d=4000,r=1"};
  EXPECT_EQ(submit(anew), kOk);
  EXPECT_TRUE(isDeliveredOnce("anew"));
  EXPECT_EQ(deliveriesOf("shed"), 0u);
}

// A client submits many messages at once, and another client takes the id of the last one before the
// dispatcher has read so far. Guards against the loss of that last message: it was answered +OK and another
// client's body was delivered under its id.
TEST_F(SubmissionIds, AreNotTakenOverInTheMiddleOfABurst) {
  constexpr int kAtOnce = 300;
  auto referenceOf = [](int number) { return "burst-" + std::to_string(number) + "-"; };
  Submission stolen{.reference = referenceOf(kAtOnce - 1), .type = "status", .destination = "9"};
  EXPECT_EQ(submit(stolen), kOk);
  std::string burst;
  for (int number = 0; number < kAtOnce; ++number)
    burst += Submission{.reference = referenceOf(number), .type = "status"}.command();
  const std::string replies = dispatcher.request(burst, kAtOnce);
  EXPECT_TRUE(replies.ends_with(kBusy))
      << replies.substr(replies.size() - std::min<std::size_t>(replies.size(), 20));
  Submission anew{.reference = "anew", .type = "status"};
  EXPECT_TRUE(eventually(2000, [&] { return submit(anew) == kOk; }));  // behind 299 others
  EXPECT_TRUE(isDeliveredOnce("anew"));
}

}  // namespace
}  // namespace stonewing::testing
