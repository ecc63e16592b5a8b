// The laboratory's command line.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "base/bytes.h"
#include "lab/admission_scenario.h"
#include "lab/compare.h"
#include "lab/lab_policy.h"
#include "lab/model.h"
#include "lab/report.h"

namespace {

using namespace stonewing::lab;
using stonewing::ConfigError;
using stonewing::Error;
namespace fs = std::filesystem;

constexpr int kRuleViolated = 2;

std::string textOf(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read " + path);
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
  int seeds{8};
  bool baselines{false};
  bool json{false};
  bool sockets{false};
};

std::string siblingProgram(const char* name) {
  std::error_code none;
  fs::path own = fs::read_symlink("/proc/self/exe", none);
  for (const fs::path& folder :
       {own.parent_path(), own.parent_path().parent_path().parent_path(), fs::path("build")}) {
    if (fs::exists(folder / name, none)) return (folder / name).string();
  }
  throw ConfigError(std::string("the program ") + name + " was not found; name it with --dispatcher");
}

std::uint64_t seedOf(const Options& c, const Experiment& experiment) {
  return c.seed >= 0 ? static_cast<std::uint64_t>(c.seed) : experiment.seed;
}

// On a terminal alone: a pipe gets the results and nothing else.
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
  return report.violations.empty() && !crashed ? 0 : kRuleViolated;
}

int model(const Options& c) {
  int code = 0;
  for (const std::string& file : c.files) {
    Experiment experiment = readExperimentFile(file, c.changes);
    std::uint64_t seed = seedOf(c, experiment);
    ModelCost cost;
    auto began = std::chrono::steady_clock::now();
    Trace trace = runModel(experiment, seed, c.policy, &cost);
    double spent = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    RunReport report{experiment,
                     seed,
                     "model, " + c.policy,
                     trace,
                     summarize(experiment, trace),
                     audit(experiment, trace),
                     {},
                     nullptr};
    if (c.baselines) {
      for (const std::string& name : policyNames()) {
        if (name != c.policy) report.comparisons.push_back(summarizeModel(experiment, seed, name));
      }
    }
    code = std::max(code, printReport(report, c, textOf(file)));
    if (!c.json) std::printf("%llu steps in %.2f s\n", static_cast<unsigned long long>(cost.steps), spent);
  }
  return code;
}

int run(const Options& c) {
  int code = 0;
  for (const std::string& file : c.files) {
    Experiment experiment = readExperimentFile(file, c.changes);
    std::uint64_t seed = seedOf(c, experiment);
    RunOptions options;
    options.binary = c.dispatcher.empty() ? siblingProgram("stonewing") : c.dispatcher;
    options.folder =
        (c.out.empty() ? fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))
                       : fs::path(c.out) / (c.files.size() > 1 ? experiment.name : ""))
            .string();
    options.progress = progressOf(experiment);
    RunResult result = runOnSockets(experiment, seed, options);
    RunReport report{experiment,
                     seed,
                     "sockets",
                     result.trace,
                     summarize(experiment, result.trace),
                     audit(experiment, result.trace),
                     {},
                     &result};
    report.comparisons.push_back(summarizeModel(experiment, seed, "ours"));
    if (c.baselines) {
      for (const std::string& name : policyNames()) {
        if (name != "ours") report.comparisons.push_back(summarizeModel(experiment, seed, name));
      }
    }
    code = std::max(code, printReport(report, c, textOf(file)));
    if (c.out.empty()) fs::remove_all(options.folder);
    if (result.interrupted) return 130;
  }
  return code;
}

int auditFolder(const Options& c) {
  Experiment experiment = readExperimentFile(c.files.front() + "/experiment.toml");
  Trace trace = loadTrace(c.files.front());
  auto violations = audit(experiment, trace);
  for (const RuleViolation& b : violations) std::cout << describe(b, trace);
  std::cout << (violations.empty() ? "no rule broken" : std::to_string(violations.size()) + " breaks") << ", "
            << trace.messages.size() << " callbacks, " << trace.events.size() << " events\n";
  return violations.empty() ? 0 : kRuleViolated;
}

struct ComparedFigures {
  double deliveredWeightShare{0};
  double p99{0};
  double attemptsPerMessage{0};
  double violations{0};
};

ComparedFigures figuresOf(const RunSummary& t, std::size_t violations) {
  return {t.deliveredWeightShare(), t.deliveryLatency.p99,
          static_cast<double>(t.attempts) / std::max<double>(1, static_cast<double>(t.due)),
          static_cast<double>(violations)};
}

