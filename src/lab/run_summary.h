#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"

// Counts and latencies of a run, computed from its trace.
namespace stonewing::lab {

// When clients were notified that an accepted message was shed or failed, and of what. A share of a message's
// time is counted from its submission, and is 1 at its deadline. Messages that were delivered are left out.
struct NotificationSummary {
  std::uint64_t count{0};
  std::uint64_t inFirstQuarter{0};  // notified within the first quarter of the message's time
  std::uint64_t withRetryAfter{0};  // notified with a time to submit the message again
  double medianTimeShare{0};        // of the message's time, until the notification
};

// Quantiles of durations, in milliseconds; all 0 where there are none.
struct Quantiles {
  std::uint64_t count{0};
  Millis p50{0}, p95{0}, p99{0}, p999{0}, max{0};
};

struct RunSummary {
  std::uint64_t due{0};               // messages, each counted once however often it was submitted
  std::uint64_t resubmissions{0};     // submissions of a message after its first one
  std::uint64_t completed{0};         // delivered within the deadline
  std::uint64_t withinObjective{0};   // delivered within the latency objective
  std::uint64_t rejected{0};          // commands answered -BUSY
  std::uint64_t unanswered{0};        // commands without a response before the client's timeout
  std::uint64_t shed{0};              // notifications to the platform that a message was shed
  std::uint64_t failed{0};            // notifications to the platform that a message failed
  std::uint64_t attempts{0};          // that arrived at endpoints
  std::uint64_t repeatedAttempts{0};  // those after the first one of the same submission
  std::uint64_t healthChecks{0};      // that arrived at endpoints
  double deliveredWeight{0};          // priority weights of delivered messages, reduced past the objective
  double dueWeight{0};                // priority weights of all messages that were due
  Quantiles deliveryLatency;          // from when a message was due until the endpoint wrote its response
  Quantiles responseLatency;          // from a client's command until the dispatcher's response reached it
  NotificationSummary notifications;
  // A part of the run. due, completed, the weights and the quantiles of the delivery latency belong to the
  // messages that were due in it, the other counts to the events in it.
  struct Slice {
    Millis startsAt{};
    std::uint64_t due{0}, completed{0}, rejected{0}, ended{0}, attempts{0};  // ended: shed or failed
    double deliveredWeight{0}, dueWeight{0};
    Millis p50{0}, p99{0};
  };
  std::vector<Slice> series;

  double deliveredWeightShare() const { return dueWeight > 0 ? deliveredWeight / dueWeight : 0; }
};

// Slices are `slice` milliseconds long. `experiment` must be the one that produced the trace.
RunSummary summarize(const Experiment& experiment, const Trace& trace, Millis slice = 500);
// For each slice, the number of attempts that arrived at the given endpoints.
std::vector<std::uint64_t> arrivalsPerSlice(const Experiment& experiment, const Trace& trace,
                                            const std::vector<int>& endpoints, Millis slice);

}  // namespace stonewing::lab
