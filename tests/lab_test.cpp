// The testbed: the audit finds each kind of violation, the model is deterministic, the readers of experiments
// and traces report malformed files, and a short run on sockets shows that real dispatchers keep the rules.
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

const bool kSeeded = setenv("RC_PARAMS", "seed=4711 max_success=60", 1) == 0;

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

// Builds a trace by hand. It begins with messages of one type of the experiment, 10 ms apart, that are
// submitted to dispatcher 0 and accepted 1 ms later.
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
               std::uint32_t message = 0, Millis retryAfter = 0) {
    add({.at = at,
         .type = TraceEventType::responded,
         .message = message,
         .request = request,
         .endpoint = endpoint,
         .status = static_cast<std::int16_t>(status),
         .duration = retryAfter,
         .executed = status != 503 && status != 429});
  }
  void notify(Millis at, int result, std::uint32_t message = 0) {
    add({.at = at,
         .type = TraceEventType::notificationReceived,
         .message = message,
         .status = static_cast<std::int16_t>(result)});
  }
  // An event long after the deadlines; without it the trace ends before the audit can call an outcome
  // missing.
  void addLateEvent() {
    add({.at = 60000, .type = TraceEventType::endpointStateNotified, .endpoint = 5, .status = 1});
  }
  std::vector<Rule> violatedRules() {
    std::vector<Rule> rules;
    for (const RuleViolation& violation : audit(experiment, trace)) {
      rules.push_back(violation.rule);
      EXPECT_NE(describe(violation, trace).find(violation.text), std::string::npos);
    }
    return rules;
  }
};
using RuleList = std::vector<Rule>;

