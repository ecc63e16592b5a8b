// The decisions of stonewing, all of them, for one instance. The interface is in rules.h.
// Construct with the terms of the deployment and the seed; for each batch call roundBegins(now), the inputs
// in the order in which they came (they only update what is known), then next() until it returns nothing, and
// carry out each decision in order. Nothing is shared, and the same inputs give the same decisions. "Route"
// is what waits, windows and outages belong to: a destination, or one endpoint of it where routes are apart.
#include "policy/dispatch_policy.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace stonewing {
namespace {

constexpr std::size_t kReservoir = 512;
constexpr std::size_t kEnoughSamples = 32;
constexpr std::size_t kEnoughPooled = 12;  // a destination sees few messages at one instance
constexpr Millis kRecompute = 2000;
constexpr double kQuantile = 0.95;
constexpr double kBudgetRatio = 0.1;  // retry budget earned by each first attempt
constexpr double kDelayLeast = 0.3;   // clamp of the hedge's delay, of the latency objective
constexpr double kDelayMost = 1.5;
constexpr double kDelayUnknown = 0.6;  // in place of p95 while nothing was measured
constexpr double kCopySlots = 0.5;     // no hedges with more of the concurrent requests out
constexpr double kWindowStart = 0.5;   // of the concurrent requests
constexpr double kWindowTop = 0.75;
constexpr double kCut = 0.75;
constexpr double kLate = 2;  // a late answer, in p95 of the destination

constexpr double kSilent = 3;         // no answer for this many p95: the route is silent
constexpr double kStuck = 4;          // an attempt is called off after so many p95, where answers come late
constexpr double kStuckLost = 1.8;    // and where they do not come at all
constexpr double kPatienceCut = 0.4;  // by an attempt called off
constexpr double kPatienceGrowth = 1.0 / 32;  // by an answer
constexpr double kOkSharePart = 1.0 / 8;      // of each answer in the running share that completes
constexpr double kOkShareHard = 0.4;          // in place of it for a failed connection
constexpr double kOkShareOutage = 0.5;
constexpr int kUnheard = 4;          // attempts called off since its last answer that count as silence
constexpr int kFailuresToAvoid = 2;  // of one endpoint while others of its destination work
constexpr double kRefusalsMost = 4;  // doublings of the pause after refusals
constexpr double kRelief = 0.35;     // of a doubling, taken back by a completion
constexpr double kShutWait = 1.4;  // a told wait of so many overload windows is longer than any limit's span
constexpr double kBlip = 2;        // overload windows without a completion that leave nothing cold
constexpr double kShutSpans = 3;   // refusals alone for so many overload windows: shut
constexpr double kRetryPause = 0.5;    // before a repeat after an error, in p50
constexpr double kPauseFirst = 0.75;   // of the gap that our part of the limit leaves
constexpr double kUnknownGap = 0.16;   // that gap where no limit is told, in p50 for each instance
constexpr double kPaceDepth = 1;       // calls at our part of a told limit that may go ahead of their time
constexpr double kPaceStep = 0.05;     // halvings of it by an answer after which nothing or all is left
constexpr double kPaceLeft = 0.5;      // the share left at which all together use the limit well
constexpr double kPaceRefused = 0.5;   // and by a refusal
constexpr double kPaceEase = 1;        // overload windows that take back one halving
constexpr double kWindowMargin = 0.1;  // of a repeat window left unused

constexpr double kToldShare = 0.55;       // of the fall budget; under two thirds, so ours alone break nothing
constexpr double kAskedShare = 0.5;       // of what we were asked to bring, thought to be within capacity
constexpr double kColdTogether = 1;       // sends in a overload window from all instances, at the least
constexpr double kFurtherWeight = 0.25;   // of a further message in a call, in calls
constexpr double kColdCall = 2;           // most weight of a call to a cold route, in calls
constexpr double kRoughWeight = 1 / 1.5;  // a listed weight may be half too high

constexpr double kTrustCut = 0.35;     // of the idle time trusted, when a table is full or a connection dead
constexpr double kTrustLeast = 0.025;  // of the time after which an idle connection closes by itself
constexpr double kTrustGrowth = 1.1;   // by each idle connection that worked

constexpr double kChanceLeast = 0.5;  // of p50; hardly any answer comes sooner
constexpr double kRoomKept = 0.05;    // of the messages held at most
constexpr double kForgotten = 4;      // cold spans after which nothing of an endpoint that has gone is true
constexpr double kTenantBurst = 2;    // seconds of a tenant's quota
constexpr double kUrgencyStep = 0.5;  // of the latency objective

}  // namespace

DispatchPolicy::DispatchPolicy(DeploymentSettings terms, std::uint64_t seed)
    : settings_(std::move(terms)),
      random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      state_(ZoneFailover(settings_, hashId(seed))) {
  state_.reusableIdleTime = settings_.connectionIdleTimeout;
  for (double quota : settings_.tenantQuotaPerSecond) {
    state_.tenantQuotas.push_back({std::max(1.0, kTenantBurst * quota / settings_.dispatcherCount)});
  }
}

double DispatchPolicy::randomShare() { return static_cast<double>(random_()) / 4294967296.0; }

void DispatchPolicy::beginRound(Millis now) {
  state_.now = now;
  ++state_.round;
  nextWakeAt_ = -1;
  if (state_.startedAt < 0) state_.startedAt = now;
  if (state_.timerSetFor <= now) state_.timerSetFor = -1;
}

void DispatchPolicy::beginEndpointList() { state_.listedEndpoints.clear(); }

void DispatchPolicy::addEndpoint(EndpointId id, DestinationId destination, KindId kind, ZoneId zone,
                                 double weight, EndpointState phase) {
  Endpoint& e = state_.endpoints[id];
  e.id = id;
  e.destination = &state_.destinations[destination];
  e.destination->id = destination;
  e.kind = kind;
  e.zone = zone;
  e.weight = weight;
  e.state = phase;
  bool apart = kind.value < settings_.kinds.size() && settings_.kinds[kind.value].routesApart;
  auto [at, fresh] =
      state_.routes.try_emplace(apart ? PolicyState::ownRoute(id) : RouteId{destination.value});
  if (fresh)
    at->second.concurrencyLimit = std::max(1.0, std::floor(settings_.maxConcurrentRequests * kWindowStart));
  e.route = &at->second;
  e.route->destination = e.destination;
  state_.listedEndpoints.insert(id);
}

