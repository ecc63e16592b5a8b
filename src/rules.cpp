// The decisions of stonewing, all of them, for one instance. The interface is in rules.h.
// Construct with the terms of the deployment and the seed; for each batch call roundBegins(now), the inputs
// in the order in which they came (they only update what is known), then next() until it returns nothing, and
// carry out each decision in order. Nothing is shared, and the same inputs give the same decisions. "Route"
// is what waits, windows and outages belong to: a destination, or one endpoint of it where routes are apart.
#include "rules.h"

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

Rules::Rules(DeploymentSettings terms, std::uint64_t seed)
    : terms_(std::move(terms)),
      chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      s_(ZoneFailover(terms_, mix(seed))) {
  s_.reusableIdleTime = terms_.connectionIdleTimeout;
  for (double quota : terms_.tenantQuotaPerSecond) {
    s_.tenantQuotas.push_back({std::max(1.0, kTenantBurst * quota / terms_.dispatcherCount)});
  }
}

double Rules::draw() { return static_cast<double>(chance_()) / 4294967296.0; }

void Rules::roundBegins(Millis now) {
  s_.now = now;
  ++s_.round;
  wakeWanted_ = -1;
  if (s_.startedAt < 0) s_.startedAt = now;
  if (s_.timerSetFor <= now) s_.timerSetFor = -1;
}

void Rules::listBegins() { s_.listedEndpoints.clear(); }

void Rules::listed(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
                   EndpointState phase) {
  Endpoint& e = s_.endpoints[id];
  e.id = id;
  e.destination = &s_.destinations[destination];
  e.destination->id = destination;
  e.kind = kind;
  e.zone = zone;
  e.weight = weight;
  e.state = phase;
  bool apart = kind.value < terms_.kinds.size() && terms_.kinds[kind.value].routesApart;
  auto [at, fresh] = s_.routes.try_emplace(apart ? PolicyState::ownRoute(id) : RouteId{destination.value});
  if (fresh)
    at->second.concurrencyLimit = std::max(1.0, std::floor(terms_.maxConcurrentRequests * kWindowStart));
  e.route = &at->second;
  e.route->destination = e.destination;
  s_.listedEndpoints.insert(id);
}

void Rules::listEnds(bool whole) {
  quietUntil_ = -1;
  for (auto& [destination, d] : s_.destinations) d.ranking.clear();
  for (auto& [id, p] : s_.routes) p.endpoints.clear();
  s_.zones.beginEndpointList();
  for (auto& [id, e] : s_.endpoints) {
    if (whole && !s_.listedEndpoints.contains(id)) e.state = EndpointState::removed;
    if (e.state != EndpointState::ready) continue;
    e.route->endpoints.push_back(&e);
    e.destination->ranking.push_back(&e);
    s_.zones.addEndpoint(id, e.destination->id, e.zone);
    if (e.route->outage || e.consecutiveFailures > 0) s_.healthCheckCandidates.insert(id);
  }
  s_.zones.commitEndpointList(s_.now);
  for (auto& [id, p] : s_.routes) {  // most may have started at this instant: they begin spread by chance
    if (p.nextPacedRequestAt < 0 && paced(p))
      p.nextPacedRequestAt = std::max(0.0, s_.now - draw() * kPaceDepth * paceGap(p));
  }
  // Fixed for each destination; the own zone goes first, since crossing zones takes time and is priced.
  auto place = [&](const Endpoint* e) {
    return std::tuple(s_.zones.priority(e->destination->id, e->zone),
                      mix(e->id.value ^ mix(terms_.dispatcherIndex)), e->id);
  };
  for (auto& [destination, d] : s_.destinations) {
    std::sort(d.ranking.begin(), d.ranking.end(),
              [&](const Endpoint* a, const Endpoint* b) { return place(a) < place(b); });
  }
  s_.forgetRemovedEndpoints(kForgotten * terms_.slowStartDuration);
}

void Rules::taken(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key,
                  DestinationId destination, Millis outerLimit) {
  if (type.value >= terms_.types.size()) throw std::out_of_range("a callback of an unknown traffic type");
  Message& c = s_.accept(id, type, tenant, key, destination, outerLimit);
  if (tenant.value < s_.tenantQuotas.size()) {
    TenantQuota& t = s_.tenantQuotas[tenant.value];
    // Dispatchers carry unlike loads: our part of a quota is an even one, or what came here so far.
    double quota = std::max(terms_.tenantQuotaPerSecond[tenant.value] / terms_.dispatcherCount / 1000,
                            ++t.acceptedCount / std::max(terms_.slowStartDuration, s_.now - s_.startedAt));
    t.tokens = std::min(std::max(1.0, quota * kTenantBurst * 1000),
                        t.tokens + quota * (s_.now - std::exchange(t.refilledAt, s_.now)));
    c.overQuota = t.tokens < 1;
    if (!c.overQuota) t.tokens -= 1;
  }
  if (terms_.types[type.value].ordered && key.value != 0) s_.orderedQueues[key].messages.push_back(id);
  s_.deadlines.insert({outerLimit, id});
  s_.updateIndexes(id, c);
  s_.retryExhaustionTimes.insert({latestLaunch(c), id});
}

// After a restart: what was out may have run, for the rules on effects and for the count of attempts.
void Rules::launchedBefore(MessageId id, EndpointId endpoint, Millis sent, bool neverRan) {
  Message& c = s_.messages.at(id);
  c.attempts.push_back({.endpoint = &s_.endpoints.at(endpoint),
                        .sentAt = sent,
                        .pending = false,
                        .provablyNotExecuted = neverRan});
  if (!neverRan && type(c).ordered)
    s_.orderedQueues[c.orderingKey].pausedUntil = s_.now + terms_.orderingPause;
  s_.retryExhaustionTimes.insert({s_.now, id});
  s_.updateIndexes(id, c);
}

