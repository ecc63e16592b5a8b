#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/discovered_endpoint.h"
#include "discovery/discovery_log.h"
#include "discovery/endpoint_list_parser.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"

namespace stonewing {

// The known endpoints with their ids and addresses. The directory passes each list on to the policy and
// removes an endpoint as soon as the policy has removed it. The policy, the log and the loop must outlive the
// directory.
class EndpointDirectory {
 public:
  EndpointDirectory(DispatchPolicy& policy, DiscoveryLog& log, const EventLoop& loop)
      : policy_(policy), log_(log), loop_(loop) {}

  // Whether endpoints that are absent from a list stay as they are or are removed.
  enum class AbsentEndpoints { unchanged, removed };

  // Passes the list on to the policy. An endpoint with an unusable entry stays as it was, except that it
  // drains or is removed if the entry's state can be read and says so.
  void applyList(const EndpointList& list, AbsentEndpoints absentEndpoints);

  // Adds the endpoints of recovered messages' attempts as removed ones, since a list may no longer contain
  // them.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages);

  // Returns null if the endpoint is unknown. The pointer is valid until the next list is applied.
  const DiscoveredEndpoint* find(EndpointId id) const;
  // Returns the id for an endpoint's name; creates one for an unknown name. The id is a hash of the name
  // alone, so it is the same at every dispatcher and after every restart (except for collisions), and
  // endpoint rankings do not change.
  EndpointId idOf(const std::string& name);
  std::size_t count() const { return endpoints_.size(); }
  // Whether the destination ever had an endpoint since this process started.
  bool hasEverListed(DestinationId destination) const { return destinations_.contains(destination); }

 private:
  std::vector<ListedEndpoint> usableEntries(const EndpointList& list) const;
  void removeSuperseded(std::vector<ListedEndpoint>& entries) const;
  void addListed(const ListedEndpoint& listed, std::int64_t version);
  EndpointState stateOf(EndpointId id) const;
  std::optional<ListedEndpoint> previousEntry(const UnusableEntry& unusable) const;
  void removeEndpointsUnknownToPolicy();

  DispatchPolicy& policy_;
  DiscoveryLog& log_;
  const EventLoop& loop_;
  std::set<DestinationId> destinations_;
  std::map<EndpointId, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;  // by name
};

}  // namespace stonewing
