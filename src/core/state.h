#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/terms.h"
#include "index/waiting.h"
#include "rooms/rooms.h"

namespace stonewing {

using PathId = Id<struct PathTag, std::uint64_t>;

struct Endpoint;
struct Path;
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

struct Spread {
  Millis p95{0};
  Millis p50{0};
};

struct Samples {
  std::vector<Millis> kept;
  Spread usual;
  Millis computed{0};

  // Up to most samples; after that a new one takes the place of one by chance.
  void keep(Millis sample, std::size_t most, std::mt19937& chance) {
    if (kept.size() < most) {
      kept.push_back(sample);
    } else {
      kept[chance() % most] = sample;
    }
  }
  Millis quantile(double share) const {
    std::vector<Millis> sorted = kept;
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
  Path* path{};
  double weight{0};
  Phase phase{Phase::gone};
  int requestsInFlight{0};
  int failures{0};
  Millis failedAt{0};
  Millis okAt{0};
  int unheard{0};  // attempts called off since its last completion, and when the first of them was sent
  Millis unheardSince{0};
  bool silent{false};  // nothing has come back for long, from its oldest calls out nor later ones
  Millis goneAt{-1};   // not listed any more since then; -1 while it is
  Millis usedAt{-1};   // end of its last call, while a connection may be idle; -1 for none
  Millis gap{-1};      // last time from a call to the next
  Millis launchedAt{-1};
  int batchRound{-1};
  int batchRequestId{0};
  int batchSize{0};
  Samples samples;

  void calledOff(Millis sent) {
    if (unheard++ == 0) unheardSince = sent;
  }
  void works() {
    failures = unheard = 0;
    silent = false;
  }
};

// A destination, or one of its endpoints where routes are apart.
struct Path {
  std::vector<Endpoint*> endpoints;
  Destination* destination{};
  double window{1};
  int timely{0};
  int requestsInFlight{0};
  Millis lastCut{0};
  Millis waitUntil{0};
  Millis pauseUntil{0};
  Millis paceUntil{-1};  // no call before, so that all together keep to a limit that is told
  double pace{0};        // halvings of our even part of that limit; below 0 doublings
  Millis paceEased{0};
  double refusals{0};       // doublings of the pause
  Millis refusedSince{-1};  // since then nothing completed
  Millis refusedAt{0};
  double okShare{1};
  Millis okAt{0};
  Millis okSentAt{0};
  bool outage{false};
  bool told{false};
  Millis coldSince{0};
  bool cold{false};
  bool probeOut{false};
  Millis nextPush{0};
  std::size_t trialTurn{0};
  double okCount{0};
  Millis okCounted{0};
  double limitTold{-1};  // calls a second; 0: it has none, below 0: nothing was told yet
  Samples samples;

