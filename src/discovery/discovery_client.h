#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "discovery/endpoint_directory.h"
#include "discovery/retry_schedule.h"
#include "net/http_client_connection.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Keeps the endpoint directory up to date: it polls discovery over HTTP, with one poll at a time. Each poll
// asks for the changes since the last version and stays open as a watch until there are some, or asks for the
// full list where the version cannot be relied on. Discovery that is silent, rejects or answers nonsense
// changes nothing: the endpoints stay as they are, and the poll is repeated within the bound that
// retry_schedule.h states.
//
// It lives on the thread of the event loop. The loop, the policy and the names must outlive it.
class DiscoveryClient : public HttpClientConnection::Observer {
 public:
  // discovery, host: the address to poll, and the same for the Host header. The seed spreads retries.
  DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names, sockaddr_in discovery,
                  std::string host, std::uint64_t seed);

  // Passes an answer of discovery on to the directory and the policy. Throws ParseError, and changes nothing,
  // where the answer as a whole cannot be read. False: some entries could not be used, and the full list is
  // to be polled to check them.
  bool applyAnswer(const nlohmann::json& answer);
  // From now on discovery is polled at another address. The endpoints stay until that one has answered.
  void changeAddress(sockaddr_in discovery, std::string host);

  // Polls, or ends a poll that has timed out, if that is due.
  void onTick();
  // When onTick() has something to do next.
  Millis due() const;
  // Whether an answer to a poll has been accepted since the start. Until then the endpoints may be those of
  // an old list that the host passed to applyAnswer().
  bool hasAnswered() const { return hasAnswered_; }

  // As in EndpointDirectory.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages) {
    directory_.addRecoveredEndpoints(messages);
  }
  const DiscoveredEndpoint* find(EndpointId id) const { return directory_.find(id); }
  EndpointId idOf(const std::string& name) { return directory_.idOf(name); }
  std::size_t count() const { return directory_.count(); }
  bool knows(DestinationId destination) const { return directory_.knows(destination); }

 private:
  enum class PollKind { changes, fullList };

  void onResponseStarted(HttpClientConnection& connection) override;
  void onResponse(HttpClientConnection& connection) override;
  void onBroken(HttpClientConnection& connection) override;
  void poll();
  bool ensureConnection();
  std::string pollTarget() const;
  void applyResponse(const HttpClientConnection& connection);
  void retryAfterFailure();

  EventLoop& loop_;
  const NameTables& names_;
  sockaddr_in address_;
  std::string host_;
  EndpointDirectory directory_;
  discovery_timing::RetrySchedule retrySchedule_;
  std::unique_ptr<HttpClientConnection> connection_;

  bool isPollPending_{false};
  PollKind pollKind_{PollKind::changes};  // of the pending poll, or else of the next one
  Millis pollStartedAt_{0};
  Millis nextPollAt_{0};
  std::optional<Millis> responseDeadline_;  // of a response that has begun
  std::int64_t version_{0};                 // of the list that the next changes are to follow
  bool isRecheckingEntries_{false};         // the last answer had unusable entries, and is asked for in full
  bool hasAnswered_{false};
};

}  // namespace stonewing
