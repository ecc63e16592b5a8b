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

constexpr double kMillisPerSecond = 1000;

json jsonOf(const Quantiles& quantiles) {
  return {{"count", quantiles.count}, {"p50_ms", quantiles.p50},   {"p95_ms", quantiles.p95},
          {"p99_ms", quantiles.p99},  {"p999_ms", quantiles.p999}, {"most_ms", quantiles.max}};
}

json jsonOf(const NotificationSummary& notifications) {
  return {{"count", notifications.count},
          {"in_first_quarter", notifications.inFirstQuarter},
          {"with_retry_after", notifications.withRetryAfter},
          {"median_time_share", notifications.medianTimeShare}};
}

json jsonOf(const RunSummary& summary) {
  return {{"gain_share", summary.deliveredWeightShare()},
          {"due", summary.due},
          {"resubmissions", summary.resubmissions},
          {"completed", summary.completed},
          {"in_promised_time", summary.withinObjective},
          {"busy", summary.rejected},
          {"unanswered", summary.unanswered},
          {"shed", summary.shed},
          {"given_up", summary.failed},
          {"notifications", jsonOf(summary.notifications)},
          {"launches", summary.attempts},
          {"second_launches", summary.repeatedAttempts},
          {"probes", summary.healthChecks},
          {"delivery", jsonOf(summary.deliveryLatency)},
          {"answers", jsonOf(summary.responseLatency)}};
}

std::ofstream openForWriting(const std::string& path) {
  std::ofstream out(path, std::ios::binary);
  if (!out) throw ConfigError("cannot open for writing: " + path);
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
  for (const Fault& fault : experiment.faults)
    intervals.emplace_back(fault.from / kMillisPerSecond, fault.until / kMillisPerSecond);
  return intervals;
}

// Numbers of the endpoints in a zone.
std::vector<int> endpointsIn(const Experiment& experiment, std::size_t zone) {
  std::vector<int> endpoints;
  for (int e = 0; e < experiment.endpointCount(); ++e) {
    if (experiment.zoneOf(e) == static_cast<int>(zone)) endpoints.push_back(e);
  }
  return endpoints;
}

// Attempts and health checks a second that a zone can serve at a time (ms) without being overloaded: 0 during
// a fault that takes the zone down, and less than the full rate in the slow start after such a fault. A fault
// no longer than the overload window is followed by no slow start.
double sustainableRate(const Experiment& experiment, const std::string& zone, std::size_t endpoints,
                       Millis at) {
  double capacityShare = 1;
  for (const Fault& fault : experiment.faults) {
    bool takesZoneDown = fault.kind == FaultKind::blackhole || fault.kind == FaultKind::refuseConnections ||
                         fault.kind == FaultKind::noResponse || fault.kind == FaultKind::rejectAll;
    if (!takesZoneDown || fault.zone != zone || at < fault.from) continue;
    if (at < fault.until) return 0;
    if (fault.until - fault.from <= experiment.environment.overloadWindow) continue;
    double progress = std::min(1.0, (at - fault.until) / experiment.environment.slowStartDuration);
    capacityShare =
        std::min(capacityShare, experiment.environment.slowStartInitialShare +
                                    (1 - experiment.environment.slowStartInitialShare) * progress);
  }
  double fullRate = experiment.environment.concurrency * static_cast<double>(endpoints) /
                    meanOf(experiment.environment.serviceTime) * kMillisPerSecond;
  return experiment.environment.overloadThreshold * fullRate * capacityShare;
}

// The rate of arrivals in each zone that had a fault, with the rate that the zone can sustain at that time. A
// zone that returns and receives more than it can sustain is overloaded again.
Figure zoneReturnFigure(const RunReport& report, double sliceSeconds) {
  Figure figure{"Attempts into recovering zones and the rate they sustain",
                "seconds",
                "per second",
                false,
                false,
                false,
                {},
                faultIntervals(report.experiment)};
  for (std::size_t zone = 0; zone < report.experiment.environment.zones.size(); ++zone) {
    const std::string& name = report.experiment.environment.zones[zone];
    bool affected = std::any_of(report.experiment.faults.begin(), report.experiment.faults.end(),
                                [&](const Fault& fault) { return fault.zone == name; });
    if (!affected) continue;
    std::vector<int> endpoints = endpointsIn(report.experiment, zone);
    Line sent{name + ", attempts", {}};
    Line sustainable{name + ", sustainable", {}};
    auto counts =
        arrivalsPerSlice(report.experiment, report.trace, endpoints, sliceSeconds * kMillisPerSecond);
    for (std::size_t n = 0; n < counts.size(); ++n) {
      double at = static_cast<double>(n) * sliceSeconds;
      sent.points.emplace_back(at, static_cast<double>(counts[n]) / sliceSeconds);
      sustainable.points.emplace_back(at, sustainableRate(report.experiment, name, endpoints.size(),
                                                          (at + sliceSeconds / 2) * kMillisPerSecond));
    }
    figure.lines.push_back(std::move(sent));
    figure.lines.push_back(std::move(sustainable));
  }
  return figure;
}

