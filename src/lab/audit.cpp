#include "lab/audit.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "policy/endpoint_state.h"

namespace stonewing::lab {
namespace {

constexpr Millis kRestartGrace = 1500;      // after a restart, for outcomes that the outage delayed
constexpr Millis kRetryAfterGrace = 100;    // for attempts that were on their way when Retry-After arrived
constexpr Millis kNotificationDelay = 300;  // from the outcome of a message until the platform has it
constexpr Millis kDoubtDuration =
    2000;  // an altered response casts doubt on a response before it for so long
constexpr double kInformedShare = 2.0 / 3;  // of the requests of an overload, from dispatchers that knew

constexpr std::int16_t kOk = 200;
constexpr std::int16_t kTruncated = 3;
constexpr std::int16_t kTooManyRequests = 429;
constexpr std::int16_t kUnavailable = 503;

// Whether a response with this status proves that the attempt was not executed.
bool provesNotExecuted(std::int16_t status) { return status == kTooManyRequests || status == kUnavailable; }

class Audit {
 public:
  Audit(const Experiment& experiment, const Trace& trace) : experiment_(experiment), trace_(trace) {
    indexEvents();
    for (std::size_t n = 0; n < trace.events.size(); ++n) {
      const TraceEvent& e = trace.events[n];
      lastEventAt_ = std::max(lastEventAt_, e.at);
      if (e.type == TraceEventType::dispatcherUp || e.type == TraceEventType::dispatcherDown)
        upAndDownEvents_[e.dispatcher].push_back(n);
      if (e.type == TraceEventType::responseAltered)
        alteredResponses_[{e.dispatcher, e.endpoint}].push_back(e.at);
    }
  }

  std::vector<RuleViolation> run() {
    for (std::uint32_t message = 0; message < trace_.messages.size(); ++message) {
      checkOutcomes(message);
      checkEffects(message);
    }
    checkDraining();
    checkSlowStart();
    checkOrdering();
    checkRetryAfter();
    return std::move(violations_);
  }

 private:
  // Indices of a message's first events of these kinds.
  struct Outcomes {
    std::optional<std::size_t> accepted;
    std::optional<std::size_t> delivered;
    std::optional<std::size_t> notified;
  };

  // Sorts the events by message: those of message m are eventIndices_[rangeStarts_[m]] up to, but not
  // including, eventIndices_[rangeStarts_[m + 1]].
  void indexEvents() {
    rangeStarts_.assign(trace_.messages.size() + 1, 0);
    for (const TraceEvent& e : trace_.events) {
      if (isAboutMessage(e)) ++rangeStarts_[e.message + 1];
    }
    for (std::size_t n = 1; n < rangeStarts_.size(); ++n) rangeStarts_[n] += rangeStarts_[n - 1];
    eventIndices_.resize(rangeStarts_.back());
    std::vector<std::size_t> next(rangeStarts_.begin(), rangeStarts_.end() - 1);
    for (std::size_t n = 0; n < trace_.events.size(); ++n) {
      const TraceEvent& e = trace_.events[n];
      if (isAboutMessage(e)) eventIndices_[next[e.message]++] = n;
    }
  }
  bool isAboutMessage(const TraceEvent& e) const {
    switch (e.type) {
      case TraceEventType::healthChecked:
      case TraceEventType::connectionRefused:
      case TraceEventType::endpointStateNotified:
      case TraceEventType::dispatcherUp:
      case TraceEventType::dispatcherDown:
      case TraceEventType::destinationDown:
      case TraceEventType::destinationUp:
      case TraceEventType::destinationOverloaded:
      case TraceEventType::zoneOverloaded:
      case TraceEventType::responseAltered:
      case TraceEventType::faultStruck:
        return false;
      default:
        return e.message < trace_.messages.size();
    }
  }
  struct IndexRange {
    const std::size_t* from;
    const std::size_t* to;
    const std::size_t* begin() const { return from; }
    const std::size_t* end() const { return to; }
  };
  IndexRange eventsOf(std::uint32_t message) const {
    return {eventIndices_.data() + rangeStarts_[message], eventIndices_.data() + rangeStarts_[message + 1]};
  }
  const TraceEvent& event(std::size_t n) const { return trace_.events[n]; }
  const TrafficType& type(std::uint32_t message) const {
    return experiment_.types[trace_.messages[message].type].settings;
  }

