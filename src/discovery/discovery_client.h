#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "discovery/discovery_log.h"
#include "discovery/endpoint_directory.h"
#include "discovery/poll_end.h"
#include "discovery/retry_schedule.h"
#include "net/http_client_connection.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Keeps the endpoint directory up to date: polls discovery over HTTP, one poll at a time. A poll requests the
// changes since the last version, and discovery holds it open as a watch until there are some. Where the
// version cannot be relied on, a poll requests the full list instead. If discovery does not respond, rejects
// the poll or sends a malformed response, the endpoints stay as they are, and the poll is repeated within the
// bound that retry_schedule.h states.
//
// Used on the event loop's thread alone. The loop, the policy and the name tables must outlive the client.
class DiscoveryClient : public HttpClientConnection::Observer {
 public:
  // `discovery`: the address to poll; `host`: the same address for the Host header; `seed`: of the random
  // factor of retry delays.
  DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names, sockaddr_in discovery,
                  std::string host, std::uint64_t seed);

  // Applies an answer of discovery to the directory and the policy. Throws ParseError, and changes nothing,
  // if the answer as a whole cannot be read. Returns false if some entries could not be used, and the full
  // list is to be polled to check them.
  bool applyAnswer(const nlohmann::json& answer);
  // Polls another address from now on. The endpoints stay as they are until discovery answers there.
  void changeAddress(sockaddr_in discovery, std::string host);

  // Starts a poll that is due, or ends a poll that has timed out.
  void onTick();
  // The time (steady clock) from which onTick() has something to do.
  Millis due() const;
  // Whether an answer to a poll has been accepted since the start. Before that, the endpoints may come from
  // an old list that the host passed to applyAnswer().
  bool hasAcceptedResponse() const { return hasAcceptedResponse_; }

  // These functions forward to the endpoint directory.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages) {
    directory_.addRecoveredEndpoints(messages);
  }
  const DiscoveredEndpoint* find(EndpointId id) const { return directory_.find(id); }
  EndpointId idOf(const std::string& name) { return directory_.idOf(name); }
  std::size_t count() const { return directory_.count(); }
  bool hasEverListed(DestinationId destination) const { return directory_.hasEverListed(destination); }

 private:
  enum class PollKind { changes, fullList };

  void onResponseStarted(HttpClientConnection& connection) override;
  void onResponse(HttpClientConnection& connection) override;
  void onBroken(HttpClientConnection& connection) override;
  void poll();
  bool openConnection();
  std::string pollTarget() const;
  void applyResponse(const HttpClientConnection& connection);
  void retryAfterFailure();
  PollEnd endOfTimedOutPoll() const;
  void endBrokenPoll(HttpClientConnection& connection, PollEnd end);
  void logPollEnd(PollEnd end);

  EventLoop& loop_;
  const NameTables& names_;
  sockaddr_in address_;
  std::string host_;
  DiscoveryLog log_;
  EndpointDirectory directory_;
  discovery_timing::RetrySchedule retrySchedule_;
  std::unique_ptr<HttpClientConnection> connection_;

  std::uint64_t pollNumber_{0};  // of the last poll
  bool isPollPending_{false};
  PollKind pollKind_{PollKind::changes};  // of the pending poll, or else of the next one
  Millis pollStartedAt_{0};
  Millis nextPollAt_{0};
  std::optional<Millis> responseDeadline_;  // of a response that has begun
  std::int64_t version_{0};                 // of the list that was accepted last; changes are polled since it
  bool isRecheckingEntries_{false};  // the last answer had unusable entries; the full list is polled to check
  bool hasAcceptedResponse_{false};
};

}  // namespace stonewing