// One day by another build of the laboratory.
ComparedFigures byOtherLab(const std::string& lab, const std::string& file, std::uint64_t seed,
                           const std::string& policy) {
  std::string command =
      "'" + lab + "' model '" + file + "' --json --seed " + std::to_string(seed) + " --policy " + policy;
  std::FILE* from = ::popen(command.c_str(), "r");
  if (from == nullptr) throw ConfigError("cannot run " + lab);
  std::string text;
  char chunk[4096];
  for (std::size_t n; (n = std::fread(chunk, 1, sizeof chunk, from)) > 0;) text.append(chunk, n);
  ::pclose(from);
  auto result = nlohmann::json::parse(text, nullptr, false);
  if (!result.is_object()) throw ConfigError(lab + " gave no result for " + file);
  const auto& r = result.at("result");
  return {r.at("gain_share"), r.at("delivery").at("p99_ms"),
          r.at("launches").get<double>() / std::max(1.0, r.at("due").get<double>()),
          static_cast<double>(result.at("broken").size())};
}

int compare(const Options& c) {
  const std::string& fileA = c.files.front();
  const std::string& fileB = c.files.back();
  Experiment experimentA = readExperimentFile(fileA, c.changes);
  std::vector<std::string> changesB = c.changes;
  changesB.insert(changesB.end(), c.otherChanges.begin(), c.otherChanges.end());
  Experiment experimentB = readExperimentFile(fileB, changesB);
  std::string policyB = c.otherPolicy.empty() ? c.policy : c.otherPolicy;
  std::vector<ComparedFigures> a, b;
  std::uint64_t first = seedOf(c, experimentA);
  auto measure = [&](const Experiment& experiment, const std::string& file, const std::string& policy,
                     const std::string& lab, const std::string& dispatcher, std::uint64_t seed) {
    if (c.sockets) {
      RunOptions options;
      options.binary = dispatcher.empty() ? siblingProgram("stonewing") : dispatcher;
      options.folder = (fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))).string();
      RunResult result = runOnSockets(experiment, seed, options);
      fs::remove_all(options.folder);
      if (result.interrupted) throw ConfigError("interrupted");
      return figuresOf(summarize(experiment, result.trace), audit(experiment, result.trace).size());
    }
    if (!lab.empty()) return byOtherLab(lab, file, seed, policy);
    Trace trace = runModel(experiment, seed, policy);
    return figuresOf(summarize(experiment, trace), audit(experiment, trace).size());
  };
  for (int n = 0; n < c.seeds; ++n) {  // interleaved, so that what the machine does strikes both
    a.push_back(
        measure(experimentA, fileA, c.policy, "", c.dispatcher, first + static_cast<std::uint64_t>(n)));
    b.push_back(measure(experimentB, fileB, policyB, c.otherLab, c.otherDispatcher,
                        first + static_cast<std::uint64_t>(n)));
  }
  auto column = [](const std::vector<ComparedFigures>& rows, double ComparedFigures::*field) {
    std::vector<double> all;
    for (const ComparedFigures& f : rows) all.push_back(f.*field);
    return all;
  };
  std::printf("%d paired days; B less A, with the interval of 95 in 100\n", c.seeds);
  struct Kind {
    const char* name;
    double ComparedFigures::*field;
    bool more;
  };
  std::string verdict;
  Figure figure{
      "B less A, gain kept, day by day", "day", "difference", false, true, true, {{"days", {}}}, {}};
  for (const Kind& k : {Kind{"gain kept", &ComparedFigures::deliveredWeightShare, true},
                        Kind{"p99 ms", &ComparedFigures::p99, false},
                        Kind{"launches each", &ComparedFigures::attemptsPerMessage, false},
                        Kind{"rules broken", &ComparedFigures::violations, false}}) {
    auto as = column(a, k.field);
    auto bs = column(b, k.field);
    Difference d = paired(as, bs);
    std::printf("%-14s %+10.4f  [%+.4f, %+.4f]  %s\n", k.name, d.mean, d.low, d.high, d.verdict(k.more));
    if (k.field == &ComparedFigures::deliveredWeightShare) {
      verdict = d.verdict(true);
      for (std::size_t n = 0; n < as.size(); ++n) figure.lines[0].points.emplace_back(n + 1, bs[n] - as[n]);
    }
  }
  std::printf("verdict: B is %s\n", verdict == "cannot tell" ? "not told apart from A" : verdict.c_str());
  if (!c.out.empty()) {
    fs::create_directories(c.out);
    if (draw(figure, c.out + "/compare.svg")) std::printf("plot: %s/compare.svg\n", c.out.c_str());
  }
  return 0;
}