void Rules::launchEnded(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool isOver,
                        Millis wait, LoadReport report) {
  Message* c = s_.find(id);
  if (c == nullptr || launch >= static_cast<int>(c->attempts.size()) || !c->attempts[launch].pending) return;
  Attempt& l = c->attempts[launch];
  Endpoint& e = *l.endpoint;
  Route& p = *e.route;
  l.pending = c->responseStarted = false;
  quietUntil_ = -1;
  l.provablyNotExecuted =
      ending == AttemptOutcome::rejected || ending == AttemptOutcome::connectFailed || isUnsent(ending);
  s_.releaseRequest(l);
  e.lastUsedAt = s_.now;
  Millis leastTrust =
      kTrustLeast * terms_.connectionIdleTimeout;  // connections also break that were hardly idle
  // A new connection refused with no report, where answers hold one: not by the limit, the table is full.
  bool shutOut = ending == AttemptOutcome::rejected && s_.loadReportSeen && report.rateLimit < 0 &&
                 wait <= 0 && l.connectionIdleTime <= 0;
  if (shutOut ||
      (ending == AttemptOutcome::connectFailed && p.lastSuccessAt > s_.now - terms_.slowStartDuration)) {
    s_.reusableIdleTime *= kTrustCut;  // calls complete there, so its table is full
  } else if (l.connectionIdleTime > leastTrust && ending == AttemptOutcome::reset) {
    s_.reusableIdleTime = std::min(s_.reusableIdleTime, kTrustCut * l.connectionIdleTime);
  } else if (l.connectionIdleTime > kTrustCut * s_.reusableIdleTime && ending == AttemptOutcome::completed) {
    s_.reusableIdleTime = std::min(terms_.connectionIdleTimeout, kTrustGrowth * s_.reusableIdleTime);
  }
  s_.reusableIdleTime = std::max(s_.reusableIdleTime, leastTrust);
  noteReport(p, e, report);
  bool own = ending == AttemptOutcome::rejected && report.rateLimit < 0 && p.reportedRateLimit >= 0 &&
             wait <= 0;  // not by the limit
  p.retryAfterUntil =
      std::max(p.retryAfterUntil, s_.now + wait);  // also where only some of a call were refused
  // Sooner than any answer, on a kept connection: that one had ended, which tells nothing of the endpoint.
  bool worn = ending == AttemptOutcome::reset && l.connectionIdleTime > 0 && spent < usual(p, type(*c)).p50;
  bool cutShort = ending == AttemptOutcome::timeout && s_.now >= c->deadline;  // perhaps only sent late
  if (ending == AttemptOutcome::completed) {
    noteOk(p, e, l.sentAt, spent);
  } else if (own && p.endpoints.size() > 1) {
    s_.recordFailure(e, e.consecutiveFailures + 1);
  } else if (ending == AttemptOutcome::rejected) {
    noteRefusal(p, e, wait, l.sentAt);
  } else if (ending != AttemptOutcome::cancelled && !isUnsent(ending) && !worn &&
             !(cutShort && s_.now - l.sentAt <= kLate * usual(p, type(*c)).p95)) {
    noteFailure(p, e, l.sentAt, ending);
  }
  if (ending == AttemptOutcome::timeout || ending == AttemptOutcome::reset ||
      ending == AttemptOutcome::cancelled) {
    auto line = s_.orderedQueues.find(c->orderingKey);
    if (type(*c).ordered && line != s_.orderedQueues.end())
      line->second.pausedUntil = s_.now + terms_.orderingPause;
  }
  bool atOnce =
      worn || (l.provablyNotExecuted &&
               ending != AttemptOutcome::localResourceExhausted);  // what we lacked we may lack still
  c->retryNotBefore = s_.now + (atOnce ? 0 : kRetryPause * usual(p, type(*c)).p50);
  s_.updateIndexes(id, *c);
  Millis at = anyMayHaveRun(*c) ? spentAt(*c) : std::min(spentAt(*c), latestLaunch(*c));
  if (c->hasNoPendingAttempt() && at < c->deadline) s_.retryExhaustionTimes.insert({at, id});
  if (ending != AttemptOutcome::cancelled && !isUnsent(ending)) seen_ = {};
  if (isOver || ending == AttemptOutcome::completed) over(id);
  s_.forgetFinished(id);
}

// When a settled message may have no attempt left: now, or when the window of one that may have run closes.
Millis Rules::spentAt(const Message& c) const {
  const TrafficType& t = type(c);
  if (t.idempotency == Idempotency::idempotent || !repeatAllowed(c, nullptr))
    return repeatAllowed(c, nullptr) ? c.deadline : s_.now;
  Millis at = c.deadline;
  for (const Attempt& l : c.attempts) {
    if (mayHaveRun(l)) at = std::min(at, l.sentAt + t.deduplicationWindow * (1 - kWindowMargin));
  }
  return at;
}

// The message is finished: attempts still out are losers, to be cancelled.
MessageId Rules::over(MessageId id) {
  Message* c = s_.find(id);
  if (c == nullptr || c->finished) return id;
  c->finished = true;
  --s_.messagesInFlight;
  for (std::size_t n = 0; n < c->attempts.size(); ++n) {
    if (c->attempts[n].pending && !c->attempts[n].cancelled)
      s_.losingAttempts.emplace_back(id, static_cast<int>(n));
  }
  s_.updateIndexes(id, *c);
  s_.forgetFinished(id);
  return id;
}

void Rules::addSample(LatencyReservoir& samples, Millis spent) {
  samples.add(spent, kReservoir, chance_);
  bool young = samples.samples.size() <= kEnoughSamples;
  if (!young && s_.now - samples.computedAt < kRecompute) return;
  samples.computedAt = s_.now;
  samples.quantiles = {samples.quantile(kQuantile), samples.quantile(0.5)};
}

// What a route usually takes: by its own samples, the instance's or, with neither, the latency objective.
LatencyQuantiles Rules::usual(const Route& p, const TrafficType& t) const {
  if (p.latencies.samples.size() >= kEnoughPooled) return p.latencies.quantiles;
  LatencyQuantiles known{t.latencyObjective * kDelayUnknown, t.latencyObjective * kDelayUnknown / kLate};
  if (s_.latencies.samples.size() >= kEnoughSamples) known = s_.latencies.quantiles;
  return {std::max(known.p95, p.latencies.quantiles.p95), known.p50};
}