  // Without `events`, all events of the message belong to the violation.
  void addViolation(Rule rule, std::uint32_t message, std::string text,
                    std::vector<std::size_t> events = {}) {
    if (events.empty()) {
      for (std::size_t n : eventsOf(message)) events.push_back(n);
    }
    violations_.push_back({rule, message, std::move(text), std::move(events)});
  }

  Outcomes outcomesOf(std::uint32_t message) const {
    Outcomes outcomes;
    for (std::size_t n : eventsOf(message)) {
      const TraceEvent& e = event(n);
      if (e.type == TraceEventType::accepted && !outcomes.accepted) outcomes.accepted = n;
      bool delivered = e.type == TraceEventType::responded && (e.status == kOk || e.status == kTruncated);
      if (delivered && !outcomes.delivered) outcomes.delivered = n;
      if (e.type == TraceEventType::notificationReceived && !outcomes.notified) outcomes.notified = n;
    }
    return outcomes;
  }

  // Whether the dispatcher was down, or had been restarted less than kRestartGrace ago, at some time between
  // `from` and `to`. Rules 1, 5 and 6 excuse what its outage delayed or reordered.
  bool wasInterrupted(std::uint16_t dispatcher, Millis from, Millis to) const {
    auto at = upAndDownEvents_.find(dispatcher);
    if (at == upAndDownEvents_.end()) return false;
    bool up = true;
    Millis since = -1e15;
    for (std::size_t n : at->second) {
      const TraceEvent& e = event(n);
      if (e.at > to) break;
      if (!up && e.at + kRestartGrace >= from) return true;
      up = e.type == TraceEventType::dispatcherUp;
      since = e.at;
    }
    return !up || (since > 0 && since + kRestartGrace >= from && since <= to && at->second.size() > 1);
  }

  // Whether a fault altered a response of the endpoint to the dispatcher between the two times.
  bool wasResponseAltered(std::uint16_t dispatcher, std::uint32_t endpoint, Millis from, Millis to) const {
    auto found = alteredResponses_.find({dispatcher, endpoint});
    if (found == alteredResponses_.end()) return false;
    auto first = std::lower_bound(found->second.begin(), found->second.end(), from);
    return first != found->second.end() && *first <= to;
  }

  // Whether the dispatcher may doubt that a response belongs to its request: a fault altered a response of
  // that endpoint shortly before the request or since. One altered response puts the connection out of step,
  // so that each later response counts for the request after its own. Another attempt of a message that may
  // be repeated is then allowed; it is answered as delivered once more. Rule 2 still holds for it.
  bool isResponseDoubtful(std::uint32_t message, const TraceEvent& response) const {
    if (type(message).idempotency == Idempotency::nonIdempotent) return false;
    Millis arrivedAt = response.at;
    for (std::size_t n : eventsOf(message)) {
      if (event(n).type == TraceEventType::arrived && event(n).request == response.request)
        arrivedAt = event(n).at;
    }
    Millis from = arrivedAt - kDoubtDuration;
    return wasResponseAltered(response.dispatcher, response.endpoint, from, response.at + kDoubtDuration);
  }