// Attempts a second that arrive in each zone from dispatchers of other zones.
Figure spilloverFigure(const RunReport& report, double sliceSeconds) {
  Figure figure{"Attempts from other zones, by receiving zone",
                "seconds",
                "per second",
                false,
                false,
                false,
                {},
                faultIntervals(report.experiment)};
  std::size_t zones = report.experiment.environment.zones.size();
  std::vector<std::vector<double>> counts(zones);
  for (const TraceEvent& e : report.trace.events) {
    if (e.type != TraceEventType::arrived) continue;
    auto zone = static_cast<std::size_t>(report.experiment.zoneOf(static_cast<int>(e.endpoint)));
    if (e.dispatcher % zones == zone) continue;
    auto slice = static_cast<std::size_t>(e.at / (sliceSeconds * kMillisPerSecond));
    if (counts[zone].size() <= slice) counts[zone].resize(slice + 1);
    counts[zone][slice] += 1 / sliceSeconds;
  }
  for (std::size_t zone = 0; zone < zones; ++zone) {
    Line line{report.experiment.environment.zones[zone], {}};
    for (std::size_t n = 0; n < counts[zone].size(); ++n) {
      line.points.emplace_back(static_cast<double>(n) * sliceSeconds, counts[zone][n]);
    }
    figure.lines.push_back(std::move(line));
  }
  return figure;
}

