#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/audit.h"
#include "lab/run.h"
#include "lab/run_summary.h"

namespace stonewing::lab {

// One line of a report: the same day by one policy or build.
struct SummaryRow {
  std::string name;
  RunSummary summary;
  std::size_t violations{0};
};

struct RunReport {
  const Experiment& experiment;
  std::uint64_t seed{};
  std::string mode;  // "sockets" or "model", and by what
  const Trace& trace;
  RunSummary summary;
  std::vector<RuleViolation> violations;
  std::vector<SummaryRow> comparisons;  // the model, the baselines
  const RunResult* run{nullptr};        // of a day on sockets
};

// Writes result.json, series.csv, the trace, resources.csv and report.html with its plots into a folder,
// which is made where it is missing. Returns what was left out and why, empty where nothing was.
std::string writeReport(const RunReport& report, const std::string& folder,
                        const std::string& experimentText);

// The figures alone, as JSON text.
std::string resultText(const RunReport& report);
// A table of rows for a terminal.
std::string tableOf(const std::vector<SummaryRow>& rows);

// Draws lines over x; false where gnuplot cannot be run.
struct Line {
  std::string title;
  std::vector<std::pair<double, double>> points;
};
struct Figure {
  std::string title, x, y;
  bool logY{false};
  bool zeroLine{false};
  bool dots{false};
  std::vector<Line> lines;
  std::vector<std::pair<double, double>> shaded;  // spans of x
};
bool draw(const Figure& figure, const std::string& svgPath);

}  // namespace stonewing::lab