Millis Rules::copyDelay(const Message& c, const Endpoint& e, const Route& p, Millis sent) const {
  const TrafficType& t = type(c);
  Millis p95 = e.latencies.samples.size() >= kEnoughSamples ? e.latencies.quantiles.p95 : usual(p, t).p95;
  Millis clamped = std::clamp(p95, t.latencyObjective * kDelayLeast, t.latencyObjective * kDelayMost);
  return std::min(clamped, (c.deadline - sent) / 2);
}

// One episode cuts once: attempts sent before the last cut belong to the same trouble.
void Rules::cut(Route& p, Millis sent) {
  if (sent < p.lastDecreaseAt) return;
  p.lastDecreaseAt = s_.now;
  p.timelyResponses = 0;
  p.concurrencyLimit = std::max(1.0, p.concurrencyLimit * kCut);
}

// A limit on calls a second can lie under one call after the other, at one sender or at all together, and
// refused calls can use it up: then all keep it shut for each other. So the window goes on below one call in
// flight as a pause between calls, doubled by a refusal and halved by a completion. Pauses longer than our
// even part of a told limit would leave it unused.
Millis Rules::pause(const Route& p) {
  Millis gap = 1000 / shareOfCapacity(p);
  if (shareTold(p) <= 0) {
    gap = std::min(gap,
                   usual(p, terms_.types.front()).p50 * std::max(1.0, kUnknownGap * terms_.dispatcherCount));
  }
  return gap * kPauseFirst * std::exp2(p.consecutiveRejections - 1) * (0.5 + draw());
}

void Rules::outageBegins(Route& p, bool told) {
  p.outage = true;
  p.outageConfirmed = told;
  p.warmingUp = false;
  p.nextSlowStartSendAt = std::max(p.retryAfterUntil, s_.now) + coldSpacing(p) * draw();
  lookAgain(p);
}

// Something has changed by which its endpoints may be probed sooner.
void Rules::lookAgain(const Route& p) {
  quietUntil_ = -1;
  for (const Endpoint* e : p.endpoints) s_.healthCheckCandidates.insert(e->id);
}

void Rules::returned(Route& p) {
  p.outage = false;
  p.warmingUp = s_.now - p.lastSuccessAt > kBlip * terms_.overloadWindow;
  p.warmUpStartedAt = p.recentSuccessesAt = s_.now;
  p.nextSlowStartSendAt = s_.now + coldSpacing(p) * draw();
  p.successShare = 1;
  p.consecutiveRejections = 0;
  lookAgain(p);
}

void Rules::noteOk(Route& p, Endpoint& e, Millis sent, Millis spent) {
  bool enough = p.latencies.samples.size() >= kEnoughPooled;
  if (enough && spent > kLate * p.latencies.quantiles.p95) {
    cut(p, sent);
  } else if (++p.timelyResponses >= p.concurrencyLimit) {
    p.timelyResponses = 0;
    p.concurrencyLimit = std::min(std::max(1.0, std::floor(terms_.maxConcurrentRequests * kWindowTop)),
                                  p.concurrencyLimit + 1);
  }
  addSample(e.latencies, spent);
  addSample(p.latencies, spent);
  addSample(s_.latencies, spent);
  s_.timeoutScale += kPatienceGrowth * (1 - s_.timeoutScale);
  s_.recordSuccess(e, true);
  e.lastSuccessAt = s_.now;
  if (!p.warmingUp) {
    p.recentSuccesses =
        1 + p.recentSuccesses * std::exp(-(s_.now - p.recentSuccessesAt) / terms_.slowStartDuration);
    p.recentSuccessesAt = s_.now;
  }
  if (p.outage && p.outageConfirmed) returned(p);
  p.lastSuccessAt = s_.now;
  p.lastSuccessSentAt = std::max(p.lastSuccessSentAt, sent);
  if (std::exchange(p.outage, false)) lookAgain(p);
  p.successShare += kOkSharePart * (1 - p.successShare);
  p.rejectedSince = -1;
  if (sent >= p.lastRejectionAt) p.consecutiveRejections = std::max(0.0, p.consecutiveRejections - kRelief);
}

// One failure proves little, nor do a few in a row where a part of the calls breaks: an outage fails most.
void Rules::noteFailure(Route& p, Endpoint& e, Millis sent, AttemptOutcome ending) {
  bool hard =
      ending == AttemptOutcome::connectFailed;  // holds a slot for the whole time-out, and is no chance
  s_.recordFailure(e, e.consecutiveFailures + (hard ? kFailuresToAvoid : 1));
  if (hard || ending == AttemptOutcome::timeout) cut(p, sent);  // an error or a break tells nothing of load
  if (p.outage) p.outageConfirmed = true;
  if (p.outage || p.lastSuccessAt > sent) return;  // others complete: crowded or unlucky, not out
  p.successShare *= 1 - (hard ? kOkShareHard : kOkSharePart);
  if (p.successShare <= kOkShareOutage) outageBegins(p, true);
}

void Rules::noteRefusal(Route& p, Endpoint& e, Millis wait, Millis sent) {
  e.lastFailureAt = s_.now;
  if (p.rejectedSince < 0) p.rejectedSince = s_.now;
  if (sent >= p.lastRejectionAt)
    p.consecutiveRejections = std::min(p.consecutiveRejections + 1, kRefusalsMost);
  p.lastRejectionAt = s_.now;
  cut(p, sent);
  if (paced(p)) {
    easePace(p);
    p.rateHalvings = std::min(p.rateHalvings + kPaceRefused, kRefusalsMost);
    p.nextPacedRequestAt = std::max(p.nextPacedRequestAt, s_.now + wait + paceGap(p) * draw());
  } else {
    p.backoffUntil = std::max(p.backoffUntil, s_.now + wait + pause(p));
  }
  // Shut, not merely over its limit: a wait longer than a limit's span, or refusals alone for long. A limit
  // that others use up refuses us a few times in a row too, and a ramp after that would cost the service.
  bool nothingElse = p.consecutiveRejections >= kRefusalsMost &&
                     s_.now - p.rejectedSince > kShutSpans * terms_.overloadWindow;
  if (p.outage) p.outageConfirmed = true;
  if (!p.outage && (wait > kShutWait * terms_.overloadWindow || nothingElse)) outageBegins(p, true);
}

