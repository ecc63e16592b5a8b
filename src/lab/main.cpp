// The command line of the testbed, stonewing_lab.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

#include "base/bytes.h"
#include "lab/admission_scenario.h"
#include "lab/compare.h"
#include "lab/fault_strikes.h"
#include "lab/lab_policy.h"
#include "lab/model.h"
#include "lab/report.h"

namespace {

using namespace stonewing::lab;
using stonewing::ConfigError;
using stonewing::Error;
namespace fs = std::filesystem;

// Exit code of a run in which a rule of the audit was violated or a dispatcher crashed.
constexpr int kRuleViolated = 2;
constexpr int kInterrupted = 130;
constexpr int kComparedRuns = 8;

std::string textOf(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot open experiment file for reading: " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct Options {
  std::vector<std::string> files;
  std::vector<std::string> changes;
  std::vector<std::string> otherChanges;
  std::int64_t seed{-1};
  std::string out;
  std::string policy{"ours"};
  std::string dispatcher;
  std::string otherDispatcher;
  std::string otherPolicy;
  std::string otherLab;
  std::vector<std::string> addresses;
  int seeds{1};
  bool baselines{false};
  bool json{false};
  bool sockets{false};
};

std::string siblingProgram(const char* name) {
  std::error_code ignored;
  fs::path ownPath = fs::read_symlink("/proc/self/exe", ignored);
  for (const fs::path& folder :
       {ownPath.parent_path(), ownPath.parent_path().parent_path().parent_path(), fs::path("build")}) {
    if (fs::exists(folder / name, ignored)) return (folder / name).string();
  }
  throw ConfigError(std::string("program ") + name +
                    " was found neither beside stonewing_lab nor two folders above it nor in ./build; "
                    "pass its path with --dispatcher");
}

std::uint64_t seedOf(const Options& options, const Experiment& experiment) {
  return options.seed >= 0 ? static_cast<std::uint64_t>(options.seed) : experiment.seed;
}

// Reports progress on stderr if stderr is a terminal. Otherwise the function is empty, so that redirected
// output holds the results alone.
std::function<void(stonewing::Millis, std::size_t)> progressOf(const Experiment& experiment) {
  if (::isatty(2) == 0) return {};
  return [&experiment](stonewing::Millis at, std::size_t events) {
    std::fprintf(stderr, "\r%s: %3.0f of %3.0f s, %zu events ", experiment.name.c_str(), at / 1000,
                 experiment.end() / 1000, events);
    if (at >= experiment.end()) std::fprintf(stderr, "\n");
  };
}

SummaryRow summarizeModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy) {
  Trace trace = runModel(experiment, seed, policy);
  return {"model, " + policy, summarize(experiment, trace), audit(experiment, trace).size()};
}

// Prints how often the faults of a run on sockets struck. Returns false if one of them never did, or if no
// message was submitted: such a run proves nothing.
bool printStrikes(const RunReport& report, const Options& options) {
  if (report.run == nullptr) return true;
  bool isAnySubmitted =
      std::any_of(report.trace.events.begin(), report.trace.events.end(),
                  [](const TraceEvent& event) { return event.type == TraceEventType::submitted; });
  if (!isAnySubmitted) {
    std::cerr << "no message was submitted\n";
    return false;
  }
  std::map<FaultKind, int> strikes = faultStrikes(report.experiment, report.trace);
  if (!strikes.empty() && !options.json) std::cout << "faults struck: " << describe(strikes) << "\n";
  return std::all_of(strikes.begin(), strikes.end(), [](const auto& each) { return each.second > 0; });
}