  // Rule 1: each accepted message has exactly one outcome, in time, and no attempt of it is sent afterwards.
  void checkOutcomes(std::uint32_t message) {
    Outcomes outcomes = outcomesOf(message);
    if (!outcomes.accepted) return;
    std::uint16_t dispatcher = 0;
    for (std::size_t n : eventsOf(message)) {
      if (event(n).type == TraceEventType::submitted) dispatcher = event(n).dispatcher;
    }
    Millis limit = trace_.messages[message].due + type(message).deadlineAfter +
                   experiment_.environment.answerSlack + kAuditSlack;
    Millis endedAt = 1e15;
    if (outcomes.delivered) endedAt = std::min(endedAt, event(*outcomes.delivered).at);
    if (outcomes.notified) endedAt = std::min(endedAt, event(*outcomes.notified).at);
    if (endedAt > limit && lastEventAt_ > limit &&
        !wasInterrupted(dispatcher, event(*outcomes.accepted).at, limit)) {
      addViolation(Rule::exactlyOneOutcome, message,
                   endedAt < 1e15 ? "its outcome came after its deadline" : "it has no outcome");
    } else if (endedAt >= 1e15 && lastEventAt_ > limit + experiment_.end()) {
      addViolation(Rule::exactlyOneOutcome, message,
                   "it has no outcome, long after its dispatcher was up again");
    }
    std::set<std::int16_t> results;
    for (std::size_t n : eventsOf(message)) {
      if (event(n).type == TraceEventType::notificationReceived) results.insert(event(n).status);
    }
    if (results.size() > 1)
      addViolation(Rule::exactlyOneOutcome, message, "two notifications report different outcomes");
    // A response counts only if its attempt was not cancelled meanwhile, since the dispatcher then never read
    // it.
    Millis outcomeKnownAt = outcomes.notified ? event(*outcomes.notified).at : 1e15;
    for (std::size_t n : eventsOf(message)) {
      const TraceEvent& e = event(n);
      if (e.type != TraceEventType::responded || (e.status != kOk && e.status != kTruncated)) continue;
      bool cancelled = std::any_of(eventsOf(message).begin(), eventsOf(message).end(), [&](std::size_t m) {
        return event(m).type == TraceEventType::abandoned && event(m).request == e.request;
      });
      if (!cancelled && !isResponseDoubtful(message, e)) outcomeKnownAt = std::min(outcomeKnownAt, e.at);
    }
    Millis attemptLimit = outcomeKnownAt + 2 * experiment_.environment.farOneWay + kAuditSlack;
    for (std::size_t n : eventsOf(message)) {
      const TraceEvent& e = event(n);
      if (e.type != TraceEventType::arrived || e.at <= attemptLimit ||
          wasInterrupted(e.dispatcher, outcomeKnownAt, e.at))
        continue;
      addViolation(Rule::exactlyOneOutcome, message, "an attempt was sent after its outcome was known");
      break;
    }
  }

  // Rule 2: no effect twice. An attempt may have executed unless a response that the endpoint wrote before
  // the next attempt proves that it did not.
  void checkEffects(std::uint32_t message) {
    const TrafficType& trafficType = type(message);
    if (trafficType.idempotency == Idempotency::idempotent) return;
    struct SentAttempt {
      Millis at;
      std::uint32_t endpoint;
      std::uint32_t request;
      Millis notExecutedSince;
    };
    std::vector<SentAttempt> sent;
    int effectCount = 0;
    for (std::size_t n : eventsOf(message)) {
      const TraceEvent& e = event(n);
      if (e.type == TraceEventType::arrived) sent.push_back({e.at, e.endpoint, e.request, 1e15});
      if (e.type == TraceEventType::effect) ++effectCount;
      if (e.type == TraceEventType::responded && provesNotExecuted(e.status)) {
        for (SentAttempt& s : sent) {
          if (s.request == e.request) s.notExecutedSince = std::min(s.notExecutedSince, e.at);
        }
      }
    }
    auto repeatIsSafe = [&](const SentAttempt& earlier, Millis at, const SentAttempt* later) {
      if (earlier.notExecutedSince <= at) return true;
      if (trafficType.idempotency == Idempotency::nonIdempotent ||
          at - earlier.at > trafficType.deduplicationWindow + kAuditSlack)
        return false;
      if (trafficType.deduplicationScope == DeduplicationScope::destination) return true;
      return later != nullptr && experiment_.zoneOf(static_cast<int>(earlier.endpoint)) ==
                                     experiment_.zoneOf(static_cast<int>(later->endpoint));
    };
    for (std::size_t j = 1; j < sent.size(); ++j) {
      for (std::size_t i = 0; i < j; ++i) {
        if (repeatIsSafe(sent[i], sent[j].at, &sent[j])) continue;
        return addViolation(Rule::noDuplicateEffect, message,
                            "an attempt was sent though an earlier one may have been executed");
      }
    }
    // A client may submit a shed message again, so that shedding counts as a repeat.
    for (std::size_t n : eventsOf(message)) {
      const TraceEvent& e = event(n);
      if (e.type != TraceEventType::notificationReceived || e.status != 2) continue;
      for (const SentAttempt& s : sent) {
        if (!repeatIsSafe(s, e.at, nullptr)) {
          return addViolation(Rule::noDuplicateEffect, message,
                              "it was shed though an attempt may have been executed");
        }
      }
    }
    if (effectCount > 1)
      addViolation(Rule::noDuplicateEffect, message,
                   "it took effect " + std::to_string(effectCount) + " times");
  }

