#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client_connection.h"
#include "storage/message_store.h"

namespace stonewing {

// Notifies the platform of messages that ended without a delivery, and repeats each notification until the
// platform confirms it. The store owns the pending notifications. One request at a time carries many of them.
// Must be used on the event loop's thread only. Times are milliseconds of the event loop's clock.
class OutcomeNotifier : public HttpClientConnection::Observer {
 public:
  // `host` is the Host header of requests to the platform. `loop` and `store` must outlive the notifier.
  OutcomeNotifier(EventLoop& loop, MessageStore& store, sockaddr_in platform, std::string host);

  // Sets a new address of the platform. Notifications that are not confirmed yet are sent there.
  void changeAddress(sockaddr_in platform, std::string host);
  // Sends pending notifications, and abandons a request that has timed out. Must be called while no commit of
  // the store is in progress.
  void onTick();
  // When onTick() is to be called next.
  Millis due() const;
  // Whether the platform has confirmed all notifications.
  bool idle() const { return store_.pendingNotifications().empty(); }

 private:
  // oneByOne is used after the platform rejected a request, so that a notification that the platform cannot
  // parse does not block other notifications. This mode lasts until all notifications are confirmed.
  enum class Mode { batched, oneByOne };

  void onResponse(HttpClientConnection& connection) override;
  void onBroken(HttpClientConnection& connection) override;

  bool isAwaitingResponse() const { return !awaitingConfirmation_.empty(); }
  bool openConnection();
  std::string composeBody();
  void send();
  void confirmSent();
  void scheduleRetry();

  EventLoop& loop_;
  MessageStore& store_;
  sockaddr_in platform_;
  std::string host_;
  std::unique_ptr<HttpClientConnection> connection_;
  // The notifications in the current request; empty if there is none.
  std::vector<MessageId> awaitingConfirmation_;
  Mode mode_{Mode::batched};
  // Counts the requests in mode oneByOne, so that the notifications are sent in turn.
  std::uint32_t nextSingle_{0};
  Millis sentAt_{0};     // when the current request was sent
  Millis notBefore_{0};  // when the next request may be sent
  Millis backoff_{0};    // wait after the last failed request; 0 after a confirmed one
};

}  // namespace stonewing