void Rules::probeEnded(EndpointId id, AttemptOutcome ending, LoadReport report) {
  auto at = s_.endpoints.find(id);
  if (at == s_.endpoints.end()) return;
  Route& p = *at->second.route;
  p.healthCheckPending = false;
  lookAgain(p);
  if (ending == AttemptOutcome::localResourceExhausted)
    at->second.lastFailureAt = s_.now;  // it rests again, and has told nothing
  if (ending == AttemptOutcome::localResourceExhausted) return;
  noteReport(p, at->second, report);
  if (ending != AttemptOutcome::completed) {
    p.outageConfirmed = true;
    s_.recordFailure(at->second, at->second.consecutiveFailures + 1);
  } else {
    if (p.outage) returned(p);
    if (!at->second.unresponsive)
      p.lastSuccessAt = s_.now;  // one hung: what is out there tells no more of the route
    s_.recordSuccess(at->second, false);
  }
}

// Danger: the answer may come from an endpoint that has gone, and its route have none left by then.
void Rules::noteReport(Route& p, const Endpoint& e, LoadReport report) {
  if (report.rateLimit < 0) return;
  p.reportedRateLimit = report.rateLimit;
  s_.loadReportSeen = true;
  easePace(p);
  if (report.rateLimit <= 0 || report.remainingShare < 0) return;
  double least = perCall(e) > 1 ? 0 : -kRefusalsMost;
  p.rateHalvings += kPaceStep * (kPaceLeft - std::min(1.0, report.remainingShare)) / kPaceLeft;
  p.rateHalvings = std::clamp(p.rateHalvings, least, kRefusalsMost);
}

void Rules::easePace(Route& p) {
  Millis since = s_.now - std::exchange(p.rateHalvingsAt, s_.now);
  if (p.rateHalvings > 0)
    p.rateHalvings = std::max(0.0, p.rateHalvings - since / (kPaceEase * terms_.overloadWindow));
}

// Danger: noise that reads as a limit near nothing would keep a route shut; no gap is longer than a
// slow-start duration.
Millis Rules::paceGap(const Route& p) const {
  return std::min(terms_.slowStartDuration, 1000 * std::exp2(p.rateHalvings) / std::max(1e-9, shareTold(p)));
}

// Our even part of the limit that is told, in calls a second; 0 where none is.
double Rules::shareTold(const Route& p) const {
  double told = p.reportedRateLimit;
  if (told < 0 && terms_.hasReportedWeights) {
    for (const Endpoint* e : p.endpoints) told = std::max(told, e->weight * kRoughWeight);
  }
  return std::max(0.0, told) / terms_.dispatcherCount;
}

// Our part of what the route can do, calls a second: our even part of what is told, or a part of what we were
// asked to bring there, for dispatchers carry unlike loads: limits are made for what comes, but surges and
// repeats of clients count in it too.
double Rules::shareOfCapacity(const Route& p) const {
  auto part = static_cast<double>(p.endpoints.size()) / std::max<double>(1, p.destination->ranking.size());
  double asked = kAskedShare * part * p.destination->acceptedCount /
                 std::max(terms_.slowStartDuration, s_.now - s_.startedAt);
  return std::max({shareTold(p), asked * 1000, 1e-9});
}

// The same by what it did for us before an outage, if that is more.
double Rules::shareShown(const Route& p) const {
  Millis span = std::clamp(s_.now - s_.startedAt, terms_.overloadWindow,
                           terms_.slowStartDuration);  // not from one or two alone
  return std::max(p.recentSuccesses / span * 1000, shareOfCapacity(p));
}

// A cold destination falls over when pushed. Our sends to one keep apart so far that they stay under our part
// of what it takes, which grows while it warms; the instances together send about two in a overload window
// where that part is not known.
Millis Rules::coldSpacing(const Route& p) {
  double warm =
      p.warmingUp ? std::clamp((s_.now - p.warmUpStartedAt) / terms_.slowStartDuration, 0.0, 1.0) : 0;
  double whole = kToldShare * terms_.overloadThreshold * shareShown(p) / 1000;
  double least = kColdTogether / terms_.dispatcherCount / terms_.overloadWindow;
  double rate =
      std::max(least, whole * (terms_.slowStartInitialShare + (1 - terms_.slowStartInitialShare) * warm));
  double growth = p.warmingUp ? whole * (1 - terms_.slowStartInitialShare) / terms_.slowStartDuration : 0;
  return growth > 0 ? (std::sqrt(rate * rate + 2 * growth) - rate) / growth : 1 / rate;
}

void Rules::pushed(Route& p) {
  if (p.outage || p.warmingUp) p.nextSlowStartSendAt = s_.now + coldSpacing(p) * (0.75 + 0.5 * draw());
}

bool Rules::pathOpen(Route& p) {
  if (!reached(std::max({p.retryAfterUntil, p.backoffUntil, p.nextPacedRequestAt}))) return false;
  if (p.warmingUp && s_.now - p.warmUpStartedAt >= terms_.slowStartDuration) {
    p.warmingUp = p.outageConfirmed = false;
    lookAgain(p);
  }
  if (!p.outage && !p.warmingUp) return true;
  if (p.outage && terms_.mayHealthCheck) return false;
  reached(p.warmingUp ? std::min(p.nextSlowStartSendAt, p.warmUpStartedAt + terms_.slowStartDuration)
                      : p.nextSlowStartSendAt);
  return s_.now >= p.nextSlowStartSendAt;
}

// A lost room gets nothing, one that returns is fed along its curve, and strangers keep to their part of a
// room. What cannot go anywhere waits; how long that will be is not known, so it is asked again before long.
bool Rules::roomOpen(const Endpoint& e) {
  return reached(
      std::min(s_.zones.attemptAllowedFrom(e.destination->id, e.zone), s_.now + terms_.overloadWindow));
}

