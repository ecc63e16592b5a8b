#include "lab/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/bytes.h"
#include "lab/random_draws.h"

namespace stonewing::lab {
namespace {

using json = nlohmann::ordered_json;
namespace fs = std::filesystem;

constexpr double kSecond = 1000;

json jsonOf(const Quantiles& q) {
  return {{"count", q.count}, {"p50_ms", q.p50},   {"p95_ms", q.p95},
          {"p99_ms", q.p99},  {"p999_ms", q.p999}, {"most_ms", q.max}};
}

json jsonOf(const RunSummary& t) {
  return {{"gain_share", t.deliveredWeightShare()},
          {"due", t.due},
          {"completed", t.completed},
          {"in_promised_time", t.withinObjective},
          {"busy", t.rejected},
          {"unanswered", t.unanswered},
          {"shed", t.shed},
          {"given_up", t.failed},
          {"launches", t.attempts},
          {"second_launches", t.repeatedAttempts},
          {"probes", t.healthChecks},
          {"delivery", jsonOf(t.deliveryLatency)},
          {"answers", jsonOf(t.responseLatency)}};
}

std::ofstream openForWriting(const std::string& path) {
  std::ofstream out(path, std::ios::binary);
  if (!out) throw ConfigError("cannot write " + path);
  return out;
}

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '&') {
      out += "&amp;";
    } else {
      out.push_back(c);
    }
  }
  return out;
}