  // Rule 3: no new attempt at an endpoint that drains or is gone, once drainGrace is over for a dispatcher
  // that was notified of it.
  void checkDraining() {
    std::map<std::pair<std::uint16_t, std::uint32_t>, std::size_t> drainNotifications;
    for (std::size_t n = 0; n < trace_.events.size(); ++n) {
      const TraceEvent& e = event(n);
      if (e.type == TraceEventType::endpointStateNotified) {
        if (e.status == static_cast<std::int16_t>(EndpointState::ready)) {
          drainNotifications.erase({e.dispatcher, e.endpoint});
        } else {
          drainNotifications.try_emplace({e.dispatcher, e.endpoint}, n);
        }
      }
      if (e.type != TraceEventType::arrived || drainNotifications.empty()) continue;
      auto notification = drainNotifications.find({e.dispatcher, e.endpoint});
      if (notification == drainNotifications.end()) continue;
      Millis limit = event(notification->second).at + experiment_.environment.drainGrace + kAuditSlack +
                     experiment_.environment.farOneWay;
      if (e.at > limit)
        addViolation(Rule::noAttemptsWhileDraining, e.message,
                     "an attempt was sent to an endpoint that drains or is gone", {notification->second, n});
    }
  }

  // Rule 4: a destination in slow start is not overloaded by dispatchers that knew of its outage. A violation
  // needs kInformedShare of the requests in the overload window to come from dispatchers that knew. An
  // overload of a zone is always a violation.
  void checkSlowStart() {
    auto destinations = static_cast<std::size_t>(experiment_.environment.destinations);
    std::vector<std::set<std::uint16_t>> informed(destinations);
    std::vector<bool> isDown(destinations, false);
    std::vector<std::vector<std::size_t>> requests(destinations);
    for (std::size_t n = 0; n < trace_.events.size(); ++n) {
      const TraceEvent& e = event(n);
      bool isAtEndpoint = e.type == TraceEventType::arrived || e.type == TraceEventType::healthChecked ||
                          e.type == TraceEventType::responded || e.type == TraceEventType::abandoned ||
                          e.type == TraceEventType::connectionRefused;
      std::size_t d = 0;
      if (isAtEndpoint) {
        if (e.endpoint >= static_cast<std::uint32_t>(experiment_.endpointCount())) continue;
        d = static_cast<std::size_t>(experiment_.destinationOf(static_cast<int>(e.endpoint)));
      } else if (e.type == TraceEventType::destinationDown || e.type == TraceEventType::destinationUp ||
                 e.type == TraceEventType::destinationOverloaded) {
        d = e.message;
      } else {
        if (e.type == TraceEventType::zoneOverloaded) {
          addViolation(Rule::noOverloadInSlowStart, e.message,
                       "zone " + std::to_string(e.message) + " was overloaded in slow start", {n});
        }
        continue;
      }
      bool showsOutage = (e.type == TraceEventType::responded && e.status != kOk) ||
                         e.type == TraceEventType::abandoned || e.type == TraceEventType::connectionRefused ||
                         (e.type == TraceEventType::healthChecked && e.status != kOk);
      if (isDown[d] && showsOutage) informed[d].insert(e.dispatcher);
      if (e.type == TraceEventType::arrived || e.type == TraceEventType::healthChecked)
        requests[d].push_back(n);
      if (e.type == TraceEventType::destinationDown) {
        isDown[d] = true;
        informed[d].clear();
      }
      if (e.type == TraceEventType::destinationUp) {
        isDown[d] = false;
        requests[d].clear();
      }
      if (e.type != TraceEventType::destinationOverloaded) continue;
      std::vector<std::size_t> within;
      std::size_t informedCount = 0;
      for (std::size_t request : requests[d]) {
        if (event(request).at <= e.at - experiment_.environment.overloadWindow) continue;
        within.push_back(request);
        informedCount += informed[d].contains(event(request).dispatcher) ? 1 : 0;
      }
      if (static_cast<double>(informedCount) < kInformedShare * static_cast<double>(within.size())) continue;
      within.push_back(n);
      addViolation(Rule::noOverloadInSlowStart, static_cast<std::uint32_t>(d),
                   "destination " + std::to_string(d) + " was overloaded in slow start", std::move(within));
    }
  }