std::vector<Figure> figuresOf(const RunReport& report) {
  std::vector<Figure> figures;
  const auto& series = report.summary.series;
  double sliceSeconds = series.size() > 1 ? (series[1].startsAt - series[0].startsAt) / kMillisPerSecond : 1;
  auto lineOf = [&](const char* title, auto value) {
    Line line{title, {}};
    for (const auto& s : series) line.points.emplace_back(s.startsAt / kMillisPerSecond, value(s));
    return line;
  };
  Figure rates{"Messages per second",
               "seconds",
               "per second",
               false,
               false,
               false,
               {},
               faultIntervals(report.experiment)};
  rates.lines.push_back(
      lineOf("due", [&](const auto& s) { return static_cast<double>(s.due) / sliceSeconds; }));
  rates.lines.push_back(lineOf(
      "of those, completed", [&](const auto& s) { return static_cast<double>(s.completed) / sliceSeconds; }));
  rates.lines.push_back(
      lineOf("refused", [&](const auto& s) { return static_cast<double>(s.rejected) / sliceSeconds; }));
  rates.lines.push_back(
      lineOf("shed or failed", [&](const auto& s) { return static_cast<double>(s.ended) / sliceSeconds; }));
  rates.lines.push_back(
      lineOf("launches", [&](const auto& s) { return static_cast<double>(s.attempts) / sliceSeconds; }));
  figures.push_back(std::move(rates));
  Figure latencies{"Delivery latency since the due time, by due time",
                   "seconds",
                   "ms",
                   true,
                   false,
                   false,
                   {},
                   faultIntervals(report.experiment)};
  latencies.lines.push_back(lineOf("p50", [](const auto& s) { return s.p50; }));
  latencies.lines.push_back(lineOf("p99", [](const auto& s) { return s.p99; }));
  figures.push_back(std::move(latencies));
  if (report.experiment.environment.zones.size() > 1) {
    Figure zones{"Attempts that arrive, by zone",  "seconds", "per second", false, false, false, {},
                 faultIntervals(report.experiment)};
    for (std::size_t zone = 0; zone < report.experiment.environment.zones.size(); ++zone) {
      std::vector<int> endpoints = endpointsIn(report.experiment, zone);
      Line line{report.experiment.environment.zones[zone], {}};
      auto counts =
          arrivalsPerSlice(report.experiment, report.trace, endpoints, sliceSeconds * kMillisPerSecond);
      for (std::size_t n = 0; n < counts.size(); ++n) {
        line.points.emplace_back(static_cast<double>(n) * sliceSeconds,
                                 static_cast<double>(counts[n]) / sliceSeconds);
      }
      zones.lines.push_back(std::move(line));
    }
    figures.push_back(std::move(zones));
    if (report.experiment.fleet.zonePriorities != ZonePriorityShape::none)
      figures.push_back(spilloverFigure(report, sliceSeconds));
    if (report.experiment.environment.zonesSlowStart)
      figures.push_back(zoneReturnFigure(report, sliceSeconds));
  }
  if (report.run != nullptr && !report.run->usage.empty()) {
    Figure memory{"Memory of each dispatcher",      "seconds", "MB resident", false, false, false, {},
                  faultIntervals(report.experiment)};
    Figure cpu{"CPU time of each dispatcher",    "seconds", "share of a core", false, false, false, {},
               faultIntervals(report.experiment)};
    for (std::size_t d = 0; d < report.run->usage.front().dispatchers.size(); ++d) {
      Line resident{"dispatcher " + std::to_string(d), {}};
      Line busy = resident;
      for (std::size_t n = 1; n < report.run->usage.size(); ++n) {
        const UsageSample& s = report.run->usage[n];
        const UsageSample& before = report.run->usage[n - 1];
        resident.points.emplace_back(s.at / kMillisPerSecond, s.dispatchers[d].residentMegabytes);
        double used = s.dispatchers[d].cpuSeconds - before.dispatchers[d].cpuSeconds;
        busy.points.emplace_back(s.at / kMillisPerSecond,
                                 std::max(0.0, used) * kMillisPerSecond / std::max(1.0, s.at - before.at));
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

void writeHtml(const RunReport& report, const std::vector<std::string>& svgs, const std::string& omitted,
               std::ostream& out) {
  out << "<!doctype html><meta charset=utf-8><title>" << escaped(report.experiment.name) << "</title>\n"
      << "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 "
         "1em}table{border-collapse:collapse}"
      << "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid "
         "#ccc}td:first-child,th:first-child{text-align:"
      << "left}pre{background:#f4f4f4;padding:.7em;overflow:auto}.bad{color:#a00}</style>\n"
      << "<h1>" << escaped(report.experiment.name) << "</h1>\n<p>Seed " << report.seed << ", "
      << escaped(report.mode) << ".";
  if (report.run != nullptr && report.run->interrupted) {
    out << " <b class=bad>Interrupted after " << fixed(report.run->endedAt / kMillisPerSecond, 1) << " s of "
        << fixed(report.experiment.end() / kMillisPerSecond, 1) << " s.</b>";
  }
  out << "</p>\n<table><tr><th></th><th>weight share</th><th>completed</th><th>in "
         "objective</th><th>rejected</th><th>shed</th>"
      << "<th>failed</th><th>notified at</th><th>attempts/msg</th><th>p50 ms</th><th>p99 "
         "ms</th><th>violations</th></tr>\n";
  std::vector<SummaryRow> rows{{report.mode, report.summary, report.violations.size()}};
  rows.insert(rows.end(), report.comparisons.begin(), report.comparisons.end());
  for (const SummaryRow& row : rows) {
    const RunSummary& summary = row.summary;
    double due = std::max<double>(1, static_cast<double>(summary.due));
    out << "<tr><td>" << escaped(row.name) << "</td><td>" << fixed(summary.deliveredWeightShare(), 4)
        << "</td><td>" << fixed(static_cast<double>(summary.completed) / due, 4) << "</td><td>"
        << fixed(static_cast<double>(summary.withinObjective) / due, 4) << "</td><td>" << summary.rejected
        << "</td><td>" << summary.shed << "</td><td>" << summary.failed << "</td><td>"
        << fixed(summary.notifications.medianTimeShare, 2) << "</td><td>"
        << fixed(static_cast<double>(summary.attempts) / due, 3) << "</td><td>"
        << fixed(summary.deliveryLatency.p50, 1) << "</td><td>" << fixed(summary.deliveryLatency.p99, 1)
        << "</td><td>" << row.violations << "</td></tr>\n";
  }
  out << "</table>\n<h2>Faults</h2>\n<table><tr><th>kind</th><th>from s</th><th>until "
         "s</th><th>where</th><th>factor"
      << "</th></tr>\n";
  for (const Fault& fault : report.experiment.faults) {
    std::string where;
    auto add = [&](const char* kind, const std::string& which) {
      if (!where.empty()) where.append(", ");
      where.append(kind).append(which);
    };
    if (!fault.zone.empty()) add("zone ", fault.zone);
    for (int d : fault.destinations) add("destination ", std::to_string(d));
    for (int e : fault.endpoints) add("endpoint ", std::to_string(e));
    for (int d : fault.dispatchers) add("dispatcher ", std::to_string(d));
    out << "<tr><td>" << nameOf(fault.kind) << "</td><td>" << fixed(fault.from / kMillisPerSecond, 1)
        << "</td><td>" << fixed(fault.until / kMillisPerSecond, 1) << "</td><td>"
        << escaped(where.empty() ? "all" : where) << "</td><td>" << fixed(fault.factor, 2) << "</td></tr>\n";
  }
  out << "</table>\n<h2>Audit</h2>\n";
  if (report.violations.empty()) out << "<p>No rule was violated.</p>\n";
  constexpr std::size_t kShown = 20;
  for (std::size_t n = 0; n < std::min(kShown, report.violations.size()); ++n) {
    out << "<pre class=bad>" << escaped(describe(report.violations[n], report.trace)) << "</pre>\n";
  }
  if (report.violations.size() > kShown) out << "<p>" << report.violations.size() - kShown << " more.</p>\n";
  if (report.run != nullptr) {
    for (const std::string& crash : report.run->crashes) out << "<p class=bad>" << escaped(crash) << "</p>\n";
    out << "<p>Largest send lag of the load: " << fixed(report.run->maxLag, 1) << " ms after due time.</p>\n";
  }
  out << "<h2>Over time</h2>\n";
  for (const std::string& svg : svgs) out << "<p><img src=\"" << svg << "\" alt=\"" << svg << "\"></p>\n";
  if (!omitted.empty()) out << "<p>" << escaped(omitted) << "</p>\n";
}

}  // namespace

bool draw(const Figure& figure, const std::string& svgPath) {
  std::FILE* gnuplot = ::popen("gnuplot >/dev/null 2>&1", "w");
  if (gnuplot == nullptr) return false;
  std::fprintf(gnuplot,
               "set terminal svg size 900,360 dynamic font 'sans,12' background '#ffffff'\nset output %s\n",
               quoted(svgPath).c_str());
  std::fprintf(gnuplot, "set title %s\nset xlabel %s\nset ylabel %s\nset key outside right\nset grid\n",
               quoted(figure.title).c_str(), quoted(figure.x).c_str(), quoted(figure.y).c_str());
  if (figure.logY) std::fprintf(gnuplot, "set logscale y\n");
  if (!figure.logY && !figure.showZeroAxis) std::fprintf(gnuplot, "set yrange [0:*]\n");
  if (figure.showZeroAxis) std::fprintf(gnuplot, "set xzeroaxis lw 2\n");
  int number = 1;
  for (auto [from, until] : figure.shaded) {
    std::fprintf(
        gnuplot,
        "set object %d rectangle from %g, graph 0 to %g, graph 1 behind fc rgb '#f3dcd6' fs solid noborder\n",
        number++, from, until);
  }
  for (std::size_t n = 0; n < figure.lines.size(); ++n) {
    std::fprintf(gnuplot, "$d%zu << E\n", n);
    for (auto [x, y] : figure.lines[n].points) {
      if (!figure.logY || y > 0) std::fprintf(gnuplot, "%.6g %.6g\n", x, y);
    }
    std::fprintf(gnuplot, "E\n");
  }
  for (std::size_t n = 0; n < figure.lines.size(); ++n) {
    std::fprintf(gnuplot, "%s $d%zu using 1:2 with %s lw 2 title %s", n == 0 ? "plot" : ",", n,
                 figure.drawPoints ? "points pt 7" : "lines", quoted(figure.lines[n].title).c_str());
  }
  std::fprintf(gnuplot, "\n");
  return ::pclose(gnuplot) == 0 && fs::exists(svgPath);
}

std::string resultText(const RunReport& report) {
  json result{{"experiment", report.experiment.name}, {"seed", report.seed}, {"how", report.mode}};
  result["result"] = jsonOf(report.summary);
  result["broken"] = json::array();
  for (const RuleViolation& violation : report.violations) {
    result["broken"].push_back({{"rule", static_cast<int>(violation.rule)},
                                {"name", nameOf(violation.rule)},
                                {"callback", violation.subject},
                                {"what", violation.text}});
  }
  result["beside"] = json::object();
  for (const SummaryRow& row : report.comparisons) {
    result["beside"][row.name] = jsonOf(row.summary);
    result["beside"][row.name]["broken"] = row.violations;
  }
  if (report.run != nullptr) {
    result["interrupted"] = report.run->interrupted;
    result["crashes"] = report.run->crashes;
    result["load_lag_ms"] = report.run->maxLag;
    json usage = json::array();
    for (std::size_t d = 0; !report.run->usage.empty() && d < report.run->usage.front().dispatchers.size();
         ++d) {
      double cpu = 0, last = 0, memory = 0, disk = 0;
      int descriptors = 0;
      for (const UsageSample& s : report.run->usage) {
        const ResourceUsage& u = s.dispatchers[d];
        // A restarted process counts its CPU time from 0 again.
        cpu += u.cpuSeconds >= last ? u.cpuSeconds - last : u.cpuSeconds;
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

std::string writeReport(const RunReport& report, const std::string& folder,
                        const std::string& experimentText) {
  fs::create_directories(folder);
  openForWriting(folder + "/experiment.toml") << experimentText;
  openForWriting(folder + "/result.json") << resultText(report);
  saveTrace(report.trace, folder);
  std::ofstream series = openForWriting(folder + "/series.csv");
  series << "from_s,due,completed,refused,ended,launches,gain,gain_due,p50_ms,p99_ms\n";
  for (const RunSummary::Slice& s : report.summary.series) {
    series << s.startsAt / kMillisPerSecond << ',' << s.due << ',' << s.completed << ',' << s.rejected << ','
           << s.ended << ',' << s.attempts << ',' << s.deliveredWeight << ',' << s.dueWeight << ',' << s.p50
           << ',' << s.p99 << '\n';
  }
  if (report.run != nullptr) {
    std::ofstream usage = openForWriting(folder + "/resources.csv");
    usage << "at_s,dispatcher,cpu_s,resident_mb,descriptors,disk_kb\n";
    for (const UsageSample& s : report.run->usage) {
      for (std::size_t d = 0; d < s.dispatchers.size(); ++d) {
        const ResourceUsage& u = s.dispatchers[d];
        usage << s.at / kMillisPerSecond << ',' << d << ',' << u.cpuSeconds << ',' << u.residentMegabytes
              << ',' << u.descriptors << ',' << u.diskKilobytes << '\n';
      }
    }
  }
  std::string omitted;
  std::vector<std::string> svgs;
  auto figures = figuresOf(report);
  for (std::size_t n = 0; n < figures.size(); ++n) {
    std::string name = "plot" + std::to_string(n + 1) + ".svg";
    if (draw(figures[n], folder + "/" + name)) {
      svgs.push_back(name);
    } else {
      omitted =
          "The plots are omitted because gnuplot could not draw them (it is in Debian's package "
          "gnuplot-nox).";
    }
  }
  std::ofstream html = openForWriting(folder + "/report.html");
  writeHtml(report, svgs, omitted, html);
  if (!html.flush() || !series.flush())
    throw ConfigError("cannot write report.html or series.csv completely in " + folder);
  return omitted;
}

std::string tableOf(const std::vector<SummaryRow>& rows) {
  std::string text =
      "                         weight share  completed  in objective  rejected    shed  failed  "
      "notified at  attempts/msg  "
      "p50 ms  p99 ms  violations\n";
  for (const SummaryRow& row : rows) {
    const RunSummary& summary = row.summary;
    double due = std::max<double>(1, static_cast<double>(summary.due));
    char line[240];
    std::snprintf(
        line, sizeof line,
        "%-24s %12.4f  %9.4f  %12.4f  %8llu  %6llu  %6llu  %10.2f  %12.3f  %6.1f  %6.1f  %10zu\n",
        row.name.c_str(), summary.deliveredWeightShare(), static_cast<double>(summary.completed) / due,
        static_cast<double>(summary.withinObjective) / due, static_cast<unsigned long long>(summary.rejected),
        static_cast<unsigned long long>(summary.shed), static_cast<unsigned long long>(summary.failed),
        summary.notifications.medianTimeShare, static_cast<double>(summary.attempts) / due,
        summary.deliveryLatency.p50, summary.deliveryLatency.p99, row.violations);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