std::string fixed(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::vector<std::pair<double, double>> faultIntervals(const Experiment& experiment) {
  std::vector<std::pair<double, double>> intervals;
  for (const Fault& t : experiment.faults) intervals.emplace_back(t.from / kSecond, t.until / kSecond);
  return intervals;
}

// Endpoints of a room.
std::vector<int> endpointsIn(const Experiment& experiment, std::size_t zone) {
  std::vector<int> endpoints;
  for (int e = 0; e < experiment.endpointCount(); ++e) {
    if (experiment.zoneOf(e) == static_cast<int>(zone)) endpoints.push_back(e);
  }
  return endpoints;
}

// What a room takes without falling, attempts and probes a second: nothing while a trouble has it, and along
// its warming after one that was longer than a blip.
double sustainableRate(const Experiment& experiment, const std::string& zone, std::size_t endpoints,
                       Millis at) {
  double capacityShare = 1;
  for (const Fault& t : experiment.faults) {
    bool takesZoneDown = t.kind == FaultKind::blackhole || t.kind == FaultKind::refuseConnections ||
                         t.kind == FaultKind::noResponse || t.kind == FaultKind::rejectAll;
    if (!takesZoneDown || t.zone != zone || at < t.from) continue;
    if (at < t.until) return 0;
    if (t.until - t.from <= experiment.environment.overloadWindow) continue;
    double progress = std::min(1.0, (at - t.until) / experiment.environment.slowStartDuration);
    capacityShare =
        std::min(capacityShare, experiment.environment.slowStartInitialShare +
                                    (1 - experiment.environment.slowStartInitialShare) * progress);
  }
  double fullRate = experiment.environment.concurrency * static_cast<double>(endpoints) /
                    meanOf(experiment.environment.serviceTime) * kSecond;
  return experiment.environment.overloadThreshold * fullRate * capacityShare;
}

// The rate into rooms that return, against what each can bear at that moment.
Figure zoneReturnFigure(const RunReport& r, double step) {
  Figure figure{"Into rooms that return, and what they bear",
                "seconds",
                "a second",
                false,
                false,
                false,
                {},
                faultIntervals(r.experiment)};
  for (std::size_t zone = 0; zone < r.experiment.environment.zones.size(); ++zone) {
    const std::string& name = r.experiment.environment.zones[zone];
    bool affected = std::any_of(r.experiment.faults.begin(), r.experiment.faults.end(),
                                [&](const Fault& t) { return t.zone == name; });
    if (!affected) continue;
    std::vector<int> endpoints = endpointsIn(r.experiment, zone);
    Line sent{name + ", launched", {}};
    Line sustainable{name + ", bears", {}};
    auto counts = arrivalsPerSlice(r.experiment, r.trace, endpoints, step * kSecond);
    for (std::size_t n = 0; n < counts.size(); ++n) {
      double at = static_cast<double>(n) * step;
      sent.points.emplace_back(at, static_cast<double>(counts[n]) / step);
      sustainable.points.emplace_back(
          at, sustainableRate(r.experiment, name, endpoints.size(), (at + step / 2) * kSecond));
    }
    figure.lines.push_back(std::move(sent));
    figure.lines.push_back(std::move(sustainable));
  }
  return figure;
}

// Attempts that arrive in a room from dispatchers of other rooms.
Figure spilloverFigure(const RunReport& r, double step) {
  Figure figure{"Launches from other rooms, by where they arrive",
                "seconds",
                "a second",
                false,
                false,
                false,
                {},
                faultIntervals(r.experiment)};
  std::size_t zones = r.experiment.environment.zones.size();
  std::vector<std::vector<double>> counts(zones);
  for (const TraceEvent& e : r.trace.events) {
    if (e.type != TraceEventType::arrived) continue;
    auto zone = static_cast<std::size_t>(r.experiment.zoneOf(static_cast<int>(e.endpoint)));
    if (e.dispatcher % zones == zone) continue;
    auto slice = static_cast<std::size_t>(e.at / (step * kSecond));
    if (counts[zone].size() <= slice) counts[zone].resize(slice + 1);
    counts[zone][slice] += 1 / step;
  }
  for (std::size_t zone = 0; zone < zones; ++zone) {
    Line line{r.experiment.environment.zones[zone], {}};
    for (std::size_t n = 0; n < counts[zone].size(); ++n) {
      line.points.emplace_back(static_cast<double>(n) * step, counts[zone][n]);
    }
    figure.lines.push_back(std::move(line));
  }
  return figure;
}

std::vector<Figure> figuresOf(const RunReport& r) {
  std::vector<Figure> figures;
  const auto& series = r.summary.series;
  double step = series.size() > 1 ? (series[1].startsAt - series[0].startsAt) / kSecond : 1;
  auto lineOf = [&](const char* title, auto value) {
    Line line{title, {}};
    for (const auto& s : series) line.points.emplace_back(s.startsAt / kSecond, value(s));
    return line;
  };
  Figure rates{"Callbacks a second",        "seconds", "a second", false, false, false, {},
               faultIntervals(r.experiment)};
  rates.lines.push_back(lineOf("due", [&](const auto& s) { return static_cast<double>(s.due) / step; }));
  rates.lines.push_back(
      lineOf("of those completed", [&](const auto& s) { return static_cast<double>(s.completed) / step; }));
  rates.lines.push_back(
      lineOf("refused", [&](const auto& s) { return static_cast<double>(s.rejected) / step; }));
  rates.lines.push_back(
      lineOf("shed or given up", [&](const auto& s) { return static_cast<double>(s.ended) / step; }));
  rates.lines.push_back(
      lineOf("launches", [&](const auto& s) { return static_cast<double>(s.attempts) / step; }));
  figures.push_back(std::move(rates));
  Figure latencies{"From due to delivered, by when it was due",
                   "seconds",
                   "ms",
                   true,
                   false,
                   false,
                   {},
                   faultIntervals(r.experiment)};
  latencies.lines.push_back(lineOf("p50", [](const auto& s) { return s.p50; }));
  latencies.lines.push_back(lineOf("p99", [](const auto& s) { return s.p99; }));
  figures.push_back(std::move(latencies));
  if (r.experiment.environment.zones.size() > 1) {
    Figure zones{"Launches that arrive, by room", "seconds", "a second", false, false, false, {},
                 faultIntervals(r.experiment)};
    for (std::size_t zone = 0; zone < r.experiment.environment.zones.size(); ++zone) {
      std::vector<int> endpoints = endpointsIn(r.experiment, zone);
      Line line{r.experiment.environment.zones[zone], {}};
      auto counts = arrivalsPerSlice(r.experiment, r.trace, endpoints, step * kSecond);
      for (std::size_t n = 0; n < counts.size(); ++n) {
        line.points.emplace_back(static_cast<double>(n) * step, static_cast<double>(counts[n]) / step);
      }
      zones.lines.push_back(std::move(line));
    }
    figures.push_back(std::move(zones));
    if (r.experiment.fleet.zonePriorities != ZonePriorityShape::none)
      figures.push_back(spilloverFigure(r, step));
    if (r.experiment.environment.zonesSlowStart) figures.push_back(zoneReturnFigure(r, step));
  }
  if (r.run != nullptr && !r.run->usage.empty()) {
    Figure memory{"Memory of each dispatcher", "seconds", "MB resident", false, false, false, {},
                  faultIntervals(r.experiment)};
    Figure cpu{"Processor time of each dispatcher", "seconds", "share of a core", false, false, false, {},
               faultIntervals(r.experiment)};
    for (std::size_t d = 0; d < r.run->usage.front().dispatchers.size(); ++d) {
      Line resident{"dispatcher " + std::to_string(d), {}};
      Line busy = resident;
      for (std::size_t n = 1; n < r.run->usage.size(); ++n) {
        const UsageSample& s = r.run->usage[n];
        const UsageSample& before = r.run->usage[n - 1];
        resident.points.emplace_back(s.at / kSecond, s.dispatchers[d].residentMegabytes);
        double used = s.dispatchers[d].cpuSeconds - before.dispatchers[d].cpuSeconds;
        busy.points.emplace_back(s.at / kSecond,
                                 std::max(0.0, used) * kSecond / std::max(1.0, s.at - before.at));
      }
      memory.lines.push_back(std::move(resident));
      cpu.lines.push_back(std::move(busy));
    }
    figures.push_back(std::move(memory));
    figures.push_back(std::move(cpu));
  }
  return figures;
}

std::string quoted(const std::string& text) {
  std::string out(1, '"');
  for (char c : text) {
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c);
  }
  out.push_back('"');
  return out;
}

