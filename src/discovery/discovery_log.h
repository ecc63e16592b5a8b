#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/ids.h"
#include "discovery/discovery_poll.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery/poll_end.h"
#include "discovery/unread_change.h"
#include "logging/rate_limit.h"
#include "policy/endpoint_state.h"

// The log events of discovery (docs/log.md lists them). `now` is the event loop's time.
namespace stonewing {

// What is logged of a poll that has ended.
struct PollSummary {
  std::uint64_t number{};  // of the poll, from 1
  PollEnd end{};
  PollRequest request;
  std::size_t bytes{};  // received
  Millis spent{};       // from the start of the poll
};

// Writes the log events of polls and of endpoint lists at a bounded rate, and counts how polls end.
class DiscoveryLog {
 public:
  DiscoveryLog();

  // `retryAfter`: until the next poll, in milliseconds. A poll whose list is in use, or
  // that was superseded, is logged at level debug.
  void pollEnded(const PollSummary& poll, Millis retryAfter, Millis now);
  // A change that is not read completely has begun to arrive; `bytes` of its response have.
  void changeUnread(std::uint64_t poll, std::size_t bytes, UnreadChange::Evidence evidence) const;
  // The process was held up for `stall`, and no poll was open at the end.
  void changePossible(Millis stall) const;
  // A list was applied, `sinceAnswer` after discovery had last answered a poll with one. Lists without
  // entries are not logged.
  void listApplied(const EndpointList& list, std::size_t endpointCount, Millis sinceAnswer, Millis now);
  // The list of this version changed an endpoint's state.
  void endpointStateChanged(const std::string& endpoint, EndpointState from, EndpointState to,
                            std::int64_t version, Millis now);
  // Logs how polls ended so far, if that has changed since it was last logged, at most every 10 s.
  void logCounters(Millis now);

 private:
  using Counters = std::array<std::uint64_t, kPollEndCount>;

  std::uint64_t count(PollEnd end) const { return counters_.at(static_cast<std::size_t>(end)); }

  Counters counters_{};
  Counters loggedCounters_{};
  Millis countersDueAt_{0};
  log::RateLimit pollLines_;
  log::RateLimit listLines_;
  log::RateLimit endpointLines_;
};

}  // namespace stonewing