  // Rule 5: messages of an ordering key are delivered one at a time, in the order in which a dispatcher
  // accepted them. Each message is compared with the eight before it.
  void checkOrdering() {
    std::map<std::pair<std::uint16_t, std::uint32_t>, std::vector<std::uint32_t>> sequences;
    for (const TraceEvent& e : trace_.events) {
      if (e.type != TraceEventType::submitted || e.message >= trace_.messages.size()) continue;
      const SubmittedMessage& submitted = trace_.messages[e.message];
      if (experiment_.types[submitted.type].settings.ordered && submitted.key != 0)
        sequences[{e.dispatcher, submitted.key}].push_back(e.message);
    }
    for (const auto& [key, sequence] : sequences) {
      for (std::size_t j = 1; j < sequence.size(); ++j) {
        for (std::size_t i = j > 8 ? j - 8 : 0; i < j; ++i)
          checkOrderedPair(key.first, sequence[i], sequence[j]);
      }
    }
  }

  void checkOrderedPair(std::uint16_t dispatcher, std::uint32_t first, std::uint32_t second) {
    Outcomes outcomes = outcomesOf(first);
    std::optional<std::size_t> secondArrival;
    Millis submittedAt = 0;
    for (std::size_t n : eventsOf(second)) {
      if (event(n).type == TraceEventType::submitted) submittedAt = event(n).at;
      if (event(n).type == TraceEventType::arrived && !secondArrival) secondArrival = n;
    }
    // The order is certain only if the first was accepted before the second was submitted.
    if (!secondArrival || !outcomes.accepted || event(*outcomes.accepted).at >= submittedAt) return;
    Millis at = event(*secondArrival).at;
    if (wasInterrupted(dispatcher, submittedAt, at)) return;
    Millis finishedAt = 1e15;
    if (outcomes.delivered) finishedAt = std::min(finishedAt, event(*outcomes.delivered).at);
    if (outcomes.notified)
      finishedAt = std::min(finishedAt, event(*outcomes.notified).at - kNotificationDelay);
    std::vector<std::size_t> both{*outcomes.accepted, *secondArrival};
    if (finishedAt > at)
      return addViolation(Rule::orderPerKey, second,
                          "an attempt was sent before an earlier message of its key had its outcome", both);
    for (std::size_t n : eventsOf(first)) {
      const TraceEvent& e = event(n);
      if (e.type != TraceEventType::arrived || e.at > at) continue;
      Millis endedAt = 1e15;
      bool mayStillRun = true;
      for (std::size_t m : eventsOf(first)) {
        const TraceEvent& ended = event(m);
        if (ended.request != e.request ||
            (ended.type != TraceEventType::responded && ended.type != TraceEventType::abandoned))
          continue;
        if (ended.at < endedAt) {
          endedAt = ended.at;
          mayStillRun = ended.type == TraceEventType::abandoned || ended.status < 100;
        }
      }
      both = {n, *secondArrival};
      if (endedAt > at + kAuditSlack) {
        return addViolation(Rule::orderPerKey, second,
                            "an attempt was sent while an attempt of an earlier message of its key was open",
                            both);
      }
      if (mayStillRun && at < endedAt + experiment_.environment.orderingPause - kAuditSlack) {
        return addViolation(Rule::orderPerKey, second,
                            "an attempt was sent within the ordering pause after one that may still run",
                            both);
      }
    }
  }

