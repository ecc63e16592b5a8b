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
  Millis p50{0}, p95{0}, p99{0}, p999{0}, max{0};
};

struct RunSummary {
  std::uint64_t due{0};              // messages, each counted once however often it came
  std::uint64_t completed{0};        // delivered within the deadline
  std::uint64_t withinObjective{0};  // and within the latency objective
  std::uint64_t rejected{0};         // commands answered -BUSY
  std::uint64_t unanswered{0};
  std::uint64_t shed{0};
  std::uint64_t failed{0};
  std::uint64_t attempts{0};  // that arrived at endpoints
  std::uint64_t repeatedAttempts{0};
  std::uint64_t healthChecks{0};
  double deliveredWeight{0};  // of what was delivered, by when
  double dueWeight{0};        // of all that was due, had it been in time
  Quantiles deliveryLatency;  // from when it was due until its answer was written
  Quantiles responseLatency;  // from the command to its answer
  struct Slice {
    Millis startsAt{};
    std::uint64_t due{0}, completed{0}, rejected{0}, ended{0}, attempts{0};
    double deliveredWeight{0}, dueWeight{0};
    Millis p50{0}, p99{0};
  };
  std::vector<Slice> series;

  double deliveredWeightShare() const { return dueWeight > 0 ? deliveredWeight / dueWeight : 0; }
};

RunSummary summarize(const Experiment& experiment, const Trace& trace, Millis slice = 500);
// Attempts that reached the endpoints of a room or destination, for each slice.
std::vector<std::uint64_t> arrivalsPerSlice(const Experiment& experiment, const Trace& trace,
                                            const std::vector<int>& endpoints, Millis slice);

}  // namespace stonewing::lab
