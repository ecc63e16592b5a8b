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

constexpr int kRuleBroken = 2;

std::string textOf(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct Choices {
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

std::string beside(const char* name) {
  std::error_code none;
  fs::path own = fs::read_symlink("/proc/self/exe", none);
  for (const fs::path& folder :
       {own.parent_path(), own.parent_path().parent_path().parent_path(), fs::path("build")}) {
    if (fs::exists(folder / name, none)) return (folder / name).string();
  }
  throw ConfigError(std::string("the program ") + name + " was not found; name it with --dispatcher");
}

std::uint64_t seedOf(const Choices& c, const Experiment& experiment) {
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

Row modelRow(const Experiment& experiment, std::uint64_t seed, const std::string& policy) {
  Trace trace = playModel(experiment, seed, policy);
  return {"model, " + policy, tally(experiment, trace), audit(experiment, trace).size()};
}

int tellAll(const Report& report, const Choices& c, const std::string& text) {
  std::vector<Row> rows{{report.how, report.tally, report.breaks.size()}};
  rows.insert(rows.end(), report.beside.begin(), report.beside.end());
  if (c.json) {
    std::cout << resultText(report);
  } else {
    std::cout << report.experiment.name << ", seed " << report.seed << "\n" << tableOf(rows);
    for (std::size_t n = 0; n < std::min<std::size_t>(3, report.breaks.size()); ++n) {
      std::cout << told(report.breaks[n], report.trace);
    }
  }
  if (!c.out.empty()) {
    std::string folder = c.files.size() > 1 ? c.out + "/" + report.experiment.name : c.out;
    std::string left = writeReport(report, folder, text);
    if (!c.json) std::cout << "report: " << folder << "/report.html\n" << (left.empty() ? "" : left + "\n");
  }
  bool crashed = report.played != nullptr && !report.played->crashes.empty();
  if (crashed && !c.json) {
    for (const std::string& crash : report.played->crashes) std::cout << "crash: " << crash << "\n";
  }
  return report.breaks.empty() && !crashed ? 0 : kRuleBroken;
}

int model(const Choices& c) {
  int code = 0;
  for (const std::string& file : c.files) {
    Experiment experiment = readExperimentFile(file, c.changes);
    std::uint64_t seed = seedOf(c, experiment);
    ModelCost cost;
    auto began = std::chrono::steady_clock::now();
    Trace trace = playModel(experiment, seed, c.policy, &cost);
    double spent = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    Report report{
        experiment, seed,   "model, " + c.policy, trace, tally(experiment, trace), audit(experiment, trace),
        {},         nullptr};
    if (c.baselines) {
      for (const std::string& name : policyNames()) {
        if (name != c.policy) report.beside.push_back(modelRow(experiment, seed, name));
      }
    }
    code = std::max(code, tellAll(report, c, textOf(file)));
    if (!c.json) std::printf("%llu steps in %.2f s\n", static_cast<unsigned long long>(cost.steps), spent);
  }
  return code;
}

int run(const Choices& c) {
  int code = 0;
  for (const std::string& file : c.files) {
    Experiment experiment = readExperimentFile(file, c.changes);
    std::uint64_t seed = seedOf(c, experiment);
    RunChoices choices;
    choices.binary = c.dispatcher.empty() ? beside("stonewing") : c.dispatcher;
    choices.folder =
        (c.out.empty() ? fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))
                       : fs::path(c.out) / (c.files.size() > 1 ? experiment.name : ""))
            .string();
    choices.progress = progressOf(experiment);
    Played played = playSockets(experiment, seed, choices);
    Report report{experiment,
                  seed,
                  "sockets",
                  played.trace,
                  tally(experiment, played.trace),
                  audit(experiment, played.trace),
                  {},
                  &played};
    report.beside.push_back(modelRow(experiment, seed, "ours"));
    if (c.baselines) {
      for (const std::string& name : policyNames()) {
        if (name != "ours") report.beside.push_back(modelRow(experiment, seed, name));
      }
    }
    code = std::max(code, tellAll(report, c, textOf(file)));
    if (c.out.empty()) fs::remove_all(choices.folder);
    if (played.interrupted) return 130;
  }
  return code;
}

int auditFolder(const Choices& c) {
  Experiment experiment = readExperimentFile(c.files.front() + "/experiment.toml");
  Trace trace = loadTrace(c.files.front());
  auto breaks = audit(experiment, trace);
  for (const Break& b : breaks) std::cout << told(b, trace);
  std::cout << (breaks.empty() ? "no rule broken" : std::to_string(breaks.size()) + " breaks") << ", "
            << trace.callbacks.size() << " callbacks, " << trace.events.size() << " events\n";
  return breaks.empty() ? 0 : kRuleBroken;
}

struct Figures {
  double gain{0};
  double p99{0};
  double launches{0};
  double broken{0};
};

Figures figuresOf(const Tally& t, std::size_t broken) {
  return {t.share(), t.delivery.p99,
          static_cast<double>(t.launches) / std::max<double>(1, static_cast<double>(t.due)),
          static_cast<double>(broken)};
}

// One day by another build of the laboratory.
Figures byOtherLab(const std::string& lab, const std::string& file, std::uint64_t seed,
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

int compare(const Choices& c) {
  const std::string& fileA = c.files.front();
  const std::string& fileB = c.files.back();
  Experiment experimentA = readExperimentFile(fileA, c.changes);
  std::vector<std::string> changesB = c.changes;
  changesB.insert(changesB.end(), c.otherChanges.begin(), c.otherChanges.end());
  Experiment experimentB = readExperimentFile(fileB, changesB);
  std::string policyB = c.otherPolicy.empty() ? c.policy : c.otherPolicy;
  std::vector<Figures> a, b;
  std::uint64_t first = seedOf(c, experimentA);
  auto day = [&](const Experiment& experiment, const std::string& file, const std::string& policy,
                 const std::string& lab, const std::string& dispatcher, std::uint64_t seed) {
    if (c.sockets) {
      RunChoices choices;
      choices.binary = dispatcher.empty() ? beside("stonewing") : dispatcher;
      choices.folder = (fs::temp_directory_path() / ("stonewing-lab-" + std::to_string(::getpid()))).string();
      Played played = playSockets(experiment, seed, choices);
      fs::remove_all(choices.folder);
      if (played.interrupted) throw ConfigError("interrupted");
      return figuresOf(tally(experiment, played.trace), audit(experiment, played.trace).size());
    }
    if (!lab.empty()) return byOtherLab(lab, file, seed, policy);
    Trace trace = playModel(experiment, seed, policy);
    return figuresOf(tally(experiment, trace), audit(experiment, trace).size());
  };
  for (int n = 0; n < c.seeds; ++n) {  // interleaved, so that what the machine does strikes both
    a.push_back(day(experimentA, fileA, c.policy, "", c.dispatcher, first + static_cast<std::uint64_t>(n)));
    b.push_back(day(experimentB, fileB, policyB, c.otherLab, c.otherDispatcher,
                    first + static_cast<std::uint64_t>(n)));
  }
  auto column = [](const std::vector<Figures>& rows, double Figures::*field) {
    std::vector<double> all;
    for (const Figures& f : rows) all.push_back(f.*field);
    return all;
  };
  std::printf("%d paired days; B less A, with the interval of 95 in 100\n", c.seeds);
  struct Kind {
    const char* name;
    double Figures::*field;
    bool more;
  };
  std::string verdict;
  Figure figure{
      "B less A, gain kept, day by day", "day", "difference", false, true, true, {{"days", {}}}, {}};
  for (const Kind& k :
       {Kind{"gain kept", &Figures::gain, true}, Kind{"p99 ms", &Figures::p99, false},
        Kind{"launches each", &Figures::launches, false}, Kind{"rules broken", &Figures::broken, false}}) {
    auto as = column(a, k.field);
    auto bs = column(b, k.field);
    Difference d = paired(as, bs);
    std::printf("%-14s %+10.4f  [%+.4f, %+.4f]  %s\n", k.name, d.mean, d.low, d.high, d.verdict(k.more));
    if (k.field == &Figures::gain) {
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

int loadAlone(const Choices& c) {
  Experiment experiment = readExperimentFile(c.files.front(), c.changes);
  Played played = driveLoad(experiment, seedOf(c, experiment), c.addresses, progressOf(experiment));
  Tally t = tally(experiment, played.trace);
  std::uint64_t taken = 0;
  for (const Event& e : played.trace.events) taken += e.what == What::taken ? 1 : 0;
  std::printf(
      "%llu due, %llu taken, %llu refused, %llu unanswered in %.2f s; answers p50 %.2f p99 %.2f p99.9 %.2f "
      "ms; sent %.1f ms late at the worst\n",
      static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(taken),
      static_cast<unsigned long long>(t.refused), static_cast<unsigned long long>(t.unanswered),
      played.until / 1000, t.answers.p50, t.answers.p99, t.answers.p999, played.maxLag);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"stonewing_lab plays days of trouble against dispatchers and says what came of them"};
  app.require_subcommand(1);
  Choices c;
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
  GatePlan gates;
  auto* gate =
      app.add_subcommand("gates", "ways to turn callbacks away while the dispatcher itself is behind");
  gate->add_option("--per-s", gates.perSecond, "callbacks a second before the surge")->capture_default_str();
  gate->add_option("--surge", gates.surge, "times as many for 10 s")->capture_default_str();
  gate->add_option("--stall-ms", gates.stallFor, "the loop stands still for so long, at 2 s");
  gate->add_option("--retries", gates.retries, "of a client")->capture_default_str();
  gate->add_option("--seed", gates.seed, "another day")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    if (*runs) return run(c);
    if (*models) return model(c);
    if (*compares) return compare(c);
    if (*audits) return auditFolder(c);
    if (*loads) return loadAlone(c);
    if (*gate) {
      if (gates.stallFor > 0) gates.stallAt = 2000;
      std::vector<GateResult> rows;
      for (const std::string& name : gateNames()) rows.push_back(playGate(gates, name));
      std::cout << tableOf(rows);
    }
    if (*worlds) {
      Experiment experiment = readExperimentFile(c.files.front(), c.changes);
      std::string folder = c.out.empty() ? "lab-world" : c.out;
      fs::create_directories(folder);
      serveWorld(experiment, seedOf(c, experiment), folder);
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
