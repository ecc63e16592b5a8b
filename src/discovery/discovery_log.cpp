#include "discovery/discovery_log.h"

#include "logging/log.h"

namespace stonewing {
namespace {

constexpr double kLinesPerSecond = 10;
constexpr double kLinesAtOnce = 100;
constexpr Millis kCountersIntervalMs = 10'000;

const char* nameOf(ListExtent extent) { return extent == ListExtent::full ? "full" : "changes"; }

const char* nameOf(EndpointState state) {
  switch (state) {
    case EndpointState::removed:
      return "removed";
    case EndpointState::ready:
      return "ready";
    case EndpointState::draining:
      return "draining";
  }
  return "unknown";  // unreachable: all enumerators are handled above
}

}  // namespace

DiscoveryLog::DiscoveryLog()
    : pollLines_(kLinesPerSecond, kLinesAtOnce),
      listLines_(kLinesPerSecond, kLinesAtOnce),
      endpointLines_(kLinesPerSecond, kLinesAtOnce) {}

void DiscoveryLog::pollEnded(const PollSummary& poll, Millis retryAfter, Millis now) {
  ++counters_.at(static_cast<std::size_t>(poll.end));
  const bool isRegular = poll.end == PollEnd::applied || poll.end == PollEnd::superseded;
  const auto level = isRegular ? log::Level::debug : log::Level::info;
  if (!log::isEnabled(level) || !pollLines_.allow(now)) return;
  log::event(level, "discovery.poll_ended",
             {{"poll", poll.number},
              {"end", stonewing::nameOf(poll.end)},
              {"requested", nameOf(poll.request.extent)},
              {"since", poll.request.since},
              {"bytes", poll.bytes},
              {"spent_ms", poll.spent},
              {"after_ms", retryAfter},
              {"suppressed", pollLines_.takeSuppressed()}});
}

void DiscoveryLog::changeUnread(std::uint64_t poll, std::size_t bytes,
                                UnreadChange::Evidence evidence) const {
  bool isCertain = evidence == UnreadChange::Evidence::certain;
  log::info("discovery.change_unread",
            {{"poll", poll}, {"bytes", bytes}, {"evidence", isCertain ? "certain" : "possible"}});
}

void DiscoveryLog::changePossible(Millis stall) const {
  log::info("discovery.change_unread", {{"stalled_ms", stall}, {"evidence", "possible"}});
}

void DiscoveryLog::listApplied(const EndpointList& list, std::size_t endpointCount, Millis sinceAnswer,
                               Millis now) {
  if (list.entries.empty() || !log::isEnabled(log::Level::info) || !listLines_.allow(now)) return;
  log::event(log::Level::info, "discovery.list_applied",
             {{"version", list.version},
              {"extent", nameOf(list.extent)},
              {"entries", list.entries.size()},
              {"endpoints", endpointCount},
              {"since_answer_ms", sinceAnswer},
              {"suppressed", listLines_.takeSuppressed()}});
}

void DiscoveryLog::endpointStateChanged(const std::string& endpoint, EndpointState from, EndpointState to,
                                        std::int64_t version, Millis now) {
  if (!log::isEnabled(log::Level::info) || !endpointLines_.allow(now)) return;
  log::event(log::Level::info, "endpoint.state_changed",
             {{"endpoint", endpoint},
              {"from", nameOf(from)},
              {"to", nameOf(to)},
              {"version", version},
              {"suppressed", endpointLines_.takeSuppressed()}});
}

void DiscoveryLog::logCounters(Millis now) {
  if (now < countersDueAt_ || counters_ == loggedCounters_) return;
  countersDueAt_ = now + kCountersIntervalMs;
  loggedCounters_ = counters_;
  log::info("discovery.counters", {{"applied", count(PollEnd::applied)},
                                   {"rejected", count(PollEnd::rejected)},
                                   {"outdated", count(PollEnd::outdated)},
                                   {"unreadable", count(PollEnd::unreadable)},
                                   {"no_descriptor", count(PollEnd::noDescriptor)},
                                   {"connect_failed", count(PollEnd::connectFailed)},
                                   {"connect_timed_out", count(PollEnd::connectTimedOut)},
                                   {"unanswered", count(PollEnd::unanswered)},
                                   {"incomplete", count(PollEnd::incomplete)},
                                   {"ended_by_discovery", count(PollEnd::endedByDiscovery)},
                                   {"malformed", count(PollEnd::malformed)},
                                   {"superseded", count(PollEnd::superseded)}});
}

}  // namespace stonewing
