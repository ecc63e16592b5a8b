#include "policy/zone_failover.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

constexpr double kMillisPerSecond = 1000;
// Time constant of the rates of deliveries, spillover and accepted messages: long enough to smooth over
// single messages, short enough to follow a change of load.
constexpr Millis kRateTimeConstant = 10000;
// Consecutive failures of an endpoint from which they count as evidence on its zone. One alone does not
// count.
constexpr int kEvidentFailures = 2;
// Share of the rate of accepted messages that a zone is expected to complete. Not all of it, since the rate
// includes surges and retries by clients.
constexpr double kExpectedShareOfAccepted = 0.5;
// Shortest time over which accepted messages are averaged. Without it, the first messages after the start
// would result in a far too high rate.
constexpr Millis kMinAcceptedSpan = 1000;
// Overload windows between two health checks of a lost zone. Each further loss doubles the interval.
constexpr double kHealthCheckOverloadWindows = 1;
// Factor on the share at which a ramp starts, for each further loss without a completed ramp. A zone that
// is lost again was ramped up too fast.
constexpr double kRampStartFactorPerLoss = 0.5;
// Maximum of the counted losses. Without it, the intervals between health checks would grow and the shares at
// which ramps start would shrink without bound.
constexpr int kMaxConsecutiveLosses = 4;
// Attempts within one overload window that all dispatchers together may send into a zone with no known rate.
constexpr double kUnknownZoneAttempts = 2;
// Lowest share at which a ramp starts after the zone was only absent from the endpoint list: the zone did not
// fail, but may need to warm up.
constexpr double kRampStartAfterAbsence = 0.5;
// Time over which unused spillover capacity accumulates; the accumulated capacity may be used at once.
constexpr Millis kSpilloverBurstSpan = 1000;
// Intervals are multiplied by a random factor from kJitterMin to kJitterMin + kJitterRange, so that
// dispatchers that lost a zone at the same time do not return to it at the same time.
constexpr double kJitterMin = 0.75;
constexpr double kJitterRange = 0.5;
constexpr double kRandomRange = 4294967296.0;  // 2^32, the values of std::mt19937

Millis intervalAt(double perSecond) { return kMillisPerSecond / perSecond; }

}  // namespace

void ZoneFailover::DecayingCount::add(Millis now) {
  value = 1 + value * std::exp(-(now - updatedAt) / kRateTimeConstant);
  updatedAt = now;
}

double ZoneFailover::DecayingCount::perSecond() const { return value / kRateTimeConstant * kMillisPerSecond; }

ZoneFailover::ZoneFailover(const DeploymentSettings& settings, std::uint64_t seed)
    : settings_(settings.zoneFailover),
      ownZone_(settings.zone),
      maxConcurrentRequests_(settings.maxConcurrentRequests),
      overloadWindow_(std::max(1.0, settings.overloadWindow)),
      minimumPerSecond_(kUnknownZoneAttempts / overloadWindow_ * kMillisPerSecond / settings.dispatcherCount),
      random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {
  if (settings_.recoveryRampDuration <= 0) {
    settings_.recoveryRampDuration = std::max(1.0, settings.slowStartDuration);
  }
  if (settings_.recoveryRampInitialShare <= 0) {
    settings_.recoveryRampInitialShare = settings.slowStartInitialShare;
  }
}

int ZoneFailover::priority(DestinationId destination, ZoneId zone) const {
  if (!isEnabled()) return zone == ownZone_ ? 0 : 1;
  auto specific = settings_.destinations.find(destination);
  const ZoneFailoverSettings::Priorities& priorities =
      specific == settings_.destinations.end() ? settings_.priorities : specific->second;
  for (std::size_t index = 0; index < priorities.size(); ++index) {
    const std::vector<ZoneId>& equalZones = priorities[index];
    if (std::find(equalZones.begin(), equalZones.end(), zone) != equalZones.end())
      return static_cast<int>(index);
  }
  return static_cast<int>(priorities.size());  // zones that the settings do not name come last
}

const ZoneFailover::Zone* ZoneFailover::find(ZoneId zone) const {
  auto found = zones_.find(zone);
  return found == zones_.end() ? nullptr : &found->second;
}

ZoneId ZoneFailover::homeZoneOf(DestinationId destination) const {
  auto found = homeZones_.find(destination);
  return found == homeZones_.end() ? ownZone_ : found->second;
}

