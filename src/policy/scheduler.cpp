#include "policy/scheduler.h"

#include <algorithm>
#include <cmath>

#include "policy/message_weight.h"

namespace stonewing {
namespace {

// Urgency is the weight that a message loses by waiting for this share of its latency objective.
constexpr double kUrgencyStepShare = 0.5;

// Visits a few messages of a list, including the one that loses the most weight by waiting. Within a list
// this loss depends on the deadline alone. As a function of the deadline it changes from rising to falling
// only where the response, with or without the additional wait, would come exactly at the latency objective,
// at the deadline or at the time from which the weight no longer falls. So the maximum is next to one of
// these deadlines.
template <class Visit>
void visitMostUrgent(const WaitList& list, const DeploymentSettings& settings, const TrafficType& type,
                     Millis answeredAt, Visit visit) {
  Millis step = kUrgencyStepShare * type.latencyObjective;
  Millis objectiveToDeadline = type.deadlineAfter - type.latencyObjective;
  WaitQueue::visitAround(list,
                         {answeredAt, answeredAt + step, answeredAt + objectiveToDeadline,
                          answeredAt + step + objectiveToDeadline},
                         visit);
  if (settings.decay != WeightDecay::halving || type.lateWeightShare <= 0) return;
  // After the floor is reached, the weight no longer falls.
  Millis floorToDeadline = objectiveToDeadline + type.latencyObjective * std::log2(type.lateWeightShare);
  WaitQueue::visitAround(list, {answeredAt + floorToDeadline, answeredAt + step + floorToDeadline}, visit);
}

}  // namespace

std::optional<PlannedAttempt> Scheduler::next() {
  Best best;
  for (const Destination* destination : messages_.destinationsWithWaiting()) {
    if (!hasOpenEndpoint(*destination)) continue;
    for (const auto& [waitClass, list] : destination->waitQueue.lists()) considerList(waitClass, list, best);
  }
  if (!best) return std::nullopt;
  return best->attempt;
}

// Checks every endpoint, even after an open one was found: isAvailable() of a closed endpoint also requests a
// call of the policy at the time when that endpoint opens.
bool Scheduler::hasOpenEndpoint(const Destination& destination) {
  return std::count_if(destination.ranking.begin(), destination.ranking.end(),
                       [&](const Endpoint* endpoint) { return selector_.isAvailable(*endpoint); }) > 0;
}

void Scheduler::considerList(const WaitClass& waitClass, const WaitList& list, Best& best) {
  const TrafficType& type = settings_.types[waitClass.type.value];
  if (!waitClass.attempted && !type.ordered) {
    considerInterchangeable(list, type, best);
  } else {
    considerEach(list, best);
  }
}

// All messages of the list may be sent to the same endpoints, so one selection is valid for all.
void Scheduler::considerInterchangeable(const WaitList& list, const TrafficType& type, Best& best) {
  Endpoint* endpoint = selector_.select(messages_.at(list.begin()->second), AttemptKind::regular);
  if (endpoint == nullptr) return;
  Millis answeredAt = clock_.now() + latencies_.typicalLatency(*endpoint->route, type).p50;
  visitMostUrgent(list, settings_, type, answeredAt,
                  [&](MessageId id) { consider(id, messages_.at(id), *endpoint, best); });
}

void Scheduler::considerEach(const WaitList& list, Best& best) {
  for (const auto& [deadline, id] : list) {
    const Message& message = messages_.at(id);
    if (!ordering_.isNext(id, message) || !clock_.isReached(message.retryNotBefore)) continue;
    if (Endpoint* endpoint = selector_.select(message, AttemptKind::regular))
      consider(id, message, *endpoint, best);
  }
}

void Scheduler::consider(MessageId id, const Message& message, Endpoint& endpoint, Best& best) const {
  const TrafficType& type = trafficTypeOf(settings_, message);
  Millis latency = latencies_.typicalLatency(*endpoint.route, type).p50;
  Millis step = kUrgencyStepShare * type.latencyObjective;
  double lost = weightAt(settings_, message, clock_.now() + latency) -
                weightAt(settings_, message, clock_.now() + latency + step);
  // The latency is the time for which the attempt occupies a request.
  std::pair<double, Millis> urgency{lost / std::max(1.0, latency), -message.deadline};
  if (best) {
    bool isLessUrgent = urgency < best->urgency || (urgency == best->urgency && best->attempt.message <= id);
    if (isLessUrgent) return;
  }
  best = Candidate{{id, &endpoint}, urgency};
}

}  // namespace stonewing