int printReport(const RunReport& report, const Options& options, const std::string& text) {
  std::vector<SummaryRow> rows{{report.mode, report.summary, report.violations.size()}};
  rows.insert(rows.end(), report.comparisons.begin(), report.comparisons.end());
  if (options.json) {
    std::cout << resultText(report);
  } else {
    std::cout << report.experiment.name << ", seed " << report.seed << "\n" << tableOf(rows);
    for (std::size_t n = 0; n < std::min<std::size_t>(3, report.violations.size()); ++n) {
      std::cout << describe(report.violations[n], report.trace);
    }
  }
  if (!options.out.empty()) {
    std::string folder = options.files.size() > 1 ? options.out + "/" + report.experiment.name : options.out;
    std::string omitted = writeReport(report, folder, text);
    if (!options.json)
      std::cout << "report: " << folder << "/report.html\n" << (omitted.empty() ? "" : omitted + "\n");
  }
  bool crashed = report.run != nullptr && !report.run->crashes.empty();
  if (crashed && !options.json) {
    for (const std::string& crash : report.run->crashes) std::cout << "crash: " << crash << "\n";
  }
  bool haveFaultsStruck = printStrikes(report, options);
  return report.violations.empty() && !crashed && haveFaultsStruck ? 0 : kRuleViolated;
}

int model(const Options& options) {
  int exitCode = 0;
  for (const std::string& file : options.files) {
    Experiment experiment = readExperimentFile(file, options.changes);
    std::uint64_t seed = seedOf(options, experiment);
    ModelCost cost;
    auto startedAt = std::chrono::steady_clock::now();
    Trace trace = runModel(experiment, seed, options.policy, &cost);
    double elapsedSeconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    RunReport report{experiment,
                     seed,
                     "model, " + options.policy,
                     trace,
                     summarize(experiment, trace),
                     audit(experiment, trace),
                     {},
                     nullptr};
    if (options.baselines) {
      for (const std::string& name : policyNames()) {
        if (name != options.policy) report.comparisons.push_back(summarizeModel(experiment, seed, name));
      }
    }
    exitCode = std::max(exitCode, printReport(report, options, textOf(file)));
    if (!options.json)
      std::printf("%llu model steps in %.2f s\n", static_cast<unsigned long long>(cost.steps),
                  elapsedSeconds);
  }
  return exitCode;
}

// Runs one seed of an experiment. Returns the exit code; 130 if the run was interrupted.
int runSeed(const Options& options, const std::string& file, const Experiment& experiment,
            std::uint64_t seed) {
  RunOptions runOptions;
  runOptions.binary = options.dispatcher.empty() ? siblingProgram("stonewing") : options.dispatcher;
  runOptions.folder =
      (options.out.empty() ? fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))
                           : fs::path(options.out) / (options.files.size() > 1 ? experiment.name : ""))
          .string();
  runOptions.progress = progressOf(experiment);
  RunResult result = runOnSockets(experiment, seed, runOptions);
  RunReport report{experiment,
                   seed,
                   "sockets",
                   result.trace,
                   summarize(experiment, result.trace),
                   audit(experiment, result.trace),
                   {},
                   &result};
  report.comparisons.push_back(summarizeModel(experiment, seed, "ours"));
  if (options.baselines) {
    for (const std::string& name : policyNames()) {
      if (name != "ours") report.comparisons.push_back(summarizeModel(experiment, seed, name));
    }
  }
  int exitCode = printReport(report, options, textOf(file));
  if (exitCode != 0 && !options.json) {
    std::cout << "to run it again: stonewing_lab run " << file << " --seed " << seed << "\n";
  }
  if (options.out.empty()) fs::remove_all(runOptions.folder);
  return result.interrupted ? kInterrupted : exitCode;
}

int run(const Options& options) {
  int exitCode = 0;
  int failedRuns = 0;
  for (const std::string& file : options.files) {
    Experiment experiment = readExperimentFile(file, options.changes);
    for (int n = 0; n < options.seeds; ++n) {
      int code =
          runSeed(options, file, experiment, seedOf(options, experiment) + static_cast<std::uint64_t>(n));
      if (code == kInterrupted) return code;
      failedRuns += code != 0 ? 1 : 0;
      exitCode = std::max(exitCode, code);
    }
  }
  if (options.seeds > 1) {
    std::cout << failedRuns << " of " << options.files.size() * static_cast<std::size_t>(options.seeds)
              << " runs failed\n";
  }
  return exitCode;
}

int auditFolder(const Options& options) {
  Experiment experiment = readExperimentFile(options.files.front() + "/experiment.toml");
  Trace trace = loadTrace(options.files.front());
  auto violations = audit(experiment, trace);
  for (const RuleViolation& violation : violations) std::cout << describe(violation, trace);
  std::cout << (violations.empty() ? "no violations" : std::to_string(violations.size()) + " violations")
            << ", " << trace.messages.size() << " messages, " << trace.events.size() << " events\n";
  return violations.empty() ? 0 : kRuleViolated;
}

