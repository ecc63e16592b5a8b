#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client_connection.h"
#include "storage/message_store.h"

namespace stonewing {

// Notifies the platform of messages that ended without a delivery, and repeats it until the platform
// confirms. The store owns the pending notifications; one request at a time carries many of them. To be used
// on the event loop's thread alone. Times are milliseconds of the event loop's clock.
class OutcomeNotifier : public HttpClientConnection::Observer {
 public:
  // `host` is the Host header for the platform. `loop` and `store` must outlive the notifier.
  OutcomeNotifier(EventLoop& loop, MessageStore& store, sockaddr_in platform, std::string host);

  // The platform is at another address from now on; what it has not confirmed goes there.
  void changeAddress(sockaddr_in platform, std::string host);
  // Sends what is pending, and gives up a request that stays unanswered. To be called while no commit of the
  // store is in progress.
  void onTick();
  // When onTick() is to be called next.
  Millis due() const;
  // Whether the platform has confirmed everything.
  bool idle() const { return store_.pendingNotifications().empty(); }

 private:
  // oneByOne: after a request that the platform rejected, so that one notification that it cannot read holds
  // up no other. It lasts until everything is confirmed.
  enum class Mode { batched, oneByOne };

  void onResponse(HttpClientConnection& connection) override;
  void onBroken(HttpClientConnection& connection) override;

  bool isAwaitingResponse() const { return !awaitingConfirmation_.empty(); }
  bool ensureConnection();
  std::string composeBody();
  void send();
  void confirmSent();
  void scheduleRetry();

  EventLoop& loop_;
  MessageStore& store_;
  sockaddr_in platform_;
  std::string host_;
  std::unique_ptr<HttpClientConnection> connection_;
  std::vector<MessageId>
      awaitingConfirmation_;  // the notifications in the current request; empty without one
  Mode mode_{Mode::batched};
  std::uint32_t nextSingle_{
      0};                // counts the requests sent one by one, so that each notification has its turn
  Millis sentAt_{0};     // when the current request was sent
  Millis notBefore_{0};  // when the next request may go out
  Millis backoff_{0};    // after the last failed request; 0 after a confirmed one
};

}  // namespace stonewing