void writeHtml(const RunReport& r, const std::vector<std::string>& svgs, const std::string& omitted,
               std::ostream& out) {
  out << "<!doctype html><meta charset=utf-8><title>" << escaped(r.experiment.name) << "</title>\n"
      << "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 "
         "1em}table{border-collapse:collapse}"
      << "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid "
         "#ccc}td:first-child,th:first-child{text-align:"
      << "left}pre{background:#f4f4f4;padding:.7em;overflow:auto}.bad{color:#a00}</style>\n"
      << "<h1>" << escaped(r.experiment.name) << "</h1>\n<p>Seed " << r.seed << ", " << escaped(r.mode)
      << ".";
  if (r.run != nullptr && r.run->interrupted) {
    out << " <b class=bad>Interrupted after " << fixed(r.run->endedAt / kSecond, 1) << " s of "
        << fixed(r.experiment.end() / kSecond, 1) << " s.</b>";
  }
  out << "</p>\n<table><tr><th></th><th>gain kept</th><th>completed</th><th>in "
         "time</th><th>refused</th><th>shed</th>"
      << "<th>given up</th><th>launches each</th><th>p50 ms</th><th>p99 ms</th><th>rules broken</th></tr>\n";
  std::vector<SummaryRow> rows{{r.mode, r.summary, r.violations.size()}};
  rows.insert(rows.end(), r.comparisons.begin(), r.comparisons.end());
  for (const SummaryRow& row : rows) {
    const RunSummary& t = row.summary;
    double due = std::max<double>(1, static_cast<double>(t.due));
    out << "<tr><td>" << escaped(row.name) << "</td><td>" << fixed(t.deliveredWeightShare(), 4) << "</td><td>"
        << fixed(static_cast<double>(t.completed) / due, 4) << "</td><td>"
        << fixed(static_cast<double>(t.withinObjective) / due, 4) << "</td><td>" << t.rejected << "</td><td>"
        << t.shed << "</td><td>" << t.failed << "</td><td>" << fixed(static_cast<double>(t.attempts) / due, 3)
        << "</td><td>" << fixed(t.deliveryLatency.p50, 1) << "</td><td>" << fixed(t.deliveryLatency.p99, 1)
        << "</td><td>" << row.violations << "</td></tr>\n";
  }
  out << "</table>\n<h2>Troubles</h2>\n<table><tr><th>kind</th><th>from s</th><th>until "
         "s</th><th>where</th><th>factor"
      << "</th></tr>\n";
  for (const Fault& t : r.experiment.faults) {
    std::string where;
    auto add = [&](const char* kind, const std::string& which) {
      if (!where.empty()) where.append(", ");
      where.append(kind).append(which);
    };
    if (!t.zone.empty()) add("room ", t.zone);
    for (int d : t.destinations) add("destination ", std::to_string(d));
    for (int e : t.endpoints) add("endpoint ", std::to_string(e));
    for (int d : t.dispatchers) add("dispatcher ", std::to_string(d));
    out << "<tr><td>" << nameOf(t.kind) << "</td><td>" << fixed(t.from / kSecond, 1) << "</td><td>"
        << fixed(t.until / kSecond, 1) << "</td><td>" << escaped(where.empty() ? "all" : where) << "</td><td>"
        << fixed(t.factor, 2) << "</td></tr>\n";
  }
  out << "</table>\n<h2>Rules</h2>\n";
  if (r.violations.empty()) out << "<p>None broken.</p>\n";
  constexpr std::size_t kShown = 20;
  for (std::size_t n = 0; n < std::min(kShown, r.violations.size()); ++n) {
    out << "<pre class=bad>" << escaped(describe(r.violations[n], r.trace)) << "</pre>\n";
  }
  if (r.violations.size() > kShown) out << "<p>and " << r.violations.size() - kShown << " more.</p>\n";
  if (r.run != nullptr) {
    for (const std::string& crash : r.run->crashes) out << "<p class=bad>" << escaped(crash) << "</p>\n";
    out << "<p>The load sent nothing later than " << fixed(r.run->maxLag, 1) << " ms after it was due.</p>\n";
  }
  out << "<h2>In time</h2>\n";
  for (const std::string& svg : svgs) out << "<p><img src=\"" << svg << "\" alt=\"" << svg << "\"></p>\n";
  if (!omitted.empty()) out << "<p>" << escaped(omitted) << "</p>\n";
}

}  // namespace

