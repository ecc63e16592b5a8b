#pragma once

#include <vector>

#include "net/book.h"
#include "net/http.h"

namespace stonewing::net {

// Tells the platform of ends without a delivery, again and again until it confirms.
class Notices : public HttpLink::Owner {
 public:
  Notices(Loop& loop, MessageStore& book, sockaddr_in platform, std::string host);

  // The platform is at another address from now on; what it has not confirmed goes there.
  void moveTo(sockaddr_in platform, std::string host);
  void tick();  // sends what is owed, gives up what stays unanswered
  Millis due() const;
  bool idle() const { return book_.pendingNotifications().empty(); }

 private:
  void answered(HttpLink& link) override;
  void broke(HttpLink& link) override;
  void later();
  void send();

  Loop& loop_;
  MessageStore& book_;
  sockaddr_in platform_;
  std::string host_;
  std::unique_ptr<HttpLink> link_;
  std::vector<MessageId> out_;
  bool oneByOne_{false};  // after a batch that could not be read, to find the line at fault
  std::uint32_t turn_{0};
  Millis since_{0};
  Millis notBefore_{0};
  Millis pause_{0};
};

}  // namespace stonewing::net