double Rules::gainAt(const Message& c, Millis at) const {
  const TrafficType& t = type(c);
  if (at > c.deadline) return 0;
  Millis late = at - (c.deadline - t.deadlineAfter) - t.latencyObjective;
  return t.priorityWeight * t.weightShareAt(late, terms_.decay) *
         (c.overQuota ? terms_.overQuotaWeightShare : 1);
}

bool Rules::anyMayHaveRun(const Message& c) const {
  return std::any_of(c.attempts.begin(), c.attempts.end(), [&](const Attempt& l) { return mayHaveRun(l); });
}

// No effect twice. A margin of the window is left, for a repeat that reaches the endpoint late.
bool Rules::repeatAllowed(const Message& c, const Endpoint* to, const Attempt* self) const {
  const TrafficType& t = type(c);
  if (static_cast<int>(c.attempts.size()) - (self != nullptr) >= terms_.maxAttempts) return false;
  if (t.idempotency == Idempotency::idempotent) return true;
  for (const Attempt& l : c.attempts) {
    if (!mayHaveRun(l) || &l == self) continue;
    if (t.idempotency == Idempotency::nonIdempotent) return false;
    if (s_.now >= l.sentAt + t.deduplicationWindow * (1 - kWindowMargin)) return false;
    if (to != nullptr && t.deduplicatesWithinZone && l.endpoint->zone != to->zone) return false;
  }
  return true;
}

// A attempt begins when its connection is up, which may be late: it must be one that would be allowed now.
bool Rules::mayBegin(MessageId id, int launch) const {
  auto at = s_.messages.find(id);
  if (at == s_.messages.end() || at->second.finished) return false;
  const Attempt& l = at->second.attempts.at(static_cast<std::size_t>(launch));
  const Endpoint& e = *l.endpoint;
  return e.state == EndpointState::ready && s_.now >= e.route->retryAfterUntil &&
         repeatAllowed(at->second, &e, &l);
}

// A shed reply promises that trying again is harmless.
bool Rules::shedAllowed(const Message& c) const {
  const TrafficType& t = type(c);
  if (t.idempotency == Idempotency::idempotent || !anyMayHaveRun(c)) return true;
  return t.idempotency == Idempotency::idempotentWithKey && !t.deduplicatesWithinZone &&
         repeatAllowed(c, nullptr);
}

bool Rules::keyFree(MessageId id, const Message& c) {
  if (!type(c).ordered || c.orderingKey.value == 0 || !c.attempts.empty()) return true;
  const OrderedQueue& line = s_.orderedQueues[c.orderingKey];
  if (line.messages.empty() || line.messages.front() != id) return false;
  return reached(line.pausedUntil);
}

int Rules::perCall(const Endpoint& e) const {
  return e.kind.value < terms_.kinds.size() ? terms_.kinds[e.kind.value].maxBatchSize : 1;
}

// Further messages in a call weigh less than a call; to a cold route a full call would be a push of its own.
bool Rules::joins(const Endpoint& e) {
  if (e.batchRound != s_.round || e.batchSize >= perCall(e)) return false;
  const Route& p = *e.route;
  return !(p.outage || p.warmingUp) ||
         1 + kFurtherWeight * e.batchSize <= std::max(kColdCall, terms_.overloadWindow / coldSpacing(p));
}

bool Rules::room(const Route& p, const Endpoint& e) {
  if (joins(e)) return true;
  bool single = p.consecutiveRejections > 0 && !paced(p);
  int most = single ? 1 : std::max(1, static_cast<int>(p.concurrencyLimit));
  if (single) {  // calls that hang say nothing of a limit, and must not keep the rest shut
    for (const Endpoint* o : p.endpoints) most += o->unresponsive ? o->requestsInFlight : 0;
  }
  if (s_.requestsInFlight >= terms_.maxConcurrentRequests || p.requestsInFlight >= most) return false;
  int out = e.destination->requestsInFlight;  // also those at endpoints that drain
  return out < std::max(1, static_cast<int>(terms_.maxConcurrentRequests * kWindowTop));
}

// Failing while others of its destination work: until a health check is answered or, with none allowed, for a
// while.
bool Rules::avoided(const Endpoint& e) {
  return e.consecutiveFailures >= kFailuresToAvoid &&
         (terms_.mayHealthCheck || s_.now < restEnds(e) || e.requestsInFlight > 0);
}

Millis Rules::restEnds(const Endpoint& e) const {
  return e.lastFailureAt + std::min(terms_.slowStartDuration, terms_.overloadWindow * e.consecutiveFailures);
}

// First in rank, the next when that one has enough: its part of the window, or failures while others work.
Endpoint* Rules::choose(const Message& c, bool copy) {
  Endpoint* best = nullptr;
  std::tuple<bool, bool, int> bestPlace;
  for (Endpoint* to : c.destination->ranking) {
    Endpoint& e = *to;
    Route& p = *e.route;
    bool used = std::any_of(c.attempts.begin(), c.attempts.end(),
                            [&](const Attempt& l) { return l.endpoint == to && (copy || l.pending); });
    if (used || !repeatAllowed(c, &e)) continue;
    if (copy && (p.outage || p.warmingUp || p.consecutiveRejections > 0 ||
                 p.concurrencyLimit < p.requestsInFlight + 2 || avoided(e)))
      continue;
    if (!roomOpen(e) || (!joins(e) && (!pathOpen(p) || !room(p, e)))) continue;
    int enough = std::max(1, static_cast<int>(std::ceil(p.concurrencyLimit /
                                                        static_cast<double>(c.destination->ranking.size()))));
    bool has = !joins(e) && e.requestsInFlight >= enough;
    auto place = std::tuple(avoided(e), has, has ? e.requestsInFlight : 0);
    if (best == nullptr || place < bestPlace) {
      best = to;
      bestPlace = place;
    }
  }
  return best;
}

