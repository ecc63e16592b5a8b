#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"

// The servers' side of HTTP/1.1 for stand-ins: one request at a time on a connection.
namespace stonewing::lab {

struct Request {
  std::string method;
  std::string target;
  std::string head;  // the header lines
  std::string body;
  std::string_view header(std::string_view name) const;
};

class Server;

// One connection. Its server's owner answers when it likes, or never.
class Served : public EventHandler {
 public:
  Served(EventLoop& loop, Server& server, int fd);
  ~Served() override;
  void answer(std::string bytes, bool thenClose = false);
  void reset();        // ends at once, and the other side sees a break
  void deaf(bool on);  // nothing is read or written, as if the network were gone
  void onEvents(std::uint32_t events) override;
  bool open() const { return fd_ >= 0; }
  // The other side has ended its part, though we may not have been told yet.
  bool left() const;

 private:
  void read();
  void end();
  void write();

  EventLoop& loop_;
  Server& server_;
  int fd_;
  bool deaf_{false};
  bool closing_{false};
  bool busy_{false};  // a request is with the owner
  std::string in_;
  WriteBuffer out_;
};

class Server : public EventHandler {
 public:
  struct Owner {
    virtual ~Owner() = default;
    virtual bool opened(Server&, Served&) { return true; }  // false: it is to be broken at once
    virtual void asked(Server&, Served&, Request) = 0;
    virtual void closed(Server&, Served&) {}  // from the other side, or by a reset of ours
  };
  // address: numbers; port 0 takes any. Throws std::system_error.
  Server(EventLoop& loop, Owner& owner, const std::string& host);
  ~Server() override;

  std::string address() const;  // "127.0.1.1:40123"
  // Refuses from now on, and breaks what is open; or listens again at the same address.
  void refuse(bool on);
  // Connections no longer come up, and the open ones fall silent.
  void vanish(bool on);
  // Takes no more connections for now, and keeps those it has.
  void shut(bool on);
  void onEvents(std::uint32_t events) override;

 private:
  friend class Served;
  void listen(int backlog);
  void stop();
  void gone(Served& served);

  EventLoop& loop_;
  Owner& owner_;
  std::string host_;
  std::uint16_t port_{0};
  int fd_{-1};
  bool refusing_{false};
  bool vanished_{false};
  bool shut_{false};
  std::list<std::unique_ptr<Served>> open_;
  std::list<int> fillers_;  // connections of our own that keep the queue full
};

}  // namespace stonewing::lab
