#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"

// The servers' side of HTTP/1.1 for stand-ins: one request at a time on a connection.
namespace stonewing::lab {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string head;  // the header lines
  std::string body;
  std::string_view header(std::string_view name) const;
};

class HttpServer;

// One connection. Its server's owner answers when it likes, or never.
class HttpServerConnection : public EventHandler {
 public:
  HttpServerConnection(EventLoop& loop, HttpServer& server, int fd);
  ~HttpServerConnection() override;
  void respond(std::string bytes, bool closeAfter = false);
  void reset();                   // ends at once, and the other side sees a break
  void setUnresponsive(bool on);  // nothing is read or written, as if the network were gone
  void onEvents(std::uint32_t events) override;
  bool open() const { return fd_ >= 0; }
  // The other side has ended its part, though we may not have been told yet.
  bool peerClosed() const;

 private:
  void read();
  void close();
  void write();

  EventLoop& loop_;
  HttpServer& server_;
  int fd_;
  bool unresponsive_{false};
  bool closing_{false};
  bool handlingRequest_{false};  // a request is with the owner
  std::string in_;
  WriteBuffer out_;
};

class HttpServer : public EventHandler {
 public:
  struct Handler {
    virtual ~Handler() = default;
    virtual bool connectionOpened(HttpServer&, HttpServerConnection&) {
      return true;
    }  // false: it is to be broken at once
    virtual void requestReceived(HttpServer&, HttpServerConnection&, HttpRequest) = 0;
    virtual void connectionClosed(HttpServer&, HttpServerConnection&) {
    }  // from the other side, or by a reset of ours
  };
  // address: numbers; port 0 takes any. Throws std::system_error.
  HttpServer(EventLoop& loop, Handler& handler, const std::string& host);
  ~HttpServer() override;

  std::string address() const;  // "127.0.1.1:40123"
  // Refuses from now on, and breaks what is open; or listens again at the same address.
  void setRefusing(bool on);
  // Connections no longer come up, and the open ones fall silent.
  void setUnreachable(bool on);
  // Takes no more connections for now, and keeps those it has.
  void setAcceptPaused(bool on);
  void onEvents(std::uint32_t events) override;

 private:
  friend class HttpServerConnection;
  void listen(int backlog);
  void stop();
  void removeConnection(HttpServerConnection& connection);

  EventLoop& loop_;
  Handler& handler_;
  std::string host_;
  std::uint16_t port_{0};
  int fd_{-1};
  bool refusing_{false};
  bool unreachable_{false};
  bool acceptPaused_{false};
  std::list<std::unique_ptr<HttpServerConnection>> connections_;
  std::list<int> fillers_;  // connections of our own that keep the queue full
};

}  // namespace stonewing::lab
