#pragma once

#include <vector>

#include "net/http_client_connection.h"
#include "storage/message_store.h"

namespace stonewing {

// Tells the platform of ends without a delivery, again and again until it confirms.
class OutcomeNotifier : public HttpClientConnection::Observer {
 public:
  OutcomeNotifier(EventLoop& loop, MessageStore& book, sockaddr_in platform, std::string host);

  // The platform is at another address from now on; what it has not confirmed goes there.
  void changeAddress(sockaddr_in platform, std::string host);
  void onTick();  // sends what is owed, gives up what stays unanswered
  Millis due() const;
  bool idle() const { return store_.pendingNotifications().empty(); }

 private:
  void onResponse(HttpClientConnection& link) override;
  void onBroken(HttpClientConnection& link) override;
  void scheduleRetry();
  void send();

  EventLoop& loop_;
  MessageStore& store_;
  sockaddr_in platform_;
  std::string host_;
  std::unique_ptr<HttpClientConnection> link_;
  std::vector<MessageId> out_;
  bool oneByOne_{false};  // after a batch that could not be read, to find the line at fault
  std::uint32_t turn_{0};
  Millis since_{0};
  Millis notBefore_{0};
  Millis pause_{0};
};

}  // namespace stonewing
