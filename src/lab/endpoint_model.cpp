#include "lab/endpoint_model.h"

#include <algorithm>
#include <cmath>

#include "lab/random_draws.h"

namespace stonewing::lab {
namespace {

constexpr double kOutShare = 0.5;        // of the calls that fail: most of them, so the destination is out
constexpr Millis kFastError = 1;         // an error comes at once
constexpr double kFurtherWeight = 0.25;  // of a further message in a call, in calls
constexpr double kChanceSlack = 2;       // calls above the budget that are put down to chance
constexpr Millis kShutWait = 500;        // told by an endpoint that is shut
constexpr std::size_t kReceiptsKept = 1 << 20;

}  // namespace

Town::Town(const Plan& plan, std::uint64_t seed, Trace& trace)
    : plan_(plan),
      trace_(trace),
      chance_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      endpoints_(static_cast<std::size_t>(plan.endpointCount())),
      destinations_(static_cast<std::size_t>(plan.world.destinations)),
      rooms_(plan.world.rooms.size()),
      roomSizes_(plan.world.rooms.size()) {
  for (int e = 0; e < plan.endpointCount(); ++e) ++roomSizes_[static_cast<std::size_t>(plan.roomOf(e))];
}

// A room is out while all its endpoints are.
void Town::judgeRoom(Millis now, int number) {
  if (!plan_.world.roomsCold) return;
  Room& r = rooms_[static_cast<std::size_t>(number)];
  bool out = true;
  for (int e = 0; e < plan_.endpointCount() && out; ++e) {
    out = plan_.roomOf(e) != number || down(now, static_cast<std::uint32_t>(e));
  }
  if (out == r.out) return;
  r.out = out;
  if (out) {
    r.outSince = now;
    return;
  }
  if (now - r.outSince > plan_.world.fallSpan) r.coldSince = now;
  r.pushes.clear();
  r.pushed = 0;
}

double Town::roomWarmth(Millis now, std::uint32_t endpoint) {
  if (!plan_.world.roomsCold) return 1;
  double along = std::clamp((now - roomAt(endpoint).coldSince) / plan_.world.coldSpan, 0.0, 1.0);
  return plan_.world.coldFrom + (1 - plan_.world.coldFrom) * along;
}

// What reaches a room, probes too. A cold one falls as a whole when it is pushed too hard, and is cold again
// after.
bool Town::pushRoom(Millis now, std::uint32_t endpoint, double weight) {
  if (!plan_.world.roomsCold) return true;
  Room& r = roomAt(endpoint);
  if (r.out || now < r.fallenUntil) return r.out;
  r.pushes.emplace_back(now, weight);
  r.pushed += weight;
  while (r.pushes.front().first <= now - plan_.world.fallSpan) {
    r.pushed -= r.pushes.front().second;
    r.pushes.pop_front();
  }
  if (now >= r.coldSince + plan_.world.coldSpan) return true;
  int number = plan_.roomOf(static_cast<int>(endpoint));
  double whole =
      plan_.world.parallel * roomSizes_[static_cast<std::size_t>(number)] / meanOf(plan_.world.service);
  double budget =
      plan_.world.fallMultiple * whole * roomWarmth(now, endpoint) * plan_.world.fallSpan + kChanceSlack;
  if (r.pushed <= budget) return true;
  trace_.events.push_back(
      {.at = now, .what = What::roomFell, .callback = static_cast<std::uint32_t>(number)});
  r.fallenUntil = r.coldSince = now + plan_.world.coldSpan;
  r.pushes.clear();
  r.pushed = 0;
  return false;
}

// What the troubles that are on make of an endpoint together.
void Town::settle(Endpoint& e) {
  Condition c;
  for (const TroublePlan& t : e.on) {
    switch (t.kind) {
      case TroubleKind::refuse:
        ++c.refuses;
        break;
      case TroubleKind::blackhole:
        ++c.vanished;
        break;
      case TroubleKind::silent:
        ++c.silent;
        break;
      case TroubleKind::shut:
        ++c.shut;
        break;
      case TroubleKind::pause:
        ++c.paused;
        break;
      case TroubleKind::slow:
        c.slow = std::max(c.slow, t.factor);
        break;
      case TroubleKind::errors:
        c.errors = std::max(c.errors, t.factor);
        break;
      case TroubleKind::lost:
        c.lost = std::max(c.lost, t.factor);
        break;
      case TroubleKind::reset:
        c.reset = std::max(c.reset, t.factor);
        break;
      case TroubleKind::spoilt:
        c.spoilt = std::max(c.spoilt, t.factor);
        break;
      case TroubleKind::cut:
        c.cut = std::max(c.cut, t.factor);
        break;
      case TroubleKind::table:
        c.places = std::max(1, static_cast<int>(t.factor));
        break;
      default:
        break;
    }
  }
  e.condition = c;
}

std::vector<Reply> Town::strike(Millis now, const TroublePlan& trouble, bool begins) {
  std::vector<Reply> ended;
  if (trouble.kind == TroubleKind::cutOff) {
    for (int n : plan_.struck(trouble)) {
      for (int d : trouble.dispatchers) {
        auto at = cuts_.try_emplace({static_cast<std::uint32_t>(d), static_cast<std::uint32_t>(n)}).first;
        if ((at->second += begins ? 1 : -1) == 0) cuts_.erase(at);
      }
    }
    return ended;
  }
  for (int n : plan_.struck(trouble)) {
    auto id = static_cast<std::uint32_t>(n);
    Endpoint& e = endpoints_[id];
    if (begins) {
      e.on.push_back(trouble);
    } else {
      auto same = [&](const TroublePlan& t) { return t.kind == trouble.kind && t.from == trouble.from; };
      auto at = std::find_if(e.on.begin(), e.on.end(), same);
      if (at != e.on.end()) e.on.erase(at);
    }
    bool paused = e.condition.paused > 0;
    settle(e);
    if (!paused && e.condition.paused > 0) e.pausedAt = now;
    if (paused && e.condition.paused == 0) {
      for (Running& r : e.running) r.until += now - e.pausedAt;
    }
    if (begins && trouble.kind == TroubleKind::refuse) {
      // The process is gone, with all that it had: what had begun may have run.
      for (const Running& r : e.running) ended.push_back({r.call, id, Said::reset, 0, true});
      for (const Waiting& w : e.waiting) ended.push_back({w.call, id, Said::reset, 0, false});
      e.running.clear();
      e.waiting.clear();
      e.connections = 0;
    }
    judge(now, plan_.destinationOf(n));
  }
  for (std::size_t room = 0; room < rooms_.size(); ++room) judgeRoom(now, static_cast<int>(room));
  return ended;
}

bool Town::down(Millis now, std::uint32_t endpoint) const {
  const Condition& c = at(endpoint).condition;
  return c.refuses > 0 || c.vanished > 0 || c.silent > 0 || c.shut > 0 || c.errors >= kOutShare ||
         c.lost >= kOutShare || c.reset >= kOutShare || now < destinationOf(endpoint).fallenUntil;
}

// A destination is out while every endpoint of it fails most calls; when the first is back, it is cold.
void Town::judge(Millis now, int n) {
  Destination& d = destinations_[static_cast<std::size_t>(n)];
  bool out = true;
  for (int k = 0; k < plan_.world.endpoints; ++k) {
    out = out && down(now, static_cast<std::uint32_t>(n * plan_.world.endpoints + k));
  }
  if (out == d.out) return;
  d.out = out;
  auto number = static_cast<std::uint32_t>(n);
  if (out) {
    d.outSince = now;
    trace_.events.push_back({.at = now, .what = What::out, .callback = number});
  } else {
    if (now - d.outSince > plan_.world.fallSpan) d.coldSince = now;  // a blip leaves it warm
    d.pushes.clear();
    d.pushed = 0;
    trace_.events.push_back({.at = now, .what = What::back, .callback = number});
  }
}

double Town::warmth(Millis now, const Destination& d) const {
  double along = std::clamp((now - d.coldSince) / plan_.world.coldSpan, 0.0, 1.0);
  return plan_.world.coldFrom + (1 - plan_.world.coldFrom) * along;
}

double Town::capacity() const {
  const WorldPlan& w = plan_.world;
  double served = w.parallel * w.endpoints / meanOf(w.service);
  return w.limitPerSecond > 0 ? std::min(served, w.limitPerSecond / 1000) : served;
}

LoadReport Town::report(Millis now, std::uint32_t endpoint) const {
  return {capacity() * 1000 * warmth(now, destinationOf(endpoint)), -1};
}

// Counts what reaches a destination, what it turns away too. A cold one that is pushed too hard falls over.
bool Town::push(Millis now, std::uint32_t endpoint, double weight) {
  Destination& d = destinationOf(endpoint);
  d.pushes.emplace_back(now, weight);
  d.pushed += weight;
  while (d.pushes.front().first <= now - plan_.world.fallSpan) {
    d.pushed -= d.pushes.front().second;
    d.pushes.pop_front();
  }
  auto number = static_cast<int>(endpoint) / plan_.world.endpoints;
  if (d.fallenUntil >= 0 && now >= d.fallenUntil) {
    d.fallenUntil = -1;
    judge(now, number);
  }
  if (d.out || now >= d.coldSince + plan_.world.coldSpan) return true;
  double budget =
      plan_.world.fallMultiple * capacity() * warmth(now, d) * plan_.world.fallSpan + kChanceSlack;
  if (d.pushed <= budget) return true;
  trace_.events.push_back({.at = now, .what = What::fell, .callback = static_cast<std::uint32_t>(number)});
  d.fallenUntil = now + plan_.world.coldSpan;
  judge(now, number);
  return false;
}

Town::Connect Town::connect(Millis now, std::uint32_t id, std::uint16_t dispatcher) {
  Endpoint& e = endpoints_[id];
  if (vanished(id, dispatcher)) return Connect::never;
  if (e.condition.refuses > 0 || tableFull(id)) {
    trace_.events.push_back(
        {.at = now, .what = What::refusedConnect, .endpoint = id, .dispatcher = dispatcher});
    return Connect::refused;
  }
  ++e.connections;
  return Connect::up;
}

void Town::disconnected(std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  e.connections = std::max(0, e.connections - 1);
}

std::optional<Reply> Town::arrived(Millis now, std::uint32_t call, std::uint32_t id, std::uint16_t dispatcher,
                                   const std::vector<std::uint32_t>& callbacks) {
  Endpoint& e = endpoints_[id];
  for (std::uint32_t c : callbacks) {
    trace_.events.push_back({.at = now,
                             .what = What::arrived,
                             .callback = c,
                             .call = call,
                             .endpoint = id,
                             .dispatcher = dispatcher});
  }
  Destination& d = destinationOf(id);
  double weight = 1 + kFurtherWeight * (static_cast<double>(callbacks.size()) - 1);
  bool stands = push(now, id, weight);
  stands = pushRoom(now, id, weight) && stands;
  if (!stands || now < d.fallenUntil || now < roomAt(id).fallenUntil)
    return Reply{call, id, Said::turnedAway, 0, false};
  if (e.condition.shut > 0) return Reply{call, id, Said::turnedAway, kShutWait, false};
  if (plan_.world.limitPerSecond > 0) {
    auto span = static_cast<std::int64_t>(now / plan_.world.limitSpan);
    if (span != d.span) d.inSpan = 0;
    d.span = span;
    double most = std::max(1.0, plan_.world.limitPerSecond * plan_.world.limitSpan / 1000 * warmth(now, d));
    if (++d.inSpan > most) {
      return Reply{call, id, Said::wait, (static_cast<double>(span) + 1) * plan_.world.limitSpan - now,
                   false};
    }
  }
  if (uniform(chance_) < e.condition.errors) {
    // It fails at once and holds no place for long; whether it took effect, nobody can tell.
    return Reply{call, id, Said::error, 0, true};
  }
  bool busy = static_cast<int>(e.running.size()) >= plan_.world.parallel;
  if (busy && static_cast<int>(e.waiting.size()) >= plan_.world.queue) {
    return Reply{call, id, Said::turnedAway, 0, false};
  }
  e.waiting.push_back({call, dispatcher, callbacks});
  fill(now, id);
  return std::nullopt;
}

void Town::fill(Millis now, std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  while (!e.waiting.empty() && e.condition.paused == 0 &&
         static_cast<int>(e.running.size()) < plan_.world.parallel) {
    Waiting next = std::move(e.waiting.front());
    e.waiting.pop_front();
    start(now, id, std::move(next));
  }
}

void Town::start(Millis now, std::uint32_t id, Waiting call) {
  Endpoint& e = endpoints_[id];
  const Condition& c = e.condition;
  for (std::uint32_t callback : call.callbacks) {
    const Handed& handed = trace_.callbacks[callback];
    const TrafficType& type = plan_.types[handed.type].terms;
    bool fresh = true;
    if (type.idempotency == Idempotency::idempotentWithKey) {
      auto room = static_cast<std::uint64_t>(plan_.roomOf(static_cast<int>(id)));
      std::uint64_t group = type.deduplicationScope == DeduplicationScope::zone ? room + 1 : 0;
      auto [at, first] = receipts_.try_emplace(std::uint64_t{handed.origin} << 8 | group, now);
      fresh = first || now - at->second > type.deduplicationWindow;
      if (fresh) at->second = now;
      if (receipts_.size() > kReceiptsKept) {
        std::erase_if(receipts_, [&](const auto& r) { return now - r.second > 1e6; });
      }
    }
    if (!fresh) continue;
    trace_.events.push_back({.at = now,
                             .what = What::effect,
                             .callback = callback,
                             .call = call.call,
                             .endpoint = id,
                             .dispatcher = call.dispatcher});
  }
  Said said = Said::ok;
  double roll = uniform(chance_);
  for (auto [share, ends] : {std::pair{c.lost, Said::silence}, std::pair{c.reset, Said::reset},
                             std::pair{c.spoilt, Said::spoilt}, std::pair{c.cut, Said::cut}}) {
    if (roll < share) {
      said = ends;
      break;
    }
    roll -= share;
  }
  if (c.silent > 0) said = Said::silence;
  Millis service =
      drawn(plan_.world.service, chance_) * c.slow / (warmth(now, destinationOf(id)) * roomWarmth(now, id));
  e.running.push_back({call.call, now + std::max(kFastError, service), said});
}

bool Town::abandoned(Millis now, std::uint32_t call, std::uint32_t id) {
  Endpoint& e = endpoints_[id];
  auto running =
      std::find_if(e.running.begin(), e.running.end(), [&](const auto& r) { return r.call == call; });
  bool ran = running != e.running.end();
  if (ran) {
    e.running.erase(running);
    fill(now, id);
  } else {
    std::erase_if(e.waiting, [&](const Waiting& w) { return w.call == call; });
  }
  return ran;
}

std::vector<Reply> Town::advance(Millis now, std::uint32_t id) {
  std::vector<Reply> replies;
  Endpoint& e = endpoints_[id];
  if (e.condition.paused > 0) return replies;
  for (bool more = true; more;) {
    more = false;
    for (std::size_t n = 0; n < e.running.size();) {
      if (e.running[n].until > now) {
        ++n;
        continue;
      }
      replies.push_back({e.running[n].call, id, e.running[n].said, 0, true});
      e.running.erase(e.running.begin() + static_cast<std::ptrdiff_t>(n));
      more = true;
    }
    if (more) fill(now, id);
  }
  return replies;
}

Millis Town::due(std::uint32_t id) const {
  const Endpoint& e = at(id);
  if (e.condition.paused > 0) return -1;
  Millis due = -1;
  for (const Running& r : e.running) due = due < 0 ? r.until : std::min(due, r.until);
  return due;
}

int Town::probed(Millis now, std::uint32_t id, std::uint16_t dispatcher) {
  bool stands = push(now, id, 1);
  stands = pushRoom(now, id, 1) && stands;
  const Condition& c = at(id).condition;
  int status = c.vanished > 0 || c.silent > 0 || c.paused > 0 ? 0 : 200;
  if (!stands || c.shut > 0 || c.errors >= kOutShare || now < destinationOf(id).fallenUntil ||
      now < roomAt(id).fallenUntil)
    status = 503;
  trace_.events.push_back({.at = now,
                           .what = What::probed,
                           .endpoint = id,
                           .dispatcher = dispatcher,
                           .status = static_cast<std::int16_t>(status)});
  return status;
}

}  // namespace stonewing::lab