bool ZoneFailover::hasLowerPriorityThanHome(DestinationId destination, ZoneId zone) const {
  return isEnabled() && priority(destination, zone) > priority(destination, homeZoneOf(destination));
}

void ZoneFailover::beginEndpointList() {
  for (auto& [id, zone] : zones_) {
    zone.lossDetector.clearEndpoints();
    zone.waitingMessages = 0;
  }
  homeZones_.clear();
}

void ZoneFailover::addEndpoint(EndpointId endpoint, DestinationId destination, ZoneId zone) {
  zones_[zone].lossDetector.addEndpoint(endpoint, destination);
  auto [home, isFirst] = homeZones_.try_emplace(destination, zone);
  if (isFirst) return;
  if (priority(destination, zone) < priority(destination, home->second)) home->second = zone;
}

void ZoneFailover::commitEndpointList(Millis now) {
  for (const auto& [destination, messages] : waitingMessages_) {
    homeZoneStateOf(destination).waitingMessages += messages;
  }
  for (auto& [id, zone] : zones_) commitZoneEndpoints(now, zone);
}

// A zone that was absent from the list for a while may have to warm up like one that was lost.
void ZoneFailover::commitZoneEndpoints(Millis now, Zone& zone) {
  zone.lossDetector.forgetUnlistedFailures();
  if (!zone.lossDetector.hasEndpoints()) {
    if (zone.unlistedAt) return;
    zone.unlistedAt = now;
    if (zone.health == ZoneHealth::healthy) zone.deliveriesPerSecondBeforeLoss = zone.deliveries.perSecond();
    return;
  }
  bool wasAbsent = zone.unlistedAt && now - *zone.unlistedAt > overloadWindow_;
  bool hadTraffic = zone.deliveriesPerSecondBeforeLoss > 0;
  zone.unlistedAt.reset();
  if (wasAbsent && hadTraffic && zone.health == ZoneHealth::healthy) {
    beginRamp(now, zone, RampStart::afterAbsenceFromList);
  }
  updateHealth(now, zone);
}

void ZoneFailover::recordAccepted(Millis now, DestinationId destination) {
  if (!isEnabled()) return;
  if (!firstAcceptedAt_) firstAcceptedAt_ = now;
  homeZoneStateOf(destination).acceptedMessages.add(now);
}

void ZoneFailover::addWaiting(DestinationId destination, int change) {
  if (!isEnabled()) return;
  waitingMessages_[destination] += change;
  homeZoneStateOf(destination).waitingMessages += change;
}

bool ZoneFailover::recordAttempt(Millis now, DestinationId destination, ZoneId zoneId) {
  Zone& zone = zones_[zoneId];
  if (isRamping(now, zoneId)) countRampAttempt(now, zoneId);
  if (!isSpillover(destination, zoneId)) return false;
  ++pendingSpilloverAttempts_;
  ZoneId home = homeZoneOf(destination);
  zones_[home].spilloverAttempts.add(now);
  Millis interval = intervalAt(spilloverPerSecond(home, zoneId));
  zone.nextSpilloverAt = std::max(zone.nextSpilloverAt, now - kSpilloverBurstSpan) + interval;
  return true;
}

void ZoneFailover::recordHealthCheck(Millis now, ZoneId zoneId) {
  Zone& zone = zones_[zoneId];
  if (zone.health == ZoneHealth::lost) {
    zone.nextHealthCheckAt = now + healthCheckInterval(zone) * drawJitter();
  }
  if (isRamping(now, zoneId)) countRampAttempt(now, zoneId);
}

void ZoneFailover::recordSuccess(Millis now, EndpointId endpoint, ZoneId zoneId, bool delivered) {
  if (!isEnabled()) return;
  Zone& zone = zones_[zoneId];
  if (delivered) zone.deliveries.add(now);
  zone.lossDetector.recordSuccess(now, endpoint);
  if (zone.health == ZoneHealth::lost) beginRamp(now, zone, RampStart::afterLoss);
  if (zone.health == ZoneHealth::ramping && now >= rampEnd(zone)) {
    zone.health = ZoneHealth::healthy;
    zone.consecutiveLosses = 0;
  }
}

