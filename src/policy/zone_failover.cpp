#include "policy/zone_failover.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

constexpr Millis kRateSpan = 10000;  // over which deliveries are counted
constexpr int kFailures = 2;         // of an endpoint in a row that tell something of its zone
constexpr double kAskedShare =
    0.5;  // of what we were asked to bring: surges and repeats of clients count in it
constexpr Millis kAskedLeast = 1000;
constexpr double kLostShare = 0.5;   // of a zone's endpoints that fail, with nothing delivered there since
constexpr std::size_t kLostFew = 3;  // or so many of them
constexpr std::size_t kDestinations = 2;  // that they belong to: a dead destination is no dead zone
constexpr double kProbeSpans =
    1;  // overload windows between two health checks of a lost zone, doubled by each loss
constexpr double kLossPart = 0.5;  // of where the last climb began, after a further loss
constexpr int kLossesMost = 4;
constexpr double kTogether =
    2;  // attempts in a overload window by all dispatchers into a zone they know nothing of
constexpr double kJitterLeast = 0.75;  // of a span; a half more at the most
constexpr double kUnlistedFrom = 0.5;  // where a climb begins after the list alone had dropped the zone
constexpr Millis kNever = 1e15;

}  // namespace

ZoneFailover::ZoneFailover(const DeploymentSettings& terms, std::uint64_t seed)
    : settings_(terms.zoneFailover),
      ownZone_(terms.zone),
      maxConcurrentRequests_(terms.maxConcurrentRequests),
      overloadWindow_(std::max(1.0, terms.overloadWindow)),
      maxBacklogDelay_(terms.longestLatencyObjective()),
      minimumPerSecond_(kTogether / overloadWindow_ * 1000 / terms.dispatcherCount),
      chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {
  if (settings_.recoveryRampDuration <= 0)
    settings_.recoveryRampDuration = std::max(1.0, terms.slowStartDuration);
  if (settings_.recoveryRampInitialShare <= 0)
    settings_.recoveryRampInitialShare = terms.slowStartInitialShare;
}

int ZoneFailover::priority(DestinationId destination, ZoneId room) const {
  if (!isEnabled()) return room != ownZone_;
  auto at = settings_.destinations.find(destination);
  const ZoneFailoverSettings::Priorities& tiers =
      at == settings_.destinations.end() ? settings_.priorities : at->second;
  for (std::size_t n = 0; n < tiers.size(); ++n) {
    if (std::find(tiers[n].begin(), tiers[n].end(), room) != tiers[n].end()) return static_cast<int>(n);
  }
  return static_cast<int>(tiers.size());  // a zone that nobody named comes last
}

void ZoneFailover::beginEndpointList() {
  for (auto& [id, r] : zones_) {
    r.endpoints.clear();
    r.destinations.clear();
    r.waiting = 0;
  }
  homes_.clear();
}

void ZoneFailover::addEndpoint(EndpointId endpoint, DestinationId destination, ZoneId room) {
  Zone& r = zones_[room];
  r.endpoints[endpoint] = destination;
  r.destinations.insert(destination);
  auto [at, fresh] = homes_.try_emplace(destination, room);
  if (!fresh && priority(destination, room) < priority(destination, at->second)) at->second = room;
}

// A zone that the list named no more for a while comes back as cold as one that was lost.
void ZoneFailover::commitEndpointList(Millis now) {
  for (const auto& [destination, many] : waiting_) zones_[homeZoneOf(destination)].waiting += many;
  for (auto& [id, r] : zones_) {
    std::erase_if(r.failing, [&](const auto& f) { return !r.endpoints.contains(f.first); });
    if (r.endpoints.empty()) {
      if (r.unlistedAt < 0) {
        r.unlistedAt = now;
        if (r.state == ZoneHealth::healthy) r.before = successesPerSecond(r);
      }
      continue;
    }
    bool was = r.unlistedAt >= 0 && now - r.unlistedAt > overloadWindow_ && r.before > 0;
    r.unlistedAt = -1;
    if (was && r.state == ZoneHealth::healthy) beginRamp(now, r, false);
    updateHealth(now, r);
  }
}

double ZoneFailover::successesPerSecond(const Zone& r) const { return r.done / kRateSpan * 1000; }

// Danger: a dispatcher that starts while a zone is lost has delivered nothing there, and would shed all it is
// given.
double ZoneFailover::expectedPerSecond(const Zone& r) const {
  double now = successesPerSecond(r) + r.away / kRateSpan * 1000;
  double asked = r.asked / std::clamp(r.askedAt - began_, kAskedLeast, kRateSpan) * 1000;
  now = std::max(now, kAskedShare * asked);
  return r.state == ZoneHealth::healthy ? now : std::max(r.before, now);
}

