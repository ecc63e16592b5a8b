// The laboratory: its audit must be able to fail, its model must be the same twice, its files must be told
// apart from what is nearly one, and its world must be the one that real dispatchers meet.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>

#include "base/bytes.h"
#include "lab/admission_scenario.h"
#include "lab/arrival_model.h"
#include "lab/audit.h"
#include "lab/compare.h"
#include "lab/endpoint_model.h"
#include "lab/lab_policy.h"
#include "lab/model.h"
#include "lab/report.h"
#include "lab/run.h"
#include "support/temporary_directory.h"

namespace stonewing::lab {
namespace {

using Folder = stonewing::testing::TemporaryDirectory;

const bool seeded = setenv("RC_PARAMS", "seed=4711 max_success=60", 1) == 0;

const char* kExperiment = R"(name = "small"
seed = 3
duration_s = 6
[fleet]
dispatchers = 2
slots = 16
[world]
rooms = ["a", "b"]
destinations = 3
endpoints = 2
parallel = 4
service = {shape = "lognormal", median_ms = 30, spread = 0.4}
cold_s = 4
[load]
per_s = 60
tenants = 2
[[type]]
name = "order"
share = 0.5
effect = "effectful"
promised_ms = 1000
outer_ms = 3000
[[type]]
name = "receipt"
share = 0.5
effect = "receipted"
window_ms = 2000
promised_ms = 1000
outer_ms = 3000
[[type]]
name = "status"
share = 1
effect = "pure"
promised_ms = 500
outer_ms = 3000
late_share = 0.2
)";

Experiment experimentWith(const std::string& more) { return readExperiment(kExperiment + more, "plan.toml"); }

std::string complaintOf(const std::string& text) {
  try {
    readExperiment(text, "plan.toml");
  } catch (const ConfigError& problem) {
    return problem.what();
  }
  return "";
}

TEST(Plans, NameEveryMistakeWithItsPlaceAndWhatWouldBeRight) {
  std::string wrong = complaintOf(
      "name = \"x\"\nduration_s = -1\n[world]\ndestinatons = 4\nparallel = 2.5\n[load]\narrivals = "
      "\"poison\"\n"
      "[[type]]\nname = \"t\"\neffect = \"receipted\"\n[[trouble]]\nkind = \"refuse\"\nfrom_s = 5\nuntil_s = "
      "3\n"
      "room = \"z\"\n");
  for (const char* part :
       {"plan.toml:2:", "it must lie between", "plan.toml:4:1: 'destinatons'", "did you mean 'destinations'",
        "'parallel' must be a whole number", "one of poisson, bursts, dusk (nearest: poisson)",
        "needs 'window_ms'", "must be later than 'from_s'", "there is no room \"z\""}) {
    EXPECT_NE(wrong.find(part), std::string::npos) << part << "\n" << wrong;
  }
  EXPECT_NE(complaintOf("name = ").find("plan.toml:1:"), std::string::npos);
  EXPECT_NE(complaintOf("name = \"x\"").find("at least one [[type]]"), std::string::npos);
  EXPECT_NE(complaintOf(std::string(kExperiment) +
                        "[[trouble]]\nkind = \"lost\"\nfactor = 3\nfrom_s=1\nuntil_s=2\n")
                .find("share of the calls"),
            std::string::npos);
}

TEST(Plans, TakeWhatTheCommandLinePutsInPlaceOfTheFile) {
  Experiment experiment =
      readExperiment(kExperiment, "plan.toml", {"load.per_s=90", "fleet.held=12", "name=\"other\""});
  EXPECT_EQ(experiment.load.perSecond, 90);
  EXPECT_EQ(experiment.fleet.maxInFlight, 12);
  EXPECT_EQ(experiment.name, "other");
  EXPECT_THROW(readExperiment(kExperiment, "plan.toml", {"load.per_s"}), ConfigError);
  EXPECT_THROW(readExperiment(kExperiment, "plan.toml", {"name=other"}), ConfigError);
  EXPECT_THROW(readExperiment(kExperiment, "plan.toml", {"load.pers=90"}), ConfigError);
}

// ---- the audit ----

// A trace by hand: one message of each type of the plan, handed to dispatcher 0 and taken.
struct Hand {
  Experiment experiment = experimentWith("");
  Trace trace;
  std::uint32_t calls = 0;