struct ComparedFigures {
  double deliveredWeightShare{0};
  double p99{0};
  double attemptsPerMessage{0};
  double violations{0};
};

ComparedFigures figuresOf(const RunSummary& summary, std::size_t violations) {
  return {summary.deliveredWeightShare(), summary.deliveryLatency.p99,
          static_cast<double>(summary.attempts) / std::max<double>(1, static_cast<double>(summary.due)),
          static_cast<double>(violations)};
}

// The figures of one run in the model of another build of stonewing_lab, which is started as a child process.
ComparedFigures figuresFromOtherLab(const std::string& lab, const std::string& file, std::uint64_t seed,
                                    const std::string& policy) {
  std::string command =
      "'" + lab + "' model '" + file + "' --json --seed " + std::to_string(seed) + " --policy " + policy;
  std::FILE* output = ::popen(command.c_str(), "r");
  if (output == nullptr) throw ConfigError("cannot start the other build " + lab);
  std::string text;
  char chunk[4096];
  for (std::size_t n; (n = std::fread(chunk, 1, sizeof chunk, output)) > 0;) text.append(chunk, n);
  ::pclose(output);
  auto result = nlohmann::json::parse(text, nullptr, false);
  if (!result.is_object()) throw ConfigError(lab + " printed no JSON object as its result for " + file);
  const auto& figures = result.at("result");
  return {figures.at("gain_share"), figures.at("delivery").at("p99_ms"),
          figures.at("launches").get<double>() / std::max(1.0, figures.at("due").get<double>()),
          static_cast<double>(result.at("broken").size())};
}

int compare(const Options& options) {
  const std::string& fileA = options.files.front();
  const std::string& fileB = options.files.back();
  Experiment experimentA = readExperimentFile(fileA, options.changes);
  std::vector<std::string> changesB = options.changes;
  changesB.insert(changesB.end(), options.otherChanges.begin(), options.otherChanges.end());
  Experiment experimentB = readExperimentFile(fileB, changesB);
  std::string policyB = options.otherPolicy.empty() ? options.policy : options.otherPolicy;
  std::vector<ComparedFigures> a, b;
  std::uint64_t first = seedOf(options, experimentA);
  auto measure = [&](const Experiment& experiment, const std::string& file, const std::string& policy,
                     const std::string& lab, const std::string& dispatcher, std::uint64_t seed) {
    if (options.sockets) {
      RunOptions runOptions;
      runOptions.binary = dispatcher.empty() ? siblingProgram("stonewing") : dispatcher;
      runOptions.folder =
          (fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))).string();
      RunResult result = runOnSockets(experiment, seed, runOptions);
      fs::remove_all(runOptions.folder);
      if (result.interrupted) throw ConfigError("interrupted");
      return figuresOf(summarize(experiment, result.trace), audit(experiment, result.trace).size());
    }
    if (!lab.empty()) return figuresFromOtherLab(lab, file, seed, policy);
    Trace trace = runModel(experiment, seed, policy);
    return figuresOf(summarize(experiment, trace), audit(experiment, trace).size());
  };
  // A and B take turns, so that other load on the machine affects both alike.
  for (int n = 0; n < options.seeds; ++n) {
    a.push_back(measure(experimentA, fileA, options.policy, "", options.dispatcher,
                        first + static_cast<std::uint64_t>(n)));
    b.push_back(measure(experimentB, fileB, policyB, options.otherLab, options.otherDispatcher,
                        first + static_cast<std::uint64_t>(n)));
  }
  auto column = [](const std::vector<ComparedFigures>& rows, double ComparedFigures::*field) {
    std::vector<double> all;
    for (const ComparedFigures& f : rows) all.push_back(f.*field);
    return all;
  };
  std::printf("%d paired runs; difference B - A with its 95%% bootstrap interval\n", options.seeds);
  struct Metric {
    const char* name;
    double ComparedFigures::*field;
    bool moreIsBetter;
  };
  std::string verdict;
  Figure figure{
      "Delivered weight share, B - A, by run", "day", "difference", false, true, true, {{"days", {}}}, {}};
  for (const Metric& metric : {Metric{"weight share", &ComparedFigures::deliveredWeightShare, true},
                               Metric{"p99 ms", &ComparedFigures::p99, false},
                               Metric{"attempts/msg", &ComparedFigures::attemptsPerMessage, false},
                               Metric{"violations", &ComparedFigures::violations, false}}) {
    auto valuesA = column(a, metric.field);
    auto valuesB = column(b, metric.field);
    Difference difference = paired(valuesA, valuesB);
    std::printf("%-14s %+10.4f  [%+.4f, %+.4f]  %s\n", metric.name, difference.mean, difference.low,
                difference.high, difference.verdict(metric.moreIsBetter));
    if (metric.field == &ComparedFigures::deliveredWeightShare) {
      verdict = difference.verdict(true);
      for (std::size_t n = 0; n < valuesA.size(); ++n)
        figure.lines[0].points.emplace_back(n + 1, valuesB[n] - valuesA[n]);
    }
  }
  std::printf("verdict: B is %s\n",
              verdict == "cannot tell" ? "not distinguishable from A" : verdict.c_str());
  if (!options.out.empty()) {
    fs::create_directories(options.out);
    if (draw(figure, options.out + "/compare.svg"))
      std::printf("plot: %s/compare.svg\n", options.out.c_str());
  }
  return 0;
}

