#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/ids.h"
#include "policy/wait_queue.h"
#include "policy/zone_failover.h"
#include "settings/deployment_settings.h"

namespace stonewing {

using RouteId = Id<struct RouteTag, std::uint64_t>;

struct Endpoint;
struct Route;
struct Destination;

struct Attempt {
  Endpoint* endpoint{};
  Millis sentAt{};
  Millis connectionIdleTime{0};  // how long its connection had been idle; 0 for a new one
  int requestId{};
  bool isHedge{false};
  bool pending{true};
  bool provablyNotExecuted{false};
  bool cancelled{false};
  bool isSpillover{false};  // into another room than its destination's best, which is in trouble
};

struct Message {
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey orderingKey{};
  Destination* destination{};
  Millis deadline{};
  Millis retryNotBefore{};
  bool overQuota{false};
  bool finished{false};
  bool responseStarted{false};
  bool hedged{false};
  std::vector<Attempt> attempts;
  std::optional<WaitClass>
      waitClass{};  // the line it stands in; none while an attempt is out, or once it is over

  bool hasNoPendingAttempt() const {
    return std::none_of(attempts.begin(), attempts.end(), [](const Attempt& l) { return l.pending; });
  }
};

struct LatencyQuantiles {
  Millis p95{0};
  Millis p50{0};
};

struct LatencyReservoir {
  std::vector<Millis> samples;
  LatencyQuantiles quantiles;
  Millis computedAt{0};

  // Up to most samples; after that a new one takes the place of one by chance.
  void add(Millis sample, std::size_t most, std::mt19937& chance) {
    if (samples.size() < most) {
      samples.push_back(sample);
    } else {
      samples[chance() % most] = sample;
    }
  }
  Millis quantile(double share) const {
    std::vector<Millis> sorted = samples;
    auto place = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * share);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
  }
};

struct Endpoint {
  EndpointId id{};
  Destination* destination{};
  KindId kind{};
  ZoneId zone{};
  Route* route{};
  double weight{0};
  EndpointState state{EndpointState::removed};
  int requestsInFlight{0};
  int consecutiveFailures{0};
  Millis lastFailureAt{0};
  Millis lastSuccessAt{0};
  int consecutiveTimeouts{
      0};  // attempts called off since its last completion, and when the first of them was sent
  Millis firstTimeoutSentAt{0};
  bool unresponsive{false};        // nothing has come back for long, from its oldest calls out nor later ones
  Millis removedAt{-1};            // not listed any more since then; -1 while it is
  Millis lastUsedAt{-1};           // end of its last call, while a connection may be idle; -1 for none
  Millis lastRequestInterval{-1};  // last time from a call to the next
  Millis lastRequestAt{-1};
  int batchRound{-1};
  int batchRequestId{0};
  int batchSize{0};
  LatencyReservoir latencies;

  void recordTimeout(Millis sent) {
    if (consecutiveTimeouts++ == 0) firstTimeoutSentAt = sent;
  }
  void recordSuccess() {
    consecutiveFailures = consecutiveTimeouts = 0;
    unresponsive = false;
  }
};

// A destination, or one of its endpoints where routes are apart.
struct Route {
  std::vector<Endpoint*> endpoints;
  Destination* destination{};
  double concurrencyLimit{1};
  int timelyResponses{0};
  int requestsInFlight{0};
  Millis lastDecreaseAt{0};
  Millis retryAfterUntil{0};
  Millis backoffUntil{0};
  Millis nextPacedRequestAt{-1};  // no call before, so that all together keep to a limit that is told
  double rateHalvings{0};         // halvings of our even part of that limit; below 0 doublings
  Millis rateHalvingsAt{0};
  double consecutiveRejections{0};  // doublings of the pause
  Millis rejectedSince{-1};         // since then nothing completed
  Millis lastRejectionAt{0};
  double successShare{1};
  Millis lastSuccessAt{0};
  Millis lastSuccessSentAt{0};
  bool outage{false};
  bool outageConfirmed{false};
  Millis warmUpStartedAt{0};
  bool warmingUp{false};
  bool healthCheckPending{false};
  Millis nextSlowStartSendAt{0};
  std::size_t healthCheckTurn{0};
  double recentSuccesses{0};
  Millis recentSuccessesAt{0};
  double reportedRateLimit{-1};  // calls a second; 0: it has none, below 0: nothing was told yet
  LatencyReservoir latencies;