Decision Rules::launch(MessageId id, Endpoint& e, bool copy) {
  Message& c = s_.messages[id];
  Route& p = *e.route;
  Millis idle = e.lastUsedAt >= 0 && e.requestsInFlight == 0 ? s_.now - e.lastUsedAt : 0;
  if (joins(e)) {
    ++e.batchSize;
    if (p.outage || p.warmingUp) p.nextSlowStartSendAt += kFurtherWeight * coldSpacing(p);
  } else {
    s_.openRequest(e);
    pushed(p);
    easePace(p);
    if (paced(p)) {
      Millis gap = paceGap(p);
      p.nextPacedRequestAt = std::max(p.nextPacedRequestAt, s_.now - kPaceDepth * gap) + gap;
    } else if (p.consecutiveRejections > 0) {
      p.backoffUntil = std::max(p.backoffUntil, s_.now + pause(p));
    }
  }
  ++s_.requests[e.batchRequestId].openAttempts;
  // First attempts earn, hedges need a whole one, repeats of what may have run draw what there is.
  if (c.attempts.empty()) {
    s_.retryBudget = std::min<double>(terms_.maxConcurrentRequests, s_.retryBudget + kBudgetRatio);
  } else if (copy || anyMayHaveRun(c)) {
    s_.retryBudget = std::max(0.0, s_.retryBudget - 1);
  }
  Millis span = c.deadline - s_.now;
  if (!terms_.mayCancel && type(c).idempotency != Idempotency::nonIdempotent) {
    span = std::min(span, std::max(type(c).latencyObjective, kStuck * usual(p, type(c)).p95));
  }
  c.hedged = c.hedged || copy;
  bool spilled = s_.zones.recordAttempt(s_.now, e.destination->id, e.zone);
  c.attempts.push_back({.endpoint = &e,
                        .sentAt = s_.now,
                        .connectionIdleTime = idle,
                        .requestId = e.batchRequestId,
                        .isHedge = copy,
                        .isSpillover = spilled});
  s_.updateIndexes(id, c);
  reached(s_.now + silenceOf(c, p));
  asked_.launched = s_.round;
  return {Act::launch, id, e.id, static_cast<int>(c.attempts.size()) - 1, span};
}

// Whether that time has come; if not, we want to be woken then.
bool Rules::reached(Millis at) {
  if (at > s_.now && (wakeWanted_ < 0 || at < wakeWanted_)) wakeWanted_ = at;
  return s_.now >= at;
}

Millis Rules::silenceOf(const Message& c, const Route& p) const {
  return kSilent * std::max(usual(p, type(c)).p95, kDelayLeast * type(c).latencyObjective);
}

// A hung endpoint gives no late answer to learn from: a route with nothing answered for long since an attempt
// went out is taken for out. Looked at once a round, and again after an answer.
void Rules::noticeSilence() {
  if (quiet() || std::exchange(seen_.silence, s_.round) == s_.round) return;
  for (MessageId id : s_.messagesWithPendingAttempts) {
    Message& c = s_.messages.at(id);
    for (Attempt& l : c.attempts) {
      if (!l.pending || c.responseStarted) continue;
      Endpoint& e = *l.endpoint;
      Route& p = *e.route;
      Millis silence = silenceOf(c, p);
      if (reached(l.sentAt + silence) && !p.outage && p.lastSuccessAt <= l.sentAt)
        outageBegins(p, p.outageConfirmed);
      // One endpoint of several hangs: by a call that nothing overtook, or by several since the last answer.
      // Danger: with all concurrent requests out attempts are called off before one is out for so long.
      Millis since = e.consecutiveTimeouts >= kUnheard ? std::min(e.firstTimeoutSentAt, l.sentAt) : l.sentAt;
      bool hangs = e.requestsInFlight >= (e.lastSuccessAt <= since ? 1 : kFailuresToAvoid);
      if (e.unresponsive || !hangs || !reached(std::max(since, e.lastSuccessAt) + silence)) continue;
      e.unresponsive = true;
      s_.recordFailure(e, std::max(e.consecutiveFailures, kFailuresToAvoid));
      if (!p.outage && p.lastSuccessAt <= since && p.allFailed(kFailuresToAvoid))
        outageBegins(p, p.outageConfirmed);
    }
  }
}

// The latest at which an attempt of it may still be answered in time, by what its fastest route usually
// takes.
Millis Rules::latestLaunch(const Message& c) const {
  Millis latest = c.destination->ranking.empty() ? c.deadline : -1;
  for (const Endpoint* e : c.destination->ranking)
    latest = std::max(latest, c.deadline - kChanceLeast * usual(*e->route, type(c)).p50);
  return latest;
}

Decision Rules::shed(MessageId id, Millis away) {
  return {Act::shed, over(id), {}, 0, terms_.mayAdviseRetryAfter ? std::min(away, terms_.maxRetryAfter) : 0};
}

// Danger: what waits in vain and never ran passes for failed, as if it had been tried. In a large fleet
// each dispatcher has few calls to a destination, and many wait so. It is shed, once no attempt can be
// answered in time. Not before, though its route may be known to open too late: its client would come again
// and push there.
std::optional<Decision> Rules::dueAnswer() {
  for (const auto& [limit, id] : s_.deadlines) {
    if (!reached(limit)) break;
    const Message& c = s_.messages.at(id);
    if (!c.responseStarted) return Decision{anyMayHaveRun(c) ? Act::giveUp : Act::shed, over(id), {}, 0, 0};
  }
  while (!s_.retryExhaustionTimes.empty() && reached(s_.retryExhaustionTimes.begin()->first)) {
    MessageId id = s_.retryExhaustionTimes.begin()->second;
    s_.retryExhaustionTimes.erase(s_.retryExhaustionTimes.begin());
    const Message* c = s_.find(id);
    if (c == nullptr || c->finished || !c->hasNoPendingAttempt()) continue;
    if (!repeatAllowed(*c, nullptr)) return Decision{Act::giveUp, over(id), {}, 0, 0};
    if (anyMayHaveRun(*c)) continue;
    Millis latest = latestLaunch(*c);
    if (s_.now >= latest) return shed(id, 0);
    s_.retryExhaustionTimes.insert({latest, id});
  }
  return std::nullopt;
}