void DispatchPolicy::commitEndpointList(bool whole) {
  quietUntil_ = -1;
  for (auto& [destination, d] : state_.destinations) d.ranking.clear();
  for (auto& [id, p] : state_.routes) p.endpoints.clear();
  state_.zones.beginEndpointList();
  for (auto& [id, e] : state_.endpoints) {
    if (whole && !state_.listedEndpoints.contains(id)) e.state = EndpointState::removed;
    if (e.state != EndpointState::ready) continue;
    e.route->endpoints.push_back(&e);
    e.destination->ranking.push_back(&e);
    state_.zones.addEndpoint(id, e.destination->id, e.zone);
    if (e.route->outage || e.consecutiveFailures > 0) state_.healthCheckCandidates.insert(id);
  }
  state_.zones.commitEndpointList(state_.now);
  for (auto& [id, p] : state_.routes) {  // most may have started at this instant: they begin spread by chance
    if (p.nextPacedRequestAt < 0 && isPaced(p))
      p.nextPacedRequestAt = std::max(0.0, state_.now - randomShare() * kPaceDepth * requestInterval(p));
  }
  // Fixed for each destination; the own zone goes first, since crossing zones takes time and is priced.
  auto place = [&](const Endpoint* e) {
    return std::tuple(state_.zones.priority(e->destination->id, e->zone),
                      hashId(e->id.value ^ hashId(settings_.dispatcherIndex)), e->id);
  };
  for (auto& [destination, d] : state_.destinations) {
    std::sort(d.ranking.begin(), d.ranking.end(),
              [&](const Endpoint* a, const Endpoint* b) { return place(a) < place(b); });
  }
  state_.forgetRemovedEndpoints(kForgotten * settings_.slowStartDuration);
}

void DispatchPolicy::acceptMessage(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                                   DestinationId destination, Millis outerLimit) {
  if (type.value >= settings_.types.size()) throw std::out_of_range("a callback of an unknown traffic type");
  Message& c = state_.accept(id, type, tenant, key, destination, outerLimit);
  if (tenant.value < state_.tenantQuotas.size()) {
    TenantQuota& t = state_.tenantQuotas[tenant.value];
    // Dispatchers carry unlike loads: our part of a quota is an even one, or what came here so far.
    double quota =
        std::max(settings_.tenantQuotaPerSecond[tenant.value] / settings_.dispatcherCount / 1000,
                 ++t.acceptedCount / std::max(settings_.slowStartDuration, state_.now - state_.startedAt));
    t.tokens = std::min(std::max(1.0, quota * kTenantBurst * 1000),
                        t.tokens + quota * (state_.now - std::exchange(t.refilledAt, state_.now)));
    c.overQuota = t.tokens < 1;
    if (!c.overQuota) t.tokens -= 1;
  }
  if (settings_.types[type.value].ordered && key.value != 0) state_.orderedQueues[key].messages.push_back(id);
  state_.deadlines.insert({outerLimit, id});
  state_.updateIndexes(id, c);
  state_.retryExhaustionTimes.insert({latestUsefulAttemptAt(c), id});
}

// After a restart: what was out may have run, for the rules on effects and for the count of attempts.
void DispatchPolicy::recordEarlierAttempt(MessageId id, EndpointId endpoint, Millis sent, bool neverRan) {
  Message& c = state_.messages.at(id);
  c.attempts.push_back({.endpoint = &state_.endpoints.at(endpoint),
                        .sentAt = sent,
                        .pending = false,
                        .provablyNotExecuted = neverRan});
  if (!neverRan && type(c).ordered)
    state_.orderedQueues[c.orderingKey].pausedUntil = state_.now + settings_.orderingPause;
  state_.retryExhaustionTimes.insert({state_.now, id});
  state_.updateIndexes(id, c);
}

void DispatchPolicy::recordAttemptOutcome(MessageId id, int launch, AttemptOutcome ending, Millis spent,
                                          bool isOver, Millis wait, LoadReport report) {
  Message* c = state_.find(id);
  if (c == nullptr || launch >= static_cast<int>(c->attempts.size()) || !c->attempts[launch].pending) return;
  Attempt& l = c->attempts[launch];
  Endpoint& e = *l.endpoint;
  Route& p = *e.route;
  l.pending = c->responseStarted = false;
  quietUntil_ = -1;
  l.provablyNotExecuted =
      ending == AttemptOutcome::rejected || ending == AttemptOutcome::connectFailed || isUnsent(ending);
  state_.releaseRequest(l);
  e.lastUsedAt = state_.now;
  Millis leastTrust =
      kTrustLeast * settings_.connectionIdleTimeout;  // connections also break that were hardly idle
  // A new connection refused with no report, where answers hold one: not by the limit, the table is full.
  bool shutOut = ending == AttemptOutcome::rejected && state_.loadReportSeen && report.rateLimit < 0 &&
                 wait <= 0 && l.connectionIdleTime <= 0;
  if (shutOut || (ending == AttemptOutcome::connectFailed &&
                  p.lastSuccessAt > state_.now - settings_.slowStartDuration)) {
    state_.reusableIdleTime *= kTrustCut;  // calls complete there, so its table is full
  } else if (l.connectionIdleTime > leastTrust && ending == AttemptOutcome::reset) {
    state_.reusableIdleTime = std::min(state_.reusableIdleTime, kTrustCut * l.connectionIdleTime);
  } else if (l.connectionIdleTime > kTrustCut * state_.reusableIdleTime &&
             ending == AttemptOutcome::completed) {
    state_.reusableIdleTime =
        std::min(settings_.connectionIdleTimeout, kTrustGrowth * state_.reusableIdleTime);
  }
  state_.reusableIdleTime = std::max(state_.reusableIdleTime, leastTrust);
  recordLoadReport(p, e, report);
  bool own = ending == AttemptOutcome::rejected && report.rateLimit < 0 && p.reportedRateLimit >= 0 &&
             wait <= 0;  // not by the limit
  p.retryAfterUntil =
      std::max(p.retryAfterUntil, state_.now + wait);  // also where only some of a call were refused
  // Sooner than any answer, on a kept connection: that one had ended, which tells nothing of the endpoint.
  bool worn =
      ending == AttemptOutcome::reset && l.connectionIdleTime > 0 && spent < typicalLatency(p, type(*c)).p50;
  bool cutShort = ending == AttemptOutcome::timeout && state_.now >= c->deadline;  // perhaps only sent late
  if (ending == AttemptOutcome::completed) {
    recordSuccess(p, e, l.sentAt, spent);
  } else if (own && p.endpoints.size() > 1) {
    state_.recordFailure(e, e.consecutiveFailures + 1);
  } else if (ending == AttemptOutcome::rejected) {
    recordRejection(p, e, wait, l.sentAt);
  } else if (ending != AttemptOutcome::cancelled && !isUnsent(ending) && !worn &&
             !(cutShort && state_.now - l.sentAt <= kLate * typicalLatency(p, type(*c)).p95)) {
    recordFailure(p, e, l.sentAt, ending);
  }
  if (ending == AttemptOutcome::timeout || ending == AttemptOutcome::reset ||
      ending == AttemptOutcome::cancelled) {
    auto line = state_.orderedQueues.find(c->orderingKey);
    if (type(*c).ordered && line != state_.orderedQueues.end())
      line->second.pausedUntil = state_.now + settings_.orderingPause;
  }
  bool atOnce =
      worn || (l.provablyNotExecuted &&
               ending != AttemptOutcome::localResourceExhausted);  // what we lacked we may lack still
  c->retryNotBefore = state_.now + (atOnce ? 0 : kRetryPause * typicalLatency(p, type(*c)).p50);
  state_.updateIndexes(id, *c);
  Millis at = mayHaveExecuted(*c) ? retriesExhaustedAt(*c)
                                  : std::min(retriesExhaustedAt(*c), latestUsefulAttemptAt(*c));
  if (c->hasNoPendingAttempt() && at < c->deadline) state_.retryExhaustionTimes.insert({at, id});
  if (ending != AttemptOutcome::cancelled && !isUnsent(ending)) scan_ = {};
  if (isOver || ending == AttemptOutcome::completed) finish(id);
  state_.forgetFinished(id);
}

