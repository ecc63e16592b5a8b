#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/audit.h"
#include "lab/run.h"
#include "lab/run_summary.h"

namespace stonewing::lab {

// One row of a report's table: the same experiment and seed under one policy or build.
struct SummaryRow {
  std::string name;
  RunSummary summary;
  std::size_t violations{0};  // of the audit's rules
};

struct RunReport {
  const Experiment& experiment;
  std::uint64_t seed{};
  std::string mode;  // "sockets", or "model" with the name of the policy
  const Trace& trace;
  RunSummary summary;
  std::vector<RuleViolation> violations;
  std::vector<SummaryRow> comparisons;  // runs of the model and the baselines
  const RunResult* run{nullptr};        // of a run on sockets; null for one in the model
};

// Writes experiment.toml (experimentText as it is), result.json, series.csv, the trace, report.html with its
// plots and, for a run on sockets, resources.csv. Creates the folder if it is missing. Returns a sentence on
// the plots that were omitted and why; empty if none were. Throws ConfigError with the path that cannot be
// written.
std::string writeReport(const RunReport& report, const std::string& folder,
                        const std::string& experimentText);

// The content of result.json.
std::string resultText(const RunReport& report);
// A text table for a terminal: a head and one line for each row.
std::string tableOf(const std::vector<SummaryRow>& rows);

struct Line {
  std::string title;
  std::vector<std::pair<double, double>> points;
};
struct Figure {
  std::string title, x, y;
  bool logY{false};
  bool showZeroAxis{false};
  bool drawPoints{false};
  std::vector<Line> lines;
  std::vector<std::pair<double, double>> shaded;  // intervals of x, such as those of faults
};
// Draws the figure with gnuplot as an SVG file. Returns false if gnuplot cannot be run or writes no file.
bool draw(const Figure& figure, const std::string& svgPath);

}  // namespace stonewing::lab