// Beyond the most that may be held the front turns messages away unseen: make room by what is worth least.
// In a line the oldest has the least left.
std::optional<Decision> Rules::makeRoom() {
  bool full = s_.messagesInFlight > std::max(1, static_cast<int>(terms_.maxInFlight * (1 - kRoomKept)));
  if (!full && !s_.zones.isEnabled()) return std::nullopt;
  std::optional<MessageId> least;
  double leastGain = 0;
  Millis away = 0;
  for (const Destination* d : s_.destinationsWithWaiting) {
    if (!full && !s_.zones.isBacklogTooLong(d->id)) continue;
    const Route* p = d->ranking.empty() ? nullptr : d->ranking.front()->route;
    Millis opens =
        p == nullptr
            ? s_.now
            : std::max({s_.now, p->retryAfterUntil, p->outage ? s_.now + terms_.slowStartDuration : 0});
    opens = std::max(opens, s_.now + s_.zones.backlogDelay(d->id));
    for (const auto& [kind, line] : d->waitQueue.lists()) {
      bool alike = !kind.attempted || terms_.types[kind.type.value].idempotency == Idempotency::idempotent;
      for (const auto& [limit, id] : line) {
        const Message& c = s_.messages.at(id);
        if (!alike && !shedAllowed(c)) continue;
        double gain = gainAt(c, opens);
        if (!least || gain < leastGain || (gain <= leastGain && id < *least)) {
          least = id;
          leastGain = gain;
          away = opens - s_.now;
        }
        break;
      }
    }
  }
  if (!least) return std::nullopt;
  return shed(*least, away);
}

std::optional<Decision> Rules::withdrawLoser() {
  while (!s_.losingAttempts.empty()) {
    auto [id, n] = s_.losingAttempts.front();
    s_.losingAttempts.pop_front();
    Message* c = s_.find(id);
    if (c == nullptr || !terms_.mayCancel || !c->attempts[n].pending) continue;
    c->attempts[n].cancelled = true;
    if (!c->attempts[n].isHedge) c->attempts[n].endpoint->recordTimeout(c->attempts[n].sentAt);
    return Decision{Act::withdraw, id, {}, n, 0};
  }
  return std::nullopt;
}

// A attempt that later ones have overtaken is lost: call it off while a repeat is still allowed. With all
// concurrent requests out, so is any long overdue, even when that ends its message. The more stay unanswered
// the sooner, for lost answers would hold all concurrent requests.
std::optional<Decision> Rules::freeStuck() {
  if (!terms_.mayCancel) return std::nullopt;
  bool wanted = s_.requestsInFlight >= terms_.maxConcurrentRequests;
  if (!wanted && quiet()) return std::nullopt;
  look();
  if (wanted && !std::exchange(seen_.stuckWanted, wanted)) seen_.stuckFrom = {};
  for (auto at = s_.messagesWithPendingAttempts.lower_bound(seen_.stuckFrom);
       at != s_.messagesWithPendingAttempts.end(); ++at) {
    MessageId id = *at;
    seen_.stuckFrom = MessageId{id.value + 1};
    Message& c = s_.messages.at(id);
    if (c.finished || c.responseStarted) continue;
    bool repeat = repeatAllowed(c, nullptr);
    for (std::size_t n = 0; n < c.attempts.size(); ++n) {
      Attempt& l = c.attempts[n];
      if (!l.pending || l.cancelled) continue;
      const Route& p = *l.endpoint->route;
      Millis p95 = usual(p, type(c)).p95;
      Millis stuck = l.sentAt + (kStuckLost + (kStuck - kStuckLost) * s_.timeoutScale) * p95;
      reached(stuck);
      bool overtaken = repeat && !p.outage && p.lastSuccessSentAt > l.sentAt;
      bool lost =
          repeat || s_.now - l.sentAt > (p.outage || l.endpoint->unresponsive ? kStuck : 2 * kStuck) * p95;
      if (s_.now < stuck || !(overtaken || (wanted && lost))) continue;
      l.cancelled = true;
      l.endpoint->recordTimeout(l.sentAt);
      s_.timeoutScale *= 1 - kPatienceCut;
      seen_.stuckFrom = id;  // another attempt of it may be stuck too
      return Decision{Act::withdraw, id, {}, static_cast<int>(n), 0};
    }
  }
  return std::nullopt;
}

std::optional<Decision> Rules::copyDue() {
  // Hedges are the first to stop: while concurrent requests are short they would take what first attempts
  // need.
  bool may = terms_.mayHedge && s_.retryBudget >= 1 &&
             s_.requestsInFlight < terms_.maxConcurrentRequests * kCopySlots;
  if ((std::exchange(asked_.copies, may) && quiet()) || !may) return std::nullopt;
  look();
  for (auto at = s_.messagesWithPendingAttempts.lower_bound(seen_.copyFrom);
       at != s_.messagesWithPendingAttempts.end(); ++at) {
    MessageId id = *at;
    seen_.copyFrom = MessageId{id.value + 1};
    Message& c = s_.messages.at(id);
    if (c.finished || c.responseStarted || c.hedged || type(c).idempotency == Idempotency::nonIdempotent)
      continue;
    if (!c.attempts.back().pending || c.attempts.back().cancelled) continue;
    const Attempt& l = c.attempts.back();
    Millis due = l.sentAt + copyDelay(c, *l.endpoint, *l.endpoint->route, l.sentAt);
    if (!reached(due)) continue;
    if (Endpoint* to = choose(c, true)) return launch(id, *to, true);
  }
  return std::nullopt;
}

// Of a line the one that loses most by waiting. How much that is follows from the deadline alone, and
// turns from rising to falling only where the time left meets one of a few spans: the best stands beside one.
template <class Visit>
void Rules::mostUrgent(const WaitList& line, const TrafficType& t, Millis from, Visit visit) const {
  Millis step = kUrgencyStep * t.latencyObjective;
  Millis lateAgain = t.deadlineAfter - t.latencyObjective;
  WaitQueue::visitAround(line, {from, from + step, from + lateAgain, from + step + lateAgain}, visit);
  if (terms_.decay != WeightDecay::halving || t.lateWeightShare <= 0) return;
  Millis floor =
      lateAgain + t.latencyObjective * std::log2(t.lateWeightShare);  // from there on nothing more is lost
  WaitQueue::visitAround(line, {from + floor, from + step + floor}, visit);
}