// When a settled message may have no attempt left: now, or when the window of one that may have run closes.
Millis DispatchPolicy::retriesExhaustedAt(const Message& c) const {
  const TrafficType& t = type(c);
  if (t.idempotency == Idempotency::idempotent || !mayAttempt(c, nullptr))
    return mayAttempt(c, nullptr) ? c.deadline : state_.now;
  Millis at = c.deadline;
  for (const Attempt& l : c.attempts) {
    if (mayHaveExecuted(l)) at = std::min(at, l.sentAt + t.deduplicationWindow * (1 - kWindowMargin));
  }
  return at;
}

// The message is finished: attempts still out are losers, to be cancelled.
MessageId DispatchPolicy::finish(MessageId id) {
  Message* c = state_.find(id);
  if (c == nullptr || c->finished) return id;
  c->finished = true;
  --state_.messagesInFlight;
  for (std::size_t n = 0; n < c->attempts.size(); ++n) {
    if (c->attempts[n].pending && !c->attempts[n].cancelled)
      state_.losingAttempts.emplace_back(id, static_cast<int>(n));
  }
  state_.updateIndexes(id, *c);
  state_.forgetFinished(id);
  return id;
}

void DispatchPolicy::addLatency(LatencyReservoir& samples, Millis spent) {
  samples.add(spent, kReservoir, random_);
  bool young = samples.samples.size() <= kEnoughSamples;
  if (!young && state_.now - samples.computedAt < kRecompute) return;
  samples.computedAt = state_.now;
  samples.quantiles = {samples.quantile(kQuantile), samples.quantile(0.5)};
}

// What a route usually takes: by its own samples, the instance's or, with neither, the latency objective.
LatencyQuantiles DispatchPolicy::typicalLatency(const Route& p, const TrafficType& t) const {
  if (p.latencies.samples.size() >= kEnoughPooled) return p.latencies.quantiles;
  LatencyQuantiles known{t.latencyObjective * kDelayUnknown, t.latencyObjective * kDelayUnknown / kLate};
  if (state_.latencies.samples.size() >= kEnoughSamples) known = state_.latencies.quantiles;
  return {std::max(known.p95, p.latencies.quantiles.p95), known.p50};
}

Millis DispatchPolicy::hedgeDelay(const Message& c, const Endpoint& e, const Route& p, Millis sent) const {
  const TrafficType& t = type(c);
  Millis p95 =
      e.latencies.samples.size() >= kEnoughSamples ? e.latencies.quantiles.p95 : typicalLatency(p, t).p95;
  Millis clamped = std::clamp(p95, t.latencyObjective * kDelayLeast, t.latencyObjective * kDelayMost);
  return std::min(clamped, (c.deadline - sent) / 2);
}

// One episode cuts once: attempts sent before the last cut belong to the same trouble.
void DispatchPolicy::decreaseLimit(Route& p, Millis sent) {
  if (sent < p.lastDecreaseAt) return;
  p.lastDecreaseAt = state_.now;
  p.timelyResponses = 0;
  p.concurrencyLimit = std::max(1.0, p.concurrencyLimit * kCut);
}

// A limit on calls a second can lie under one call after the other, at one sender or at all together, and
// refused calls can use it up: then all keep it shut for each other. So the window goes on below one call in
// flight as a pause between calls, doubled by a refusal and halved by a completion. Pauses longer than our
// even part of a told limit would leave it unused.
Millis DispatchPolicy::backoff(const Route& p) {
  Millis gap = 1000 / capacityShare(p);
  if (reportedRateShare(p) <= 0) {
    gap = std::min(gap, typicalLatency(p, settings_.types.front()).p50 *
                            std::max(1.0, kUnknownGap * settings_.dispatcherCount));
  }
  return gap * kPauseFirst * std::exp2(p.consecutiveRejections - 1) * (0.5 + randomShare());
}

void DispatchPolicy::beginOutage(Route& p, bool told) {
  p.outage = true;
  p.outageConfirmed = told;
  p.warmingUp = false;
  p.nextSlowStartSendAt = std::max(p.retryAfterUntil, state_.now) + slowStartInterval(p) * randomShare();
  recheckEndpoints(p);
}

// Something has changed by which its endpoints may be probed sooner.
void DispatchPolicy::recheckEndpoints(const Route& p) {
  quietUntil_ = -1;
  for (const Endpoint* e : p.endpoints) state_.healthCheckCandidates.insert(e->id);
}

void DispatchPolicy::endOutage(Route& p) {
  p.outage = false;
  p.warmingUp = state_.now - p.lastSuccessAt > kBlip * settings_.overloadWindow;
  p.warmUpStartedAt = p.recentSuccessesAt = state_.now;
  p.nextSlowStartSendAt = state_.now + slowStartInterval(p) * randomShare();
  p.successShare = 1;
  p.consecutiveRejections = 0;
  recheckEndpoints(p);
}

void DispatchPolicy::recordSuccess(Route& p, Endpoint& e, Millis sent, Millis spent) {
  bool enough = p.latencies.samples.size() >= kEnoughPooled;
  if (enough && spent > kLate * p.latencies.quantiles.p95) {
    decreaseLimit(p, sent);
  } else if (++p.timelyResponses >= p.concurrencyLimit) {
    p.timelyResponses = 0;
    p.concurrencyLimit = std::min(std::max(1.0, std::floor(settings_.maxConcurrentRequests * kWindowTop)),
                                  p.concurrencyLimit + 1);
  }
  addLatency(e.latencies, spent);
  addLatency(p.latencies, spent);
  addLatency(state_.latencies, spent);
  state_.timeoutScale += kPatienceGrowth * (1 - state_.timeoutScale);
  state_.recordSuccess(e, true);
  e.lastSuccessAt = state_.now;
  if (!p.warmingUp) {
    p.recentSuccesses =
        1 + p.recentSuccesses * std::exp(-(state_.now - p.recentSuccessesAt) / settings_.slowStartDuration);
    p.recentSuccessesAt = state_.now;
  }
  if (p.outage && p.outageConfirmed) endOutage(p);
  p.lastSuccessAt = state_.now;
  p.lastSuccessSentAt = std::max(p.lastSuccessSentAt, sent);
  if (std::exchange(p.outage, false)) recheckEndpoints(p);
  p.successShare += kOkSharePart * (1 - p.successShare);
  p.rejectedSince = -1;
  if (sent >= p.lastRejectionAt) p.consecutiveRejections = std::max(0.0, p.consecutiveRejections - kRelief);
}