  bool allFailed(int times) const {
    return std::all_of(endpoints.begin(), endpoints.end(),
                       [&](const Endpoint* e) { return e->failures >= times; });
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
struct InstanceState {
  explicit InstanceState(Rooms asked) : rooms(std::move(asked)) {}
  Rooms rooms;
  Millis now{0};
  Millis began{-1};
  int round{0};
  int requestsInFlight{0};
  int messagesInFlight{0};
  int nextRequestId{1};
  double retryBudget{0};
  int requestCount{0};
  double patience{1};              // falls with attempts that stay unanswered
  bool reported{false};            // an answer has carried a report
  Millis idleTrusted{0};           // connections idle for no longer than this are thought to work
  std::deque<Endpoint*> released;  // endpoints whose last call has ended
  Millis wakeAsked{-1};
  std::map<MessageId, Message> messages;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<PathId, Path> paths;
  std::map<DestinationId, Destination> destinations;
  std::set<Destination*> waitedFor;                  // destinations with messages that wait
  std::set<MessageId> messagesWithPendingAttempts;   // messages with an attempt out
  std::set<std::pair<Millis, MessageId>> deadlines;  // of all that are not over
  std::set<std::pair<Millis, MessageId>> spentFrom;  // when a settled one may have no attempt left
  // Endpoints that may need a probe: those where something has changed, and the others by when they are due.
  std::set<EndpointId> trials;
  std::set<std::pair<Millis, EndpointId>> trialsDue;
  std::map<int, Request> requests;
  std::map<OrderingKey, OrderedQueue> orderedQueues;
  std::vector<TenantQuota> tenantQuotas;
  std::deque<std::pair<MessageId, int>> losingAttempts;
  std::set<EndpointId> listing;
  Samples samples;

  // A message is held from now on.
  Message& take(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key, DestinationId destination,
                Millis outerLimit) {
    Message& c = messages[id] = Message{};
    c.type = type;
    c.tenant = tenant;
    c.orderingKey = key;
    c.destination = &destinations[destination];
    c.destination->id = destination;
    c.deadline = outerLimit;
    ++messagesInFlight;
    ++c.destination->acceptedCount;
    rooms.asked(now, destination);
    return c;
  }
  Message* find(MessageId id) {
    auto at = messages.find(id);
    return at == messages.end() ? nullptr : &at->second;
  }
  // Endpoints come and go all day under new ids. One that no list has named for so long, and that nothing
  // held was attempted at, is forgotten with its path, if that was its own, and a key with its rest.
  void forgetGone(Millis goneFor) {
    std::set<const Endpoint*> named(released.begin(), released.end());
    for (const auto& [id, c] : messages) {
      for (const Attempt& l : c.attempts) named.insert(l.endpoint);
    }
    for (auto at = endpoints.begin(); at != endpoints.end();) {
      Endpoint& e = at->second;
      e.goneAt = e.phase != Phase::gone ? -1 : e.goneAt < 0 ? now : e.goneAt;
      if (e.goneAt < 0 || now - e.goneAt < goneFor || named.contains(&e)) {
        ++at;
        continue;
      }
      paths.erase(ownPath(e.id));
      at = endpoints.erase(at);
    }
    std::erase_if(orderedQueues,
                  [this](const auto& k) { return k.second.messages.empty() && k.second.pausedUntil <= now; });
  }
  static PathId ownPath(EndpointId id) { return PathId{id.value | (std::uint64_t{1} << 63)}; }
  void failing(Endpoint& e, int failures) {
    e.failures = failures;
    e.failedAt = now;
    trials.insert(e.id);
    rooms.fails(now, e.id, e.destination->id, e.zone, failures);
  }
  // Something was delivered there, or a probe answered.
  void works(Endpoint& e, bool delivered) {
    e.works();
    rooms.works(now, e.id, e.zone, delivered);
  }
  // A call of its own begins at an endpoint, for this round.
  void openRequest(Endpoint& e) {
    if (e.launchedAt >= 0) e.gap = now - e.launchedAt;
    e.launchedAt = now;
    ++requestCount;
    e.batchRound = round;
    e.batchSize = 1;
    e.batchRequestId = nextRequestId++;
    requests[e.batchRequestId].endpoint = &e;
    ++e.requestsInFlight;
    ++e.destination->requestsInFlight;
    ++e.path->requestsInFlight;
    ++requestsInFlight;
  }
  // Puts a message where it now belongs; to be called after each change of its attempts, and when it is
  // over.
  void place(MessageId id, Message& c) {
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
    rooms.waits(c.destination->id, wanted.has_value() - c.waitClass.has_value());
    if (c.waitClass) waiting.remove(*c.waitClass, c.deadline, id);
    if (wanted) waiting.add(*wanted, c.deadline, id);
    c.waitClass = wanted;
    if (waiting.empty()) {
      waitedFor.erase(c.destination);
    } else {
      waitedFor.insert(c.destination);
    }
  }
  // Nothing more is to be done for a message that is over and has no attempt out.
  void forgetSettled(MessageId id) {
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
    rooms.ended(launch.isSpillover);
    auto at = requests.find(launch.requestId);
    if (at == requests.end() || --at->second.openAttempts > 0) return;
    Endpoint& e = *at->second.endpoint;
    --e.requestsInFlight;
    --e.destination->requestsInFlight;
    --e.path->requestsInFlight;
    if (e.requestsInFlight == 0) released.push_back(&e);
    --requestsInFlight;
    requests.erase(at);
  }
};

// Spreads ids evenly, the same everywhere.
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace stonewing