  bool allFailed(int times) const {
    return std::all_of(endpoints.begin(), endpoints.end(),
                       [&](const Endpoint* e) { return e->consecutiveFailures >= times; });
  }
};

// Endpoints in their fixed order, and all calls out, also those at endpoints that drain.
struct Destination {
  DestinationId id{};
  std::vector<Endpoint*> ranking;
  int acceptedCount{0};
  int requestsInFlight{0};
  WaitQueue waitQueue;
};

struct Request {
  Endpoint* endpoint{};
  int openAttempts{0};
};

// What is left of a tenant's quota here.
struct TenantQuota {
  double tokens{0};
  Millis refilledAt{0};
  double acceptedCount{0};
};

struct OrderedQueue {
  std::deque<MessageId> messages;
  Millis pausedUntil{0};
};

// The nodes of its maps stay where they are: attempts, endpoints and messages point at them.
struct PolicyState {
  explicit PolicyState(ZoneFailover asked) : zones(std::move(asked)) {}
  ZoneFailover zones;
  Millis now{0};
  Millis startedAt{-1};
  int round{0};
  int requestsInFlight{0};
  int messagesInFlight{0};
  int nextRequestId{1};
  double retryBudget{0};
  int requestCount{0};
  double timeoutScale{1};               // falls with attempts that stay unanswered
  bool loadReportSeen{false};           // an answer has carried a report
  Millis reusableIdleTime{0};           // connections idle for no longer than this are thought to work
  std::deque<Endpoint*> idleEndpoints;  // endpoints whose last call has ended
  Millis timerSetFor{-1};
  std::map<MessageId, Message> messages;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<RouteId, Route> routes;
  std::map<DestinationId, Destination> destinations;
  std::set<Destination*> destinationsWithWaiting;               // destinations with messages that wait
  std::set<MessageId> messagesWithPendingAttempts;              // messages with an attempt out
  std::set<std::pair<Millis, MessageId>> deadlines;             // of all that are not over
  std::set<std::pair<Millis, MessageId>> retryExhaustionTimes;  // when a settled one may have no attempt left
  // Endpoints that may need a health check: those where something has changed, and the others by when they
  // are due.
  std::set<EndpointId> healthCheckCandidates;
  std::set<std::pair<Millis, EndpointId>> scheduledHealthChecks;
  std::map<int, Request> requests;
  std::map<OrderingKey, OrderedQueue> orderedQueues;
  std::vector<TenantQuota> tenantQuotas;
  std::deque<std::pair<MessageId, int>> losingAttempts;
  std::set<EndpointId> listedEndpoints;
  LatencyReservoir latencies;