// One failure proves little, nor do a few in a row where a part of the calls breaks: an outage fails most.
void DispatchPolicy::recordFailure(Route& p, Endpoint& e, Millis sent, AttemptOutcome ending) {
  bool hard =
      ending == AttemptOutcome::connectFailed;  // holds a slot for the whole time-out, and is no chance
  state_.recordFailure(e, e.consecutiveFailures + (hard ? kFailuresToAvoid : 1));
  if (hard || ending == AttemptOutcome::timeout)
    decreaseLimit(p, sent);  // an error or a break tells nothing of load
  if (p.outage) p.outageConfirmed = true;
  if (p.outage || p.lastSuccessAt > sent) return;  // others complete: crowded or unlucky, not out
  p.successShare *= 1 - (hard ? kOkShareHard : kOkSharePart);
  if (p.successShare <= kOkShareOutage) beginOutage(p, true);
}

void DispatchPolicy::recordRejection(Route& p, Endpoint& e, Millis wait, Millis sent) {
  e.lastFailureAt = state_.now;
  if (p.rejectedSince < 0) p.rejectedSince = state_.now;
  if (sent >= p.lastRejectionAt)
    p.consecutiveRejections = std::min(p.consecutiveRejections + 1, kRefusalsMost);
  p.lastRejectionAt = state_.now;
  decreaseLimit(p, sent);
  if (isPaced(p)) {
    recoverRate(p);
    p.rateHalvings = std::min(p.rateHalvings + kPaceRefused, kRefusalsMost);
    p.nextPacedRequestAt =
        std::max(p.nextPacedRequestAt, state_.now + wait + requestInterval(p) * randomShare());
  } else {
    p.backoffUntil = std::max(p.backoffUntil, state_.now + wait + backoff(p));
  }
  // Shut, not merely over its limit: a wait longer than a limit's span, or refusals alone for long. A limit
  // that others use up refuses us a few times in a row too, and a ramp after that would cost the service.
  bool nothingElse = p.consecutiveRejections >= kRefusalsMost &&
                     state_.now - p.rejectedSince > kShutSpans * settings_.overloadWindow;
  if (p.outage) p.outageConfirmed = true;
  if (!p.outage && (wait > kShutWait * settings_.overloadWindow || nothingElse)) beginOutage(p, true);
}

void DispatchPolicy::recordHealthCheckOutcome(EndpointId id, AttemptOutcome ending, LoadReport report) {
  auto at = state_.endpoints.find(id);
  if (at == state_.endpoints.end()) return;
  Route& p = *at->second.route;
  p.healthCheckPending = false;
  recheckEndpoints(p);
  if (ending == AttemptOutcome::localResourceExhausted)
    at->second.lastFailureAt = state_.now;  // it rests again, and has told nothing
  if (ending == AttemptOutcome::localResourceExhausted) return;
  recordLoadReport(p, at->second, report);
  if (ending != AttemptOutcome::completed) {
    p.outageConfirmed = true;
    state_.recordFailure(at->second, at->second.consecutiveFailures + 1);
  } else {
    if (p.outage) endOutage(p);
    if (!at->second.unresponsive)
      p.lastSuccessAt = state_.now;  // one hung: what is out there tells no more of the route
    state_.recordSuccess(at->second, false);
  }
}

// Danger: the answer may come from an endpoint that has gone, and its route have none left by then.
void DispatchPolicy::recordLoadReport(Route& p, const Endpoint& e, LoadReport report) {
  if (report.rateLimit < 0) return;
  p.reportedRateLimit = report.rateLimit;
  state_.loadReportSeen = true;
  recoverRate(p);
  if (report.rateLimit <= 0 || report.remainingShare < 0) return;
  double least = maxBatchSize(e) > 1 ? 0 : -kRefusalsMost;
  p.rateHalvings += kPaceStep * (kPaceLeft - std::min(1.0, report.remainingShare)) / kPaceLeft;
  p.rateHalvings = std::clamp(p.rateHalvings, least, kRefusalsMost);
}

void DispatchPolicy::recoverRate(Route& p) {
  Millis since = state_.now - std::exchange(p.rateHalvingsAt, state_.now);
  if (p.rateHalvings > 0)
    p.rateHalvings = std::max(0.0, p.rateHalvings - since / (kPaceEase * settings_.overloadWindow));
}

// Danger: noise that reads as a limit near nothing would keep a route shut; no gap is longer than a
// slow-start duration.
Millis DispatchPolicy::requestInterval(const Route& p) const {
  return std::min(settings_.slowStartDuration,
                  1000 * std::exp2(p.rateHalvings) / std::max(1e-9, reportedRateShare(p)));
}

// Our even part of the limit that is told, in calls a second; 0 where none is.
double DispatchPolicy::reportedRateShare(const Route& p) const {
  double told = p.reportedRateLimit;
  if (told < 0 && settings_.hasReportedWeights) {
    for (const Endpoint* e : p.endpoints) told = std::max(told, e->weight * kRoughWeight);
  }
  return std::max(0.0, told) / settings_.dispatcherCount;
}

// Our part of what the route can do, calls a second: our even part of what is told, or a part of what we were
// asked to bring there, for dispatchers carry unlike loads: limits are made for what comes, but surges and
// repeats of clients count in it too.
double DispatchPolicy::capacityShare(const Route& p) const {
  auto part = static_cast<double>(p.endpoints.size()) / std::max<double>(1, p.destination->ranking.size());
  double asked = kAskedShare * part * p.destination->acceptedCount /
                 std::max(settings_.slowStartDuration, state_.now - state_.startedAt);
  return std::max({reportedRateShare(p), asked * 1000, 1e-9});
}

// The same by what it did for us before an outage, if that is more.
double DispatchPolicy::provenCapacityShare(const Route& p) const {
  Millis span = std::clamp(state_.now - state_.startedAt, settings_.overloadWindow,
                           settings_.slowStartDuration);  // not from one or two alone
  return std::max(p.recentSuccesses / span * 1000, capacityShare(p));
}

