#include "policy/scheduler.h"

#include <algorithm>
#include <cmath>

#include "policy/message_weight.h"

namespace stonewing {
namespace {

constexpr double kUrgencyStepShare = 0.5;  // of the latency objective; urgency is the weight lost by waiting
                                           // for so long

// Visits messages of a list among which is the one that loses most by waiting. How much that is follows from
// the deadline alone, and turns from rising to falling only where the time left meets one of a few spans: the
// best is next to one of these.
template <class Visit>
void visitMostUrgent(const WaitList& list, const DeploymentSettings& settings, const TrafficType& type,
                     Millis answeredAt, Visit visit) {
  Millis step = kUrgencyStepShare * type.latencyObjective;
  Millis lateAgain = type.deadlineAfter - type.latencyObjective;
  WaitQueue::visitAround(
      list, {answeredAt, answeredAt + step, answeredAt + lateAgain, answeredAt + step + lateAgain}, visit);
  if (settings.decay != WeightDecay::halving || type.lateWeightShare <= 0) return;
  // From there on nothing more is lost.
  Millis floor = lateAgain + type.latencyObjective * std::log2(type.lateWeightShare);
  WaitQueue::visitAround(list, {answeredAt + floor, answeredAt + step + floor}, visit);
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

// All are asked, since each has a time at which it opens and the policy is to be woken.
bool Scheduler::hasOpenEndpoint(const Destination& destination) {
  return std::count_if(destination.ranking.begin(), destination.ranking.end(),
                       [&](const Endpoint* endpoint) { return selector_.isOpen(*endpoint); }) > 0;
}

void Scheduler::considerList(const WaitClass& waitClass, const WaitList& list, Best& best) {
  const TrafficType& type = settings_.types[waitClass.type.value];
  if (!waitClass.attempted && !type.ordered) {
    considerAlike(list, type, best);
  } else {
    considerEach(list, best);
  }
}

// Where one of the messages may go, all may.
void Scheduler::considerAlike(const WaitList& list, const TrafficType& type, Best& best) {
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
  // By the time for which it holds a request.
  std::pair<double, Millis> urgency{lost / std::max(1.0, latency), -message.deadline};
  if (best) {
    bool isBehind = urgency < best->urgency || (urgency == best->urgency && best->attempt.message <= id);
    if (isBehind) return;
  }
  best = Candidate{{id, &endpoint}, urgency};
}

}  // namespace stonewing