TEST(Audit, FindsAMessageWithoutAnOutcomeOrWithALateOne) {
  TraceBuilder noOutcome(2);
  noOutcome.addLateEvent();
  EXPECT_EQ(noOutcome.violatedRules(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder lateOutcome(2);
  lateOutcome.notify(3500, 1);
  lateOutcome.addLateEvent();
  EXPECT_EQ(lateOutcome.violatedRules(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder inTime(2);
  inTime.notify(3290, 1);
  inTime.addLateEvent();
  EXPECT_EQ(inTime.violatedRules(), RuleList{});
  TraceBuilder attemptAfterOutcome(2);
  attemptAfterOutcome.notify(500, 1);
  attemptAfterOutcome.arrive(900);
  EXPECT_EQ(attemptAfterOutcome.violatedRules(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder twoOutcomes(2);
  twoOutcomes.notify(500, 1);
  twoOutcomes.notify(600, 2);
  EXPECT_EQ(twoOutcomes.violatedRules(), RuleList{Rule::exactlyOneOutcome});
  TraceBuilder rejected(2);
  rejected.trace.events[1].type = TraceEventType::rejected;
  rejected.addLateEvent();
  EXPECT_EQ(rejected.violatedRules(), RuleList{});
}

TEST(Audit, FindsARepeatOfAnAttemptThatMayHaveExecuted) {
  for (auto [type, status, repeatAt, isViolation] : {std::tuple{0, 500, 300.0, true},
                                                     {0, 503, 300.0, false},
                                                     {1, 500, 300.0, false},
                                                     {1, 500, 2300.0, true},
                                                     {1, 503, 2300.0, false},
                                                     {2, 500, 2300.0, false}}) {
    TraceBuilder builder(static_cast<std::uint16_t>(type));
    std::uint32_t first = builder.arrive(100);
    builder.respond(150, first, status);
    builder.respond(repeatAt + 50, builder.arrive(repeatAt), 200);
    EXPECT_EQ(builder.violatedRules(), isViolation ? RuleList{Rule::noDuplicateEffect} : RuleList{})
        << type << " " << status << " " << repeatAt;
  }
  TraceBuilder builder(1);
  builder.experiment.types[1].settings.deduplicationScope = DeduplicationScope::zone;
  builder.respond(150, builder.arrive(100, 0), 500);
  builder.respond(350, builder.arrive(300, 1), 200, 1);  // endpoint 1 is in another zone
  EXPECT_EQ(builder.violatedRules(), RuleList{Rule::noDuplicateEffect});
  TraceBuilder shed(0);
  shed.respond(150, shed.arrive(100), 500);
  shed.notify(300, 2);
  EXPECT_EQ(shed.violatedRules(), RuleList{Rule::noDuplicateEffect});
  TraceBuilder twice(1);
  for (std::uint32_t request : {1u, 2u})
    twice.add({.at = 100.0 * request, .type = TraceEventType::effect, .request = request});
  twice.notify(400, 1);
  EXPECT_EQ(twice.violatedRules(), RuleList{Rule::noDuplicateEffect});
}

TEST(Audit, FindsAnAttemptAtADrainingEndpoint) {
  for (auto [at, isViolation] : {std::pair{560.0, false}, {700.0, true}}) {
    TraceBuilder builder(2);
    builder.add({.at = 100, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 2});
    builder.respond(at + 20, builder.arrive(at), 200);
    EXPECT_EQ(builder.violatedRules(), isViolation ? RuleList{Rule::noAttemptsWhileDraining} : RuleList{});
  }
  TraceBuilder back(2);
  back.add({.at = 100, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 2});
  back.add({.at = 600, .type = TraceEventType::endpointStateNotified, .endpoint = 0, .status = 1});
  back.respond(720, back.arrive(700), 200);
  EXPECT_EQ(back.violatedRules(), RuleList{});
}

TEST(Audit, FindsAnOverloadByDispatchersThatKnewOfTheOutage) {
  for (bool isInformed : {true, false}) {
    TraceBuilder builder(2, 6);
    builder.add({.at = 100, .type = TraceEventType::destinationDown});
    if (isInformed)
      builder.add({.at = 150, .type = TraceEventType::healthChecked, .endpoint = 0, .status = 503});
    builder.add({.at = 400, .type = TraceEventType::destinationUp});
    for (std::uint32_t c = 0; c < 6; ++c) builder.respond(420, builder.arrive(410 + c, 0, c), 200, 0, c);
    builder.add({.at = 420, .type = TraceEventType::destinationOverloaded});
    EXPECT_EQ(builder.violatedRules(), isInformed ? RuleList{Rule::noOverloadInSlowStart} : RuleList{});
  }
}

TEST(Audit, FindsMessagesOfAKeyOutOfOrderOrWithoutThePause) {
  for (auto [firstEndsAt, status, secondAt, isViolation] :
       {std::tuple{200.0, 200, 150.0, true}, {200.0, 200, 250.0, false}, {200.0, 1, 300.0, true}}) {
    TraceBuilder builder(0, 2, 7);
    builder.experiment.types[0].settings.ordered = true;
    std::uint32_t first = builder.arrive(100, 0, 0);
    std::uint32_t second = builder.arrive(secondAt, 0, 1);
    builder.respond(firstEndsAt, first, status, 0, 0);
    if (status != 200) builder.notify(firstEndsAt + 10, 1, 0);
    builder.respond(secondAt + 60, second, 200, 0, 1);
    std::sort(builder.trace.events.begin(), builder.trace.events.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    EXPECT_EQ(builder.violatedRules(), isViolation ? RuleList{Rule::orderPerKey} : RuleList{}) << secondAt;
  }
}

TEST(Audit, FindsAnAttemptBeforeRetryAfterOfTheDestination) {
  for (auto [at, isViolation] : {std::pair{240.0, false}, {400.0, true}, {720.0, false}}) {
    TraceBuilder builder(2, 2);
    builder.respond(200, builder.arrive(150, 0, 0), 429, 0, 0, 500);
    builder.respond(at + 20, builder.arrive(at, 1, 1), 200, 1, 1);  // another endpoint, the same destination
    builder.notify(900, 1, 0);
    EXPECT_EQ(builder.violatedRules(), isViolation ? RuleList{Rule::retryAfterRespected} : RuleList{}) << at;
  }
}

// An audit that finds nothing proves nothing unless it can fail: each deliberate defect of the dispatchers
// must be found as a violation of its rule, and the same run without the defect must have no violation.
TEST(Audit, CatchesEachDeliberateMistakeInTheModel) {
  struct Case {
    const char* fault;
    PolicyDefects defects;
    Rule rule;
  };
  PolicyDefects loss, earlyRetry, duplicate, draining, overload;
  loss.losesMessages = earlyRetry.ignoresRetryAfter = duplicate.repeatsExecuted = draining.ignoresDraining =
      overload.overloadsInSlowStart = true;
  for (const Case& c : {Case{"", loss, Rule::exactlyOneOutcome},
                        Case{"[[trouble]]\nkind=\"shut\"\ndestinations=[0]\nfrom_s=1\nuntil_s=3\n",
                             earlyRetry, Rule::retryAfterRespected},
                        Case{"[[trouble]]\nkind=\"reset\"\nfactor=0.4\nfrom_s=1\nuntil_s=5\n", duplicate,
                             Rule::noDuplicateEffect},
                        Case{"[[trouble]]\nkind=\"drain\"\nendpoints=[0,2]\nfrom_s=1\nuntil_s=4\n", draining,
                             Rule::noAttemptsWhileDraining},
                        Case{"[[trouble]]\nkind=\"errors\"\ndestinations=[0]\nfrom_s=1\nuntil_s=4\n",
                             overload, Rule::noOverloadInSlowStart}}) {
    Experiment experiment = experimentWith(c.fault);
    if (c.defects.overloadsInSlowStart) {
      experiment.environment.concurrency = 1;
      experiment.environment.slowStartInitialShare = 0.05;
      experiment.environment.slowStartDuration =
          20000;  // the share hardly grows before the first health check
      experiment.environment.overloadThreshold = 1;
    }
    auto clean = audit(experiment, runModel(experiment, 3, "ours"));
    EXPECT_TRUE(clean.empty()) << nameOf(c.rule) << clean.size();
    Trace withDefect = runModel(experiment, 3, "ours", nullptr, c.defects);
    auto found = audit(experiment, withDefect);
    ASSERT_FALSE(found.empty()) << nameOf(c.rule);
    EXPECT_EQ(found.front().rule, c.rule) << describe(found.front(), withDefect);
  }
}

TEST(RunSummary, TellsWhenClientsWereNotifiedAndWithWhichAdvice) {
  TraceBuilder builder(2, 4);  // submitted at 0, 10, 20 and 30 ms with 3 s left
  builder.notify(300, 2, 0);
  builder.trace.events.back().duration = 250;
  builder.notify(1510, 2, 1);
  builder.notify(3020, 1, 2);
  builder.notify(3030, 1, 2);  // repeated
  builder.respond(50, builder.arrive(40, 0, 3), 200, 0, 3);
  builder.notify(60, 1, 3);  // delivered
  NotificationSummary notifications = summarize(builder.experiment, builder.trace).notifications;
  EXPECT_EQ(notifications.count, 3u);
  EXPECT_EQ(notifications.inFirstQuarter, 1u);
  EXPECT_EQ(notifications.withRetryAfter, 1u);
  EXPECT_DOUBLE_EQ(notifications.medianTimeShare, 0.5);
}

TEST(Model, IsTheSameByteForByteFromTheSameSeedAndAnotherFromAnother) {
  Experiment experiment = experimentWith(
      "[[trouble]]\nkind=\"blackhole\"\nroom=\"b\"\nfrom_s=1\nuntil_s=3\n"
      "[[trouble]]\nkind=\"kill\"\nfrom_s=2\nuntil_s=3\n");
  for (const std::string& policy : policyNames()) {
    Trace trace = runModel(experiment, 5, policy);
    Trace repeated = runModel(experiment, 5, policy);
    EXPECT_EQ(trace.events, repeated.events) << policy;
    EXPECT_EQ(trace.messages, repeated.messages);
    EXPECT_NE(trace.events, runModel(experiment, 6, policy).events);
    RunSummary summary = summarize(experiment, trace);
    EXPECT_GT(summary.completed, summary.due / 3) << policy;
    EXPECT_EQ(summary.deliveryLatency.count, summary.completed);
    EXPECT_EQ(summary.due,
              static_cast<std::uint64_t>(std::count_if(trace.messages.begin(), trace.messages.end(),
                                                       [&](const SubmittedMessage& message) {
                                                         return &trace.messages[message.origin] == &message;
                                                       })));
  }
}

// Policies can only be compared if the times at which messages are due do not depend on the dispatchers'
// decisions.
TEST(Model, GivesEveryPolicyTheSameArrivals) {
  Experiment experiment = experimentWith("[[trouble]]\nkind=\"shut\"\nfrom_s=1\nuntil_s=4\n");
  auto dueTimes = [&](const std::string& policy) {
    Trace trace = runModel(experiment, 9, policy);
    std::vector<Millis> due;
    for (std::size_t n = 0; n < trace.messages.size(); ++n) {
      if (trace.messages[n].origin == n) due.push_back(trace.messages[n].due);
    }
    return due;
  };
  EXPECT_EQ(dueTimes("ours"), dueTimes("one-try"));
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
  auto countOverloads = [&](Millis from, int requests) {
    for (int n = 0; n < requests; ++n) {
      auto request = static_cast<std::uint32_t>(from) + static_cast<std::uint32_t>(n);
      endpointModel.receiveRequest(from + n, request, 0, 0, {static_cast<std::uint32_t>(n)});
      endpointModel.abandonRequest(from + n, request, 0);
    }
    return std::count_if(trace.events.begin(), trace.events.end(),
                         [](const TraceEvent& e) { return e.type == TraceEventType::destinationOverloaded; });
  };
  EXPECT_EQ(countOverloads(100, 150), 0);
  Fault rejectAll{.kind = FaultKind::rejectAll, .from = 1000, .until = 4000, .destinations = {0}};
  endpointModel.applyFault(1000, rejectAll, true);
  EXPECT_EQ(endpointModel.receiveRequest(1500, 9000, 0, 0, {1})->kind, ResponseKind::unavailable);
  endpointModel.applyFault(4000, rejectAll, false);
  EXPECT_EQ(countOverloads(4100, 150), 1);
  EXPECT_EQ(endpointModel.receiveRequest(4400, 9001, 1, 0, {1})->kind,
            ResponseKind::unavailable);  // all endpoints of the destination stay down
}

TEST(EndpointModel, DropsARepeatWithinTheDeduplicationWindow) {
  Experiment experiment = experimentWith("");
  Trace trace;
  trace.messages = {{0, 1, 0, 0, 0, 0}, {0, 1, 0, 0, 0, 0}, {2, 0, 0, 0, 0, 0}};
  EndpointModel endpointModel(experiment, 1, trace);
  endpointModel.receiveRequest(0, 1, 0, 0, {0});
  endpointModel.receiveRequest(100, 2, 1, 0, {1});   // a resubmission, with the same origin
  endpointModel.receiveRequest(5000, 3, 0, 0, {1});  // after the deduplication window
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
    while (auto due = arrivalModel.nextDueTime()) {
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
  EXPECT_EQ(arrivalModel.nextDueTime(), 900);
  auto resubmitted = arrivalModel.nextDue(900);
  ASSERT_TRUE(resubmitted);
  EXPECT_EQ(trace.messages[*resubmitted].origin, *first);
  EXPECT_TRUE(arrivalModel.isResubmission(*resubmitted));
  arrivalModel.recordRejection(950, *resubmitted, 9000);
  EXPECT_FALSE(arrivalModel.nextDueTime());
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

// Runs the experiment with these faults on sockets, with the real dispatcher.
RunResult runShort(const std::string& faults, const std::string& folder, Experiment& experiment) {
  experiment = experimentWith(faults);
  RunOptions options;
  options.binary = STONEWING_BINARY;
  options.folder = folder;
  return runOnSockets(experiment, experiment.seed, options);
}

// A defect may show only while several faults are active together: no rule may be violated then, and most of
// the weight must still be delivered.
TEST(OnSockets, TheRulesHoldWhileAKillABlackholeAndLostAnswersStrikeTogether) {
  Folder folder;
  Experiment experiment;
  RunResult result = runShort(
      "[[trouble]]\nkind=\"blackhole\"\nendpoints=[1]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"lost\"\nfactor=0.3\nendpoints=[2]\nfrom_s=1\nuntil_s=4\n"
      "[[trouble]]\nkind=\"kill\"\ndispatchers=[1]\nfrom_s=2\nuntil_s=2.3\n"
      "[[trouble]]\nkind=\"drain\"\nendpoints=[4]\nfrom_s=3\nuntil_s=5\n",
      folder.path, experiment);
  for (const RuleViolation& violation : audit(experiment, result.trace))
    ADD_FAILURE() << describe(violation, result.trace);
  EXPECT_TRUE(result.crashes.empty());
  RunSummary summary = summarize(experiment, result.trace);
  EXPECT_GT(summary.deliveredWeightShare(), 0.7);
  EXPECT_GT(summary.due, 250u);
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
  for (const RuleViolation& violation : audit(experiment, result.trace))
    ADD_FAILURE() << describe(violation, result.trace);
  auto isInTrace = [&](TraceEventType type, int status) {
    return std::any_of(result.trace.events.begin(), result.trace.events.end(),
                       [&](const TraceEvent& e) { return e.type == type && e.status == status; });
  };
  EXPECT_TRUE(isInTrace(TraceEventType::responded, static_cast<int>(ResponseKind::malformed)));
  EXPECT_TRUE(isInTrace(TraceEventType::responded, static_cast<int>(ResponseKind::truncated)));
  EXPECT_TRUE(isInTrace(TraceEventType::responded, static_cast<int>(ResponseKind::unavailable)));
  EXPECT_GT(summarize(experiment, result.trace).deliveredWeightShare(), 0.6);
}

// A dispatcher that exits because its disk is full, or because SIGXFSZ kills it at a limit on file size,
// would lose messages that it has accepted.
TEST(OnSockets, AFullDiskRejectsMessagesAndLosesNone) {
  Folder folder;
  Experiment experiment;
  RunResult result = runShort("[[trouble]]\nkind=\"disk-full\"\ndispatchers=[0]\nfrom_s=1.5\nuntil_s=3.5\n",
                              folder.path, experiment);
  for (const RuleViolation& violation : audit(experiment, result.trace))
    ADD_FAILURE() << describe(violation, result.trace);
  EXPECT_TRUE(result.crashes.empty()) << result.crashes.front();
  EXPECT_GT(summarize(experiment, result.trace).rejected, 0u);
}

// Without admission control, an event loop that is behind answers clients that have already timed out; these
// submit again, so that the loop never catches up.
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