  // A message is held from now on.
  Message& accept(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                  DestinationId destination, Millis outerLimit) {
    Message& c = messages[id] = Message{};
    c.type = type;
    c.tenant = tenant;
    c.orderingKey = key;
    c.destination = &destinations[destination];
    c.destination->id = destination;
    c.deadline = outerLimit;
    ++messagesInFlight;
    ++c.destination->acceptedCount;
    zones.recordAccepted(now, destination);
    return c;
  }
  Message* find(MessageId id) {
    auto at = messages.find(id);
    return at == messages.end() ? nullptr : &at->second;
  }
  // Endpoints come and go all day under new ids. One that no list has named for so long, and that nothing
  // held was attempted at, is forgotten with its route, if that was its own, and a key with its rest.
  void forgetRemovedEndpoints(Millis goneFor) {
    std::set<const Endpoint*> named(idleEndpoints.begin(), idleEndpoints.end());
    for (const auto& [id, c] : messages) {
      for (const Attempt& l : c.attempts) named.insert(l.endpoint);
    }
    for (auto at = endpoints.begin(); at != endpoints.end();) {
      Endpoint& e = at->second;
      e.removedAt = e.state != EndpointState::removed ? -1 : e.removedAt < 0 ? now : e.removedAt;
      if (e.removedAt < 0 || now - e.removedAt < goneFor || named.contains(&e)) {
        ++at;
        continue;
      }
      routes.erase(ownRoute(e.id));
      at = endpoints.erase(at);
    }
    std::erase_if(orderedQueues,
                  [this](const auto& k) { return k.second.messages.empty() && k.second.pausedUntil <= now; });
  }
  static RouteId ownRoute(EndpointId id) { return RouteId{id.value | (std::uint64_t{1} << 63)}; }
  void recordFailure(Endpoint& e, int failures) {
    e.consecutiveFailures = failures;
    e.lastFailureAt = now;
    healthCheckCandidates.insert(e.id);
    zones.recordFailures(now, e.id, e.destination->id, e.zone, failures);
  }
  // Something was delivered there, or a health check answered.
  void recordSuccess(Endpoint& e, bool delivered) {
    e.recordSuccess();
    zones.recordSuccess(now, e.id, e.zone, delivered);
  }
  // A call of its own begins at an endpoint, for this round.
  void openRequest(Endpoint& e) {
    if (e.lastRequestAt >= 0) e.lastRequestInterval = now - e.lastRequestAt;
    e.lastRequestAt = now;
    ++requestCount;
    e.batchRound = round;
    e.batchSize = 1;
    e.batchRequestId = nextRequestId++;
    requests[e.batchRequestId].endpoint = &e;
    ++e.requestsInFlight;
    ++e.destination->requestsInFlight;
    ++e.route->requestsInFlight;
    ++requestsInFlight;
  }
  // Puts a message where it now belongs; to be called after each change of its attempts, and when it is
  // over.
  void updateIndexes(MessageId id, Message& c) {
    bool settled = c.hasNoPendingAttempt();
    if (settled) {
      messagesWithPendingAttempts.erase(id);
    } else {
      messagesWithPendingAttempts.insert(id);
    }
    std::optional<WaitClass> wanted;
    if (settled && !c.finished) wanted = WaitClass{c.type, c.overQuota, !c.attempts.empty()};
    if (c.finished) deadlines.erase({c.deadline, id});
    if (wanted == c.waitClass) return;
    WaitQueue& waiting = c.destination->waitQueue;
    zones.addWaiting(c.destination->id, wanted.has_value() - c.waitClass.has_value());
    if (c.waitClass) waiting.remove(*c.waitClass, c.deadline, id);
    if (wanted) waiting.add(*wanted, c.deadline, id);
    c.waitClass = wanted;
    if (waiting.empty()) {
      destinationsWithWaiting.erase(c.destination);
    } else {
      destinationsWithWaiting.insert(c.destination);
    }
  }
  // Nothing more is to be done for a message that is over and has no attempt out.
  void forgetFinished(MessageId id) {
    Message* c = find(id);
    if (c == nullptr || !c->finished || !c->hasNoPendingAttempt()) return;
    auto line = orderedQueues.find(c->orderingKey);
    if (line != orderedQueues.end()) {
      std::erase(line->second.messages, id);
      if (line->second.messages.empty() && line->second.pausedUntil <= now) orderedQueues.erase(line);
    }
    messages.erase(id);
  }
  // A call is over, and its slot free, with the last outcome in it.
  void releaseRequest(const Attempt& launch) {
    zones.recordAttemptEnd(launch.isSpillover);
    auto at = requests.find(launch.requestId);
    if (at == requests.end() || --at->second.openAttempts > 0) return;
    Endpoint& e = *at->second.endpoint;
    --e.requestsInFlight;
    --e.destination->requestsInFlight;
    --e.route->requestsInFlight;
    if (e.requestsInFlight == 0) idleEndpoints.push_back(&e);
    --requestsInFlight;
    requests.erase(at);
  }
};

// Spreads ids evenly, the same everywhere.
inline std::uint64_t hashId(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace stonewing