int loadAlone(const Options& c) {
  Experiment experiment = readExperimentFile(c.files.front(), c.changes);
  RunResult result = generateLoad(experiment, seedOf(c, experiment), c.addresses, progressOf(experiment));
  RunSummary t = summarize(experiment, result.trace);
  std::uint64_t accepted = 0;
  for (const TraceEvent& e : result.trace.events) accepted += e.type == TraceEventType::accepted ? 1 : 0;
  std::printf(
      "%llu due, %llu taken, %llu refused, %llu unanswered in %.2f s; answers p50 %.2f p99 %.2f p99.9 %.2f "
      "ms; sent %.1f ms late at the worst\n",
      static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(accepted),
      static_cast<unsigned long long>(t.rejected), static_cast<unsigned long long>(t.unanswered),
      result.endedAt / 1000, t.responseLatency.p50, t.responseLatency.p99, t.responseLatency.p999,
      result.maxLag);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"stonewing_lab plays days of trouble against dispatchers and says what came of them"};
  app.require_subcommand(1);
  Options c;
  auto files = [&](CLI::App* sub, int least, int most) {
    sub->add_option("experiment", c.files, "experiment files (TOML; docs/lab.md)")
        ->required()
        ->expected(least, most)
        ->check(CLI::ExistingPath);
    sub->add_option("--seed", c.seed, "in place of the file's")
        ->check(CLI::Range(std::int64_t{0}, std::int64_t{1} << 52));
    sub->add_option("--set", c.changes, "table.key=value in place of the file's, as often as needed")
        ->allow_extra_args(false);
    sub->add_option("--out", c.out, "folder for the report");
  };
  auto* runs =
      app.add_subcommand("run", "on sockets: starts the world, the load and the dispatchers, and judges");
  files(runs, 1, 1000);
  runs->add_option("--dispatcher", c.dispatcher,
                   "the program under test (default: stonewing beside this one)")
      ->check(CLI::ExistingFile);
  runs->add_flag("--baselines", c.baselines, "plain policies in the model beside it");
  runs->add_flag("--json", c.json, "the result alone, as JSON");
  auto* models =
      app.add_subcommand("model", "in virtual time, in one process; the same seed gives the same bytes");
  files(models, 1, 1000);
  models->add_option("--policy", c.policy, "ours or a baseline")->check(CLI::IsMember(policyNames()));
  models->add_flag("--baselines", c.baselines, "the other policies beside it");
  models->add_flag("--json", c.json, "the result alone, as JSON");
  auto* compares = app.add_subcommand("compare", "two files, policies or builds over paired seeds");
  files(compares, 1, 2);
  compares->add_option("--policy", c.policy, "of A")->check(CLI::IsMember(policyNames()));
  compares->add_option("--other-policy", c.otherPolicy, "of B")->check(CLI::IsMember(policyNames()));
  compares->add_option("--other-lab", c.otherLab, "B in the model of another build of this program")
      ->check(CLI::ExistingFile);
  compares->add_option("--other-set", c.otherChanges, "table.key=value for B alone")->allow_extra_args(false);
  compares->add_flag("--sockets", c.sockets, "real dispatchers in place of the model");
  compares->add_option("--dispatcher", c.dispatcher, "A on sockets")->check(CLI::ExistingFile);
  compares->add_option("--other-dispatcher", c.otherDispatcher, "B on sockets")->check(CLI::ExistingFile);
  compares->add_option("--seeds", c.seeds, "how many days")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  auto* audits = app.add_subcommand("audit", "judges the recorded events of a report's folder anew");
  audits->add_option("folder", c.files, "a folder that run or model wrote")
      ->required()
      ->expected(1)
      ->check(CLI::ExistingDirectory);
  auto* worlds = app.add_subcommand("world", "the endpoints and the platform alone, until Ctrl-C");
  files(worlds, 1, 1);
  auto* loads = app.add_subcommand("load", "the clients alone, against dispatchers that run already");
  files(loads, 1, 1);
  loads->add_option("--to", c.addresses, "addresses of the dispatchers, such as 127.0.0.1:6379")->required();
  auto* checks = app.add_subcommand("check", "reads experiment files and says what is wrong with them");
  checks->add_option("experiment", c.files, "experiment files")->required();
  AdmissionScenario scenario;
  auto* gates =
      app.add_subcommand("gates", "ways to turn callbacks away while the dispatcher itself is behind");
  gates->add_option("--per-s", scenario.perSecond, "callbacks a second before the surge")
      ->capture_default_str();
  gates->add_option("--surge", scenario.surgeFactor, "times as many for 10 s")->capture_default_str();
  gates->add_option("--stall-ms", scenario.stallDuration, "the loop stands still for so long, at 2 s");
  gates->add_option("--retries", scenario.retries, "of a client")->capture_default_str();
  gates->add_option("--seed", scenario.seed, "another day")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    if (*runs) return run(c);
    if (*models) return model(c);
    if (*compares) return compare(c);
    if (*audits) return auditFolder(c);
    if (*loads) return loadAlone(c);
    if (*gates) {
      if (scenario.stallDuration > 0) scenario.stallAt = 2000;
      std::vector<AdmissionResult> rows;
      for (const std::string& name : admissionStrategyNames())
        rows.push_back(runAdmissionScenario(scenario, name));
      std::cout << tableOf(rows);
    }
    if (*worlds) {
      Experiment experiment = readExperimentFile(c.files.front(), c.changes);
      std::string folder = c.out.empty() ? "lab-world" : c.out;
      fs::create_directories(folder);
      serveEnvironment(experiment, seedOf(c, experiment), folder);
    }
    if (*checks) {
      for (const std::string& file : c.files) readExperimentFile(file);
    }
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << "\n";
    return 1;
  }
  return 0;
}
