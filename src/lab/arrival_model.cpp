#include "lab/arrival_model.h"

#include <algorithm>
#include <cmath>

namespace stonewing::lab {

Clients::Clients(const Plan& plan, std::uint64_t seed, Trace& trace)
    : plan_(plan),
      trace_(trace),
      chance_(static_cast<std::mt19937::result_type>(seed * 2654435761u + 17)),
      chanceAgain_(static_cast<std::mt19937::result_type>(seed * 40503u + 29)),
      arrivals_(plan),
      destinations_(plan.world.destinations, plan.world.zipf) {
  double sum = 0;
  for (const TypePlan& t : plan.types) typeBelow_.push_back(sum += t.share);
  this->plan();
}

// Draws the next time at which messages are due, with what is due then.
void Clients::plan() {
  const LoadPlan& l = plan_.load;
  planned_ = arrivals_.next(planned_, chance_);
  ended_ = planned_ >= plan_.duration;
  if (ended_) return;
  // A clump counts as many times as it is large, so clumps start less often than single ones.
  double clumps = l.clumpShare / std::max(1, l.clumpSize);
  bool clump = l.clumpShare > 0 && uniform(chance_) < clumps / (clumps + 1 - l.clumpShare);
  int destination = destinations_.pick(chance_);
  double surge = arrivals_.surge(planned_);
  for (int n = 0; n < (clump ? l.clumpSize : 1); ++n) {
    Handed c;
    c.origin = static_cast<std::uint32_t>(trace_.callbacks.size());
    auto at = std::upper_bound(typeBelow_.begin(), typeBelow_.end(), uniform(chance_) * typeBelow_.back());
    c.type = static_cast<std::uint16_t>(std::min(at - typeBelow_.begin(), std::ssize(typeBelow_) - 1));
    c.destination = static_cast<std::uint16_t>(destination);
    bool surging = surge > 0 && uniform(chance_) < surge / (1 + surge);
    c.tenant =
        static_cast<std::uint16_t>(surging ? l.surgeTenant : static_cast<int>(uniform(chance_) * l.tenants));
    const TypePlan& type = plan_.types[c.type];
    if (type.keys > 0) c.key = 1 + static_cast<std::uint32_t>(uniform(chance_) * type.keys);
    c.due = planned_;
    trace_.callbacks.push_back(c);
    tries_.push_back(0);
    again_.push_back(false);
    coming_.push({planned_, c.origin});
  }
}

std::optional<Millis> Clients::due() const {
  if (!coming_.empty() && (ended_ || coming_.top().at <= planned_)) return coming_.top().at;
  if (!ended_) return planned_;
  return std::nullopt;
}

std::optional<std::uint32_t> Clients::next(Millis now) {
  // What was due first comes first, and all that is planned up to then is known.
  while (!ended_ && planned_ <= now && (coming_.empty() || planned_ <= coming_.top().at)) plan();
  if (coming_.empty() || coming_.top().at > now) return std::nullopt;
  std::uint32_t callback = coming_.top().callback;
  coming_.pop();
  return callback;
}

Millis Clients::left(std::uint32_t callback, Millis now) const {
  const Handed& c = trace_.callbacks[callback];
  return c.due + plan_.types[c.type].terms.deadlineAfter - now;
}

void Clients::comesAgain(Millis at, std::uint32_t callback) {
  Handed c = trace_.callbacks[callback];
  if (left(callback, at) <= 0) return;
  auto id = static_cast<std::uint32_t>(trace_.callbacks.size());
  trace_.callbacks.push_back(c);
  tries_.push_back(tries_[callback]);
  again_.push_back(true);
  coming_.push({at, id});
}

void Clients::refused(Millis now, std::uint32_t callback, Millis wait) {
  if (tries_[callback] >= plan_.load.retries) return;
  ++tries_[callback];
  Millis pause = wait > 0 ? wait : plan_.load.retryPause * (0.5 + uniform(chanceAgain_));
  comesAgain(now + pause, callback);
}

void Clients::unanswered(Millis now, std::uint32_t callback) {
  if (tries_[callback] >= std::max(1, plan_.load.retries)) return;
  ++tries_[callback];
  comesAgain(now, callback);
}

}  // namespace stonewing::lab
