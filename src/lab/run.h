#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/dispatcher_process.h"
#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

struct UsageSample {
  Millis at{};
  std::vector<ResourceUsage> dispatchers;
};

struct RunResult {
  Trace trace;
  std::vector<UsageSample> usage;
  std::vector<std::string> crashes;
  Millis maxLag{0};  // of our own load, against when messages were due
  bool interrupted{false};
  Millis endedAt{0};  // how far the day was played
};

struct RunOptions {
  std::string binary;  // the dispatcher
  std::string folder;  // of the run: a sub-folder for each dispatcher
  std::function<void(Millis at, std::size_t events)> progress;  // about once a second; may be empty
};

// One experiment on loopback: the world and the load in this process, the dispatchers as processes of their
// own. SIGINT and SIGTERM end it early, with what was seen so far; no process is left behind.
RunResult runOnSockets(const Experiment& experiment, std::uint64_t seed, const RunOptions& options);

// The world alone, or the load alone, until interrupted or the plan's end.
void serveEnvironment(const Experiment& experiment, std::uint64_t seed, const std::string& folder);
RunResult generateLoad(const Experiment& experiment, std::uint64_t seed,
                       const std::vector<std::string>& dispatchers,
                       const std::function<void(Millis, std::size_t)>& progress);

}  // namespace stonewing::lab
