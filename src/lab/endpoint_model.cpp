#include "lab/endpoint_model.h"

#include <algorithm>
#include <cmath>

#include "lab/random_draws.h"

namespace stonewing::lab {
namespace {

constexpr double kDownErrorShare = 0.5;  // an endpoint that fails this share of its requests is down
constexpr Millis kMinServiceTime = 1;    // a shorter drawn service time is raised to this
constexpr double kAdditionalMessageWeight = 0.25;  // of each further message of a batch, in requests
// Requests above the overload budget that cause no overload, since random arrivals exceed the mean by chance.
constexpr double kOverloadAllowance = 2;
constexpr std::size_t kMaxFirstExecutions = 1 << 20;  // beyond this, entries older than 1e6 ms are erased

}  // namespace

EndpointModel::EndpointModel(const Experiment& experiment, std::uint64_t seed, Trace& trace)
    : experiment_(experiment),
      trace_(trace),
      randomEngine_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      endpoints_(static_cast<std::size_t>(experiment.endpointCount())),
      destinations_(static_cast<std::size_t>(experiment.environment.destinations)),
      zones_(experiment.environment.zones.size()),
      zoneSizes_(experiment.environment.zones.size()) {
  for (int e = 0; e < experiment.endpointCount(); ++e)
    ++zoneSizes_[static_cast<std::size_t>(experiment.zoneOf(e))];
}

// A zone is down while all its endpoints are. It returns in slow start if it was down for longer than the
// overload window.
void EndpointModel::updateZoneState(Millis now, int number) {
  if (!experiment_.environment.zonesSlowStart) return;
  Zone& zone = zones_[static_cast<std::size_t>(number)];
  bool isDown = true;
  for (int e = 0; e < experiment_.endpointCount() && isDown; ++e) {
    isDown = experiment_.zoneOf(e) != number || isEndpointDown(now, static_cast<std::uint32_t>(e));
  }
  if (isDown == zone.isDown) return;
  zone.isDown = isDown;
  if (isDown) {
    zone.downSince = now;
    return;
  }
  if (now - zone.downSince > experiment_.environment.overloadWindow) zone.slowStartSince = now;
  zone.recentRequests.clear();
  zone.recentWeight = 0;
}

double EndpointModel::zoneCapacityShare(Millis now, std::uint32_t endpoint) {
  if (!experiment_.environment.zonesSlowStart) return 1;
  double progress = std::clamp(
      (now - zoneAt(endpoint).slowStartSince) / experiment_.environment.slowStartDuration, 0.0, 1.0);
  return experiment_.environment.slowStartInitialShare +
         (1 - experiment_.environment.slowStartInitialShare) * progress;
}

// Counts a request or health check that reaches a zone. A zone in slow start that receives more than its
// budget fails as a whole for slowStartDuration, and is then in slow start again. Returns false while the
// zone is overloaded.
bool EndpointModel::recordZoneRequest(Millis now, std::uint32_t endpoint, double weight) {
  if (!experiment_.environment.zonesSlowStart) return true;
  Zone& zone = zoneAt(endpoint);
  if (zone.isDown || now < zone.overloadedUntil) return zone.isDown;
  zone.recentRequests.emplace_back(now, weight);
  zone.recentWeight += weight;
  while (zone.recentRequests.front().first <= now - experiment_.environment.overloadWindow) {
    zone.recentWeight -= zone.recentRequests.front().second;
    zone.recentRequests.pop_front();
  }
  if (now >= zone.slowStartSince + experiment_.environment.slowStartDuration) return true;
  int number = experiment_.zoneOf(static_cast<int>(endpoint));
  double fullCapacity = experiment_.environment.concurrency * zoneSizes_[static_cast<std::size_t>(number)] /
                        meanOf(experiment_.environment.serviceTime);
  double budget = experiment_.environment.overloadThreshold * fullCapacity *
                      zoneCapacityShare(now, endpoint) * experiment_.environment.overloadWindow +
                  kOverloadAllowance;
  if (zone.recentWeight <= budget) return true;
  trace_.events.push_back(
      {.at = now, .type = TraceEventType::zoneOverloaded, .message = static_cast<std::uint32_t>(number)});
  zone.overloadedUntil = zone.slowStartSince = now + experiment_.environment.slowStartDuration;
  zone.recentRequests.clear();
  zone.recentWeight = 0;
  return false;
}

// Combines the active faults of an endpoint into its condition.
void EndpointModel::updateCondition(Endpoint& e) {
  Condition c;
  for (const Fault& fault : e.activeFaults) {
    switch (fault.kind) {
      case FaultKind::refuseConnections:
        ++c.refusing;
        break;
      case FaultKind::blackhole:
        ++c.unreachable;
        break;
      case FaultKind::noResponse:
        ++c.unresponsive;
        break;
      case FaultKind::rejectAll:
        ++c.rejecting;
        c.rejectionRetryAfter = std::max(c.rejectionRetryAfter, fault.retryAfter);
        break;
      case FaultKind::pause:
        ++c.paused;
        break;
      case FaultKind::slow:
        c.slowdown = std::max(c.slowdown, fault.factor);
        break;
      case FaultKind::errors:
        c.errorShare = std::max(c.errorShare, fault.factor);
        break;
      case FaultKind::lostResponse:
        c.lostShare = std::max(c.lostShare, fault.factor);
        break;
      case FaultKind::connectionReset:
        c.resetShare = std::max(c.resetShare, fault.factor);
        break;
      case FaultKind::malformedResponse:
        c.malformedShare = std::max(c.malformedShare, fault.factor);
        break;
      case FaultKind::truncatedResponse:
        c.truncatedShare = std::max(c.truncatedShare, fault.factor);
        break;
      case FaultKind::connectionLimit:
        c.connectionLimit = std::max(1, static_cast<int>(fault.factor));
        break;
      default:
        break;
    }
  }
  e.condition = c;
}

std::vector<EndpointResponse> EndpointModel::applyFault(Millis now, const Fault& fault, bool begins) {
  std::vector<EndpointResponse> responses;
  if (fault.kind == FaultKind::networkPartition) {
    for (int n : experiment_.affectedEndpoints(fault)) {
      for (int d : fault.dispatchers) {
        auto partition =
            partitions_.try_emplace({static_cast<std::uint32_t>(d), static_cast<std::uint32_t>(n)}).first;
        if ((partition->second += begins ? 1 : -1) == 0) partitions_.erase(partition);
      }
    }
    return responses;
  }
  for (int n : experiment_.affectedEndpoints(fault)) {
    auto id = static_cast<std::uint32_t>(n);
    Endpoint& e = endpoints_[id];
    if (begins) {
      e.activeFaults.push_back(fault);
    } else {
      auto isSameFault = [&](const Fault& f) { return f.kind == fault.kind && f.from == fault.from; };
      auto found = std::find_if(e.activeFaults.begin(), e.activeFaults.end(), isSameFault);
      if (found != e.activeFaults.end()) e.activeFaults.erase(found);
    }
    bool wasPaused = e.condition.paused > 0;
    updateCondition(e);
    if (!wasPaused && e.condition.paused > 0) e.pausedAt = now;
    if (wasPaused && e.condition.paused == 0) {
      for (RunningRequest& r : e.running) r.endsAt += now - e.pausedAt;
    }
    if (begins && fault.kind == FaultKind::refuseConnections) {
      // The endpoint's process has died: its connections are reset, and requests that it had begun to execute
      // may have taken effect.
      for (const RunningRequest& r : e.running)
        responses.push_back({r.request, id, ResponseKind::connectionReset, 0, true});
      for (const QueuedRequest& q : e.queued)
        responses.push_back({q.request, id, ResponseKind::connectionReset, 0, false});
      e.running.clear();
      e.queued.clear();
      e.connections = 0;
    }
    updateDestinationState(now, experiment_.destinationOf(n));
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) updateZoneState(now, static_cast<int>(zone));
  return responses;
}

bool EndpointModel::isEndpointDown(Millis now, std::uint32_t endpoint) const {
  const Condition& c = at(endpoint).condition;
  return c.refusing > 0 || c.unreachable > 0 || c.unresponsive > 0 || c.rejecting > 0 ||
         c.errorShare >= kDownErrorShare || c.lostShare >= kDownErrorShare ||
         c.resetShare >= kDownErrorShare || now < destinationOf(endpoint).overloadedUntil;
}

// A destination is down while each of its endpoints fails most requests. When the first of them recovers, the
// destination is in slow start, unless the outage lasted no longer than the overload window.
void EndpointModel::updateDestinationState(Millis now, int destination) {
  Destination& d = destinations_[static_cast<std::size_t>(destination)];
  bool isDown = true;
  for (int k = 0; k < experiment_.environment.endpoints; ++k) {
    isDown =
        isDown &&
        isEndpointDown(now, static_cast<std::uint32_t>(destination * experiment_.environment.endpoints + k));
  }
  if (isDown == d.isDown) return;
  d.isDown = isDown;
  auto number = static_cast<std::uint32_t>(destination);
  if (isDown) {
    d.downSince = now;
    trace_.events.push_back({.at = now, .type = TraceEventType::destinationDown, .message = number});
  } else {
    if (now - d.downSince > experiment_.environment.overloadWindow) d.slowStartSince = now;
    d.recentRequests.clear();
    d.recentWeight = 0;
    trace_.events.push_back({.at = now, .type = TraceEventType::destinationUp, .message = number});
  }
}

double EndpointModel::capacityShare(Millis now, const Destination& d) const {
  double progress =
      std::clamp((now - d.slowStartSince) / experiment_.environment.slowStartDuration, 0.0, 1.0);
  return experiment_.environment.slowStartInitialShare +
         (1 - experiment_.environment.slowStartInitialShare) * progress;
}

double EndpointModel::capacity() const {
  const EnvironmentSettings& environment = experiment_.environment;
  double serviceRate = environment.concurrency * environment.endpoints / meanOf(environment.serviceTime);
  return environment.rateLimitPerSecond > 0 ? std::min(serviceRate, environment.rateLimitPerSecond / 1000)
                                            : serviceRate;
}

LoadReport EndpointModel::loadReport(Millis now, std::uint32_t endpoint) const {
  return {capacity() * 1000 * capacityShare(now, destinationOf(endpoint)), -1};
}

// Counts a request or health check that reaches a destination, including one that is then rejected. A
// destination in slow start that receives more than its budget fails for slowStartDuration. Returns false for
// the request that causes this.
bool EndpointModel::recordRequest(Millis now, std::uint32_t endpoint, double weight) {
  Destination& d = destinationOf(endpoint);
  d.recentRequests.emplace_back(now, weight);
  d.recentWeight += weight;
  while (d.recentRequests.front().first <= now - experiment_.environment.overloadWindow) {
    d.recentWeight -= d.recentRequests.front().second;
    d.recentRequests.pop_front();
  }
  auto number = static_cast<int>(endpoint) / experiment_.environment.endpoints;
  if (d.overloadedUntil >= 0 && now >= d.overloadedUntil) {
    d.overloadedUntil = -1;
    updateDestinationState(now, number);
  }
  if (d.isDown || now >= d.slowStartSince + experiment_.environment.slowStartDuration) return true;
  double budget = experiment_.environment.overloadThreshold * capacity() * capacityShare(now, d) *
                      experiment_.environment.overloadWindow +
                  kOverloadAllowance;
  if (d.recentWeight <= budget) return true;
  trace_.events.push_back({.at = now,
                           .type = TraceEventType::destinationOverloaded,
                           .message = static_cast<std::uint32_t>(number)});
  d.overloadedUntil = now + experiment_.environment.slowStartDuration;
  updateDestinationState(now, number);
  return false;
}

EndpointModel::ConnectResult EndpointModel::connect(Millis now, std::uint32_t id, std::uint16_t dispatcher) {
  Endpoint& e = endpoints_[id];
  if (unreachable(id, dispatcher)) return ConnectResult::unanswered;
  if (e.condition.refusing > 0 || connectionTableFull(id)) {
    trace_.events.push_back(
        {.at = now, .type = TraceEventType::connectionRefused, .endpoint = id, .dispatcher = dispatcher});
    return ConnectResult::refused;
  }
  ++e.connections;
  return ConnectResult::accepted;
}

void EndpointModel::recordDisconnect(std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  e.connections = std::max(0, e.connections - 1);
}

std::optional<EndpointResponse> EndpointModel::receiveRequest(Millis now, std::uint32_t request,
                                                              std::uint32_t id, std::uint16_t dispatcher,
                                                              const std::vector<std::uint32_t>& messages) {
  Endpoint& e = endpoints_[id];
  for (std::uint32_t message : messages) {
    trace_.events.push_back({.at = now,
                             .type = TraceEventType::arrived,
                             .message = message,
                             .request = request,
                             .endpoint = id,
                             .dispatcher = dispatcher});
  }
  Destination& d = destinationOf(id);
  double weight = 1 + kAdditionalMessageWeight * (static_cast<double>(messages.size()) - 1);
  bool withinCapacity = recordRequest(now, id, weight);
  withinCapacity = recordZoneRequest(now, id, weight) && withinCapacity;
  if (!withinCapacity || now < d.overloadedUntil || now < zoneAt(id).overloadedUntil)
    return EndpointResponse{request, id, ResponseKind::unavailable, 0, false};
  if (e.condition.rejecting > 0)
    return EndpointResponse{request, id, ResponseKind::unavailable, e.condition.rejectionRetryAfter, false};
  if (experiment_.environment.rateLimitPerSecond > 0) {
    auto windowIndex = static_cast<std::int64_t>(now / experiment_.environment.rateLimitWindow);
    if (windowIndex != d.rateLimitWindow) d.requestsInWindow = 0;
    d.rateLimitWindow = windowIndex;
    double maxRequests =
        std::max(1.0, experiment_.environment.rateLimitPerSecond * experiment_.environment.rateLimitWindow /
                          1000 * capacityShare(now, d));
    if (++d.requestsInWindow > maxRequests) {
      return EndpointResponse{
          request, id, ResponseKind::tooManyRequests,
          (static_cast<double>(windowIndex) + 1) * experiment_.environment.rateLimitWindow - now, false};
    }
  }
  if (uniform(randomEngine_) < e.condition.errorShare) {
    // The request fails at once and uses none of the endpoint's concurrency. A dispatcher cannot know whether
    // it took effect.
    return EndpointResponse{request, id, ResponseKind::serverError, 0, true};
  }
  bool busy = static_cast<int>(e.running.size()) >= experiment_.environment.concurrency;
  if (busy && static_cast<int>(e.queued.size()) >= experiment_.environment.queueCapacity) {
    return EndpointResponse{request, id, ResponseKind::unavailable, 0, false};
  }
  e.queued.push_back({request, dispatcher, messages});
  startQueuedRequests(now, id);
  return std::nullopt;
}

void EndpointModel::startQueuedRequests(Millis now, std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  while (!e.queued.empty() && e.condition.paused == 0 &&
         static_cast<int>(e.running.size()) < experiment_.environment.concurrency) {
    QueuedRequest next = std::move(e.queued.front());
    e.queued.pop_front();
    startRequest(now, id, std::move(next));
  }
}

void EndpointModel::startRequest(Millis now, std::uint32_t id, QueuedRequest request) {
  Endpoint& e = endpoints_[id];
  const Condition& c = e.condition;
  for (std::uint32_t message : request.messages) {
    const SubmittedMessage& submitted = trace_.messages[message];
    const TrafficType& type = experiment_.types[submitted.type].settings;
    bool firstExecution = true;
    if (type.idempotency == Idempotency::idempotentWithKey) {
      auto zone = static_cast<std::uint64_t>(experiment_.zoneOf(static_cast<int>(id)));
      std::uint64_t scope = type.deduplicationScope == DeduplicationScope::zone ? zone + 1 : 0;
      auto [entry, inserted] =
          firstExecutions_.try_emplace(std::uint64_t{submitted.origin} << 8 | scope, now);
      firstExecution = inserted || now - entry->second > type.deduplicationWindow;
      if (firstExecution) entry->second = now;
      if (firstExecutions_.size() > kMaxFirstExecutions) {
        std::erase_if(firstExecutions_, [&](const auto& r) { return now - r.second > 1e6; });
      }
    }
    if (!firstExecution) continue;
    trace_.events.push_back({.at = now,
                             .type = TraceEventType::effect,
                             .message = message,
                             .request = request.request,
                             .endpoint = id,
                             .dispatcher = request.dispatcher});
  }
  ResponseKind responseKind = ResponseKind::ok;
  double roll = uniform(randomEngine_);
  for (auto [share, kind] :
       {std::pair{c.lostShare, ResponseKind::none}, std::pair{c.resetShare, ResponseKind::connectionReset},
        std::pair{c.malformedShare, ResponseKind::malformed},
        std::pair{c.truncatedShare, ResponseKind::truncated}}) {
    if (roll < share) {
      responseKind = kind;
      break;
    }
    roll -= share;
  }
  if (c.unresponsive > 0) responseKind = ResponseKind::none;
  Millis service = drawDuration(experiment_.environment.serviceTime, randomEngine_) * c.slowdown /
                   (capacityShare(now, destinationOf(id)) * zoneCapacityShare(now, id));
  e.running.push_back({request.request, now + std::max(kMinServiceTime, service), responseKind});
}

bool EndpointModel::abandonRequest(Millis now, std::uint32_t request, std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  auto running =
      std::find_if(e.running.begin(), e.running.end(), [&](const auto& r) { return r.request == request; });
  bool wasRunning = running != e.running.end();
  if (wasRunning) {
    e.running.erase(running);
    startQueuedRequests(now, id);
  } else {
    std::erase_if(e.queued, [&](const QueuedRequest& q) { return q.request == request; });
  }
  return wasRunning;
}

std::vector<EndpointResponse> EndpointModel::advance(Millis now, std::uint32_t id) {
  std::vector<EndpointResponse> responses;
  Endpoint& e = endpoints_[id];
  if (e.condition.paused > 0) return responses;
  for (bool anyEnded = true; anyEnded;) {
    anyEnded = false;
    for (std::size_t n = 0; n < e.running.size();) {
      if (e.running[n].endsAt > now) {
        ++n;
        continue;
      }
      responses.push_back({e.running[n].request, id, e.running[n].responseKind, 0, true});
      e.running.erase(e.running.begin() + static_cast<std::ptrdiff_t>(n));
      anyEnded = true;
    }
    if (anyEnded) startQueuedRequests(now, id);
  }
  return responses;
}

Millis EndpointModel::nextResponseAt(std::uint32_t id) const {
  const Endpoint& e = at(id);
  if (e.condition.paused > 0) return -1;
  Millis due = -1;
  for (const RunningRequest& r : e.running) due = due < 0 ? r.endsAt : std::min(due, r.endsAt);
  return due;
}

int EndpointModel::answerHealthCheck(Millis now, std::uint32_t id, std::uint16_t dispatcher) {
  bool withinCapacity = recordRequest(now, id, 1);
  withinCapacity = recordZoneRequest(now, id, 1) && withinCapacity;
  const Condition& c = at(id).condition;
  int status = c.unreachable > 0 || c.unresponsive > 0 || c.paused > 0 ? 0 : 200;
  if (!withinCapacity || c.rejecting > 0 || c.errorShare >= kDownErrorShare ||
      now < destinationOf(id).overloadedUntil || now < zoneAt(id).overloadedUntil)
    status = 503;
  trace_.events.push_back({.at = now,
                           .type = TraceEventType::healthChecked,
                           .endpoint = id,
                           .dispatcher = dispatcher,
                           .status = static_cast<std::int16_t>(status)});
  return status;
}

}  // namespace stonewing::lab