// A cold destination falls over when pushed. Our sends to one keep apart so far that they stay under our part
// of what it takes, which grows while it warms; the instances together send about two in a overload window
// where that part is not known.
Millis DispatchPolicy::slowStartInterval(const Route& p) {
  double warm =
      p.warmingUp ? std::clamp((state_.now - p.warmUpStartedAt) / settings_.slowStartDuration, 0.0, 1.0) : 0;
  double whole = kToldShare * settings_.overloadThreshold * provenCapacityShare(p) / 1000;
  double least = kColdTogether / settings_.dispatcherCount / settings_.overloadWindow;
  double rate = std::max(
      least, whole * (settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * warm));
  double growth =
      p.warmingUp ? whole * (1 - settings_.slowStartInitialShare) / settings_.slowStartDuration : 0;
  return growth > 0 ? (std::sqrt(rate * rate + 2 * growth) - rate) / growth : 1 / rate;
}

void DispatchPolicy::recordSlowStartSend(Route& p) {
  if (p.outage || p.warmingUp)
    p.nextSlowStartSendAt = state_.now + slowStartInterval(p) * (0.75 + 0.5 * randomShare());
}

bool DispatchPolicy::mayUseRoute(Route& p) {
  if (!isReached(std::max({p.retryAfterUntil, p.backoffUntil, p.nextPacedRequestAt}))) return false;
  if (p.warmingUp && state_.now - p.warmUpStartedAt >= settings_.slowStartDuration) {
    p.warmingUp = p.outageConfirmed = false;
    recheckEndpoints(p);
  }
  if (!p.outage && !p.warmingUp) return true;
  if (p.outage && settings_.mayHealthCheck) return false;
  isReached(p.warmingUp ? std::min(p.nextSlowStartSendAt, p.warmUpStartedAt + settings_.slowStartDuration)
                        : p.nextSlowStartSendAt);
  return state_.now >= p.nextSlowStartSendAt;
}

// A lost room gets nothing, one that returns is fed along its curve, and strangers keep to their part of a
// room. What cannot go anywhere waits; how long that will be is not known, so it is asked again before long.
bool DispatchPolicy::mayUseZone(const Endpoint& e) {
  return isReached(std::min(state_.zones.attemptAllowedFrom(e.destination->id, e.zone),
                            state_.now + settings_.overloadWindow));
}

double DispatchPolicy::weightAt(const Message& c, Millis at) const {
  const TrafficType& t = type(c);
  if (at > c.deadline) return 0;
  Millis late = at - (c.deadline - t.deadlineAfter) - t.latencyObjective;
  return t.priorityWeight * t.weightShareAt(late, settings_.decay) *
         (c.overQuota ? settings_.overQuotaWeightShare : 1);
}

bool DispatchPolicy::mayHaveExecuted(const Message& c) const {
  return std::any_of(c.attempts.begin(), c.attempts.end(),
                     [&](const Attempt& l) { return mayHaveExecuted(l); });
}

// No effect twice. A margin of the window is left, for a repeat that reaches the endpoint late.
bool DispatchPolicy::mayAttempt(const Message& c, const Endpoint* to, const Attempt* self) const {
  const TrafficType& t = type(c);
  if (static_cast<int>(c.attempts.size()) - (self != nullptr) >= settings_.maxAttempts) return false;
  if (t.idempotency == Idempotency::idempotent) return true;
  for (const Attempt& l : c.attempts) {
    if (!mayHaveExecuted(l) || &l == self) continue;
    if (t.idempotency == Idempotency::nonIdempotent) return false;
    if (state_.now >= l.sentAt + t.deduplicationWindow * (1 - kWindowMargin)) return false;
    if (to != nullptr && t.deduplicationScope == DeduplicationScope::zone && l.endpoint->zone != to->zone)
      return false;
  }
  return true;
}

// A attempt begins when its connection is up, which may be late: it must be one that would be allowed now.
bool DispatchPolicy::mayStartAttempt(MessageId id, int launch) const {
  auto at = state_.messages.find(id);
  if (at == state_.messages.end() || at->second.finished) return false;
  const Attempt& l = at->second.attempts.at(static_cast<std::size_t>(launch));
  const Endpoint& e = *l.endpoint;
  return e.state == EndpointState::ready && state_.now >= e.route->retryAfterUntil &&
         mayAttempt(at->second, &e, &l);
}

// A shed reply promises that trying again is harmless.
bool DispatchPolicy::mayShed(const Message& c) const {
  const TrafficType& t = type(c);
  if (t.idempotency == Idempotency::idempotent || !mayHaveExecuted(c)) return true;
  return t.idempotency == Idempotency::idempotentWithKey &&
         t.deduplicationScope == DeduplicationScope::destination && mayAttempt(c, nullptr);
}

bool DispatchPolicy::isNextInOrder(MessageId id, const Message& c) {
  if (!type(c).ordered || c.orderingKey.value == 0 || !c.attempts.empty()) return true;
  const OrderedQueue& line = state_.orderedQueues[c.orderingKey];
  if (line.messages.empty() || line.messages.front() != id) return false;
  return isReached(line.pausedUntil);
}

int DispatchPolicy::maxBatchSize(const Endpoint& e) const {
  return e.kind.value < settings_.kinds.size() ? settings_.kinds[e.kind.value].maxBatchSize : 1;
}

// Further messages in a call weigh less than a call; to a cold route a full call would be a push of its own.
bool DispatchPolicy::mayJoinBatch(const Endpoint& e) {
  if (e.batchRound != state_.round || e.batchSize >= maxBatchSize(e)) return false;
  const Route& p = *e.route;
  return !(p.outage || p.warmingUp) ||
         1 + kFurtherWeight * e.batchSize <=
             std::max(kColdCall, settings_.overloadWindow / slowStartInterval(p));
}

bool DispatchPolicy::hasCapacity(const Route& p, const Endpoint& e) {
  if (mayJoinBatch(e)) return true;
  bool single = p.consecutiveRejections > 0 && !isPaced(p);
  int most = single ? 1 : std::max(1, static_cast<int>(p.concurrencyLimit));
  if (single) {  // calls that hang say nothing of a limit, and must not keep the rest shut
    for (const Endpoint* o : p.endpoints) most += o->unresponsive ? o->requestsInFlight : 0;
  }
  if (state_.requestsInFlight >= settings_.maxConcurrentRequests || p.requestsInFlight >= most) return false;
  int out = e.destination->requestsInFlight;  // also those at endpoints that drain
  return out < std::max(1, static_cast<int>(settings_.maxConcurrentRequests * kWindowTop));
}

// Failing while others of its destination work: until a health check is answered or, with none allowed, for a
// while.
bool DispatchPolicy::isEjected(const Endpoint& e) {
  return e.consecutiveFailures >= kFailuresToAvoid &&
         (settings_.mayHealthCheck || state_.now < ejectionEndsAt(e) || e.requestsInFlight > 0);
}

Millis DispatchPolicy::ejectionEndsAt(const Endpoint& e) const {
  return e.lastFailureAt +
         std::min(settings_.slowStartDuration, settings_.overloadWindow * e.consecutiveFailures);
}