  explicit Hand(std::uint16_t type, int callbacks = 1, std::uint32_t key = 0) {
    for (int n = 0; n < callbacks; ++n) {
      auto id = static_cast<std::uint32_t>(n);
      trace.callbacks.push_back({id, type, 0, 0, key, 10.0 * n});
      add({.at = 10.0 * n, .what = What::handedIn, .callback = id, .span = 3000});
      add({.at = 10.0 * n + 1, .what = What::taken, .callback = id});
    }
  }
  void add(Event e) { trace.events.push_back(e); }
  std::uint32_t arrive(Millis at, std::uint32_t endpoint = 0, std::uint32_t callback = 0) {
    add({.at = at, .what = What::arrived, .callback = callback, .call = ++calls, .endpoint = endpoint});
    return calls;
  }
  void reply(Millis at, std::uint32_t call, int status, std::uint32_t endpoint = 0,
             std::uint32_t callback = 0, Millis wait = 0) {
    add({.at = at,
         .what = What::replied,
         .callback = callback,
         .call = call,
         .endpoint = endpoint,
         .status = static_cast<std::int16_t>(status),
         .span = wait,
         .ran = status != 503 && status != 429});
  }
  void notice(Millis at, int result, std::uint32_t callback = 0) {
    add({.at = at, .what = What::noticed, .callback = callback, .status = static_cast<std::int16_t>(result)});
  }
  void later() { add({.at = 60000, .what = What::told, .endpoint = 5, .status = 1}); }
  std::vector<Rule> broken() {
    std::vector<Rule> rules;
    for (const Break& b : audit(experiment, trace)) {
      rules.push_back(b.rule);
      EXPECT_NE(told(b, trace).find(b.text), std::string::npos);
    }
    return rules;
  }
};
using Rules = std::vector<Rule>;

TEST(Audit, FindsACallbackWithoutAnEndOrWithALateOne) {
  Hand none(2);
  none.later();
  EXPECT_EQ(none.broken(), Rules{Rule::oneAnswer});
  Hand late(2);
  late.notice(3500, 1);
  late.later();
  EXPECT_EQ(late.broken(), Rules{Rule::oneAnswer});
  Hand inTime(2);
  inTime.notice(3290, 1);
  inTime.later();
  EXPECT_EQ(inTime.broken(), Rules{});
  Hand afterIts(2);
  afterIts.notice(500, 1);
  afterIts.arrive(900);
  EXPECT_EQ(afterIts.broken(), Rules{Rule::oneAnswer});
  Hand two(2);
  two.notice(500, 1);
  two.notice(600, 2);
  EXPECT_EQ(two.broken(), Rules{Rule::oneAnswer});
  Hand refused(2);
  refused.trace.events[1].what = What::busy;
  refused.later();
  EXPECT_EQ(refused.broken(), Rules{});
}

TEST(Audit, FindsARepeatOfWhatMayHaveRunAndLetsOneThatNeverRanGo) {
  for (auto [type, status, again, broken] : {std::tuple{0, 500, 300.0, true},
                                             {0, 503, 300.0, false},
                                             {1, 500, 300.0, false},
                                             {1, 500, 2300.0, true},
                                             {1, 503, 2300.0, false},
                                             {2, 500, 2300.0, false}}) {
    Hand hand(static_cast<std::uint16_t>(type));
    std::uint32_t first = hand.arrive(100);
    hand.reply(150, first, status);
    hand.reply(again + 50, hand.arrive(again), 200);
    EXPECT_EQ(hand.broken(), broken ? Rules{Rule::noEffectTwice} : Rules{})
        << type << " " << status << " " << again;
  }
  Hand rooms(1);
  rooms.experiment.types[1].settings.deduplicationScope = DeduplicationScope::zone;
  rooms.reply(150, rooms.arrive(100, 0), 500);
  rooms.reply(350, rooms.arrive(300, 1), 200, 1);  // the other room
  EXPECT_EQ(rooms.broken(), Rules{Rule::noEffectTwice});
  Hand shed(0);
  shed.reply(150, shed.arrive(100), 500);
  shed.notice(300, 2);
  EXPECT_EQ(shed.broken(), Rules{Rule::noEffectTwice});
  Hand twice(1);
  for (std::uint32_t call : {1u, 2u}) twice.add({.at = 100.0 * call, .what = What::effect, .call = call});
  twice.notice(400, 1);
  EXPECT_EQ(twice.broken(), Rules{Rule::noEffectTwice});
}

TEST(Audit, FindsALaunchAtAnEndpointThatDrains) {
  for (auto [at, broken] : {std::pair{560.0, false}, {700.0, true}}) {
    Hand hand(2);
    hand.add({.at = 100, .what = What::told, .endpoint = 0, .status = 2});
    hand.reply(at + 20, hand.arrive(at), 200);
    EXPECT_EQ(hand.broken(), broken ? Rules{Rule::drains} : Rules{});
  }
  Hand back(2);
  back.add({.at = 100, .what = What::told, .endpoint = 0, .status = 2});
  back.add({.at = 600, .what = What::told, .endpoint = 0, .status = 1});
  back.reply(720, back.arrive(700), 200);
  EXPECT_EQ(back.broken(), Rules{});
}

TEST(Audit, FindsThoseWhoPushedADestinationOverKnowingly) {
  for (bool knew : {true, false}) {
    Hand hand(2, 6);
    hand.add({.at = 100, .what = What::out});
    if (knew) hand.add({.at = 150, .what = What::probed, .endpoint = 0, .status = 503});
    hand.add({.at = 400, .what = What::back});
    for (std::uint32_t c = 0; c < 6; ++c) hand.reply(420, hand.arrive(410 + c, 0, c), 200, 0, c);
    hand.add({.at = 420, .what = What::fell});
    EXPECT_EQ(hand.broken(), knew ? Rules{Rule::returns} : Rules{});
  }
}

TEST(Audit, FindsKeysOutOfOrderAndThePauseLeftOut) {
  for (auto [firstEnds, status, secondAt, broken] :
       {std::tuple{200.0, 200, 150.0, true}, {200.0, 200, 250.0, false}, {200.0, 1, 300.0, true}}) {
    Hand hand(0, 2, 7);
    hand.experiment.types[0].settings.ordered = true;
    std::uint32_t first = hand.arrive(100, 0, 0);
    std::uint32_t second = hand.arrive(secondAt, 0, 1);
    hand.reply(firstEnds, first, status, 0, 0);
    if (status != 200) hand.notice(firstEnds + 10, 1, 0);
    hand.reply(secondAt + 60, second, 200, 0, 1);
    std::sort(hand.trace.events.begin(), hand.trace.events.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    EXPECT_EQ(hand.broken(), broken ? Rules{Rule::keyOrder} : Rules{}) << secondAt;
  }
}

TEST(Audit, FindsALaunchInsideAWaitAtTheWholeDestination) {
  for (auto [at, broken] : {std::pair{240.0, false}, {400.0, true}, {720.0, false}}) {
    Hand hand(2, 2);
    hand.reply(200, hand.arrive(150, 0, 0), 429, 0, 0, 500);
    hand.reply(at + 20, hand.arrive(at, 1, 1), 200, 1, 1);  // another endpoint, the same destination
    hand.notice(900, 1, 0);
    EXPECT_EQ(hand.broken(), broken ? Rules{Rule::waits} : Rules{}) << at;
  }
}

// A dispatcher that was deliberately made wrong is caught, for each way of being so; the same days with
// nothing made wrong are clean.
TEST(Audit, CatchesEachDeliberateMistakeInTheModel) {
  struct Case {
    const char* fault;
    Sabotage sabotage;
    Rule rule;
  };
  Sabotage forgets, waits, effects, drains, cold;
  forgets.forgetsCallbacks = waits.ignoresWaits = effects.repeatsEffects = drains.ignoresDrains =
      cold.pushesCold = true;
  for (const Case& c :
       {Case{"", forgets, Rule::oneAnswer},
        Case{"[[trouble]]\nkind=\"shut\"\ndestinations=[0]\nfrom_s=1\nuntil_s=3\n", waits, Rule::waits},
        Case{"[[trouble]]\nkind=\"reset\"\nfactor=0.4\nfrom_s=1\nuntil_s=5\n", effects, Rule::noEffectTwice},
        Case{"[[trouble]]\nkind=\"drain\"\nendpoints=[0,2]\nfrom_s=1\nuntil_s=4\n", drains, Rule::drains},
        Case{"[[trouble]]\nkind=\"errors\"\ndestinations=[0]\nfrom_s=1\nuntil_s=4\n", cold, Rule::returns}}) {
    Experiment experiment = experimentWith(c.fault);
    if (c.sabotage.pushesCold) {
      experiment.environment.concurrency = 1;
      experiment.environment.slowStartInitialShare = 0.05;
      experiment.environment.overloadThreshold = 1;
    }
    auto clean = audit(experiment, playModel(experiment, 3, "ours"));
    EXPECT_TRUE(clean.empty()) << nameOf(c.rule) << clean.size();
    Trace wrong = playModel(experiment, 3, "ours", nullptr, c.sabotage);
    auto found = audit(experiment, wrong);
    ASSERT_FALSE(found.empty()) << nameOf(c.rule);
    EXPECT_EQ(found.front().rule, c.rule) << told(found.front(), wrong);
  }
}

// ---- model, clients, town ----

TEST(Model, IsTheSameByteForByteFromTheSameSeedAndAnotherFromAnother) {
  Experiment experiment = experimentWith(
      "[[trouble]]\nkind=\"blackhole\"\nroom=\"b\"\nfrom_s=1\nuntil_s=3\n"
      "[[trouble]]\nkind=\"kill\"\nfrom_s=2\nuntil_s=3\n");
  for (const std::string& policy : policyNames()) {
    Trace one = playModel(experiment, 5, policy);
    Trace two = playModel(experiment, 5, policy);
    EXPECT_EQ(one.events, two.events) << policy;
    EXPECT_EQ(one.callbacks, two.callbacks);
    EXPECT_NE(one.events, playModel(experiment, 6, policy).events);
    Tally t = tally(experiment, one);
    EXPECT_GT(t.completed, t.due / 3) << policy;
    EXPECT_EQ(t.delivery.count, t.completed);
    EXPECT_EQ(t.due, static_cast<std::uint64_t>(
                         std::count_if(one.callbacks.begin(), one.callbacks.end(),
                                       [&](const Handed& h) { return &one.callbacks[h.origin] == &h; })));
  }
}

// The day that is due is the clients' own, whatever the dispatchers do with it.
TEST(Model, GivesEveryPolicyTheSameDay) {
  Experiment experiment = experimentWith("[[trouble]]\nkind=\"shut\"\nfrom_s=1\nuntil_s=4\n");
  auto days = [&](const std::string& policy) {
    Trace trace = playModel(experiment, 9, policy);
    std::vector<Millis> due;
    for (std::size_t n = 0; n < trace.callbacks.size(); ++n) {
      if (trace.callbacks[n].origin == n) due.push_back(trace.callbacks[n].due);
    }
    return due;
  };
  EXPECT_EQ(days("ours"), days("one-try"));
}

TEST(Model, KeepsWhatAKilledDispatcherHeld) {
  Experiment experiment = experimentWith(
      "[[trouble]]\nkind=\"kill\"\nfrom_s=2\nuntil_s=2.2\n[[trouble]]\nkind=\"slow\"\nfactor=10\nfrom_s="
      "1\nuntil_s=4\n");
  Trace trace = playModel(experiment, 4, "ours");
  EXPECT_TRUE(audit(experiment, trace).empty());
  EXPECT_EQ(std::count_if(trace.events.begin(), trace.events.end(),
                          [](const Event& e) { return e.what == What::down; }),
            1);
}

TEST(Traces, ComeBackFromTheirFilesAndNameALineThatIsWrong) {
  Folder folder;
  Experiment experiment = experimentWith("");
  Trace trace = playModel(experiment, 1, "ours");
  save(trace, folder.path);
  Trace again = loadTrace(folder.path);
  ASSERT_EQ(again.events.size(), trace.events.size());
  EXPECT_EQ(again.callbacks.size(), trace.callbacks.size());
  EXPECT_EQ(audit(experiment, again).size(), 0u);
  EXPECT_NEAR(tally(experiment, again).share(), tally(experiment, trace).share(), 1e-6);
  std::ofstream(folder.path / "events.csv", std::ios::app) << "1.0,sneezed,0,0,0,0,0,0,0\n";
  try {
    loadTrace(folder.path);
    ADD_FAILURE();
  } catch (const ConfigError& problem) {
    EXPECT_NE(std::string(problem.what()).find("'sneezed' is not a kind of event"), std::string::npos);
  }
}

TEST(Towns, PushedWhileColdFallOverAndNotWhenWarm) {
  Experiment experiment = experimentWith("");
  experiment.environment.concurrency = 1;
  Trace trace;
  trace.callbacks.resize(200, {0, 2, 0, 0, 0, 0});
  EndpointModel endpointModel(experiment, 1, trace);
  auto push = [&](Millis from, int many) {
    for (int n = 0; n < many; ++n) {
      auto call = static_cast<std::uint32_t>(from) + static_cast<std::uint32_t>(n);
      endpointModel.receiveRequest(from + n, call, 0, 0, {static_cast<std::uint32_t>(n)});
      endpointModel.abandonRequest(from + n, call, 0);
    }
    return std::count_if(trace.events.begin(), trace.events.end(),
                         [](const Event& e) { return e.what == What::fell; });
  };
  EXPECT_EQ(push(100, 150), 0);
  Fault rejectAll{.kind = FaultKind::rejectAll, .from = 1000, .until = 4000, .destinations = {0}};
  endpointModel.applyFault(1000, rejectAll, true);
  EXPECT_EQ(endpointModel.receiveRequest(1500, 9000, 0, 0, {1})->kind, ResponseKind::unavailable);
  endpointModel.applyFault(4000, rejectAll, false);
  EXPECT_EQ(push(4100, 150), 1);
  EXPECT_EQ(endpointModel.receiveRequest(4400, 9001, 1, 0, {1})->kind,
            ResponseKind::unavailable);  // it stays down, all of it
}

TEST(Towns, DropARepeatThatTheirReceiptCovers) {
  Experiment experiment = experimentWith("");
  Trace trace;
  trace.callbacks = {{0, 1, 0, 0, 0, 0}, {0, 1, 0, 0, 0, 0}, {2, 0, 0, 0, 0, 0}};
  EndpointModel endpointModel(experiment, 1, trace);
  endpointModel.receiveRequest(0, 1, 0, 0, {0});
  endpointModel.receiveRequest(100, 2, 1, 0, {1});   // the same origin, submitted again
  endpointModel.receiveRequest(5000, 3, 0, 0, {1});  // past the window
  endpointModel.receiveRequest(5000, 4, 1, 0, {2});
  EXPECT_EQ(std::count_if(trace.events.begin(), trace.events.end(),
                          [](const Event& e) { return e.what == What::effect; }),
            3);
}

TEST(Clients, ComeAsOftenAsTheirPlanSaysWhateverItsShape) {
  for (const char* shape : {"arrivals = \"poisson\"", "arrivals = \"bursts\"\nburst_factor = 3",
                            "arrivals = \"dusk\"\ndusk_factor = 4", "clump_share = 0.5\nclump_size = 20"}) {
    std::string text = kExperiment;
    text.replace(text.find("per_s = 60"), 10, std::string("per_s = 400\n") + shape);
    Experiment experiment = readExperiment(text, "plan.toml");
    Trace trace;
    ArrivalModel arrivalModel(experiment, 2, trace);
    ArrivalProcess arrivalProcess(experiment);
    double expected = 0;
    for (Millis at = 0; at < experiment.duration; at += 10) expected += arrivalProcess.perSecond(at) * 0.01;
    Millis before = 0;
    std::uint64_t count = 0;
    while (auto due = arrivalModel.due()) {
      EXPECT_GE(*due, before);
      before = *due;
      while (arrivalModel.nextDue(*due)) ++count;
    }
    EXPECT_NEAR(static_cast<double>(count), expected, 0.25 * expected) << shape;
  }
}

TEST(Clients, ComeAgainAfterTheTimeTheyWereToldAndNotPastTheOuterLimit) {
  Experiment experiment = experimentWith("");
  experiment.duration = 100;
  Trace trace;
  ArrivalModel arrivalModel(experiment, 2, trace);
  auto first = arrivalModel.nextDue(100);
  ASSERT_TRUE(first);
  while (arrivalModel.nextDue(1e6)) continue;
  arrivalModel.recordRejection(200, *first, 700);
  EXPECT_EQ(arrivalModel.due(), 900);
  auto resubmitted = arrivalModel.nextDue(900);
  ASSERT_TRUE(resubmitted);
  EXPECT_EQ(trace.callbacks[*resubmitted].origin, *first);
  EXPECT_TRUE(arrivalModel.isResubmission(*resubmitted));
  arrivalModel.recordRejection(950, *resubmitted, 9000);
  EXPECT_FALSE(arrivalModel.due());
}

RC_GTEST_PROP(Draws, KeepTheirMedian, (std::uint32_t seed)) {
  std::mt19937 randomEngine(seed);
  for (DistributionShape shape : {DistributionShape::lognormal, DistributionShape::pareto}) {
    DurationDistribution distribution{shape, 30, shape == DistributionShape::pareto ? 1.5 : 0.7};
    int below = 0;
    for (int n = 0; n < 2000; ++n) below += drawDuration(distribution, randomEngine) < 30 ? 1 : 0;
    RC_ASSERT(below > 880);
    RC_ASSERT(below < 1120);
  }
}

TEST(Comparisons, TellADifferenceFromNone) {
  std::vector<double> a{0.90, 0.91, 0.89, 0.92, 0.90, 0.91}, b = a, noise = a;
  for (double& x : b) x += 0.02;
  noise = {0.91, 0.90, 0.90, 0.91, 0.91, 0.90};
  EXPECT_STREQ(paired(a, b).verdict(true), "better");
  EXPECT_STREQ(paired(b, a).verdict(true), "worse");
  EXPECT_STREQ(paired(a, b).verdict(false), "worse");
  EXPECT_STREQ(paired(a, noise).verdict(true), "cannot tell");
  EXPECT_STREQ(paired({1, 1}, {2, 2}).verdict(true), "cannot tell");
  EXPECT_EQ(paired(a, b).low, paired(a, b).low);
}

// ---- on sockets, with the real dispatcher ----

Played playShort(const std::string& faults, const std::string& folder, Experiment& experiment) {
  experiment = experimentWith(faults);
  RunChoices choices;
  choices.binary = STONEWING_BINARY;
  choices.folder = folder;
  return playSockets(experiment, experiment.seed, choices);
}

// The dispatcher keeps the rules through troubles that strike together, and most of the gain.
TEST(OnSockets, TheRulesHoldWhileAKillABlackholeAndLostAnswersStrikeTogether) {
  Folder folder;
  Experiment experiment;
  Played played = playShort(
      "[[trouble]]\nkind=\"blackhole\"\nendpoints=[1]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"lost\"\nfactor=0.3\nendpoints=[2]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"kill\"\ndispatchers=[1]\nfrom_s=2\nuntil_s=2.3\n"
      "[[trouble]]\nkind=\"drain\"\nendpoints=[4]\nfrom_s=3\nuntil_s=5\n",
      folder.path, experiment);
  for (const Break& b : audit(experiment, played.trace)) ADD_FAILURE() << told(b, played.trace);
  EXPECT_TRUE(played.crashes.empty());
  Tally t = tally(experiment, played.trace);
  EXPECT_GT(t.share(), 0.7);
  EXPECT_GT(t.due, 250u);
}

TEST(OnSockets, RefusalsAFullTableSpoiltAnswersAndWaitsReachTheDispatcherAsSuch) {
  Folder folder;
  Experiment experiment;
  Played played = playShort(
      "[[trouble]]\nkind=\"refuse\"\nendpoints=[0]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"spoilt\"\nfactor=0.3\nendpoints=[2]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"cut\"\nfactor=0.3\nendpoints=[3]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"shut\"\ndestinations=[2]\nfrom_s=1\nuntil_s=2.5\n"
      "[[trouble]]\nkind=\"table\"\nfactor=1\nendpoints=[1]\nfrom_s=1\nuntil_s=4\n",
      folder.path, experiment);
  for (const Break& b : audit(experiment, played.trace)) ADD_FAILURE() << told(b, played.trace);
  auto saw = [&](What what, int status) {
    return std::any_of(played.trace.events.begin(), played.trace.events.end(),
                       [&](const Event& e) { return e.what == what && e.status == status; });
  };
  EXPECT_TRUE(saw(What::replied, static_cast<int>(ResponseKind::malformed)));
  EXPECT_TRUE(saw(What::replied, static_cast<int>(ResponseKind::truncated)));
  EXPECT_TRUE(saw(What::replied, static_cast<int>(ResponseKind::unavailable)));
  EXPECT_GT(tally(experiment, played.trace).share(), 0.6);
}

// Danger: a dispatcher that dies of a full disk, or of a file limit's signal, loses what it took on.
TEST(OnSockets, AFolderWithoutRoomTurnsCallbacksAwayAndLosesNone) {
  Folder folder;
  Experiment experiment;
  Played played = playShort("[[trouble]]\nkind=\"disk-full\"\ndispatchers=[0]\nfrom_s=1.5\nuntil_s=3.5\n",
                            folder.path, experiment);
  for (const Break& b : audit(experiment, played.trace)) ADD_FAILURE() << told(b, played.trace);
  EXPECT_TRUE(played.crashes.empty()) << played.crashes.front();
  EXPECT_GT(tally(experiment, played.trace).refused, 0u);
}

// Danger: a loop that is behind answers clients that have left, they hand in again, and it stays behind for
// ever.
TEST(Gates, OursComesBackFromAStallAndAnswersAllInASurgeWhereOthersDoNot) {
  GatePlan stall;
  stall.perSecond = 8000;
  stall.surge = 1;
  stall.stallAt = 2000;
  stall.stallFor = 700;
  stall.duration = 8000;
  EXPECT_GT(playGate(stall, "work").kept, playGate(stall, "none").kept * 2);
  EXPECT_GT(playGate(stall, "work").kept, playGate(stall, "codel").kept * 2);
  GatePlan surge;
  surge.surgeFrom = 1000;
  surge.surgeUntil = 4000;
  surge.duration = 7000;
  GateResult ours = playGate(surge, "work");
  EXPECT_LT(ours.unanswered, playGate(surge, "gradient").unanswered / 20);
  EXPECT_GT(ours.kept, playGate(surge, "none").kept);
  EXPECT_EQ(ours.kept, playGate(surge, "work").kept);
  EXPECT_THROW(playGate(surge, "hope"), ConfigError);
}

}  // namespace
}  // namespace stonewing::lab