  // Rule 6: a dispatcher that received Retry-After from an endpoint sends no attempt to any endpoint of the
  // destination before that time is over.
  void checkRetryAfter() {
    std::map<std::pair<std::uint16_t, int>, std::pair<Millis, std::size_t>> retryAfterUntil;
    std::map<std::pair<std::uint16_t, int>, Millis> bindsFrom;
    for (std::size_t n = 0; n < trace_.events.size(); ++n) {
      const TraceEvent& e = event(n);
      if (e.type == TraceEventType::dispatcherDown && e.status == 0) {
        std::erase_if(retryAfterUntil, [&](const auto& entry) { return entry.first.first == e.dispatcher; });
        continue;
      }
      if (e.type != TraceEventType::responded && e.type != TraceEventType::arrived) continue;
      if (e.endpoint >= static_cast<std::uint32_t>(experiment_.endpointCount())) continue;
      std::pair key{e.dispatcher, experiment_.destinationOf(static_cast<int>(e.endpoint))};
      if (e.type == TraceEventType::responded && e.duration > 0) {
        auto [at, inserted] = retryAfterUntil.try_emplace(key, std::pair{e.at + e.duration, n});
        if (inserted || e.at >= at->second.first) bindsFrom[key] = e.at + kRetryAfterGrace;
        if (at->second.first < e.at + e.duration) at->second = {e.at + e.duration, n};
      }
      if (e.type != TraceEventType::arrived) continue;
      auto at = retryAfterUntil.find(key);
      // Up to 1 ms early is no violation: a timer may be rounded down.
      if (at == retryAfterUntil.end() || e.at <= bindsFrom[key] || e.at >= at->second.first - 1) continue;
      if (wasInterrupted(e.dispatcher, event(at->second.second).at, e.at)) continue;
      addViolation(Rule::retryAfterRespected, e.message,
                   "an attempt was sent before the Retry-After that its dispatcher had received was over",
                   {at->second.second, n});
    }
  }

  const Experiment& experiment_;
  const Trace& trace_;
  Millis lastEventAt_{0};
  std::vector<std::size_t> rangeStarts_;
  std::vector<std::size_t> eventIndices_;
  // Times at which a fault altered a response, by dispatcher and endpoint.
  std::map<std::pair<std::uint16_t, std::uint32_t>, std::vector<Millis>> alteredResponses_;
  std::unordered_map<std::uint16_t, std::vector<std::size_t>> upAndDownEvents_;
  std::vector<RuleViolation> violations_;
};

}  // namespace

std::vector<RuleViolation> audit(const Experiment& experiment, const Trace& trace) {
  return Audit(experiment, trace).run();
}

const char* nameOf(Rule rule) {
  constexpr std::array kNames{"", "one answer", "no effect twice", "drains", "returns", "key order", "waits"};
  return kNames.at(static_cast<std::size_t>(rule));
}

// The lines name the columns of events.csv, so that an event is found in the file.
std::string describe(const RuleViolation& violation, const Trace& trace) {
  char line[256];
  bool isDestination = violation.rule == Rule::noOverloadInSlowStart;
  std::snprintf(line, sizeof line, "rule %d (%s), %s %u: ", static_cast<int>(violation.rule),
                nameOf(violation.rule), isDestination ? "destination" : "callback", violation.subject);
  std::string text = line + violation.text + "\n";
  constexpr std::size_t kShown = 24;
  std::size_t hidden = violation.events.size() > kShown ? violation.events.size() - kShown : 0;
  if (hidden > 0) text += "  (" + std::to_string(hidden) + " earlier events)\n";
  for (std::size_t k = hidden; k < violation.events.size(); ++k) {
    const TraceEvent& e = trace.events[violation.events[k]];
    std::snprintf(line, sizeof line,
                  "  %10.1f ms  %-15s callback %u call %u endpoint %u dispatcher %u status %d span %.0f\n",
                  e.at, nameOf(e.type), e.message, e.request, e.endpoint, e.dispatcher, e.status, e.duration);
    text += line;
  }
  return text;
}

}  // namespace stonewing::lab
