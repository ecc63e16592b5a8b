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

std::string errorOf(const std::string& text) {
  try {
    readExperiment(text, "plan.toml");
  } catch (const ConfigError& problem) {
    return problem.what();
  }
  return "";
}

TEST(ExperimentFile, ReportsEveryMistakeWithItsPlaceAndTheAllowedValues) {
  std::string wrong = errorOf(
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
  EXPECT_NE(errorOf("name = ").find("plan.toml:1:"), std::string::npos);
  EXPECT_NE(errorOf("name = \"x\"").find("at least one [[type]]"), std::string::npos);
  EXPECT_NE(
      errorOf(std::string(kExperiment) + "[[trouble]]\nkind = \"lost\"\nfactor = 3\nfrom_s=1\nuntil_s=2\n")
          .find("share of the calls"),
      std::string::npos);
}

TEST(ExperimentFile, AppliesOverridesOfTheCommandLine) {
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
struct TraceBuilder {
  Experiment experiment = experimentWith("");
  Trace trace;
  std::uint32_t requests = 0;

  explicit TraceBuilder(std::uint16_t type, int messages = 1, std::uint32_t key = 0) {
    for (int n = 0; n < messages; ++n) {
      auto id = static_cast<std::uint32_t>(n);
      trace.messages.push_back({id, type, 0, 0, key, 10.0 * n});
      add({.at = 10.0 * n, .type = TraceEventType::submitted, .message = id, .duration = 3000});
      add({.at = 10.0 * n + 1, .type = TraceEventType::accepted, .message = id});
    }
  }
  void add(TraceEvent e) { trace.events.push_back(e); }
  std::uint32_t arrive(Millis at, std::uint32_t endpoint = 0, std::uint32_t message = 0) {
    add({.at = at,
         .type = TraceEventType::arrived,
         .message = message,
         .request = ++requests,
         .endpoint = endpoint});
    return requests;
  }
  void respond(Millis at, std::uint32_t request, int status, std::uint32_t endpoint = 0,
               std::uint32_t message = 0, Millis wait = 0) {
    add({.at = at,
         .type = TraceEventType::responded,
         .message = message,
         .request = request,
         .endpoint = endpoint,
         .status = static_cast<std::int16_t>(status),
         .duration = wait,
         .executed = status != 503 && status != 429});
  }
  void notify(Millis at, int result, std::uint32_t message = 0) {
    add({.at = at,
         .type = TraceEventType::notificationReceived,
         .message = message,
         .status = static_cast<std::int16_t>(result)});
  }
  void addLateEvent() {
    add({.at = 60000, .type = TraceEventType::endpointStateNotified, .endpoint = 5, .status = 1});
  }
  std::vector<Rule> broken() {
    std::vector<Rule> rules;
    for (const RuleViolation& b : audit(experiment, trace)) {
      rules.push_back(b.rule);
      EXPECT_NE(describe(b, trace).find(b.text), std::string::npos);
    }
    return rules;
  }
};
using RuleList = std::vector<Rule>;

TEST(Audit, FindsAMessageWithoutAnOutcomeOrWithALateOne) {
  TraceBuilder none(2);
  none.addLateEvent();
  EXPECT_EQ(none.broken(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder late(2);
  late.notify(3500, 1);
  late.addLateEvent();
  EXPECT_EQ(late.broken(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder inTime(2);
  inTime.notify(3290, 1);
  inTime.addLateEvent();
  EXPECT_EQ(inTime.broken(), RuleList{});
  TraceBuilder afterIts(2);
  afterIts.notify(500, 1);
  afterIts.arrive(900);
  EXPECT_EQ(afterIts.broken(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder two(2);
  two.notify(500, 1);
  two.notify(600, 2);
  EXPECT_EQ(two.broken(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder refused(2);
  refused.trace.events[1].type = TraceEventType::rejected;
  refused.addLateEvent();
  EXPECT_EQ(refused.broken(), RuleList{});
}

TEST(Audit, FindsARepeatOfAnAttemptThatMayHaveExecuted) {
  for (auto [type, status, repeatAt, broken] : {std::tuple{0, 500, 300.0, true},
                                                {0, 503, 300.0, false},
                                                {1, 500, 300.0, false},
                                                {1, 500, 2300.0, true},
                                                {1, 503, 2300.0, false},
                                                {2, 500, 2300.0, false}}) {
    TraceBuilder builder(static_cast<std::uint16_t>(type));
    std::uint32_t first = builder.arrive(100);
    builder.respond(150, first, status);
    builder.respond(repeatAt + 50, builder.arrive(repeatAt), 200);
    EXPECT_EQ(builder.broken(), broken ? RuleList{Rule::noDuplicateEffect} : RuleList{})
        << type << " " << status << " " << repeatAt;
  }
  TraceBuilder builder(1);
  builder.experiment.types[1].settings.deduplicationScope = DeduplicationScope::zone;
  builder.respond(150, builder.arrive(100, 0), 500);
  builder.respond(350, builder.arrive(300, 1), 200, 1);  // the other room
  EXPECT_EQ(builder.broken(), RuleList{Rule::noDuplicateEffect});
  TraceBuilder shed(0);
  shed.respond(150, shed.arrive(100), 500);
  shed.notify(300, 2);
  EXPECT_EQ(shed.broken(), RuleList{Rule::noDuplicateEffect});
  TraceBuilder twice(1);
  for (std::uint32_t request : {1u, 2u})
    twice.add({.at = 100.0 * request, .type = TraceEventType::effect, .request = request});
  twice.notify(400, 1);
  EXPECT_EQ(twice.broken(), RuleList{Rule::noDuplicateEffect});
}

TEST(Audit, FindsAnAttemptAtADrainingEndpoint) {
  for (auto [at, broken] : {std::pair{560.0, false}, {700.0, true}}) {
    TraceBuilder builder(2);
    builder.add({.at = 100, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 2});
    builder.respond(at + 20, builder.arrive(at), 200);
    EXPECT_EQ(builder.broken(), broken ? RuleList{Rule::noAttemptsWhileDraining} : RuleList{});
  }
  TraceBuilder back(2);
  back.add({.at = 100, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 2});
  back.add({.at = 600, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 1});
  back.respond(720, back.arrive(700), 200);
  EXPECT_EQ(back.broken(), RuleList{});
}

TEST(Audit, FindsAnOverloadByDispatchersThatKnewOfTheOutage) {
  for (bool knew : {true, false}) {
    TraceBuilder builder(2, 6);
    builder.add({.at = 100, .type = TraceEventType::destinationDown});
    if (knew) builder.add({.at = 150, .type = TraceEventType::healthChecked, .endpoint = 0, .status = 503});
    builder.add({.at = 400, .type = TraceEventType::destinationUp});
    for (std::uint32_t c = 0; c < 6; ++c) builder.respond(420, builder.arrive(410 + c, 0, c), 200, 0, c);
    builder.add({.at = 420, .type = TraceEventType::destinationOverloaded});
    EXPECT_EQ(builder.broken(), knew ? RuleList{Rule::noOverloadInSlowStart} : RuleList{});
  }
}

TEST(Audit, FindsMessagesOfAKeyOutOfOrderOrWithoutThePause) {
  for (auto [firstEnds, status, secondAt, broken] :
       {std::tuple{200.0, 200, 150.0, true}, {200.0, 200, 250.0, false}, {200.0, 1, 300.0, true}}) {
    TraceBuilder builder(0, 2, 7);
    builder.experiment.types[0].settings.ordered = true;
    std::uint32_t first = builder.arrive(100, 0, 0);
    std::uint32_t second = builder.arrive(secondAt, 0, 1);
    builder.respond(firstEnds, first, status, 0, 0);
    if (status != 200) builder.notify(firstEnds + 10, 1, 0);
    builder.respond(secondAt + 60, second, 200, 0, 1);
    std::sort(builder.trace.events.begin(), builder.trace.events.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    EXPECT_EQ(builder.broken(), broken ? RuleList{Rule::orderPerKey} : RuleList{}) << secondAt;
  }
}

TEST(Audit, FindsAnAttemptBeforeRetryAfterOfTheDestination) {
  for (auto [at, broken] : {std::pair{240.0, false}, {400.0, true}, {720.0, false}}) {
    TraceBuilder builder(2, 2);
    builder.respond(200, builder.arrive(150, 0, 0), 429, 0, 0, 500);
    builder.respond(at + 20, builder.arrive(at, 1, 1), 200, 1, 1);  // another endpoint, the same destination
    builder.notify(900, 1, 0);
    EXPECT_EQ(builder.broken(), broken ? RuleList{Rule::retryAfterRespected} : RuleList{}) << at;
  }
}

// A dispatcher that was deliberately made wrong is caught, for each way of being so; the same days with
// nothing made wrong are clean.
TEST(Audit, CatchesEachDeliberateMistakeInTheModel) {
  struct Case {
    const char* fault;
    PolicyDefects defects;
    Rule rule;
  };
  PolicyDefects forgets, waits, effects, drains, overloads;
  forgets.losesMessages = waits.ignoresRetryAfter = effects.repeatsExecuted = drains.ignoresDraining =
      overloads.overloadsInSlowStart = true;
  for (const Case& c : {Case{"", forgets, Rule::exactlyOneOutcome},
                        Case{"[[trouble]]\nkind=\"shut\"\ndestinations=[0]\nfrom_s=1\nuntil_s=3\n", waits,
                             Rule::retryAfterRespected},
                        Case{"[[trouble]]\nkind=\"reset\"\nfactor=0.4\nfrom_s=1\nuntil_s=5\n", effects,
                             Rule::noDuplicateEffect},
                        Case{"[[trouble]]\nkind=\"drain\"\nendpoints=[0,2]\nfrom_s=1\nuntil_s=4\n", drains,
                             Rule::noAttemptsWhileDraining},
                        Case{"[[trouble]]\nkind=\"errors\"\ndestinations=[0]\nfrom_s=1\nuntil_s=4\n",
                             overloads, Rule::noOverloadInSlowStart}}) {
    Experiment experiment = experimentWith(c.fault);
    if (c.defects.overloadsInSlowStart) {
      experiment.environment.concurrency = 1;
      experiment.environment.slowStartInitialShare = 0.05;
      experiment.environment.overloadThreshold = 1;
    }
    auto clean = audit(experiment, runModel(experiment, 3, "ours"));
    EXPECT_TRUE(clean.empty()) << nameOf(c.rule) << clean.size();
    Trace wrong = runModel(experiment, 3, "ours", nullptr, c.defects);
    auto found = audit(experiment, wrong);
    ASSERT_FALSE(found.empty()) << nameOf(c.rule);
    EXPECT_EQ(found.front().rule, c.rule) << describe(found.front(), wrong);
  }
}

// ---- model, clients, town ----

TEST(Model, IsTheSameByteForByteFromTheSameSeedAndAnotherFromAnother) {
  Experiment experiment = experimentWith(
      "[[trouble]]\nkind=\"blackhole\"\nroom=\"b\"\nfrom_s=1\nuntil_s=3\n"
      "[[trouble]]\nkind=\"kill\"\nfrom_s=2\nuntil_s=3\n");
  for (const std::string& policy : policyNames()) {
    Trace one = runModel(experiment, 5, policy);
    Trace two = runModel(experiment, 5, policy);
    EXPECT_EQ(one.events, two.events) << policy;
    EXPECT_EQ(one.messages, two.messages);
    EXPECT_NE(one.events, runModel(experiment, 6, policy).events);
    RunSummary t = summarize(experiment, one);
    EXPECT_GT(t.completed, t.due / 3) << policy;
    EXPECT_EQ(t.deliveryLatency.count, t.completed);
    EXPECT_EQ(t.due, static_cast<std::uint64_t>(std::count_if(
                         one.messages.begin(), one.messages.end(),
                         [&](const SubmittedMessage& h) { return &one.messages[h.origin] == &h; })));
  }
}

// The day that is due is the clients' own, whatever the dispatchers do with it.
TEST(Model, GivesEveryPolicyTheSameArrivals) {
  Experiment experiment = experimentWith("[[trouble]]\nkind=\"shut\"\nfrom_s=1\nuntil_s=4\n");
  auto days = [&](const std::string& policy) {
    Trace trace = runModel(experiment, 9, policy);
    std::vector<Millis> due;
    for (std::size_t n = 0; n < trace.messages.size(); ++n) {
      if (trace.messages[n].origin == n) due.push_back(trace.messages[n].due);
    }
    return due;
  };
  EXPECT_EQ(days("ours"), days("one-try"));
}

TEST(Model, RestoresTheMessagesOfAKilledDispatcher) {
  Experiment experiment = experimentWith(
      "[[trouble]]\nkind=\"kill\"\nfrom_s=2\nuntil_s=2.2\n[[trouble]]\nkind=\"slow\"\nfactor=10\nfrom_s="
      "1\nuntil_s=4\n");
  Trace trace = runModel(experiment, 4, "ours");
  EXPECT_TRUE(audit(experiment, trace).empty());
  EXPECT_EQ(std::count_if(trace.events.begin(), trace.events.end(),
                          [](const TraceEvent& e) { return e.type == TraceEventType::dispatcherDown; }),
            1);
}

TEST(Trace, IsReadBackFromItsFilesAndAWrongLineIsNamed) {
  Folder folder;
  Experiment experiment = experimentWith("");
  Trace trace = runModel(experiment, 1, "ours");
  saveTrace(trace, folder.path);
  Trace reloaded = loadTrace(folder.path);
  ASSERT_EQ(reloaded.events.size(), trace.events.size());
  EXPECT_EQ(reloaded.messages.size(), trace.messages.size());
  EXPECT_EQ(audit(experiment, reloaded).size(), 0u);
  EXPECT_NEAR(summarize(experiment, reloaded).deliveredWeightShare(),
              summarize(experiment, trace).deliveredWeightShare(), 1e-6);
  std::ofstream(folder.path / "events.csv", std::ios::app) << "1.0,sneezed,0,0,0,0,0,0,0\n";
  try {
    loadTrace(folder.path);
    ADD_FAILURE();
  } catch (const ConfigError& problem) {
    EXPECT_NE(std::string(problem.what()).find("'sneezed' is not a kind of event"), std::string::npos);
  }
}

TEST(EndpointModel, IsOverloadedDuringSlowStartAndNotAtFullCapacity) {
  Experiment experiment = experimentWith("");
  experiment.environment.concurrency = 1;
  Trace trace;
  trace.messages.resize(200, {0, 2, 0, 0, 0, 0});
  EndpointModel endpointModel(experiment, 1, trace);
  auto push = [&](Millis from, int many) {
    for (int n = 0; n < many; ++n) {
      auto request = static_cast<std::uint32_t>(from) + static_cast<std::uint32_t>(n);
      endpointModel.receiveRequest(from + n, request, 0, 0, {static_cast<std::uint32_t>(n)});
      endpointModel.abandonRequest(from + n, request, 0);
    }
    return std::count_if(trace.events.begin(), trace.events.end(),
                         [](const TraceEvent& e) { return e.type == TraceEventType::destinationOverloaded; });
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

TEST(EndpointModel, DropsARepeatWithinTheDeduplicationWindow) {
  Experiment experiment = experimentWith("");
  Trace trace;
  trace.messages = {{0, 1, 0, 0, 0, 0}, {0, 1, 0, 0, 0, 0}, {2, 0, 0, 0, 0, 0}};
  EndpointModel endpointModel(experiment, 1, trace);
  endpointModel.receiveRequest(0, 1, 0, 0, {0});
  endpointModel.receiveRequest(100, 2, 1, 0, {1});   // the same origin, submitted again
  endpointModel.receiveRequest(5000, 3, 0, 0, {1});  // past the window
  endpointModel.receiveRequest(5000, 4, 1, 0, {2});
  EXPECT_EQ(std::count_if(trace.events.begin(), trace.events.end(),
                          [](const TraceEvent& e) { return e.type == TraceEventType::effect; }),
            3);
}

TEST(ArrivalModel, HasTheRateOfTheExperimentForEachShape) {
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

TEST(ArrivalModel, ResubmitsAfterRetryAfterAndNotPastTheDeadline) {
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
  EXPECT_EQ(trace.messages[*resubmitted].origin, *first);
  EXPECT_TRUE(arrivalModel.isResubmission(*resubmitted));
  arrivalModel.recordRejection(950, *resubmitted, 9000);
  EXPECT_FALSE(arrivalModel.due());
}

RC_GTEST_PROP(Distributions, KeepTheirMedian, (std::uint32_t seed)) {
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

RunResult runShort(const std::string& faults, const std::string& folder, Experiment& experiment) {
  experiment = experimentWith(faults);
  RunOptions options;
  options.binary = STONEWING_BINARY;
  options.folder = folder;
  return runOnSockets(experiment, experiment.seed, options);
}

// The dispatcher keeps the rules through troubles that strike together, and most of the gain.
TEST(OnSockets, TheRulesHoldWhileAKillABlackholeAndLostAnswersStrikeTogether) {
  Folder folder;
  Experiment experiment;
  RunResult result = runShort(
      "[[trouble]]\nkind=\"blackhole\"\nendpoints=[1]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"lost\"\nfactor=0.3\nendpoints=[2]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"kill\"\ndispatchers=[1]\nfrom_s=2\nuntil_s=2.3\n"
      "[[trouble]]\nkind=\"drain\"\nendpoints=[4]\nfrom_s=3\nuntil_s=5\n",
      folder.path, experiment);
  for (const RuleViolation& b : audit(experiment, result.trace)) ADD_FAILURE() << describe(b, result.trace);
  EXPECT_TRUE(result.crashes.empty());
  RunSummary t = summarize(experiment, result.trace);
  EXPECT_GT(t.deliveredWeightShare(), 0.7);
  EXPECT_GT(t.due, 250u);
}

TEST(OnSockets, FaultsOfEndpointsReachTheDispatcherAsSuch) {
  Folder folder;
  Experiment experiment;
  RunResult result = runShort(
      "[[trouble]]\nkind=\"refuse\"\nendpoints=[0]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"spoilt\"\nfactor=0.3\nendpoints=[2]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"cut\"\nfactor=0.3\nendpoints=[3]\nfrom_s=0.5\nuntil_s=4\n"
      "[[trouble]]\nkind=\"shut\"\ndestinations=[2]\nfrom_s=1\nuntil_s=2.5\n"
      "[[trouble]]\nkind=\"table\"\nfactor=1\nendpoints=[1]\nfrom_s=1\nuntil_s=4\n",
      folder.path, experiment);
  for (const RuleViolation& b : audit(experiment, result.trace)) ADD_FAILURE() << describe(b, result.trace);
  auto saw = [&](TraceEventType what, int status) {
    return std::any_of(result.trace.events.begin(), result.trace.events.end(),
                       [&](const TraceEvent& e) { return e.type == what && e.status == status; });
  };
  EXPECT_TRUE(saw(TraceEventType::responded, static_cast<int>(ResponseKind::malformed)));
  EXPECT_TRUE(saw(TraceEventType::responded, static_cast<int>(ResponseKind::truncated)));
  EXPECT_TRUE(saw(TraceEventType::responded, static_cast<int>(ResponseKind::unavailable)));
  EXPECT_GT(summarize(experiment, result.trace).deliveredWeightShare(), 0.6);
}

// Danger: a dispatcher that dies of a full disk, or of a file limit's signal, loses what it took on.
TEST(OnSockets, AFullDiskRejectsMessagesAndLosesNone) {
  Folder folder;
  Experiment experiment;
  RunResult result = runShort("[[trouble]]\nkind=\"disk-full\"\ndispatchers=[0]\nfrom_s=1.5\nuntil_s=3.5\n",
                              folder.path, experiment);
  for (const RuleViolation& b : audit(experiment, result.trace)) ADD_FAILURE() << describe(b, result.trace);
  EXPECT_TRUE(result.crashes.empty()) << result.crashes.front();
  EXPECT_GT(summarize(experiment, result.trace).rejected, 0u);
}

// Danger: a loop that is behind answers clients that have left, they hand in again, and it stays behind for
// ever.
TEST(AdmissionScenario, DispatcherRecoversFromAStallAndAnswersASurgeWhereOthersDoNot) {
  AdmissionScenario stall;
  stall.perSecond = 8000;
  stall.surgeFactor = 1;
  stall.stallAt = 2000;
  stall.stallDuration = 700;
  stall.duration = 8000;
  EXPECT_GT(runAdmissionScenario(stall, "work").acknowledged,
            runAdmissionScenario(stall, "none").acknowledged * 2);
  EXPECT_GT(runAdmissionScenario(stall, "work").acknowledged,
            runAdmissionScenario(stall, "codel").acknowledged * 2);
  AdmissionScenario surge;
  surge.surgeFrom = 1000;
  surge.surgeUntil = 4000;
  surge.duration = 7000;
  AdmissionResult ours = runAdmissionScenario(surge, "work");
  EXPECT_LT(ours.unanswered, runAdmissionScenario(surge, "gradient").unanswered / 20);
  EXPECT_GT(ours.acknowledged, runAdmissionScenario(surge, "none").acknowledged);
  EXPECT_EQ(ours.acknowledged, runAdmissionScenario(surge, "work").acknowledged);
  EXPECT_THROW(runAdmissionScenario(surge, "hope"), ConfigError);
}

}  // namespace
}  // namespace stonewing::lab