bool draw(const Figure& figure, const std::string& svgPath) {
  std::FILE* to = ::popen("gnuplot >/dev/null 2>&1", "w");
  if (to == nullptr) return false;
  std::fprintf(to,
               "set terminal svg size 900,360 dynamic font 'sans,12' background '#ffffff'\nset output %s\n",
               quoted(svgPath).c_str());
  std::fprintf(to, "set title %s\nset xlabel %s\nset ylabel %s\nset key outside right\nset grid\n",
               quoted(figure.title).c_str(), quoted(figure.x).c_str(), quoted(figure.y).c_str());
  if (figure.logY) std::fprintf(to, "set logscale y\n");
  if (!figure.logY && !figure.zeroLine) std::fprintf(to, "set yrange [0:*]\n");
  if (figure.zeroLine) std::fprintf(to, "set xzeroaxis lw 2\n");
  int number = 1;
  for (auto [from, until] : figure.shaded) {
    std::fprintf(
        to,
        "set object %d rectangle from %g, graph 0 to %g, graph 1 behind fc rgb '#f3dcd6' fs solid noborder\n",
        number++, from, until);
  }
  for (std::size_t n = 0; n < figure.lines.size(); ++n) {
    std::fprintf(to, "$d%zu << E\n", n);
    for (auto [x, y] : figure.lines[n].points) {
      if (!figure.logY || y > 0) std::fprintf(to, "%.6g %.6g\n", x, y);
    }
    std::fprintf(to, "E\n");
  }
  for (std::size_t n = 0; n < figure.lines.size(); ++n) {
    std::fprintf(to, "%s $d%zu using 1:2 with %s lw 2 title %s", n == 0 ? "plot" : ",", n,
                 figure.dots ? "points pt 7" : "lines", quoted(figure.lines[n].title).c_str());
  }
  std::fprintf(to, "\n");
  return ::pclose(to) == 0 && fs::exists(svgPath);
}

