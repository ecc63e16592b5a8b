#include "rooms/rooms.h"

#include <algorithm>
#include <cmath>

namespace stonewing {
namespace {

constexpr Millis kRateSpan = 10000;  // over which deliveries are counted
constexpr int kFailures = 2;         // of an endpoint in a row that tell something of its room
constexpr double kAskedShare =
    0.5;  // of what we were asked to bring: surges and repeats of clients count in it
constexpr Millis kAskedLeast = 1000;
constexpr double kLostShare = 0.5;   // of a room's endpoints that fail, with nothing delivered there since
constexpr std::size_t kLostFew = 3;  // or so many of them
constexpr std::size_t kDestinations = 2;  // that they belong to: a dead destination is no dead room
constexpr double kProbeSpans =
    1;  // overload windows between two health checks of a lost room, doubled by each loss
constexpr double kLossPart = 0.5;  // of where the last climb began, after a further loss
constexpr int kLossesMost = 4;
constexpr double kTogether =
    2;  // attempts in a overload window by all dispatchers into a room they know nothing of
constexpr double kJitterLeast = 0.75;  // of a span; a half more at the most
constexpr double kUnlistedFrom = 0.5;  // where a climb begins after the list alone had dropped the room
constexpr Millis kNever = 1e15;

}  // namespace

Rooms::Rooms(const DeploymentTerms& terms, std::uint64_t seed)
    : terms_(terms.rooms),
      own_(terms.zone),
      slots_(terms.maxConcurrentRequests),
      fallSpan_(std::max(1.0, terms.fallSpan)),
      patience_(terms.longestPromise()),
      least_(kTogether / fallSpan_ * 1000 / terms.instances),
      chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {
  if (terms_.climb <= 0) terms_.climb = std::max(1.0, terms.coldSpan);
  if (terms_.climbFrom <= 0) terms_.climbFrom = terms.coldFrom;
}

int Rooms::tier(DestinationId destination, ZoneId room) const {
  if (!named()) return room != own_;
  auto at = terms_.destinations.find(destination);
  const RoomTerms::Tiers& tiers = at == terms_.destinations.end() ? terms_.tiers : at->second;
  for (std::size_t n = 0; n < tiers.size(); ++n) {
    if (std::find(tiers[n].begin(), tiers[n].end(), room) != tiers[n].end()) return static_cast<int>(n);
  }
  return static_cast<int>(tiers.size());  // a room that nobody named comes last
}

void Rooms::listBegins() {
  for (auto& [id, r] : rooms_) {
    r.endpoints.clear();
    r.destinations.clear();
    r.waiting = 0;
  }
  homes_.clear();
}

void Rooms::listed(EndpointId endpoint, DestinationId destination, ZoneId room) {
  Room& r = rooms_[room];
  r.endpoints[endpoint] = destination;
  r.destinations.insert(destination);
  auto [at, fresh] = homes_.try_emplace(destination, room);
  if (!fresh && tier(destination, room) < tier(destination, at->second)) at->second = room;
}

// A room that the list named no more for a while comes back as cold as one that was lost.
void Rooms::listEnds(Millis now) {
  for (const auto& [destination, many] : waiting_) rooms_[homeOf(destination)].waiting += many;
  for (auto& [id, r] : rooms_) {
    std::erase_if(r.failing, [&](const auto& f) { return !r.endpoints.contains(f.first); });
    if (r.endpoints.empty()) {
      if (r.unlistedAt < 0) {
        r.unlistedAt = now;
        if (r.state == State::well) r.before = rate(r);
      }
      continue;
    }
    bool was = r.unlistedAt >= 0 && now - r.unlistedAt > fallSpan_ && r.before > 0;
    r.unlistedAt = -1;
    if (was && r.state == State::well) returns(now, r, false);
    judge(now, r);
  }
}

double Rooms::rate(const Room& r) const { return r.done / kRateSpan * 1000; }

// Danger: a dispatcher that starts while a room is lost has delivered nothing there, and would shed all it is
// given.
double Rooms::whole(const Room& r) const {
  double now = rate(r) + r.away / kRateSpan * 1000;
  double asked = r.asked / std::clamp(r.askedAt - began_, kAskedLeast, kRateSpan) * 1000;
  now = std::max(now, kAskedShare * asked);
  return r.state == State::well ? now : std::max(r.before, now);
}

void Rooms::asked(Millis now, DestinationId destination) {
  if (!named()) return;
  if (began_ < 0) began_ = now;
  Room& home = rooms_[homeOf(destination)];
  home.asked = 1 + home.asked * std::exp(-(now - home.askedAt) / kRateSpan);
  home.askedAt = now;
}

bool Rooms::launched(Millis now, DestinationId destination, ZoneId room) {
  Room& r = rooms_[room];
  if (climbing(now, room)) {
    // Attempts keep apart by what it is fed: across all its destinations together.
    r.fedFrom = std::max(r.fedFrom, now) + 1000 / fedPerSecond(now, room) * jitter();
  }
  if (!spilled(destination, room)) return false;
  ++spilledOut_;
  Room& home = rooms_[homeOf(destination)];
  home.away = 1 + home.away * std::exp(-(now - home.awayAt) / kRateSpan);
  home.awayAt = now;
  // A second's worth may go at once, as long as it was not used before.
  double perSecond = spillPerSecond(homeOf(destination), room);
  r.strangersFrom = std::max(r.strangersFrom, now - 1000) + 1000 / perSecond;
  return true;
}

void Rooms::waits(DestinationId destination, int more) {
  if (!named()) return;
  waiting_[destination] += more;
  rooms_[homeOf(destination)].waiting += more;
}

void Rooms::works(Millis now, EndpointId endpoint, ZoneId room, bool delivered) {
  if (!named()) return;
  Room& r = rooms_[room];
  if (delivered) {
    r.done = 1 + r.done * std::exp(-(now - r.doneAt) / kRateSpan);
    r.doneAt = now;
  }
  r.workedAt = now;
  r.failing.erase(endpoint);
  if (r.state == State::lost) returns(now, r, true);
  if (r.state == State::climbing && now >= r.changedAt + terms_.climb) {
    r.state = State::well;
    r.losses = 0;
  }
}

void Rooms::fails(Millis now, EndpointId endpoint, DestinationId destination, ZoneId room, int times) {
  Room& r = rooms_[room];
  // One that was taken off the list is no wonder, and one failure no evidence.
  if (!named() || times < kFailures || !r.endpoints.contains(endpoint)) return;
  if (r.failing.empty() || r.workedAt >= r.failingSince) r.failingSince = now;
  r.failing[endpoint] = {destination, now};
  judge(now, r);
}

void Rooms::probed(Millis now, ZoneId room) {
  Room& r = rooms_[room];
  if (r.state == State::lost) r.probeFrom = now + probePause(r) * jitter();
  if (climbing(now, room)) r.fedFrom = std::max(r.fedFrom, now) + 1000 / fedPerSecond(now, room) * jitter();
}

// Seen from here: endpoints of several destinations fail, and nothing there has worked since the first of
// them did. A room that still delivers, however little or late, is ill and not lost: its endpoints are passed
// over one by one, and only what the others cannot take goes elsewhere.
bool Rooms::looksLost(const Room& r) const {
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

void Rooms::judge(Millis now, Room& r) {
  if (!named() || r.state == State::lost || !looksLost(r)) return;
  if (r.state == State::well) r.before = rate(r);
  r.state = State::lost;
  r.changedAt = now;
  r.losses = std::min(r.losses + 1, kLossesMost);
  r.probeFrom = now + fallSpan_ * kProbeSpans * jitter() + probePause(r) * (jitter() - kJitterLeast);
}

// Something answers there again. It is cold, and all that was spilled would come home in one moment.
void Rooms::returns(Millis now, Room& r, bool slowly) {
  r.state = State::climbing;
  r.slowly = slowly;
  r.changedAt = now;
  r.fedFrom = now;
  r.failingSince = now;
}

// Danger: the health checks of hundreds of dispatchers alone push a room over that has just come back. Each
// keeps to its part of what the room takes when it is cold.
Millis Rooms::probePause(const Room& r) {
  Millis part = 1000 / std::max(least_, whole(r) * terms_.climbFrom);
  return std::max(fallSpan_ * kProbeSpans, part) * std::exp2(std::max(0, r.losses - 1));
}

double Rooms::climbed(Millis now, const Room& r) const {
  double from = !r.slowly ? std::max(kUnlistedFrom, terms_.climbFrom)
                          : terms_.climbFrom * std::pow(kLossPart, std::max(0, r.losses - 1));
  double along = std::clamp((now - r.changedAt) / std::max(1.0, terms_.climb), 0.0, 1.0);
  return from + (1 - from) * along;
}

bool Rooms::lost(ZoneId room) const {
  const Room* r = find(room);
  if (r == nullptr || r->state != State::lost) return false;
  // Danger: with every room lost it is us who are cut off; nothing would be attempted any more.
  return std::any_of(rooms_.begin(), rooms_.end(), [](const auto& other) {
    return other.second.state != State::lost && !other.second.endpoints.empty();
  });
}

bool Rooms::climbing(Millis now, ZoneId room) const {
  const Room* r = find(room);
  return r != nullptr && r->state == State::climbing && now < r->changedAt + terms_.climb;
}

double Rooms::fedPerSecond(Millis now, ZoneId room) const {
  const Room* r = find(room);
  return r == nullptr ? least_ : std::max(least_, whole(*r) * climbed(now, *r));
}

ZoneId Rooms::homeOf(DestinationId destination) const {
  auto at = homes_.find(destination);
  return at == homes_.end() ? own_ : at->second;
}

bool Rooms::stranger(DestinationId destination, ZoneId room) const {
  return named() && tier(destination, room) > tier(destination, homeOf(destination));
}

bool Rooms::spilled(DestinationId destination, ZoneId room) const {
  if (!stranger(destination, room)) return false;
  ZoneId home = homeOf(destination);
  return lost(home) || find(home)->state == State::climbing;
}

double Rooms::spillPerSecond(ZoneId home, ZoneId room) const {
  auto did = [&](ZoneId id) {
    const Room* r = find(id);
    return r == nullptr ? 0.0 : whole(*r);
  };
  double most = std::max(least_, terms_.spillShare * std::max(did(home), did(room)));
  return terms_.spillPerSecond > 0 ? std::min(most, terms_.spillPerSecond) : most;
}

double Rooms::spillPerSecondFrom(ZoneId home) const {
  double all = 0;
  for (const auto& [id, r] : rooms_) {
    if (id != home && r.state != State::lost && !r.endpoints.empty()) all += spillPerSecond(home, id);
  }
  return all;
}

bool Rooms::overfull(DestinationId destination) const { return named() && backlog(destination) > patience_; }

Millis Rooms::backlog(DestinationId destination) const {
  ZoneId home = homeOf(destination);
  if (!lost(home)) return 0;
  return find(home)->waiting / spillPerSecondFrom(home) * 1000;
}

Millis Rooms::launchFrom(DestinationId destination, ZoneId room) const {
  if (!named()) return 0;
  if (lost(room)) return kNever;
  const Room* r = find(room);
  if (r == nullptr) return 0;
  Millis from = r->state == State::climbing ? std::min(r->fedFrom, r->changedAt + terms_.climb) : 0;
  if (!spilled(destination, room)) return from;
  if (spilledOut_ >= std::max(1, static_cast<int>(terms_.spillSlots * slots_))) return kNever;
  return std::max(from, r->strangersFrom);
}

Millis Rooms::probeFrom(ZoneId room) const {
  const Room* r = find(room);
  if (!named() || r == nullptr) return 0;
  if (r->state == State::lost && lost(room)) return r->probeFrom;
  return r->state == State::climbing ? std::min(r->fedFrom, r->changedAt + terms_.climb) : 0;
}

}  // namespace stonewing
