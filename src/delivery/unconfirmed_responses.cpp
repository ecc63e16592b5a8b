#include "delivery/unconfirmed_responses.h"

#include <iterator>
#include <limits>

namespace stonewing {
namespace {

constexpr Millis kAfterAllTimes = std::numeric_limits<Millis>::infinity();

}  // namespace

void UnconfirmedResponses::add(UnconfirmedResponse response) {
  Key key{response.confirmAt, ++lastSerial_};
  byConnection_.insert({response.end.connection, key});
  byMessage_.insert({response.end.message, key});
  responses_.emplace(key, std::move(response));
}

UnconfirmedResponse UnconfirmedResponses::take(Responses::iterator position) {
  const auto& [key, response] = *position;
  byConnection_.erase({response.end.connection, key});
  byMessage_.erase({response.end.message, key});
  UnconfirmedResponse taken = std::move(position->second);
  responses_.erase(position);
  return taken;
}

std::optional<UnconfirmedResponse> UnconfirmedResponses::takeConfirmed(Millis now) {
  if (responses_.empty() || responses_.begin()->first.confirmAt > now) return std::nullopt;
  return take(responses_.begin());
}

std::vector<UnconfirmedResponse> UnconfirmedResponses::takeOf(std::uint64_t connection) {
  std::vector<UnconfirmedResponse> taken;
  for (;;) {
    auto first = byConnection_.lower_bound({connection, Key{}});
    if (first == byConnection_.end() || first->first != connection) return taken;
    taken.push_back(take(responses_.find(first->second)));
  }
}

UnconfirmedResponses::Responses::const_iterator UnconfirmedResponses::findOf(
    MessageId message, ResponseHandling handling) const {
  for (auto each = byMessage_.lower_bound({message, Key{}});
       each != byMessage_.end() && each->first == message; ++each) {
    auto found = responses_.find(each->second);
    if (found->second.handling == handling) return found;
  }
  return responses_.end();
}

std::optional<UnconfirmedResponse> UnconfirmedResponses::takeDeferred(MessageId message, int attempt) {
  auto found = findOf(message, ResponseHandling::deferUntilConfirmed);
  if (found == responses_.end() || found->second.end.attempt != attempt) return std::nullopt;
  return take(responses_.find(found->first));
}

bool UnconfirmedResponses::containsDelivery(MessageId message) const {
  return findOf(message, ResponseHandling::concludeAndConfirm) != responses_.end();
}

void UnconfirmedResponses::removeDelivery(MessageId message) {
  auto found = findOf(message, ResponseHandling::concludeAndConfirm);
  if (found != responses_.end()) take(responses_.find(found->first));
}

std::optional<Millis> UnconfirmedResponses::nextConfirmAt() const {
  if (responses_.empty()) return std::nullopt;
  return responses_.begin()->first.confirmAt;
}

std::optional<Millis> UnconfirmedResponses::lastConfirmAt(std::uint64_t connection) const {
  auto next = byConnection_.lower_bound({connection, Key{kAfterAllTimes, 0}});
  if (next == byConnection_.begin()) return std::nullopt;
  const auto& [number, key] = *std::prev(next);
  if (number != connection) return std::nullopt;
  return key.confirmAt;
}

}  // namespace stonewing
