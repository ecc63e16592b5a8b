#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "delivery/connection_pool.h"
#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "delivery/load_report.h"
#include "delivery/outcome_recorder.h"
#include "delivery/request_journal.h"
#include "delivery/response_confirmer.h"
#include "delivery/response_reader.h"
#include "discovery/discovery_client.h"
#include "net/http_client_connection.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// Sends attempts and health checks to endpoints over HTTP/1.1, and records their outcomes in the policy and
// the message store.
//
// Steps of an attempt: sendAttempt() gathers the attempts of one request. recordRequests() assigns a
// connection to the request, and records the attempts in the store as soon as the connection is ready to
// carry it: a new one once it is established, a kept one once it may be reused. sendRequests() composes and
// sends the requests whose records the journal holds. So the next process knows of each attempt that may have
// been executed, and of no attempt whose request had not begun. The policy is asked again once the connection
// is ready, before the first and before every later part of the request is sent. The outcome is recorded
// exactly once.
//
// Must be used on the event loop's thread only. Times are milliseconds of the event loop's clock.
class AttemptSender : public HttpClientConnection::Observer {
 public:
  // All references must outlive the sender. limits.maxHealthChecks limits the health checks in flight, so
  // that health checks and concurrent requests together stay within limits.maxConnections.
  AttemptSender(EventLoop& loop, DispatchPolicy& policy, MessageStore& store,
                const DiscoveryClient& discovery, const DeploymentSettings& settings, const NameTables& names,
                ConnectionLimits limits);
  AttemptSender(const AttemptSender&) = delete;
  AttemptSender& operator=(const AttemptSender&) = delete;

  // Gathers an attempt that was just decided, for recordRequests(). Attempts of one request are sent
  // together.
  void sendAttempt(const SendAttempt& decision);
  // Ends an attempt. In a batch, the cancellation may have to wait for the outcomes of the other attempts;
  // the policy is notified once the attempt has ended. Does nothing if the outcome was already recorded, or
  // if the response has arrived by now.
  void cancelAttempt(const CancelAttempt& decision);
  // Sends a health check. The policy is notified of its outcome, immediately if the limit of health checks is
  // reached.
  void sendHealthCheck(EndpointId endpoint);
  // Closes all idle connections to an endpoint.
  void closeIdleConnection(EndpointId endpoint);
  // Assigns the gathered requests to connections, and records in the store the attempts of all requests whose
  // connections are ready. Must be called in each turn in which no commit of the store is in progress, before
  // the next one begins.
  void recordRequests();
  // Sends the recorded requests. Must be called once that commit is done.
  void sendRequests();
  // Ends all attempts of a message as not sent, if none of their requests has begun. Otherwise returns false
  // and changes nothing. Must not be called between a decision and recordRequests().
  [[nodiscard]] bool cancelUnsent(MessageId message);

  // Handles time-outs, and connections that cannot be established.
  void onTick();
  // When onTick() is to be called next.
  Millis due() const { return std::min(pool_.nextDueAt(), confirmer_.due().value_or(kNever)); }
  // Whether no connection carries an attempt, and no response is to be confirmed.
  bool idle() const { return !pool_.hasAttempts() && confirmer_.idle(); }

 private:
  struct Batch {
    EndpointId endpoint{};
    std::vector<BatchedAttempt> attempts;
  };

  bool mayStartExchange(HttpClientConnection& httpConnection) override;
  bool mayContinueExchange(HttpClientConnection& httpConnection) override;
  void onResponseStarted(HttpClientConnection& httpConnection) override;
  void onResponse(HttpClientConnection& httpConnection) override;
  void onBroken(HttpClientConnection& httpConnection) override;

  void assignConnection(Batch batch);
  bool prepareRequest(EndpointConnection& connection);
  bool hasSentAttempt(MessageId id, const StoredMessage& message) const;
  void cancelUnsentOn(EndpointConnection& connection, MessageId message);
  void sendRequest(EndpointConnection& connection);
  void abandonUnusable(EndpointConnection& connection);
  bool leadsToItsEndpoint(const EndpointConnection& connection) const;
  bool isStillSendable(const EndpointConnection& connection) const;
  void recordDelayedSend(EndpointConnection& connection);
  void writeRequest(EndpointConnection& connection);

  // Whether the outcome of an attempt must wait until its whole request can end.
  bool mustDeferCancel(const EndpointConnection& connection, const BatchedAttempt& attempt) const;
  void cancelOnConnection(EndpointConnection& connection, BatchedAttempt& attempt);
  void finishUselessAttempts(EndpointConnection& connection);

  ResponseArrival arrivalOf(const EndpointConnection& connection) const;
  void recordResponse(EndpointConnection& connection, const ResponseArrival& arrival);
  void recordOutOfStepResponse(EndpointConnection& connection);
  void handleUnexpectedBytes(const EndpointConnection& connection, std::string_view bytes);
  void handleUnreadBytes(EndpointConnection& connection);

  void handleDue(EndpointConnection& connection);
  void timeOutAttempts(EndpointConnection& connection);

  void finishAttempt(EndpointConnection& connection, BatchedAttempt& attempt, const AttemptResult& result);
  void finishAllAndRelease(EndpointConnection& connection, AttemptOutcome outcome, CloseCause cause);
  void finishHealthCheck(EndpointConnection& connection, AttemptOutcome outcome, LoadReport report = {});
  CloseCause causeOfBreak(const EndpointConnection& connection) const;
  void release(EndpointConnection& connection, CloseCause cause);

  EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  const DiscoveryClient& discovery_;
  bool mayHedge_;
  DeliveryLog log_;
  OutcomeRecorder recorder_;
  ResponseConfirmer confirmer_;
  RequestJournal requestJournal_;  // holds pointers to connections of the pool; release() removes them
  ConnectionPool pool_;
  // The connection, in the pool, of each attempt whose outcome was not recorded yet; release() removes it.
  std::map<std::pair<MessageId, int>, EndpointConnection*> connectionOfAttempt_;
  // Attempts that were decided since the last recordRequests(), by the id of their request.
  std::map<int, Batch> gatheredBatches_;
};

}  // namespace stonewing