std::string resultText(const RunReport& r) {
  json result{{"experiment", r.experiment.name}, {"seed", r.seed}, {"how", r.mode}};
  result["result"] = jsonOf(r.summary);
  result["broken"] = json::array();
  for (const RuleViolation& b : r.violations) {
    result["broken"].push_back({{"rule", static_cast<int>(b.rule)},
                                {"name", nameOf(b.rule)},
                                {"callback", b.subject},
                                {"what", b.text}});
  }
  result["beside"] = json::object();
  for (const SummaryRow& row : r.comparisons) {
    result["beside"][row.name] = jsonOf(row.summary);
    result["beside"][row.name]["broken"] = row.violations;
  }
  if (r.run != nullptr) {
    result["interrupted"] = r.run->interrupted;
    result["crashes"] = r.run->crashes;
    result["load_lag_ms"] = r.run->maxLag;
    json usage = json::array();
    for (std::size_t d = 0; !r.run->usage.empty() && d < r.run->usage.front().dispatchers.size(); ++d) {
      double cpu = 0, last = 0, memory = 0, disk = 0;
      int descriptors = 0;
      for (const UsageSample& s : r.run->usage) {
        const ResourceUsage& u = s.dispatchers[d];
        cpu += u.cpuSeconds >= last ? u.cpuSeconds - last : u.cpuSeconds;  // a new process counts from nought
        last = u.cpuSeconds;
        memory = std::max(memory, u.residentMegabytes);
        descriptors = std::max(descriptors, u.descriptors);
        disk = std::max(disk, u.diskKilobytes);
      }
      usage.push_back({{"cpu_s", cpu},
                       {"most_memory_mb", memory},
                       {"most_descriptors", descriptors},
                       {"most_disk_kb", disk}});
    }
    result["dispatchers"] = usage;
  }
  return result.dump(2) + "\n";
}

std::string writeReport(const RunReport& r, const std::string& folder, const std::string& experimentText) {
  fs::create_directories(folder);
  openForWriting(folder + "/experiment.toml") << experimentText;
  openForWriting(folder + "/result.json") << resultText(r);
  saveTrace(r.trace, folder);
  std::ofstream series = openForWriting(folder + "/series.csv");
  series << "from_s,due,completed,refused,ended,launches,gain,gain_due,p50_ms,p99_ms\n";
  for (const RunSummary::Slice& s : r.summary.series) {
    series << s.startsAt / kSecond << ',' << s.due << ',' << s.completed << ',' << s.rejected << ','
           << s.ended << ',' << s.attempts << ',' << s.deliveredWeight << ',' << s.dueWeight << ',' << s.p50
           << ',' << s.p99 << '\n';
  }
  if (r.run != nullptr) {
    std::ofstream usage = openForWriting(folder + "/resources.csv");
    usage << "at_s,dispatcher,cpu_s,resident_mb,descriptors,disk_kb\n";
    for (const UsageSample& s : r.run->usage) {
      for (std::size_t d = 0; d < s.dispatchers.size(); ++d) {
        const ResourceUsage& u = s.dispatchers[d];
        usage << s.at / kSecond << ',' << d << ',' << u.cpuSeconds << ',' << u.residentMegabytes << ','
              << u.descriptors << ',' << u.diskKilobytes << '\n';
      }
    }
  }
  std::string omitted;
  std::vector<std::string> svgs;
  auto figures = figuresOf(r);
  for (std::size_t n = 0; n < figures.size(); ++n) {
    std::string name = "plot" + std::to_string(n + 1) + ".svg";
    if (draw(figures[n], folder + "/" + name)) {
      svgs.push_back(name);
    } else {
      omitted = "The plots are left out: gnuplot could not be run (Debian's package gnuplot-nox).";
    }
  }
  std::ofstream html = openForWriting(folder + "/report.html");
  writeHtml(r, svgs, omitted, html);
  if (!html.flush() || !series.flush()) throw ConfigError("no room to write the report in " + folder);
  return omitted;
}

std::string tableOf(const std::vector<SummaryRow>& rows) {
  std::string text =
      "                         gain kept  completed  in time  refused    shed  given up  launches  p50 ms  "
      "p99 ms  broken\n";
  for (const SummaryRow& row : rows) {
    const RunSummary& t = row.summary;
    double due = std::max<double>(1, static_cast<double>(t.due));
    char line[240];
    std::snprintf(
        line, sizeof line, "%-24s %9.4f  %9.4f  %7.4f  %7llu  %6llu  %8llu  %8.3f  %6.1f  %6.1f  %6zu\n",
        row.name.c_str(), t.deliveredWeightShare(), static_cast<double>(t.completed) / due,
        static_cast<double>(t.withinObjective) / due, static_cast<unsigned long long>(t.rejected),
        static_cast<unsigned long long>(t.shed), static_cast<unsigned long long>(t.failed),
        static_cast<double>(t.attempts) / due, t.deliveryLatency.p50, t.deliveryLatency.p99, row.violations);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
