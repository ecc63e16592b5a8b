#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/dispatcher_process.h"
#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

struct Sampled {
  Millis at{};
  std::vector<ResourceUsage> dispatchers;
};

struct Played {
  Trace trace;
  std::vector<Sampled> usage;
  std::vector<std::string> crashes;
  Millis maxLag{0};  // of our own load, against when messages were due
  bool interrupted{false};
  Millis until{0};  // how far the day was played
};

struct RunChoices {
  std::string binary;  // the dispatcher
  std::string folder;  // of the run: a sub-folder for each dispatcher
  std::function<void(Millis at, std::size_t events)> progress;  // about once a second; may be empty
};

// One experiment on loopback: the world and the load in this process, the dispatchers as processes of their
// own. SIGINT and SIGTERM end it early, with what was seen so far; no process is left behind.
Played playSockets(const Experiment& experiment, std::uint64_t seed, const RunChoices& choices);

// The world alone, or the load alone, until interrupted or the plan's end.
void serveWorld(const Experiment& experiment, std::uint64_t seed, const std::string& folder);
Played driveLoad(const Experiment& experiment, std::uint64_t seed,
                 const std::vector<std::string>& dispatchers,
                 const std::function<void(Millis, std::size_t)>& progress);

}  // namespace stonewing::lab