void ZoneFailover::recordFailures(Millis now, EndpointId endpoint, DestinationId destination, ZoneId zoneId,
                                  int consecutiveFailures) {
  Zone& zone = zones_[zoneId];
  if (!isEnabled() || consecutiveFailures < kEvidentFailures) return;
  // An endpoint that is no longer listed is expected to fail.
  if (!zone.lossDetector.hasEndpoint(endpoint)) return;
  zone.lossDetector.recordFailing(now, endpoint, destination);
  updateHealth(now, zone);
}

void ZoneFailover::updateHealth(Millis now, Zone& zone) {
  if (!isEnabled() || zone.health == ZoneHealth::lost || !zone.lossDetector.indicatesLoss()) return;
  if (zone.health == ZoneHealth::healthy) zone.deliveriesPerSecondBeforeLoss = zone.deliveries.perSecond();
  zone.health = ZoneHealth::lost;
  zone.healthChangedAt = now;
  zone.consecutiveLosses = std::min(zone.consecutiveLosses + 1, kMaxConsecutiveLosses);
  // Two random draws: one for the delay before the first health check, one for this dispatcher's offset
  // within an interval.
  Millis delay = overloadWindow_ * kHealthCheckOverloadWindows * drawJitter();
  Millis offset = healthCheckInterval(zone) * (drawJitter() - kJitterMin);
  zone.nextHealthCheckAt = now + delay + offset;
}

bool ZoneFailover::isLost(ZoneId zoneId) const {
  const Zone* zone = find(zoneId);
  if (zone == nullptr || zone->health != ZoneHealth::lost) return false;
  return std::any_of(zones_.begin(), zones_.end(), [](const auto& other) {
    return other.second.health != ZoneHealth::lost && other.second.lossDetector.hasEndpoints();
  });
}

// Limits the health checks of this dispatcher to its share of the rate that the zone can take while it warms
// up. Without this, the health checks of hundreds of dispatchers alone would overload a zone that has just
// recovered.
Millis ZoneFailover::healthCheckInterval(const Zone& zone) const {
  double warmUpPerSecond = expectedPerSecond(zone) * settings_.recoveryRampInitialShare;
  Millis interval = intervalAt(std::max(minimumPerSecond_, warmUpPerSecond));
  Millis shortest = overloadWindow_ * kHealthCheckOverloadWindows;
  return std::max(shortest, interval) * std::exp2(std::max(0, zone.consecutiveLosses - 1));
}

Millis ZoneFailover::healthCheckAllowedFrom(ZoneId zoneId) const {
  const Zone* zone = find(zoneId);
  if (!isEnabled() || zone == nullptr) return 0;
  if (isLost(zoneId)) return zone->nextHealthCheckAt;
  return rampAllowedFrom(*zone);
}

// Called when the zone responds or is listed again. The zone has to warm up, and without a ramp all traffic
// that spilled over would return at once.
void ZoneFailover::beginRamp(Millis now, Zone& zone, RampStart rampStart) {
  zone.health = ZoneHealth::ramping;
  zone.rampStart = rampStart;
  zone.healthChangedAt = now;
  zone.nextRampAttemptAt = now;
  zone.lossDetector.restart(now);
}

bool ZoneFailover::isRamping(Millis now, ZoneId zoneId) const {
  const Zone* zone = find(zoneId);
  return zone != nullptr && zone->health == ZoneHealth::ramping && now < rampEnd(*zone);
}

// The interval between attempts into a ramping zone applies to all its destinations together.
void ZoneFailover::countRampAttempt(Millis now, ZoneId zoneId) {
  Zone& zone = zones_[zoneId];
  Millis interval = intervalAt(rampAttemptsPerSecond(now, zoneId)) * drawJitter();
  zone.nextRampAttemptAt = std::max(zone.nextRampAttemptAt, now) + interval;
}

Millis ZoneFailover::rampAllowedFrom(const Zone& zone) const {
  if (zone.health != ZoneHealth::ramping) return 0;
  return std::min(zone.nextRampAttemptAt, rampEnd(zone));
}

// Share of its expected rate that a ramping zone is given. Grows linearly with time, up to 1 at the ramp's
// end.
double ZoneFailover::rampShare(Millis now, const Zone& zone) const {
  double initial = settings_.recoveryRampInitialShare;
  double start = zone.rampStart == RampStart::afterAbsenceFromList
                     ? std::max(kRampStartAfterAbsence, initial)
                     : initial * std::pow(kRampStartFactorPerLoss, std::max(0, zone.consecutiveLosses - 1));
  Millis duration = std::max(1.0, settings_.recoveryRampDuration);
  double progress = std::clamp((now - zone.healthChangedAt) / duration, 0.0, 1.0);
  return start + (1 - start) * progress;
}