// First in rank, the next when that one has enough: its part of the window, or failures while others work.
Endpoint* DispatchPolicy::selectEndpoint(const Message& c, bool copy) {
  Endpoint* best = nullptr;
  std::tuple<bool, bool, int> bestPlace;
  for (Endpoint* to : c.destination->ranking) {
    Endpoint& e = *to;
    Route& p = *e.route;
    bool used = std::any_of(c.attempts.begin(), c.attempts.end(),
                            [&](const Attempt& l) { return l.endpoint == to && (copy || l.pending); });
    if (used || !mayAttempt(c, &e)) continue;
    if (copy && (p.outage || p.warmingUp || p.consecutiveRejections > 0 ||
                 p.concurrencyLimit < p.requestsInFlight + 2 || isEjected(e)))
      continue;
    if (!mayUseZone(e) || (!mayJoinBatch(e) && (!mayUseRoute(p) || !hasCapacity(p, e)))) continue;
    int enough = std::max(1, static_cast<int>(std::ceil(p.concurrencyLimit /
                                                        static_cast<double>(c.destination->ranking.size()))));
    bool has = !mayJoinBatch(e) && e.requestsInFlight >= enough;
    auto place = std::tuple(isEjected(e), has, has ? e.requestsInFlight : 0);
    if (best == nullptr || place < bestPlace) {
      best = to;
      bestPlace = place;
    }
  }
  return best;
}

Decision DispatchPolicy::sendAttempt(MessageId id, Endpoint& e, bool copy) {
  Message& c = state_.messages[id];
  Route& p = *e.route;
  Millis idle = e.lastUsedAt >= 0 && e.requestsInFlight == 0 ? state_.now - e.lastUsedAt : 0;
  if (mayJoinBatch(e)) {
    ++e.batchSize;
    if (p.outage || p.warmingUp) p.nextSlowStartSendAt += kFurtherWeight * slowStartInterval(p);
  } else {
    state_.openRequest(e);
    recordSlowStartSend(p);
    recoverRate(p);
    if (isPaced(p)) {
      Millis gap = requestInterval(p);
      p.nextPacedRequestAt = std::max(p.nextPacedRequestAt, state_.now - kPaceDepth * gap) + gap;
    } else if (p.consecutiveRejections > 0) {
      p.backoffUntil = std::max(p.backoffUntil, state_.now + backoff(p));
    }
  }
  ++state_.requests[e.batchRequestId].openAttempts;
  // First attempts earn, hedges need a whole one, repeats of what may have run draw what there is.
  if (c.attempts.empty()) {
    state_.retryBudget = std::min<double>(settings_.maxConcurrentRequests, state_.retryBudget + kBudgetRatio);
  } else if (copy || mayHaveExecuted(c)) {
    state_.retryBudget = std::max(0.0, state_.retryBudget - 1);
  }
  Millis span = c.deadline - state_.now;
  if (!settings_.mayCancel && type(c).idempotency != Idempotency::nonIdempotent) {
    span = std::min(span, std::max(type(c).latencyObjective, kStuck * typicalLatency(p, type(c)).p95));
  }
  c.hedged = c.hedged || copy;
  bool spilled = state_.zones.recordAttempt(state_.now, e.destination->id, e.zone);
  c.attempts.push_back({.endpoint = &e,
                        .sentAt = state_.now,
                        .connectionIdleTime = idle,
                        .requestId = e.batchRequestId,
                        .isHedge = copy,
                        .isSpillover = spilled});
  state_.updateIndexes(id, c);
  isReached(state_.now + silenceThreshold(c, p));
  lastRound_.lastAttemptRound = state_.round;
  return SendAttempt{id, e.id, static_cast<int>(c.attempts.size()) - 1, span};
}

// Whether that time has come; if not, we want to be woken then.
bool DispatchPolicy::isReached(Millis at) {
  if (at > state_.now && (nextWakeAt_ < 0 || at < nextWakeAt_)) nextWakeAt_ = at;
  return state_.now >= at;
}

Millis DispatchPolicy::silenceThreshold(const Message& c, const Route& p) const {
  return kSilent * std::max(typicalLatency(p, type(c)).p95, kDelayLeast * type(c).latencyObjective);
}

// A hung endpoint gives no late answer to learn from: a route with nothing answered for long since an attempt
// went out is taken for out. Looked at once a round, and again after an answer.
void DispatchPolicy::detectUnresponsive() {
  if (isQuiet() || std::exchange(scan_.silenceRound, state_.round) == state_.round) return;
  for (MessageId id : state_.messagesWithPendingAttempts) {
    Message& c = state_.messages.at(id);
    for (Attempt& l : c.attempts) {
      if (!l.pending || c.responseStarted) continue;
      Endpoint& e = *l.endpoint;
      Route& p = *e.route;
      Millis silence = silenceThreshold(c, p);
      if (isReached(l.sentAt + silence) && !p.outage && p.lastSuccessAt <= l.sentAt)
        beginOutage(p, p.outageConfirmed);
      // One endpoint of several hangs: by a call that nothing overtook, or by several since the last answer.
      // Danger: with all concurrent requests out attempts are called off before one is out for so long.
      Millis since = e.consecutiveTimeouts >= kUnheard ? std::min(e.firstTimeoutSentAt, l.sentAt) : l.sentAt;
      bool hangs = e.requestsInFlight >= (e.lastSuccessAt <= since ? 1 : kFailuresToAvoid);
      if (e.unresponsive || !hangs || !isReached(std::max(since, e.lastSuccessAt) + silence)) continue;
      e.unresponsive = true;
      state_.recordFailure(e, std::max(e.consecutiveFailures, kFailuresToAvoid));
      if (!p.outage && p.lastSuccessAt <= since && p.allFailed(kFailuresToAvoid))
        beginOutage(p, p.outageConfirmed);
    }
  }
}

// The latest at which an attempt of it may still be answered in time, by what its fastest route usually
// takes.
Millis DispatchPolicy::latestUsefulAttemptAt(const Message& c) const {
  Millis latest = c.destination->ranking.empty() ? c.deadline : -1;
  for (const Endpoint* e : c.destination->ranking)
    latest = std::max(latest, c.deadline - kChanceLeast * typicalLatency(*e->route, type(c)).p50);
  return latest;
}

Decision DispatchPolicy::shed(MessageId id, Millis away) {
  return ShedMessage{finish(id), settings_.mayAdviseRetryAfter ? std::min(away, settings_.maxRetryAfter) : 0};
}

