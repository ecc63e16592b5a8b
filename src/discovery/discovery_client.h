#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "net/http_client_connection.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

struct DiscoveredEndpoint {
  EndpointRecord record;
  sockaddr_in address{};
  std::string authority;  // the address as the list words it
};

// Which endpoints there are, as discovery tells it: a list to start from, then a watch that goes on and on.
class DiscoveryClient : public HttpClientConnection::Observer {
 public:
  DiscoveryClient(EventLoop& loop, DispatchPolicy& rules, const NameTables& facts, sockaddr_in discovery,
                  std::string host, std::uint64_t seed);

  // Tells the rules a list, or changes. Throws ParseError and tells nothing where it cannot be read. False:
  // some entries could not be used, and the whole list is to be asked for.
  bool applyAnswer(const nlohmann::json& answer);
  // Endpoints that no list names any more, but that restored messages were attempted at.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& held);

  const DiscoveredEndpoint* find(EndpointId id) const {
    auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
  }
  EndpointId idOf(const std::string& name);
  std::size_t count() const { return endpoints_.size(); }
  // Whether it ever had an endpoint, as far as this process was told.
  bool knows(DestinationId destination) const { return destinations_.contains(destination); }
  bool hasAnswered() const { return heard_; }

  // Discovery is to be asked at another address from now on; the list stays until that one answers.
  void changeAddress(sockaddr_in discovery, std::string host);
  void onTick();  // asks anew, gives up a watch that outlasts its time
  Millis due() const;

 private:
  void onResponseStarted(HttpClientConnection& link) override;
  void onResponse(HttpClientConnection& link) override;
  void onBroken(HttpClientConnection& link) override;
  void poll();
  void scheduleRetry(Millis first, Millis most);

  EventLoop& loop_;
  DispatchPolicy& policy_;
  const NameTables& names_;
  sockaddr_in address_;
  std::string host_;
  std::unique_ptr<HttpClientConnection> link_;
  bool out_{false};
  Millis since_{0};
  Millis notBefore_{0};
  Millis pause_{0};
  Millis wholeBy_{-1};  // the answer that has begun is to be whole by then; -1 while none has
  std::mt19937 chance_;
  bool whole_{false};    // the next question is for the whole list
  bool doubted_{false};  // because the last one had entries that could not be used
  std::int64_t version_{0};
  bool heard_{false};  // discovery itself has told a list or changes
  std::set<DestinationId> destinations_;
  std::map<EndpointId, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;
};

}  // namespace stonewing