std::optional<Decision> Rules::launchDue() {
  std::optional<MessageId> best;
  Endpoint* bestTo = nullptr;
  std::tuple<double, Millis> bestPlace;
  auto consider = [&](MessageId id, const Message& c, Endpoint* to) {
    Millis latency = usual(*to->route, type(c)).p50;
    auto gainIn = [&](Millis late) { return gainAt(c, s_.now + latency + late); };
    double lost = gainIn(0) - gainIn(kUrgencyStep * type(c).latencyObjective);  // by waiting
    auto place = std::tuple(lost / std::max(1.0, latency), -c.deadline);        // for a slot's time
    if (best && (place < bestPlace || (place == bestPlace && *best <= id))) return;
    best = id;
    bestTo = to;
    bestPlace = place;
  };
  for (const Destination* d : s_.destinationsWithWaiting) {
    auto open = [&](Endpoint* e) { return joins(*e) || (pathOpen(*e->route) && room(*e->route, *e)); };
    // All are asked, since each wants to be woken when it opens.
    if (std::count_if(d->ranking.begin(), d->ranking.end(), open) == 0) continue;
    for (const auto& [kind, line] : d->waitQueue.lists()) {
      const TrafficType& t = terms_.types[kind.type.value];
      if (!kind.attempted && !t.ordered) {  // what one of them may, all may
        Endpoint* to = choose(s_.messages.at(line.begin()->second), false);
        if (to == nullptr) continue;
        mostUrgent(line, t, s_.now + usual(*to->route, t).p50,
                   [&](MessageId id) { consider(id, s_.messages.at(id), to); });
        continue;
      }
      for (const auto& [limit, id] : line) {
        const Message& c = s_.messages.at(id);
        if (!keyFree(id, c) || !reached(c.retryNotBefore)) continue;
        if (Endpoint* to = choose(c, false)) consider(id, c, to);
      }
    }
  }
  if (!best) return std::nullopt;
  if (bestTo->requestsInFlight == 0 && bestTo->lastUsedAt >= 0 &&
      s_.now - bestTo->lastUsedAt > s_.reusableIdleTime) {
    bestTo->lastUsedAt = -1;
    return Decision{Act::closeIdle, {}, bestTo->id, 0, 0};
  }
  return launch(*best, *bestTo, false);
}

// An idle connection takes a place in the endpoint's table, and may have died unseen: what is sent on it then
// fails and may have run. It is kept only where the next call is expected while it is still good: after the
// last time between two calls there or, not known, our calls spread over all endpoints.
std::optional<Decision> Rules::closeIdle() {
  while (!s_.idleEndpoints.empty()) {
    Endpoint& e = *s_.idleEndpoints.front();
    s_.idleEndpoints.pop_front();
    Millis spread =
        (s_.now - s_.startedAt) * static_cast<double>(s_.endpoints.size()) / std::max(1, s_.requestCount);
    if (e.requestsInFlight > 0 || e.lastUsedAt < 0 ||
        (e.lastRequestInterval >= 0 ? e.lastRequestInterval : spread) <= s_.reusableIdleTime)
      continue;
    e.lastUsedAt = -1;
    return Decision{Act::closeIdle, {}, e.id, 0, 0};
  }
  return std::nullopt;
}

// Whether a destination is back shows by a health check at a time, so that no message is bound to a lost
// attempt.
std::optional<Decision> Rules::trial() {
  if (!terms_.mayHealthCheck) return std::nullopt;
  while (!s_.scheduledHealthChecks.empty() && reached(s_.scheduledHealthChecks.begin()->first)) {
    s_.healthCheckCandidates.insert(
        s_.scheduledHealthChecks.extract(s_.scheduledHealthChecks.begin()).value().second);
  }
  while (!s_.healthCheckCandidates.empty()) {
    EndpointId id = *s_.healthCheckCandidates.begin();
    s_.healthCheckCandidates.erase(s_.healthCheckCandidates.begin());
    auto known = s_.endpoints.find(id);
    if (known == s_.endpoints.end()) continue;
    Endpoint& e = known->second;
    Route& p = *e.route;
    if (e.state != EndpointState::ready || (!p.outage && e.consecutiveFailures < kFailuresToAvoid)) continue;
    bool turn = p.outage && p.endpoints[p.healthCheckTurn % p.endpoints.size()] == &e;
    if (p.healthCheckPending || (!turn && p.outage))
      continue;  // looked at again when the health check has ended
    Millis rest = std::max(
        restEnds(e),
        e.lastFailureAt + std::min(terms_.slowStartDuration, terms_.overloadWindow * terms_.dispatcherCount));
    Millis due = std::max({p.outage || p.warmingUp ? p.nextSlowStartSendAt : rest, p.retryAfterUntil,
                           p.backoffUntil, s_.zones.healthCheckAllowedFrom(e.zone)});
    if (!reached(due)) {
      s_.scheduledHealthChecks.insert({due, id});
      continue;
    }
    if (p.outage) ++p.healthCheckTurn;
    p.healthCheckPending = true;
    pushed(p);
    s_.zones.recordHealthCheck(s_.now, e.zone);
    return Decision{Act::probe, {}, id, 0, 0};
  }
  return std::nullopt;
}

std::optional<Decision> Rules::wake() {
  quietUntil_ = asked_.launched == s_.round ? -1 : wakeWanted_;  // an attempt may show in those before it
  if (wakeWanted_ < 0 || (s_.timerSetFor > s_.now && s_.timerSetFor <= wakeWanted_)) return std::nullopt;
  s_.timerSetFor = wakeWanted_;
  return Decision{Act::wake, {}, {}, 0, wakeWanted_};
}

std::optional<Decision> Rules::next() {
  noticeSilence();
  for (auto step : {&Rules::dueAnswer, &Rules::makeRoom, &Rules::withdrawLoser, &Rules::freeStuck,
                    &Rules::copyDue, &Rules::launchDue, &Rules::closeIdle, &Rules::trial}) {
    if (auto d = (this->*step)()) return d;
  }
  return wake();
}

}  // namespace stonewing
