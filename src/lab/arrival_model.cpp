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

// Draws the next time at which messages are due, and the messages that are due then.
void ArrivalModel::drawNextArrival() {
  const LoadSettings& load = experiment_.load;
  drawnUntil_ = arrivalProcess_.next(drawnUntil_, randomEngine_);
  allDrawn_ = drawnUntil_ >= experiment_.duration;
  if (allDrawn_) return;
  // groupedShare is a share of messages. A clump holds groupSize of them, so the share of arrivals that are
  // clumps is smaller than groupedShare.
  double clumpStartsPerMessage = load.groupedShare / std::max(1, load.groupSize);
  bool clump =
      load.groupedShare > 0 &&
      uniform(randomEngine_) < clumpStartsPerMessage / (clumpStartsPerMessage + 1 - load.groupedShare);
  int destination = destinations_.pick(randomEngine_);
  double surge = arrivalProcess_.surgeShare(drawnUntil_);
  for (int n = 0; n < (clump ? load.groupSize : 1); ++n) {
    SubmittedMessage message;
    message.origin = static_cast<std::uint32_t>(trace_.messages.size());
    auto chosen = std::upper_bound(cumulativeTypeShares_.begin(), cumulativeTypeShares_.end(),
                                   uniform(randomEngine_) * cumulativeTypeShares_.back());
    message.type = static_cast<std::uint16_t>(
        std::min(chosen - cumulativeTypeShares_.begin(), std::ssize(cumulativeTypeShares_) - 1));
    message.destination = static_cast<std::uint16_t>(destination);
    bool surging = surge > 0 && uniform(randomEngine_) < surge / (1 + surge);
    message.tenant = static_cast<std::uint16_t>(
        surging ? load.surgeTenant : static_cast<int>(uniform(randomEngine_) * load.tenants));
    const TrafficTypeSettings& type = experiment_.types[message.type];
    if (type.orderingKeyCount > 0)
      message.key = 1 + static_cast<std::uint32_t>(uniform(randomEngine_) * type.orderingKeyCount);
    message.due = drawnUntil_;
    trace_.messages.push_back(message);
    resubmissions_.push_back(0);
    isResubmission_.push_back(false);
    pending_.push({drawnUntil_, message.origin});
  }
}

std::optional<Millis> ArrivalModel::nextDueTime() const {
  if (!pending_.empty() && (allDrawn_ || pending_.top().at <= drawnUntil_)) return pending_.top().at;
  if (!allDrawn_) return drawnUntil_;
  return std::nullopt;
}

std::optional<std::uint32_t> ArrivalModel::nextDue(Millis now) {
  // Draws arrivals until all that precede the first pending message are known, so that messages are returned
  // in the order of their due times.
  while (!allDrawn_ && drawnUntil_ <= now && (pending_.empty() || drawnUntil_ <= pending_.top().at))
    drawNextArrival();
  if (pending_.empty() || pending_.top().at > now) return std::nullopt;
  std::uint32_t message = pending_.top().message;
  pending_.pop();
  return message;
}

Millis ArrivalModel::timeLeft(std::uint32_t message, Millis now) const {
  const SubmittedMessage& submitted = trace_.messages[message];
  return submitted.due + experiment_.types[submitted.type].settings.deadlineAfter - now;
}

void ArrivalModel::scheduleResubmission(Millis at, std::uint32_t message) {
  SubmittedMessage resubmitted = trace_.messages[message];
  if (timeLeft(message, at) <= 0) return;
  auto index = static_cast<std::uint32_t>(trace_.messages.size());
  trace_.messages.push_back(resubmitted);
  resubmissions_.push_back(resubmissions_[message]);
  isResubmission_.push_back(true);
  pending_.push({at, index});
}

void ArrivalModel::recordRejection(Millis now, std::uint32_t message, Millis retryAfter) {
  if (resubmissions_[message] >= experiment_.load.retries) return;
  ++resubmissions_[message];
  Millis delay =
      retryAfter > 0 ? retryAfter : experiment_.load.retryDelay * (0.5 + uniform(retryRandomEngine_));
  scheduleResubmission(now + delay, message);
}

void ArrivalModel::recordTimeout(Millis now, std::uint32_t message) {
  if (resubmissions_[message] >= std::max(1, experiment_.load.retries)) return;
  ++resubmissions_[message];
  scheduleResubmission(now, message);
}

}  // namespace stonewing::lab