void ZoneFailover::recordAccepted(Millis now, DestinationId destination) {
  if (!isEnabled()) return;
  if (began_ < 0) began_ = now;
  Zone& home = zones_[homeZoneOf(destination)];
  home.asked = 1 + home.asked * std::exp(-(now - home.askedAt) / kRateSpan);
  home.askedAt = now;
}

bool ZoneFailover::recordAttempt(Millis now, DestinationId destination, ZoneId room) {
  Zone& r = zones_[room];
  if (isRamping(now, room)) {
    // Attempts keep apart by what it is fed: across all its destinations together.
    r.fedFrom = std::max(r.fedFrom, now) + 1000 / rampAttemptsPerSecond(now, room) * jitter();
  }
  if (!isSpillover(destination, room)) return false;
  ++spilloverPending_;
  Zone& home = zones_[homeZoneOf(destination)];
  home.away = 1 + home.away * std::exp(-(now - home.awayAt) / kRateSpan);
  home.awayAt = now;
  // A second's worth may go at once, as long as it was not used before.
  double perSecond = spilloverPerSecond(homeZoneOf(destination), room);
  r.strangersFrom = std::max(r.strangersFrom, now - 1000) + 1000 / perSecond;
  return true;
}

void ZoneFailover::addWaiting(DestinationId destination, int more) {
  if (!isEnabled()) return;
  waiting_[destination] += more;
  zones_[homeZoneOf(destination)].waiting += more;
}

void ZoneFailover::recordSuccess(Millis now, EndpointId endpoint, ZoneId room, bool delivered) {
  if (!isEnabled()) return;
  Zone& r = zones_[room];
  if (delivered) {
    r.done = 1 + r.done * std::exp(-(now - r.doneAt) / kRateSpan);
    r.doneAt = now;
  }
  r.workedAt = now;
  r.failing.erase(endpoint);
  if (r.state == ZoneHealth::lost) beginRamp(now, r, true);
  if (r.state == ZoneHealth::ramping && now >= r.changedAt + settings_.recoveryRampDuration) {
    r.state = ZoneHealth::healthy;
    r.losses = 0;
  }
}

void ZoneFailover::recordFailures(Millis now, EndpointId endpoint, DestinationId destination, ZoneId room,
                                  int times) {
  Zone& r = zones_[room];
  // One that was taken off the list is no wonder, and one failure no evidence.
  if (!isEnabled() || times < kFailures || !r.endpoints.contains(endpoint)) return;
  if (r.failing.empty() || r.workedAt >= r.failingSince) r.failingSince = now;
  r.failing[endpoint] = {destination, now};
  updateHealth(now, r);
}

void ZoneFailover::recordHealthCheck(Millis now, ZoneId room) {
  Zone& r = zones_[room];
  if (r.state == ZoneHealth::lost) r.probeFrom = now + healthCheckInterval(r) * jitter();
  if (isRamping(now, room))
    r.fedFrom = std::max(r.fedFrom, now) + 1000 / rampAttemptsPerSecond(now, room) * jitter();
}

// Seen from here: endpoints of several destinations fail, and nothing there has worked since the first of
// them did. A zone that still delivers, however little or late, is ill and not lost: its endpoints are passed
// over one by one, and only what the others cannot take goes elsewhere.
bool ZoneFailover::looksLost(const Zone& r) const {
  if (r.failing.empty() || r.workedAt >= r.failingSince) return false;
  std::set<DestinationId> destinations;
  std::size_t failed = 0;
  for (const auto& [endpoint, f] : r.failing) {
    if (f.at < r.failingSince) continue;
    ++failed;
    destinations.insert(f.destination);
  }
  if (destinations.size() < std::min(kDestinations, r.destinations.size())) return false;
  auto many = static_cast<double>(failed);
  return failed >= kLostFew || many >= kLostShare * static_cast<double>(r.endpoints.size());
}

void ZoneFailover::updateHealth(Millis now, Zone& r) {
  if (!isEnabled() || r.state == ZoneHealth::lost || !looksLost(r)) return;
  if (r.state == ZoneHealth::healthy) r.before = successesPerSecond(r);
  r.state = ZoneHealth::lost;
  r.changedAt = now;
  r.losses = std::min(r.losses + 1, kLossesMost);
  r.probeFrom =
      now + overloadWindow_ * kProbeSpans * jitter() + healthCheckInterval(r) * (jitter() - kJitterLeast);
}

// Something answers there again. It is cold, and all that was spilled would come home in one moment.
void ZoneFailover::beginRamp(Millis now, Zone& r, bool slowly) {
  r.state = ZoneHealth::ramping;
  r.slowly = slowly;
  r.changedAt = now;
  r.fedFrom = now;
  r.failingSince = now;
}

