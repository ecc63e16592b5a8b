#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"

// What a day came to, from its trace.
namespace stonewing::lab {

struct Quantiles {
  std::uint64_t count{0};
  Millis p50{0}, p95{0}, p99{0}, p999{0}, most{0};
};

struct Tally {
  std::uint64_t due{0};        // messages, each counted once however often it came
  std::uint64_t completed{0};  // delivered within the deadline
  std::uint64_t inTime{0};     // and within the latency objective
  std::uint64_t refused{0};    // commands answered -BUSY
  std::uint64_t unanswered{0};
  std::uint64_t shed{0};
  std::uint64_t givenUp{0};
  std::uint64_t launches{0};  // that arrived at endpoints
  std::uint64_t secondLaunches{0};
  std::uint64_t probes{0};
  double gain{0};      // of what was delivered, by when
  double gainDue{0};   // of all that was due, had it been in time
  Quantiles delivery;  // from when it was due until its answer was written
  Quantiles answers;   // from the command to its answer
  struct Slice {
    Millis from{};
    std::uint64_t due{0}, completed{0}, refused{0}, ended{0}, launches{0};
    double gain{0}, gainDue{0};
    Millis p50{0}, p99{0};
  };
  std::vector<Slice> series;

  double share() const { return gainDue > 0 ? gain / gainDue : 0; }
};

Tally tally(const Experiment& experiment, const Trace& trace, Millis slice = 500);
// Attempts that reached the endpoints of a room or destination, for each slice.
std::vector<std::uint64_t> arrivalsPerSlice(const Experiment& experiment, const Trace& trace,
                                            const std::vector<int>& endpoints, Millis slice);

}  // namespace stonewing::lab
