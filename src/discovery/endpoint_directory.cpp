#include "discovery/endpoint_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

std::pair<in_addr_t, in_port_t> addressOf(const DiscoveredEndpoint& endpoint) {
  const sockaddr_in& address = endpoint.process.address;
  return {address.sin_addr.s_addr, address.sin_port};
}

}  // namespace

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

void EndpointDirectory::applyList(const EndpointList& list, AbsentEndpoints absentEndpoints) {
  std::vector<ListedEndpoint> entries = usableEntries(list);
  removeSuperseded(entries);
  if (list.extent == ListExtent::changes && entries.empty()) return;
  policy_.beginEndpointList();
  for (const ListedEndpoint& listed : entries) addListed(listed, list.version);
  policy_.commitEndpointList(absentEndpoints == AbsentEndpoints::removed);
  removeEndpointsUnknownToPolicy();
}

void EndpointDirectory::addListed(const ListedEndpoint& listed, std::int64_t version) {
  const EndpointRecord& record = listed.endpoint.record;
  EndpointId id = idOf(record.name);
  bool wasKnown = endpoints_.contains(id);
  EndpointState previous = stateOf(id);
  policy_.addEndpoint(id, record.destination, record.kind, record.zone, listed.weight, listed.state);
  if (wasKnown && previous != listed.state) {
    log_.endpointStateChanged(record.name, previous, listed.state, version, loop_.now());
  }
  destinations_.insert(record.destination);
  endpoints_[id] = listed.endpoint;
}

EndpointState EndpointDirectory::stateOf(EndpointId id) const {
  const auto& endpoints = policy_.state().endpoints;
  auto known = endpoints.find(id);
  return known == endpoints.end() ? EndpointState::removed : known->second.state;
}

std::vector<ListedEndpoint> EndpointDirectory::usableEntries(const EndpointList& list) const {
  std::vector<ListedEndpoint> entries;
  for (const auto& entry : list.entries) {
    if (const auto* listed = std::get_if<ListedEndpoint>(&entry)) {
      entries.push_back(*listed);
    } else if (auto previous = previousEntry(std::get<UnusableEntry>(entry))) {
      entries.push_back(std::move(*previous));
    }
  }
  return entries;
}

// An endpoint whose address belongs to a process that was started later, for another endpoint, has gone: its
// requests would reach that process. Discovery may not have noticed yet.
void EndpointDirectory::removeSuperseded(std::vector<ListedEndpoint>& entries) const {
  std::set<std::string> listedNames;
  for (const ListedEndpoint& entry : entries) listedNames.insert(entry.endpoint.record.name);
  std::vector<ListedEndpoint> others;
  for (const auto& [id, endpoint] : endpoints_) {
    if (listedNames.contains(endpoint.record.name) || stateOf(id) == EndpointState::removed) continue;
    others.push_back({endpoint, policy_.state().endpoints.at(id).weight, stateOf(id)});
  }

  std::map<std::pair<in_addr_t, in_port_t>, Millis> latestStart;
  auto recordStart = [&](const ListedEndpoint& entry) {
    if (entry.state == EndpointState::removed) return;
    Millis& latest = latestStart[addressOf(entry.endpoint)];
    latest = std::max(latest, entry.endpoint.process.startedWall);
  };
  std::for_each(entries.begin(), entries.end(), recordStart);
  std::for_each(others.begin(), others.end(), recordStart);
  auto isSuperseded = [&](const ListedEndpoint& entry) {
    auto latest = latestStart.find(addressOf(entry.endpoint));
    return latest != latestStart.end() && entry.endpoint.process.startedWall < latest->second;
  };

  for (ListedEndpoint& entry : entries) {
    if (isSuperseded(entry)) entry.state = EndpointState::removed;
  }
  for (ListedEndpoint& other : others) {
    if (!isSuperseded(other)) continue;
    other.state = EndpointState::removed;
    entries.push_back(std::move(other));
  }
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
