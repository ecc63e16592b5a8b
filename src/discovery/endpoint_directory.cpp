#include "discovery/endpoint_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace stonewing {

const DiscoveredEndpoint* EndpointDirectory::find(EndpointId id) const {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

EndpointId EndpointDirectory::idOf(const std::string& name) {
  auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  EndpointId id{XXH3_64bits(name.data(), name.size()) >> 1};  // the policy reserves the topmost bit
  while (endpoints_.contains(id)) ++id.value;
  ids_[name] = id;
  return id;
}

void EndpointDirectory::applyList(EndpointList list, AbsentEndpoints absentEndpoints) {
  ListExtent extent = list.extent;
  std::vector<ListedEndpoint> entries = usableEntries(std::move(list));
  if (extent == ListExtent::changes && entries.empty()) return;
  policy_.beginEndpointList();
  for (ListedEndpoint& entry : entries) {
    const EndpointRecord& record = entry.endpoint.record;
    EndpointId id = idOf(record.name);
    policy_.addEndpoint(id, record.destination, record.kind, record.zone, entry.weight, entry.state);
    destinations_.insert(record.destination);
    endpoints_[id] = std::move(entry.endpoint);
  }
  policy_.commitEndpointList(absentEndpoints == AbsentEndpoints::removed);
  removeEndpointsUnknownToPolicy();
}

std::vector<ListedEndpoint> EndpointDirectory::usableEntries(EndpointList list) const {
  std::vector<ListedEndpoint> entries;
  for (auto& entry : list.entries) {
    if (auto* listed = std::get_if<ListedEndpoint>(&entry)) {
      entries.push_back(std::move(*listed));
    } else if (auto previous = previousEntry(std::get<UnusableEntry>(entry))) {
      entries.push_back(std::move(*previous));
    }
  }
  return entries;
}

// Returns an entry with the present data of the endpoint that an unusable entry names; no value if the
// endpoint is unknown. The state is taken from the unusable entry if that drains or removes the endpoint.
std::optional<ListedEndpoint> EndpointDirectory::previousEntry(const UnusableEntry& unusable) const {
  auto id = ids_.find(unusable.name);
  if (id == ids_.end()) return std::nullopt;
  const auto& endpoints = policy_.state().endpoints;
  auto known = endpoints.find(id->second);
  if (known == endpoints.end()) return std::nullopt;
  const Endpoint& endpoint = known->second;
  EndpointState state = endpoint.state;
  if (state != EndpointState::removed) state = unusable.leavingState.value_or(state);
  return ListedEndpoint{endpoints_.at(id->second), endpoint.weight, state};
}

void EndpointDirectory::removeEndpointsUnknownToPolicy() {
  std::erase_if(endpoints_,
                [&](const auto& endpoint) { return !policy_.state().endpoints.contains(endpoint.first); });
  std::erase_if(ids_, [&](const auto& name) { return !endpoints_.contains(name.second); });
}

// All endpoints form one list, since the policy's work at the end of a list grows with the number of messages
// in flight.
void EndpointDirectory::addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages) {
  policy_.beginEndpointList();
  for (const auto& [messageId, message] : messages) {
    for (const AttemptRecord& attempt : message.attempts) {
      const EndpointRecord& record = attempt.endpoint;
      EndpointId id = idOf(record.name);
      if (!endpoints_.try_emplace(id, DiscoveredEndpoint{record, {}, {}}).second) continue;
      destinations_.insert(record.destination);
      policy_.addEndpoint(id, record.destination, record.kind, record.zone, 0, EndpointState::removed);
    }
  }
  policy_.commitEndpointList(false);
}

}  // namespace stonewing