double ZoneFailover::rampAttemptsPerSecond(Millis now, ZoneId zoneId) const {
  const Zone* zone = find(zoneId);
  if (zone == nullptr) return minimumPerSecond_;
  return std::max(minimumPerSecond_, expectedPerSecond(*zone) * rampShare(now, *zone));
}

// The rate, in attempts per second, that the zone is expected to take from this dispatcher: its deliveries
// plus the spillover from it or, if higher, a share of the messages accepted for it. Without the latter, a
// dispatcher that starts while a zone is lost, and so has delivered nothing there, would shed all messages.
double ZoneFailover::expectedPerSecond(const Zone& zone) const {
  double completed = zone.deliveries.perSecond() + zone.spilloverAttempts.perSecond();
  Millis acceptedSince = zone.acceptedMessages.updatedAt - firstAcceptedAt_.value_or(0);
  Millis acceptedSpan = std::clamp(acceptedSince, kMinAcceptedSpan, kRateTimeConstant);
  double accepted = zone.acceptedMessages.value / acceptedSpan * kMillisPerSecond;
  double expected = std::max(completed, kExpectedShareOfAccepted * accepted);
  if (zone.health == ZoneHealth::healthy) return expected;
  return std::max(zone.deliveriesPerSecondBeforeLoss, expected);
}

bool ZoneFailover::isSpillover(DestinationId destination, ZoneId zone) const {
  if (!hasLowerPriorityThanHome(destination, zone)) return false;
  ZoneId homeId = homeZoneOf(destination);
  if (isLost(homeId)) return true;
  const Zone* home = find(homeId);
  return home != nullptr && home->health == ZoneHealth::ramping;
}

double ZoneFailover::spilloverPerSecond(ZoneId home, ZoneId zone) const {
  auto expectedIn = [&](ZoneId id) {
    const Zone* found = find(id);
    return found == nullptr ? 0.0 : expectedPerSecond(*found);
  };
  double higherRate = std::max(expectedIn(home), expectedIn(zone));
  double limit = std::max(minimumPerSecond_, settings_.spilloverShare * higherRate);
  return settings_.spilloverPerSecond > 0 ? std::min(limit, settings_.spilloverPerSecond) : limit;
}

double ZoneFailover::spilloverPerSecondFrom(ZoneId home) const {
  double sum = 0;
  for (const auto& [id, zone] : zones_) {
    bool takesSpillover = zone.health != ZoneHealth::lost && zone.lossDetector.hasEndpoints();
    if (id != home && takesSpillover) sum += spilloverPerSecond(home, id);
  }
  return sum;
}

int ZoneFailover::maxPendingSpilloverAttempts() const {
  return std::max(1, static_cast<int>(settings_.spilloverRequestShare * maxConcurrentRequests_));
}

Millis ZoneFailover::backlogDelay(DestinationId destination) const {
  ZoneId home = homeZoneOf(destination);
  if (!isLost(home)) return 0;
  return find(home)->waitingMessages / spilloverPerSecondFrom(home) * kMillisPerSecond;
}

std::optional<ZoneId> ZoneFailover::lostHomeOf(DestinationId destination) const {
  ZoneId home = homeZoneOf(destination);
  if (!isEnabled() || !isLost(home)) return std::nullopt;
  return home;
}

Millis ZoneFailover::attemptAllowedFrom(DestinationId destination, ZoneId zoneId) const {
  if (!isEnabled()) return 0;
  if (isLost(zoneId)) return kNever;
  const Zone* zone = find(zoneId);
  if (zone == nullptr) return 0;
  Millis allowedFrom = rampAllowedFrom(*zone);
  if (!isSpillover(destination, zoneId)) return allowedFrom;
  if (pendingSpilloverAttempts_ >= maxPendingSpilloverAttempts()) return kNever;
  return std::max(allowedFrom, zone->nextSpilloverAt);
}

double ZoneFailover::drawJitter() {
  return kJitterMin + kJitterRange * static_cast<double>(random_()) / kRandomRange;
}

}  // namespace stonewing