int runLoadOnly(const Options& options) {
  Experiment experiment = readExperimentFile(options.files.front(), options.changes);
  RunResult result =
      generateLoad(experiment, seedOf(options, experiment), options.addresses, progressOf(experiment));
  RunSummary summary = summarize(experiment, result.trace);
  std::uint64_t accepted = 0;
  for (const TraceEvent& e : result.trace.events) accepted += e.type == TraceEventType::accepted ? 1 : 0;
  std::printf(
      "%llu due, %llu accepted, %llu rejected, %llu unanswered in %.2f s; response latency p50 %.2f p99 %.2f "
      "p99.9 %.2f ms; first commands at most %.1f ms after the due time\n",
      static_cast<unsigned long long>(summary.due), static_cast<unsigned long long>(accepted),
      static_cast<unsigned long long>(summary.rejected), static_cast<unsigned long long>(summary.unanswered),
      result.endedAt / 1000, summary.responseLatency.p50, summary.responseLatency.p99,
      summary.responseLatency.p999, result.maxLag);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "stonewing_lab runs experiments with injected faults against dispatchers and reports the results"};
  app.require_subcommand(1);
  Options options;
  auto addCommonOptions = [&](CLI::App* command, int minFiles, int maxFiles) {
    command->add_option("experiment", options.files, "experiment files (TOML; docs/lab.md)")
        ->required()
        ->expected(minFiles, maxFiles)
        ->check(CLI::ExistingPath);
    command->add_option("--seed", options.seed, "seed to use instead of the experiment file's")
        ->check(CLI::Range(std::int64_t{0}, std::int64_t{1} << 52));
    command
        ->add_option("--set", options.changes,
                     "table.key=value that overrides the experiment file; may be given several times")
        ->allow_extra_args(false);
    command->add_option("--out", options.out, "folder that the report is written to; created if missing");
  };
  auto* runCommand = app.add_subcommand(
      "run", "runs experiments on sockets against dispatcher processes and audits the recorded events");
  addCommonOptions(runCommand, 1, 1000);
  runCommand
      ->add_option("--dispatcher", options.dispatcher,
                   "the dispatcher program to test (default: stonewing beside this program)")
      ->check(CLI::ExistingFile);
  runCommand->add_option("--seeds", options.seeds, "run so many seeds, one after the other")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  runCommand->add_flag("--baselines", options.baselines,
                       "also run the baseline policies in the model, for comparison");
  runCommand->add_flag("--json", options.json, "print only the result, as JSON");
  auto* modelCommand = app.add_subcommand(
      "model", "runs experiments in virtual time, in one process; the same seed gives the same result");
  addCommonOptions(modelCommand, 1, 1000);
  modelCommand->add_option("--policy", options.policy, "'ours' or the name of a baseline")
      ->check(CLI::IsMember(policyNames()));
  modelCommand->add_flag("--baselines", options.baselines, "also run all other policies, for comparison");
  modelCommand->add_flag("--json", options.json, "print only the result, as JSON");
  auto* compareCommand =
      app.add_subcommand("compare", "compares two files, policies or builds, A and B, over the same seeds");
  addCommonOptions(compareCommand, 1, 2);
  compareCommand->add_option("--policy", options.policy, "policy of A")->check(CLI::IsMember(policyNames()));
  compareCommand->add_option("--other-policy", options.otherPolicy, "policy of B")
      ->check(CLI::IsMember(policyNames()));
  compareCommand
      ->add_option("--other-lab", options.otherLab, "run B in the model of this other build of stonewing_lab")
      ->check(CLI::ExistingFile);
  compareCommand
      ->add_option("--other-set", options.otherChanges,
                   "table.key=value that overrides the experiment file for B alone")
      ->allow_extra_args(false);
  compareCommand->add_flag("--sockets", options.sockets,
                           "run dispatcher processes on sockets instead of the model");
  compareCommand->add_option("--dispatcher", options.dispatcher, "dispatcher program of A with --sockets")
      ->check(CLI::ExistingFile);
  compareCommand
      ->add_option("--other-dispatcher", options.otherDispatcher, "dispatcher program of B with --sockets")
      ->check(CLI::ExistingFile);
  CLI::Option* comparedRuns =
      compareCommand->add_option("--seeds", options.seeds, "number of paired runs (default: 8)")
          ->check(CLI::Range(1, 1000));
  auto* auditCommand = app.add_subcommand("audit", "audits the recorded events in a report's folder again");
  auditCommand->add_option("folder", options.files, "folder that was written by run or model with --out")
      ->required()
      ->expected(1)
      ->check(CLI::ExistingDirectory);
  auto* worldCommand =
      app.add_subcommand("world", "runs the emulated endpoints and the platform alone, until Ctrl-C");
  addCommonOptions(worldCommand, 1, 1);
  auto* loadCommand =
      app.add_subcommand("load", "runs the clients alone, against dispatchers that already run");
  addCommonOptions(loadCommand, 1, 1);
  loadCommand
      ->add_option("--to", options.addresses, "addresses of the dispatchers, for instance 127.0.0.1:6379")
      ->required();
  auto* checkCommand = app.add_subcommand("check", "reads experiment files and reports their errors");
  checkCommand->add_option("experiment", options.files, "experiment files")->required();
  AdmissionScenario scenario;
  auto* gatesCommand =
      app.add_subcommand("gates", "compares admission strategies of a dispatcher that is itself overloaded");
  gatesCommand->add_option("--per-s", scenario.perSecond, "messages per second before the surge")
      ->capture_default_str();
  gatesCommand
      ->add_option("--surge", scenario.surgeFactor, "factor of the message rate during the surge of 10 s")
      ->capture_default_str();
  gatesCommand->add_option("--stall-ms", scenario.stallDuration,
                           "duration for which the event loop stalls, once, at 2 s; 0 for no stall");
  gatesCommand->add_option("--retries", scenario.retries, "retries of a client for each message")
      ->capture_default_str();
  gatesCommand->add_option("--seed", scenario.seed, "seed of the random arrivals and retry delays")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    if (*runCommand) return run(options);
    if (*modelCommand) return model(options);
    if (*compareCommand) {
      if (comparedRuns->count() == 0) options.seeds = kComparedRuns;
      return compare(options);
    }
    if (*auditCommand) return auditFolder(options);
    if (*loadCommand) return runLoadOnly(options);
    if (*gatesCommand) {
      if (scenario.stallDuration > 0) scenario.stallAt = 2000;
      std::vector<AdmissionResult> rows;
      for (const std::string& name : admissionStrategyNames())
        rows.push_back(runAdmissionScenario(scenario, name));
      std::cout << tableOf(rows);
    }
    if (*worldCommand) {
      Experiment experiment = readExperimentFile(options.files.front(), options.changes);
      std::string folder = options.out.empty() ? "lab-world" : options.out;
      fs::create_directories(folder);
      serveEnvironment(experiment, seedOf(options, experiment), folder);
    }
    if (*checkCommand) {
      for (const std::string& file : options.files) readExperimentFile(file);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