// Danger: what waits in vain and never ran passes for failed, as if it had been tried. In a large fleet
// each dispatcher has few calls to a destination, and many wait so. It is shed, once no attempt can be
// answered in time. Not before, though its route may be known to open too late: its client would come again
// and push there.
std::optional<Decision> DispatchPolicy::nextDueAnswer() {
  for (const auto& [limit, id] : state_.deadlines) {
    if (!isReached(limit)) break;
    const Message& c = state_.messages.at(id);
    if (!c.responseStarted)
      return mayHaveExecuted(c) ? Decision(FailMessage{finish(id)}) : Decision(ShedMessage{finish(id), 0});
  }
  while (!state_.retryExhaustionTimes.empty() && isReached(state_.retryExhaustionTimes.begin()->first)) {
    MessageId id = state_.retryExhaustionTimes.begin()->second;
    state_.retryExhaustionTimes.erase(state_.retryExhaustionTimes.begin());
    const Message* c = state_.find(id);
    if (c == nullptr || c->finished || !c->hasNoPendingAttempt()) continue;
    if (!mayAttempt(*c, nullptr)) return FailMessage{finish(id)};
    if (mayHaveExecuted(*c)) continue;
    Millis latest = latestUsefulAttemptAt(*c);
    if (state_.now >= latest) return shed(id, 0);
    state_.retryExhaustionTimes.insert({latest, id});
  }
  return std::nullopt;
}

// Beyond the most that may be held the front turns messages away unseen: make room by what is worth least.
// In a line the oldest has the least left.
std::optional<Decision> DispatchPolicy::nextEviction() {
  bool full =
      state_.messagesInFlight > std::max(1, static_cast<int>(settings_.maxInFlight * (1 - kRoomKept)));
  if (!full && !state_.zones.isEnabled()) return std::nullopt;
  std::optional<MessageId> least;
  double leastGain = 0;
  Millis away = 0;
  for (const Destination* d : state_.destinationsWithWaiting) {
    if (!full && !state_.zones.isBacklogTooLong(d->id)) continue;
    const Route* p = d->ranking.empty() ? nullptr : d->ranking.front()->route;
    Millis opens = p == nullptr ? state_.now
                                : std::max({state_.now, p->retryAfterUntil,
                                            p->outage ? state_.now + settings_.slowStartDuration : 0});
    opens = std::max(opens, state_.now + state_.zones.backlogDelay(d->id));
    for (const auto& [kind, line] : d->waitQueue.lists()) {
      bool alike = !kind.attempted || settings_.types[kind.type.value].idempotency == Idempotency::idempotent;
      for (const auto& [limit, id] : line) {
        const Message& c = state_.messages.at(id);
        if (!alike && !mayShed(c)) continue;
        double gain = weightAt(c, opens);
        if (!least || gain < leastGain || (gain <= leastGain && id < *least)) {
          least = id;
          leastGain = gain;
          away = opens - state_.now;
        }
        break;
      }
    }
  }
  if (!least) return std::nullopt;
  return shed(*least, away);
}

std::optional<Decision> DispatchPolicy::nextLosingAttempt() {
  while (!state_.losingAttempts.empty()) {
    auto [id, n] = state_.losingAttempts.front();
    state_.losingAttempts.pop_front();
    Message* c = state_.find(id);
    if (c == nullptr || !settings_.mayCancel || !c->attempts[n].pending) continue;
    c->attempts[n].cancelled = true;
    if (!c->attempts[n].isHedge) c->attempts[n].endpoint->recordTimeout(c->attempts[n].sentAt);
    return CancelAttempt{id, n};
  }
  return std::nullopt;
}

// A attempt that later ones have overtaken is lost: call it off while a repeat is still allowed. With all
// concurrent requests out, so is any long overdue, even when that ends its message. The more stay unanswered
// the sooner, for lost answers would hold all concurrent requests.
std::optional<Decision> DispatchPolicy::nextStuckAttempt() {
  if (!settings_.mayCancel) return std::nullopt;
  bool wanted = state_.requestsInFlight >= settings_.maxConcurrentRequests;
  if (!wanted && isQuiet()) return std::nullopt;
  beginScan();
  if (wanted && !std::exchange(scan_.slotsWereShort, wanted)) scan_.stuckNext = {};
  for (auto at = state_.messagesWithPendingAttempts.lower_bound(scan_.stuckNext);
       at != state_.messagesWithPendingAttempts.end(); ++at) {
    MessageId id = *at;
    scan_.stuckNext = MessageId{id.value + 1};
    Message& c = state_.messages.at(id);
    if (c.finished || c.responseStarted) continue;
    bool repeat = mayAttempt(c, nullptr);
    for (std::size_t n = 0; n < c.attempts.size(); ++n) {
      Attempt& l = c.attempts[n];
      if (!l.pending || l.cancelled) continue;
      const Route& p = *l.endpoint->route;
      Millis p95 = typicalLatency(p, type(c)).p95;
      Millis stuck = l.sentAt + (kStuckLost + (kStuck - kStuckLost) * state_.timeoutScale) * p95;
      isReached(stuck);
      bool overtaken = repeat && !p.outage && p.lastSuccessSentAt > l.sentAt;
      bool lost = repeat ||
                  state_.now - l.sentAt > (p.outage || l.endpoint->unresponsive ? kStuck : 2 * kStuck) * p95;
      if (state_.now < stuck || !(overtaken || (wanted && lost))) continue;
      l.cancelled = true;
      l.endpoint->recordTimeout(l.sentAt);
      state_.timeoutScale *= 1 - kPatienceCut;
      scan_.stuckNext = id;  // another attempt of it may be stuck too
      return CancelAttempt{id, static_cast<int>(n)};
    }
  }
  return std::nullopt;
}

std::optional<Decision> DispatchPolicy::nextHedge() {
  // Hedges are the first to stop: while concurrent requests are short they would take what first attempts
  // need.
  bool may = settings_.mayHedge && state_.retryBudget >= 1 &&
             state_.requestsInFlight < settings_.maxConcurrentRequests * kCopySlots;
  if ((std::exchange(lastRound_.mayHedge, may) && isQuiet()) || !may) return std::nullopt;
  beginScan();
  for (auto at = state_.messagesWithPendingAttempts.lower_bound(scan_.hedgeNext);
       at != state_.messagesWithPendingAttempts.end(); ++at) {
    MessageId id = *at;
    scan_.hedgeNext = MessageId{id.value + 1};
    Message& c = state_.messages.at(id);
    if (c.finished || c.responseStarted || c.hedged || type(c).idempotency == Idempotency::nonIdempotent)
      continue;
    if (!c.attempts.back().pending || c.attempts.back().cancelled) continue;
    const Attempt& l = c.attempts.back();
    Millis due = l.sentAt + hedgeDelay(c, *l.endpoint, *l.endpoint->route, l.sentAt);
    if (!isReached(due)) continue;
    if (Endpoint* to = selectEndpoint(c, true)) return sendAttempt(id, *to, true);
  }
  return std::nullopt;
}

