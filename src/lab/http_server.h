#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/unique_fd.h"
#include "lab/timer_queue.h"
#include "lab/wire_faults.h"
#include "net/event_loop.h"

// An HTTP/1.1 server for the emulated endpoints and platform. A connection handles one request at a time.
namespace stonewing::lab {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string head;  // the header lines
  std::string body;
  // The value of the first header of that name, in any case; empty if there is none.
  std::string_view header(std::string_view name) const;
};

class HttpServer;

// One accepted connection. The server's handler may respond to a request at any later time, or never.
class HttpServerConnection : public EventHandler {
 public:
  HttpServerConnection(EventLoop& loop, HttpServer& server, int fd);
  ~HttpServerConnection() override;
  // Writes a complete HTTP response. closeAfter: closes the connection once all of `bytes` are written.
  void respond(std::string bytes, bool closeAfter = false);
  void reset();                   // closes the connection at once; the client receives a TCP reset
  void setUnresponsive(bool on);  // while on, nothing is read or written, as in a network outage
  void onEvents(std::uint32_t events) override;
  bool open() const { return fd_ >= 0; }
  // True once the client has closed its side or reset the connection, even if the event loop has not
  // reported that yet.
  bool peerClosed() const;

 private:
  void read();
  void close();
  void write();
  void send(std::string bytes, bool closeAfter);
  // Carries out the writes of wire faults.
  void carryOut(const std::vector<WireWrite>& writes, bool closeAfter);
  void carryOutNow(const WireWrite& write, bool closeAfter);
  bool rejectByFault();
  WireLocation location() const;

  EventLoop& loop_;
  HttpServer& server_;
  int fd_;
  bool unresponsive_{false};
  bool closing_{false};
  bool handlingRequest_{false};  // the handler has a request without a response
  std::string in_;
  WriteBuffer out_;
  std::uint32_t number_;  // among all connections of the server's wire
  std::string target_;    // of the last request
  std::string previousResponse_;
  std::shared_ptr<bool> isAlive_{std::make_shared<bool>(true)};  // false once the connection is destroyed
};

// The faults between the servers of a run and the dispatchers, and what carries them out.
struct Wire {
  WireFaults faults;
  TimerQueue& timers;
  std::uint32_t connectionCount{0};
  // Called for each write that is the work of a fault, once it is written.
  std::function<void(const WireLocation&, FaultKind, std::uint32_t connection)> onStrike;
};

class HttpServer : public EventHandler {
 public:
  struct Handler {
    virtual ~Handler() = default;
    // False: the server resets the new connection at once.
    virtual bool connectionOpened(HttpServer&, HttpServerConnection&) { return true; }
    virtual void requestReceived(HttpServer&, HttpServerConnection&, HttpRequest) = 0;
    // The client or the server has closed or reset the connection, which is deleted after this turn of
    // the event loop.
    virtual void connectionClosed(HttpServer&, HttpServerConnection&) {}
  };
  // Listens at a free port of `host`, an IPv4 address in numbers. `handler` must outlive the server.
  // Throws std::system_error.
  // `wire`, if not null, must outlive the server; `location` is where its responses come from.
  HttpServer(EventLoop& loop, Handler& handler, const std::string& host, Wire* wire = nullptr,
             WireLocation location = {});
  ~HttpServer() override;

  std::string address() const;  // "127.0.1.1:40123"
  // On: refuses new connections and resets the open ones. Off: listens again at the same address, unless
  // accepting is paused; throws std::system_error if the address cannot be bound.
  void setRefusing(bool on);
  // Resets the open connections.
  void resetConnections();
  // While on, connection attempts get no answer and open connections become unresponsive.
  void setUnreachable(bool on);
  // On: refuses new connections and keeps the open ones. Off: listens again, unless setRefusing is on; throws
  // as setRefusing does.
  void setAcceptPaused(bool on);
  void onEvents(std::uint32_t events) override;

 private:
  friend class HttpServerConnection;
  void listen(int backlog);
  void stop();
  // A socket bound to the server's address. Throws std::system_error.
  UniqueFd boundSocket() const;
  void removeConnection(HttpServerConnection& connection);

  EventLoop& loop_;
  Handler& handler_;
  std::string host_;
  Wire* wire_;
  WireLocation location_;
  std::uint16_t port_{0};
  int fd_{-1};
  UniqueFd portHolder_;  // bound, so that no other program takes the port while the server does not listen
  bool refusing_{false};
  bool unreachable_{false};
  bool acceptPaused_{false};
  std::list<std::unique_ptr<HttpServerConnection>> connections_;
  std::list<int> backlogFillers_;  // the server's own connections, which keep its accept queue full
};

}  // namespace stonewing::lab
