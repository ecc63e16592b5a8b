#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/dispatcher_process.h"
#include "lab/experiment.h"
#include "lab/trace.h"

namespace stonewing::lab {

// Resource usage of all dispatchers at one time, in ms since the start of the run.
struct UsageSample {
  Millis at{};
  std::vector<ResourceUsage> dispatchers;
};

struct RunResult {
  Trace trace;
  std::vector<UsageSample> usage;
  std::vector<std::string> crashes;  // a sentence for each dispatcher that ended unexpectedly
  Millis maxLag{0};                  // the longest delay from the due time of a message to its first command
  bool interrupted{false};           // by SIGINT or SIGTERM
  Millis endedAt{0};                 // when the run ended, in ms since its start
};

struct RunOptions {
  std::string binary;  // path of the dispatcher's program
  std::string folder;  // gets a sub-folder for each dispatcher
  // Called about once a second with the time since the start and the events so far; may be empty.
  std::function<void(Millis at, std::size_t events)> progress;
};

// Runs one experiment on loopback: endpoints, platform and clients in this process, each dispatcher as a
// child process. SIGINT and SIGTERM end the run early, and the result then holds the events until that time.
// All dispatchers have ended when this returns. Throws std::runtime_error with the path of the log if a
// dispatcher does not start, and std::system_error if a system call fails.
RunResult runOnSockets(const Experiment& experiment, std::uint64_t seed, const RunOptions& options);

// Runs the endpoints and the platform alone until SIGINT or SIGTERM. Writes a configuration for each
// dispatcher below the folder, prints how to start it, and saves the trace in the folder at the end.
void serveEnvironment(const Experiment& experiment, std::uint64_t seed, const std::string& folder);
// Runs the clients alone against the dispatchers at the given addresses, until no message is due and none
// awaits a response, the experiment's end, SIGINT or SIGTERM.
RunResult generateLoad(const Experiment& experiment, std::uint64_t seed,
                       const std::vector<std::string>& dispatchers,
                       const std::function<void(Millis, std::size_t)>& progress);

}  // namespace stonewing::lab