// Of a line the one that loses most by waiting. How much that is follows from the deadline alone, and
// turns from rising to falling only where the time left meets one of a few spans: the best stands beside one.
template <class Visit>
void DispatchPolicy::visitMostUrgent(const WaitList& line, const TrafficType& t, Millis from,
                                     Visit visit) const {
  Millis step = kUrgencyStep * t.latencyObjective;
  Millis lateAgain = t.deadlineAfter - t.latencyObjective;
  WaitQueue::visitAround(line, {from, from + step, from + lateAgain, from + step + lateAgain}, visit);
  if (settings_.decay != WeightDecay::halving || t.lateWeightShare <= 0) return;
  Millis floor =
      lateAgain + t.latencyObjective * std::log2(t.lateWeightShare);  // from there on nothing more is lost
  WaitQueue::visitAround(line, {from + floor, from + step + floor}, visit);
}

std::optional<Decision> DispatchPolicy::nextAttempt() {
  std::optional<MessageId> best;
  Endpoint* bestTo = nullptr;
  std::tuple<double, Millis> bestPlace;
  auto consider = [&](MessageId id, const Message& c, Endpoint* to) {
    Millis latency = typicalLatency(*to->route, type(c)).p50;
    auto gainIn = [&](Millis late) { return weightAt(c, state_.now + latency + late); };
    double lost = gainIn(0) - gainIn(kUrgencyStep * type(c).latencyObjective);  // by waiting
    auto place = std::tuple(lost / std::max(1.0, latency), -c.deadline);        // for a slot's time
    if (best && (place < bestPlace || (place == bestPlace && *best <= id))) return;
    best = id;
    bestTo = to;
    bestPlace = place;
  };
  for (const Destination* d : state_.destinationsWithWaiting) {
    auto open = [&](Endpoint* e) {
      return mayJoinBatch(*e) || (mayUseRoute(*e->route) && hasCapacity(*e->route, *e));
    };
    // All are asked, since each wants to be woken when it opens.
    if (std::count_if(d->ranking.begin(), d->ranking.end(), open) == 0) continue;
    for (const auto& [kind, line] : d->waitQueue.lists()) {
      const TrafficType& t = settings_.types[kind.type.value];
      if (!kind.attempted && !t.ordered) {  // what one of them may, all may
        Endpoint* to = selectEndpoint(state_.messages.at(line.begin()->second), false);
        if (to == nullptr) continue;
        visitMostUrgent(line, t, state_.now + typicalLatency(*to->route, t).p50,
                        [&](MessageId id) { consider(id, state_.messages.at(id), to); });
        continue;
      }
      for (const auto& [limit, id] : line) {
        const Message& c = state_.messages.at(id);
        if (!isNextInOrder(id, c) || !isReached(c.retryNotBefore)) continue;
        if (Endpoint* to = selectEndpoint(c, false)) consider(id, c, to);
      }
    }
  }
  if (!best) return std::nullopt;
  if (bestTo->requestsInFlight == 0 && bestTo->lastUsedAt >= 0 &&
      state_.now - bestTo->lastUsedAt > state_.reusableIdleTime) {
    bestTo->lastUsedAt = -1;
    return CloseIdleConnection{bestTo->id};
  }
  return sendAttempt(*best, *bestTo, false);
}

// An idle connection takes a place in the endpoint's table, and may have died unseen: what is sent on it then
// fails and may have run. It is kept only where the next call is expected while it is still good: after the
// last time between two calls there or, not known, our calls spread over all endpoints.
std::optional<Decision> DispatchPolicy::nextIdleConnection() {
  while (!state_.idleEndpoints.empty()) {
    Endpoint& e = *state_.idleEndpoints.front();
    state_.idleEndpoints.pop_front();
    Millis spread = (state_.now - state_.startedAt) * static_cast<double>(state_.endpoints.size()) /
                    std::max(1, state_.requestCount);
    if (e.requestsInFlight > 0 || e.lastUsedAt < 0 ||
        (e.lastRequestInterval >= 0 ? e.lastRequestInterval : spread) <= state_.reusableIdleTime)
      continue;
    e.lastUsedAt = -1;
    return CloseIdleConnection{e.id};
  }
  return std::nullopt;
}

// Whether a destination is back shows by a health check at a time, so that no message is bound to a lost
// attempt.
std::optional<Decision> DispatchPolicy::nextHealthCheck() {
  if (!settings_.mayHealthCheck) return std::nullopt;
  while (!state_.scheduledHealthChecks.empty() && isReached(state_.scheduledHealthChecks.begin()->first)) {
    state_.healthCheckCandidates.insert(
        state_.scheduledHealthChecks.extract(state_.scheduledHealthChecks.begin()).value().second);
  }
  while (!state_.healthCheckCandidates.empty()) {
    EndpointId id = *state_.healthCheckCandidates.begin();
    state_.healthCheckCandidates.erase(state_.healthCheckCandidates.begin());
    auto known = state_.endpoints.find(id);
    if (known == state_.endpoints.end()) continue;
    Endpoint& e = known->second;
    Route& p = *e.route;
    if (e.state != EndpointState::ready || (!p.outage && e.consecutiveFailures < kFailuresToAvoid)) continue;
    bool turn = p.outage && p.endpoints[p.healthCheckTurn % p.endpoints.size()] == &e;
    if (p.healthCheckPending || (!turn && p.outage))
      continue;  // looked at again when the health check has ended
    Millis rest = std::max(ejectionEndsAt(e),
                           e.lastFailureAt + std::min(settings_.slowStartDuration,
                                                      settings_.overloadWindow * settings_.dispatcherCount));
    Millis due = std::max({p.outage || p.warmingUp ? p.nextSlowStartSendAt : rest, p.retryAfterUntil,
                           p.backoffUntil, state_.zones.healthCheckAllowedFrom(e.zone)});
    if (!isReached(due)) {
      state_.scheduledHealthChecks.insert({due, id});
      continue;
    }
    if (p.outage) ++p.healthCheckTurn;
    p.healthCheckPending = true;
    recordSlowStartSend(p);
    state_.zones.recordHealthCheck(state_.now, e.zone);
    return SendHealthCheck{id};
  }
  return std::nullopt;
}

std::optional<Decision> DispatchPolicy::nextTimer() {
  quietUntil_ = lastRound_.lastAttemptRound == state_.round
                    ? -1
                    : nextWakeAt_;  // an attempt may show in those before it
  if (nextWakeAt_ < 0 || (state_.timerSetFor > state_.now && state_.timerSetFor <= nextWakeAt_))
    return std::nullopt;
  state_.timerSetFor = nextWakeAt_;
  return SetTimer{nextWakeAt_};
}

std::optional<Decision> DispatchPolicy::nextDecision() {
  detectUnresponsive();
  for (auto step :
       {&DispatchPolicy::nextDueAnswer, &DispatchPolicy::nextEviction, &DispatchPolicy::nextLosingAttempt,
        &DispatchPolicy::nextStuckAttempt, &DispatchPolicy::nextHedge, &DispatchPolicy::nextAttempt,
        &DispatchPolicy::nextIdleConnection, &DispatchPolicy::nextHealthCheck}) {
    if (auto d = (this->*step)()) return d;
  }
  return nextTimer();
}

}  // namespace stonewing
