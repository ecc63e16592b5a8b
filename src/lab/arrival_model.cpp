#include "lab/arrival_model.h"

#include <algorithm>
#include <cmath>

namespace stonewing::lab {

ArrivalModel::ArrivalModel(const Experiment& experiment, std::uint64_t seed, Trace& trace)
    : experiment_(experiment),
      trace_(trace),
      randomEngine_(static_cast<std::mt19937::result_type>(seed * 2654435761u + 17)),
      retryRandomEngine_(static_cast<std::mt19937::result_type>(seed * 40503u + 29)),
      arrivalProcess_(experiment),
      destinations_(experiment.environment.destinations, experiment.environment.zipfExponent) {
  double sum = 0;
  for (const TrafficTypeSettings& t : experiment.types) cumulativeTypeShares_.push_back(sum += t.share);
  this->drawNextArrival();
}

// Draws the next time at which messages are due, with what is due then.
void ArrivalModel::drawNextArrival() {
  const LoadSettings& l = experiment_.load;
  drawnUntil_ = arrivalProcess_.next(drawnUntil_, randomEngine_);
  allDrawn_ = drawnUntil_ >= experiment_.duration;
  if (allDrawn_) return;
  // A clump counts as many times as it is large, so clumps start less often than single ones.
  double clumps = l.clumpShare / std::max(1, l.clumpSize);
  bool clump = l.clumpShare > 0 && uniform(randomEngine_) < clumps / (clumps + 1 - l.clumpShare);
  int destination = destinations_.pick(randomEngine_);
  double surge = arrivalProcess_.surgeShare(drawnUntil_);
  for (int n = 0; n < (clump ? l.clumpSize : 1); ++n) {
    SubmittedMessage c;
    c.origin = static_cast<std::uint32_t>(trace_.messages.size());
    auto at = std::upper_bound(cumulativeTypeShares_.begin(), cumulativeTypeShares_.end(),
                               uniform(randomEngine_) * cumulativeTypeShares_.back());
    c.type = static_cast<std::uint16_t>(
        std::min(at - cumulativeTypeShares_.begin(), std::ssize(cumulativeTypeShares_) - 1));
    c.destination = static_cast<std::uint16_t>(destination);
    bool surging = surge > 0 && uniform(randomEngine_) < surge / (1 + surge);
    c.tenant = static_cast<std::uint16_t>(surging ? l.surgeTenant
                                                  : static_cast<int>(uniform(randomEngine_) * l.tenants));
    const TrafficTypeSettings& type = experiment_.types[c.type];
    if (type.orderingKeyCount > 0)
      c.key = 1 + static_cast<std::uint32_t>(uniform(randomEngine_) * type.orderingKeyCount);
    c.due = drawnUntil_;
    trace_.messages.push_back(c);
    resubmissions_.push_back(0);
    isResubmission_.push_back(false);
    pending_.push({drawnUntil_, c.origin});
  }
}

std::optional<Millis> ArrivalModel::due() const {
  if (!pending_.empty() && (allDrawn_ || pending_.top().at <= drawnUntil_)) return pending_.top().at;
  if (!allDrawn_) return drawnUntil_;
  return std::nullopt;
}

std::optional<std::uint32_t> ArrivalModel::nextDue(Millis now) {
  // What was due first comes first, and all that is planned up to then is known.
  while (!allDrawn_ && drawnUntil_ <= now && (pending_.empty() || drawnUntil_ <= pending_.top().at))
    drawNextArrival();
  if (pending_.empty() || pending_.top().at > now) return std::nullopt;
  std::uint32_t message = pending_.top().message;
  pending_.pop();
  return message;
}

Millis ArrivalModel::timeLeft(std::uint32_t message, Millis now) const {
  const SubmittedMessage& c = trace_.messages[message];
  return c.due + experiment_.types[c.type].settings.deadlineAfter - now;
}

void ArrivalModel::scheduleResubmission(Millis at, std::uint32_t message) {
  SubmittedMessage c = trace_.messages[message];
  if (timeLeft(message, at) <= 0) return;
  auto id = static_cast<std::uint32_t>(trace_.messages.size());
  trace_.messages.push_back(c);
  resubmissions_.push_back(resubmissions_[message]);
  isResubmission_.push_back(true);
  pending_.push({at, id});
}

void ArrivalModel::recordRejection(Millis now, std::uint32_t message, Millis wait) {
  if (resubmissions_[message] >= experiment_.load.retries) return;
  ++resubmissions_[message];
  Millis delay = wait > 0 ? wait : experiment_.load.retryDelay * (0.5 + uniform(retryRandomEngine_));
  scheduleResubmission(now + delay, message);
}

void ArrivalModel::recordTimeout(Millis now, std::uint32_t message) {
  if (resubmissions_[message] >= std::max(1, experiment_.load.retries)) return;
  ++resubmissions_[message];
  scheduleResubmission(now, message);
}

}  // namespace stonewing::lab
