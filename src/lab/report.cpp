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
          {"p99_ms", q.p99},  {"p999_ms", q.p999}, {"most_ms", q.most}};
}

json jsonOf(const Tally& t) {
  return {{"gain_share", t.share()},
          {"due", t.due},
          {"completed", t.completed},
          {"in_promised_time", t.inTime},
          {"busy", t.refused},
          {"unanswered", t.unanswered},
          {"shed", t.shed},
          {"given_up", t.givenUp},
          {"launches", t.launches},
          {"second_launches", t.secondLaunches},
          {"probes", t.probes},
          {"delivery", jsonOf(t.delivery)},
          {"answers", jsonOf(t.answers)}};
}

std::ofstream opened(const std::string& path) {
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

std::vector<std::pair<double, double>> troubleSpans(const Experiment& experiment) {
  std::vector<std::pair<double, double>> spans;
  for (const Fault& t : experiment.faults) spans.emplace_back(t.from / kSecond, t.until / kSecond);
  return spans;
}

// Endpoints of a room.
std::vector<int> endpointsIn(const Experiment& experiment, std::size_t room) {
  std::vector<int> endpoints;
  for (int e = 0; e < experiment.endpointCount(); ++e) {
    if (experiment.zoneOf(e) == static_cast<int>(room)) endpoints.push_back(e);
  }
  return endpoints;
}

// What a room takes without falling, attempts and probes a second: nothing while a trouble has it, and along
// its warming after one that was longer than a blip.
double bearable(const Experiment& experiment, const std::string& room, std::size_t endpoints, Millis at) {
  double warm = 1;
  for (const Fault& t : experiment.faults) {
    bool dark = t.kind == FaultKind::blackhole || t.kind == FaultKind::refuseConnections ||
                t.kind == FaultKind::noResponse || t.kind == FaultKind::rejectAll;
    if (!dark || t.zone != room || at < t.from) continue;
    if (at < t.until) return 0;
    if (t.until - t.from <= experiment.environment.overloadWindow) continue;
    double along = std::min(1.0, (at - t.until) / experiment.environment.slowStartDuration);
    warm = std::min(warm, experiment.environment.slowStartInitialShare +
                              (1 - experiment.environment.slowStartInitialShare) * along);
  }
  double whole = experiment.environment.concurrency * static_cast<double>(endpoints) /
                 meanOf(experiment.environment.serviceTime) * kSecond;
  return experiment.environment.overloadThreshold * whole * warm;
}

// The rate into rooms that return, against what each can bear at that moment.
Figure returnsOf(const Report& r, double step) {
  Figure figure{"Into rooms that return, and what they bear",
                "seconds",
                "a second",
                false,
                false,
                false,
                {},
                troubleSpans(r.experiment)};
  for (std::size_t room = 0; room < r.experiment.environment.zones.size(); ++room) {
    const std::string& name = r.experiment.environment.zones[room];
    bool struck = std::any_of(r.experiment.faults.begin(), r.experiment.faults.end(),
                              [&](const Fault& t) { return t.zone == name; });
    if (!struck) continue;
    std::vector<int> endpoints = endpointsIn(r.experiment, room);
    Line sent{name + ", launched", {}};
    Line bears{name + ", bears", {}};
    auto counts = arrivalsPerSlice(r.experiment, r.trace, endpoints, step * kSecond);
    for (std::size_t n = 0; n < counts.size(); ++n) {
      double at = static_cast<double>(n) * step;
      sent.points.emplace_back(at, static_cast<double>(counts[n]) / step);
      bears.points.emplace_back(at,
                                bearable(r.experiment, name, endpoints.size(), (at + step / 2) * kSecond));
    }
    figure.lines.push_back(std::move(sent));
    figure.lines.push_back(std::move(bears));
  }
  return figure;
}

// Attempts that arrive in a room from dispatchers of other rooms.
Figure strangersOf(const Report& r, double step) {
  Figure figure{"Launches from other rooms, by where they arrive",
                "seconds",
                "a second",
                false,
                false,
                false,
                {},
                troubleSpans(r.experiment)};
  std::size_t rooms = r.experiment.environment.zones.size();
  std::vector<std::vector<double>> counts(rooms);
  for (const Event& e : r.trace.events) {
    if (e.what != What::arrived) continue;
    auto room = static_cast<std::size_t>(r.experiment.zoneOf(static_cast<int>(e.endpoint)));
    if (e.dispatcher % rooms == room) continue;
    auto slice = static_cast<std::size_t>(e.at / (step * kSecond));
    if (counts[room].size() <= slice) counts[room].resize(slice + 1);
    counts[room][slice] += 1 / step;
  }
  for (std::size_t room = 0; room < rooms; ++room) {
    Line line{r.experiment.environment.zones[room], {}};
    for (std::size_t n = 0; n < counts[room].size(); ++n) {
      line.points.emplace_back(static_cast<double>(n) * step, counts[room][n]);
    }
    figure.lines.push_back(std::move(line));
  }
  return figure;
}

std::vector<Figure> figuresOf(const Report& r) {
  std::vector<Figure> figures;
  const auto& series = r.tally.series;
  double step = series.size() > 1 ? (series[1].from - series[0].from) / kSecond : 1;
  auto lineOf = [&](const char* title, auto value) {
    Line line{title, {}};
    for (const auto& s : series) line.points.emplace_back(s.from / kSecond, value(s));
    return line;
  };
  Figure rates{"Callbacks a second",      "seconds", "a second", false, false, false, {},
               troubleSpans(r.experiment)};
  rates.lines.push_back(lineOf("due", [&](const auto& s) { return static_cast<double>(s.due) / step; }));
  rates.lines.push_back(
      lineOf("of those completed", [&](const auto& s) { return static_cast<double>(s.completed) / step; }));
  rates.lines.push_back(
      lineOf("refused", [&](const auto& s) { return static_cast<double>(s.refused) / step; }));
  rates.lines.push_back(
      lineOf("shed or given up", [&](const auto& s) { return static_cast<double>(s.ended) / step; }));
  rates.lines.push_back(
      lineOf("launches", [&](const auto& s) { return static_cast<double>(s.launches) / step; }));
  figures.push_back(std::move(rates));
  Figure spans{"From due to delivered, by when it was due",
               "seconds",
               "ms",
               true,
               false,
               false,
               {},
               troubleSpans(r.experiment)};
  spans.lines.push_back(lineOf("p50", [](const auto& s) { return s.p50; }));
  spans.lines.push_back(lineOf("p99", [](const auto& s) { return s.p99; }));
  figures.push_back(std::move(spans));
  if (r.experiment.environment.zones.size() > 1) {
    Figure rooms{"Launches that arrive, by room", "seconds", "a second", false, false, false, {},
                 troubleSpans(r.experiment)};
    for (std::size_t room = 0; room < r.experiment.environment.zones.size(); ++room) {
      std::vector<int> endpoints = endpointsIn(r.experiment, room);
      Line line{r.experiment.environment.zones[room], {}};
      auto counts = arrivalsPerSlice(r.experiment, r.trace, endpoints, step * kSecond);
      for (std::size_t n = 0; n < counts.size(); ++n) {
        line.points.emplace_back(static_cast<double>(n) * step, static_cast<double>(counts[n]) / step);
      }
      rooms.lines.push_back(std::move(line));
    }
    figures.push_back(std::move(rooms));
    if (r.experiment.fleet.zonePriorities != ZonePriorityShape::none) figures.push_back(strangersOf(r, step));
    if (r.experiment.environment.zonesReturnCold) figures.push_back(returnsOf(r, step));
  }
  if (r.played != nullptr && !r.played->usage.empty()) {
    Figure memory{"Memory of each dispatcher", "seconds", "MB resident", false, false, false, {},
                  troubleSpans(r.experiment)};
    Figure cpu{"Processor time of each dispatcher", "seconds", "share of a core", false, false, false, {},
               troubleSpans(r.experiment)};
    for (std::size_t d = 0; d < r.played->usage.front().dispatchers.size(); ++d) {
      Line resident{"dispatcher " + std::to_string(d), {}};
      Line busy = resident;
      for (std::size_t n = 1; n < r.played->usage.size(); ++n) {
        const Sampled& s = r.played->usage[n];
        const Sampled& before = r.played->usage[n - 1];
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

void writeHtml(const Report& r, const std::vector<std::string>& svgs, const std::string& left,
               std::ostream& out) {
  out << "<!doctype html><meta charset=utf-8><title>" << escaped(r.experiment.name) << "</title>\n"
      << "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 "
         "1em}table{border-collapse:collapse}"
      << "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid "
         "#ccc}td:first-child,th:first-child{text-align:"
      << "left}pre{background:#f4f4f4;padding:.7em;overflow:auto}.bad{color:#a00}</style>\n"
      << "<h1>" << escaped(r.experiment.name) << "</h1>\n<p>Seed " << r.seed << ", " << escaped(r.how) << ".";
  if (r.played != nullptr && r.played->interrupted) {
    out << " <b class=bad>Interrupted after " << fixed(r.played->until / kSecond, 1) << " s of "
        << fixed(r.experiment.end() / kSecond, 1) << " s.</b>";
  }
  out << "</p>\n<table><tr><th></th><th>gain kept</th><th>completed</th><th>in "
         "time</th><th>refused</th><th>shed</th>"
      << "<th>given up</th><th>launches each</th><th>p50 ms</th><th>p99 ms</th><th>rules broken</th></tr>\n";
  std::vector<Row> rows{{r.how, r.tally, r.breaks.size()}};
  rows.insert(rows.end(), r.beside.begin(), r.beside.end());
  for (const Row& row : rows) {
    const Tally& t = row.tally;
    double due = std::max<double>(1, static_cast<double>(t.due));
    out << "<tr><td>" << escaped(row.name) << "</td><td>" << fixed(t.share(), 4) << "</td><td>"
        << fixed(static_cast<double>(t.completed) / due, 4) << "</td><td>"
        << fixed(static_cast<double>(t.inTime) / due, 4) << "</td><td>" << t.refused << "</td><td>" << t.shed
        << "</td><td>" << t.givenUp << "</td><td>" << fixed(static_cast<double>(t.launches) / due, 3)
        << "</td><td>" << fixed(t.delivery.p50, 1) << "</td><td>" << fixed(t.delivery.p99, 1) << "</td><td>"
        << row.breaks << "</td></tr>\n";
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
  if (r.breaks.empty()) out << "<p>None broken.</p>\n";
  constexpr std::size_t kShown = 20;
  for (std::size_t n = 0; n < std::min(kShown, r.breaks.size()); ++n) {
    out << "<pre class=bad>" << escaped(told(r.breaks[n], r.trace)) << "</pre>\n";
  }
  if (r.breaks.size() > kShown) out << "<p>and " << r.breaks.size() - kShown << " more.</p>\n";
  if (r.played != nullptr) {
    for (const std::string& crash : r.played->crashes) out << "<p class=bad>" << escaped(crash) << "</p>\n";
    out << "<p>The load sent nothing later than " << fixed(r.played->maxLag, 1)
        << " ms after it was due.</p>\n";
  }
  out << "<h2>In time</h2>\n";
  for (const std::string& svg : svgs) out << "<p><img src=\"" << svg << "\" alt=\"" << svg << "\"></p>\n";
  if (!left.empty()) out << "<p>" << escaped(left) << "</p>\n";
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

std::string resultText(const Report& r) {
  json result{{"experiment", r.experiment.name}, {"seed", r.seed}, {"how", r.how}};
  result["result"] = jsonOf(r.tally);
  result["broken"] = json::array();
  for (const Break& b : r.breaks) {
    result["broken"].push_back({{"rule", static_cast<int>(b.rule)},
                                {"name", nameOf(b.rule)},
                                {"callback", b.callback},
                                {"what", b.text}});
  }
  result["beside"] = json::object();
  for (const Row& row : r.beside) {
    result["beside"][row.name] = jsonOf(row.tally);
    result["beside"][row.name]["broken"] = row.breaks;
  }
  if (r.played != nullptr) {
    result["interrupted"] = r.played->interrupted;
    result["crashes"] = r.played->crashes;
    result["load_lag_ms"] = r.played->maxLag;
    json usage = json::array();
    for (std::size_t d = 0; !r.played->usage.empty() && d < r.played->usage.front().dispatchers.size(); ++d) {
      double cpu = 0, last = 0, memory = 0, disk = 0;
      int descriptors = 0;
      for (const Sampled& s : r.played->usage) {
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

std::string writeReport(const Report& r, const std::string& folder, const std::string& experimentText) {
  fs::create_directories(folder);
  opened(folder + "/experiment.toml") << experimentText;
  opened(folder + "/result.json") << resultText(r);
  save(r.trace, folder);
  std::ofstream series = opened(folder + "/series.csv");
  series << "from_s,due,completed,refused,ended,launches,gain,gain_due,p50_ms,p99_ms\n";
  for (const Tally::Slice& s : r.tally.series) {
    series << s.from / kSecond << ',' << s.due << ',' << s.completed << ',' << s.refused << ',' << s.ended
           << ',' << s.launches << ',' << s.gain << ',' << s.gainDue << ',' << s.p50 << ',' << s.p99 << '\n';
  }
  if (r.played != nullptr) {
    std::ofstream usage = opened(folder + "/resources.csv");
    usage << "at_s,dispatcher,cpu_s,resident_mb,descriptors,disk_kb\n";
    for (const Sampled& s : r.played->usage) {
      for (std::size_t d = 0; d < s.dispatchers.size(); ++d) {
        const ResourceUsage& u = s.dispatchers[d];
        usage << s.at / kSecond << ',' << d << ',' << u.cpuSeconds << ',' << u.residentMegabytes << ','
              << u.descriptors << ',' << u.diskKilobytes << '\n';
      }
    }
  }
  std::string left;
  std::vector<std::string> svgs;
  auto figures = figuresOf(r);
  for (std::size_t n = 0; n < figures.size(); ++n) {
    std::string name = "plot" + std::to_string(n + 1) + ".svg";
    if (draw(figures[n], folder + "/" + name)) {
      svgs.push_back(name);
    } else {
      left = "The plots are left out: gnuplot could not be run (Debian's package gnuplot-nox).";
    }
  }
  std::ofstream html = opened(folder + "/report.html");
  writeHtml(r, svgs, left, html);
  if (!html.flush() || !series.flush()) throw ConfigError("no room to write the report in " + folder);
  return left;
}

std::string tableOf(const std::vector<Row>& rows) {
  std::string text =
      "                         gain kept  completed  in time  refused    shed  given up  launches  p50 ms  "
      "p99 ms  broken\n";
  for (const Row& row : rows) {
    const Tally& t = row.tally;
    double due = std::max<double>(1, static_cast<double>(t.due));
    char line[240];
    std::snprintf(line, sizeof line,
                  "%-24s %9.4f  %9.4f  %7.4f  %7llu  %6llu  %8llu  %8.3f  %6.1f  %6.1f  %6zu\n",
                  row.name.c_str(), t.share(), static_cast<double>(t.completed) / due,
                  static_cast<double>(t.inTime) / due, static_cast<unsigned long long>(t.refused),
                  static_cast<unsigned long long>(t.shed), static_cast<unsigned long long>(t.givenUp),
                  static_cast<double>(t.launches) / due, t.delivery.p50, t.delivery.p99, row.breaks);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
