#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/discovered_endpoint.h"
#include "discovery/endpoint_list_parser.h"
#include "policy/dispatch_policy.h"

namespace stonewing {

// The endpoints that are known, their ids and where they are reached. It passes every list on to the policy,
// and forgets an endpoint as soon as the policy has forgotten it. The policy must outlive the directory.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(DispatchPolicy& policy) : policy_(policy) {}

  // What a list means for the endpoints that it does not name: they stay, or they are removed.
  enum class Unnamed { stay, removed };

  // Passes the list on to the policy. An endpoint that an unusable entry names stays as it was, or drains or
  // is removed where that much can be read.
  void applyList(EndpointList list, Unnamed unnamed);

  // Adds the endpoints of recovered messages' attempts, which no list may name any more, as removed ones.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages);

  // Null where it is not known. Valid until the next list is applied.
  const DiscoveredEndpoint* find(EndpointId id) const;
  // The id of an endpoint's name, a new one where the name is not known. It follows from the name alone, at
  // every dispatcher and after every restart (but for collisions), so that endpoint rankings stay as they
  // are.
  EndpointId idOf(const std::string& name);
  std::size_t count() const { return endpoints_.size(); }
  // Whether the destination ever had an endpoint since this process started.
  bool knows(DestinationId destination) const { return destinations_.contains(destination); }

 private:
  std::vector<ListedEndpoint> usableEntries(EndpointList list) const;
  std::optional<ListedEndpoint> previousEntry(const UnusableEntry& unusable) const;
  void forgetUnknownToPolicy();

  DispatchPolicy& policy_;
  std::set<DestinationId> destinations_;
  std::map<EndpointId, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;  // by name
};

}  // namespace stonewing