// Danger: the health checks of hundreds of dispatchers alone push a zone over that has just come back. Each
// keeps to its part of what the zone takes when it is cold.
Millis ZoneFailover::healthCheckInterval(const Zone& r) {
  Millis part = 1000 / std::max(minimumPerSecond_, expectedPerSecond(r) * settings_.recoveryRampInitialShare);
  return std::max(overloadWindow_ * kProbeSpans, part) * std::exp2(std::max(0, r.losses - 1));
}

double ZoneFailover::rampShare(Millis now, const Zone& r) const {
  double from = !r.slowly
                    ? std::max(kUnlistedFrom, settings_.recoveryRampInitialShare)
                    : settings_.recoveryRampInitialShare * std::pow(kLossPart, std::max(0, r.losses - 1));
  double along = std::clamp((now - r.changedAt) / std::max(1.0, settings_.recoveryRampDuration), 0.0, 1.0);
  return from + (1 - from) * along;
}

bool ZoneFailover::isLost(ZoneId room) const {
  const Zone* r = find(room);
  if (r == nullptr || r->state != ZoneHealth::lost) return false;
  // Danger: with every zone lost it is us who are cut off; nothing would be attempted any more.
  return std::any_of(zones_.begin(), zones_.end(), [](const auto& other) {
    return other.second.state != ZoneHealth::lost && !other.second.endpoints.empty();
  });
}

bool ZoneFailover::isRamping(Millis now, ZoneId room) const {
  const Zone* r = find(room);
  return r != nullptr && r->state == ZoneHealth::ramping &&
         now < r->changedAt + settings_.recoveryRampDuration;
}

double ZoneFailover::rampAttemptsPerSecond(Millis now, ZoneId room) const {
  const Zone* r = find(room);
  return r == nullptr ? minimumPerSecond_
                      : std::max(minimumPerSecond_, expectedPerSecond(*r) * rampShare(now, *r));
}

ZoneId ZoneFailover::homeZoneOf(DestinationId destination) const {
  auto at = homes_.find(destination);
  return at == homes_.end() ? ownZone_ : at->second;
}

bool ZoneFailover::isForeign(DestinationId destination, ZoneId room) const {
  return isEnabled() && priority(destination, room) > priority(destination, homeZoneOf(destination));
}

bool ZoneFailover::isSpillover(DestinationId destination, ZoneId room) const {
  if (!isForeign(destination, room)) return false;
  ZoneId home = homeZoneOf(destination);
  return isLost(home) || find(home)->state == ZoneHealth::ramping;
}

double ZoneFailover::spilloverPerSecond(ZoneId home, ZoneId room) const {
  auto did = [&](ZoneId id) {
    const Zone* r = find(id);
    return r == nullptr ? 0.0 : expectedPerSecond(*r);
  };
  double most = std::max(minimumPerSecond_, settings_.spilloverShare * std::max(did(home), did(room)));
  return settings_.spilloverPerSecond > 0 ? std::min(most, settings_.spilloverPerSecond) : most;
}

double ZoneFailover::spilloverPerSecondFrom(ZoneId home) const {
  double all = 0;
  for (const auto& [id, r] : zones_) {
    if (id != home && r.state != ZoneHealth::lost && !r.endpoints.empty())
      all += spilloverPerSecond(home, id);
  }
  return all;
}

bool ZoneFailover::isBacklogTooLong(DestinationId destination) const {
  return isEnabled() && backlogDelay(destination) > maxBacklogDelay_;
}

Millis ZoneFailover::backlogDelay(DestinationId destination) const {
  ZoneId home = homeZoneOf(destination);
  if (!isLost(home)) return 0;
  return find(home)->waiting / spilloverPerSecondFrom(home) * 1000;
}

Millis ZoneFailover::attemptAllowedFrom(DestinationId destination, ZoneId room) const {
  if (!isEnabled()) return 0;
  if (isLost(room)) return kNever;
  const Zone* r = find(room);
  if (r == nullptr) return 0;
  Millis from = r->state == ZoneHealth::ramping
                    ? std::min(r->fedFrom, r->changedAt + settings_.recoveryRampDuration)
                    : 0;
  if (!isSpillover(destination, room)) return from;
  if (spilloverPending_ >=
      std::max(1, static_cast<int>(settings_.spilloverRequestShare * maxConcurrentRequests_)))
    return kNever;
  return std::max(from, r->strangersFrom);
}

Millis ZoneFailover::healthCheckAllowedFrom(ZoneId room) const {
  const Zone* r = find(room);
  if (!isEnabled() || r == nullptr) return 0;
  if (r->state == ZoneHealth::lost && isLost(room)) return r->probeFrom;
  return r->state == ZoneHealth::ramping ? std::min(r->fedFrom, r->changedAt + settings_.recoveryRampDuration)
                                         : 0;
}

}  // namespace stonewing
