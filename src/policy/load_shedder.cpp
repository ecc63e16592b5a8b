#include "policy/load_shedder.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "policy/backlog.h"
#include "policy/idempotency.h"
#include "policy/message_weight.h"
#include "policy/route.h"

namespace stonewing {
namespace {

// Clients are advised to come again after up to this multiple of the time until the destination opens.
constexpr double kMaxRetryAfterFactor = 1.5;
constexpr Millis kBacklogCheckIntervalMs = 100;  // a look sorts all waiting messages of the lost zones
constexpr double kMillisPerSecond = 1000;
constexpr double kReservedShare = 0.05;  // of maxInFlight, left free so that new messages are still accepted

}  // namespace

void LoadShedder::recordEarlierAttempt(MessageId id) { exhaustionTimes_.insert({clock_.now(), id}); }

void LoadShedder::recordAttemptEnd(MessageId id, const Message& message) {
  resetScan();
  if (!message.hasPendingAttempt()) scheduleExhaustion(id, message);
}

void LoadShedder::scheduleExhaustion(MessageId id, const Message& message) {
  Millis exhaustedAt = retriesExhaustedAt(settings_, message, clock_.now());
  if (exhaustedAt < message.deadline) exhaustionTimes_.insert({exhaustedAt, id});
}

std::optional<Decision> LoadShedder::nextDueEnd() {
  if (auto decision = nextExpired()) return decision;
  if (auto decision = nextExhausted()) return decision;
  return nextUndeliverable();
}

std::optional<Decision> LoadShedder::nextExpired() {
  for (const auto& [deadline, id] : messages_.deadlines()) {
    if (!clock_.isReached(deadline)) break;
    const Message& message = messages_.at(id);
    if (message.responseStarted) continue;
    return end(id, message);
  }
  return std::nullopt;
}

std::optional<Decision> LoadShedder::nextExhausted() {
  while (!exhaustionTimes_.empty() && clock_.isReached(exhaustionTimes_.begin()->first)) {
    MessageId id = exhaustionTimes_.begin()->second;
    exhaustionTimes_.erase(exhaustionTimes_.begin());
    const Message* message = messages_.find(id);
    if (message == nullptr || message->finished || message->hasPendingAttempt()) continue;
    if (!mayAttempt(settings_, *message, clock_.now())) return end(id, *message);
    scheduleExhaustion(id, *message);
  }
  return std::nullopt;
}

std::optional<Decision> LoadShedder::nextUndeliverable() {
  if (scannedRound_ != clock_.round()) collectUndeliverable();
  scannedRound_ = clock_.round();
  while (!undeliverable_.empty()) {
    MessageId id = undeliverable_.front().second;
    undeliverable_.pop_front();
    const Message* message = messages_.find(id);
    if (message != nullptr && message->waitClass) return end(id, *message);
  }
  return std::nullopt;
}

// All messages of a destination wait for the same routes, so those with the earliest deadlines are the first
// that cannot be delivered. First attempts and retries are treated alike.
void LoadShedder::collectUndeliverable() {
  undeliverable_.clear();
  for (const Destination* destination : messages_.destinationsWithWaiting()) {
    EarliestDelivery earliest = forecast_.earliest(*destination);
    for (const auto& [waitClass, list] : destination->waitQueue.lists()) {
      for (const auto& [deadline, id] : list) {
        if (deadline > earliest.answeredAt()) {
          clock_.wakeAt(deadline - earliest.responseTime);
          break;
        }
        undeliverable_.emplace_back(deadline, id);
      }
    }
  }
  // The destinations are in no particular order.
  std::sort(undeliverable_.begin(), undeliverable_.end());
}

// A failure tells the client that submitting the message again may do harm, so it must not end a message of
// which that is not true. A message with an idempotency key that may have been executed is failed: its client
// may come after the deduplication window.
Decision LoadShedder::end(MessageId id, const Message& message) {
  bool mayRepeat = trafficTypeOf(settings_, message).idempotency == Idempotency::idempotent;
  if (!mayRepeat && mayHaveExecuted(message)) return FailMessage{messages_.finish(id)};
  return shed(id, opensAt(*message.destination));
}

std::optional<Decision> LoadShedder::nextEviction() {
  int limit = std::max(1, static_cast<int>(settings_.maxInFlight * (1 - kReservedShare)));
  if (messages_.inFlight() <= limit) return nextExcess();
  std::optional<Eviction> least;
  for (const Destination* destination : messages_.destinationsWithWaiting()) {
    considerDestination(*destination, least);
  }
  if (!least) return std::nullopt;
  return shed(least->message, least->opensAt);
}

std::optional<Decision> LoadShedder::nextExcess() {
  if (excess_.empty() && zones_.isEnabled() && clock_.isReached(nextBacklogCheckAt_)) collectExcess();
  while (!excess_.empty()) {
    MessageId id = excess_.front();
    excess_.pop_front();
    const Message* message = messages_.find(id);
    if (message != nullptr && message->waitClass) return shed(id, opensAt(*message->destination));
  }
  return std::nullopt;
}

// All messages of a lost home zone share the spillover to other zones. What may not be shed may not be sent
// there either: its idempotency key is known in its home zone alone, or it may have no further attempt.
void LoadShedder::collectExcess() {
  std::map<ZoneId, std::vector<BacklogEntry>> backlogs;
  for (const Destination* destination : messages_.destinationsWithWaiting()) {
    std::optional<ZoneId> home = zones_.lostHomeOf(destination->id);
    if (!home) continue;
    Millis opens = opensAt(*destination);
    Millis responseTime = forecast_.earliest(*destination).responseTime;
    for (const auto& [waitClass, list] : destination->waitQueue.lists()) {
      for (const auto& [deadline, id] : list) {
        const Message& message = messages_.at(id);
        if (!mayShed(settings_, message, clock_.now())) continue;
        backlogs[*home].push_back({deadline - responseTime, id, weightAt(settings_, message, opens)});
      }
    }
  }
  for (auto& [home, backlog] : backlogs) {
    Millis interval = kMillisPerSecond / zones_.spilloverPerSecondFrom(home);
    std::vector<MessageId> excess = excessOf(std::move(backlog), {clock_.now(), interval});
    excess_.insert(excess_.end(), excess.begin(), excess.end());
  }
  if (!backlogs.empty()) nextBacklogCheckAt_ = clock_.now() + kBacklogCheckIntervalMs;
}

// Within a wait class, the message with the earliest deadline has the least weight left. So only the first
// message of each list that may be shed is compared.
void LoadShedder::considerDestination(const Destination& destination, std::optional<Eviction>& least) const {
  Millis opens = opensAt(destination);
  for (const auto& [waitClass, list] : destination.waitQueue.lists()) {
    bool mayShedAll =
        !waitClass.attempted || settings_.types[waitClass.type.value].idempotency == Idempotency::idempotent;
    for (const auto& [deadline, id] : list) {
      const Message& message = messages_.at(id);
      if (!mayShedAll && !mayShed(settings_, message, clock_.now())) continue;
      double weight = weightAt(settings_, message, opens);
      if (!least || weight < least->weight || (weight <= least->weight && id < least->message))
        least = Eviction{id, weight, opens};
      break;
    }
  }
}

// The earliest time, as far as known, at which messages that wait for the destination may be sent.
Millis LoadShedder::opensAt(const Destination& destination) const {
  return std::max(forecast_.opensAt(destination), clock_.now() + zones_.backlogDelay(destination.id));
}

// Clients that get the same advice would all return at that moment, so each gets a later time at random.
Decision LoadShedder::shed(MessageId id, Millis opensAt) {
  Millis retryAfter = 0;
  if (settings_.mayAdviseRetryAfter && opensAt > clock_.now()) {
    Millis longest = settings_.maxRetryAfter / kMaxRetryAfterFactor;
    double factor = 1 + (kMaxRetryAfterFactor - 1) * random_.uniform();
    retryAfter = std::min(opensAt - clock_.now(), longest) * factor;
  }
  return ShedMessage{messages_.finish(id), retryAfter};
}

}  // namespace stonewing
