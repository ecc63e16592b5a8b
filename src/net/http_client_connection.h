#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/event_loop.h"
#include "net/http_response_parser.h"
#include "net/number_parsing.h"
#include "net/watched_descriptor.h"

namespace stonewing {

// A connection to an HTTP server that carries one exchange (a request and its response) at a time, and may be
// used again after it. It lives on the event loop's thread; its owner tells it apart by its address.
//
// The observer hears of the end of each exchange exactly once, by onResponse or onBroken, and only from the
// event loop or from readPending: never from within startExchange or close.
class HttpClientConnection : public EventHandler {
 public:
  // The owner's side. A method may close the connection, but must not destroy it (see closeLater).
  struct Observer {
    virtual ~Observer() = default;
    // The connection is established. False: its exchange must not begin any more, and the observer has closed
    // it.
    virtual bool mayStartExchange(HttpClientConnection&) { return true; }
    // The rest of a request that is partly written may go out. False: it must not, and the observer has
    // closed the connection.
    virtual bool mayContinueExchange(HttpClientConnection&) { return true; }
    // Bytes of the response have come, but not all.
    virtual void onResponseStarted(HttpClientConnection&) {}
    // The response is complete. The connection may be used again where it is still open.
    virtual void onResponse(HttpClientConnection& connection) = 0;
    // The connection ended, with an exchange or without one; it is closed.
    virtual void onBroken(HttpClientConnection& connection) = 0;
  };

  // The loop and the observer must outlive the connection. A response longer than `maxResponseBytes` breaks
  // it.
  HttpClientConnection(EventLoop& loop, Observer& observer, std::size_t maxResponseBytes)
      : loop_(loop), observer_(observer), maxResponseBytes_(maxResponseBytes), socket_(loop) {}

  // Closes the connection, which may be in the middle of its own event, and destroys it after this turn. An
  // empty pointer is left alone.
  static void closeLater(EventLoop& loop, std::unique_ptr<HttpClientConnection>& connection) {
    if (!connection) return;
    connection->close();
    loop.deferDeletion(std::move(connection));
  }

  // Begins to connect. False: it could not, either since resources of our own are exhausted
  // (isOutOfResources) or since the address was refused at once.
  bool open(const sockaddr_in& address);
  // Whether the last open failed for want of a descriptor or of capacity in the event loop.
  bool isOutOfResources() const { return isOutOfResources_; }
  // Adds bytes of the next request.
  void add(std::string piece) { unsent_.add(std::move(piece)); }
  void add(std::shared_ptr<const std::string> piece) { unsent_.add(std::move(piece)); }
  // Sends what was added as one request, or does so once the connection is established. Errors are reported
  // in a later turn.
  void startExchange();
  // Closes at once. The observer is not called.
  void close();
  // Reads what has arrived and was not handled yet. It may end the exchange, and call the observer.
  void readPending();
  // Whether an idle connection can be used again: neither its end nor a stray byte has come.
  bool isReusable() const;

  bool isOpen() const { return socket_.isOpen(); }
  bool isConnected() const { return isConnected_; }
  // An exchange is in progress.
  bool isBusy() const { return isBusy_; }
  // Bytes of a response have come. Where no complete response follows, the server has still executed the
  // request.
  bool hasReceived() const { return !received_.empty(); }
  // The request is written whole, and its exchange is in progress.
  bool isRequestWritten() const { return isBusy_ && isConnected_ && unsent_.empty(); }
  // The response's status code, header and body, valid until the next exchange; see HttpResponseParser.
  int status() const { return parser_.status(); }
  std::string_view header(std::string_view name) const { return parser_.header(received_, name); }
  std::string_view body() const { return parser_.body(received_); }

  void onEvents(std::uint32_t events) override;

 private:
  bool finishConnecting(std::uint32_t events);
  void write();
  void read(StreamEnd streamEnd);
  void readIdle(ReadResult result);
  HttpResponseParser::Progress parseReceived(ReadResult result);
  void finishExchange(ReadResult result);
  void fail();

  EventLoop& loop_;
  Observer& observer_;
  std::size_t maxResponseBytes_;
  WatchedDescriptor socket_;
  bool isConnected_{false};
  bool isBusy_{false};
  bool isOutOfResources_{false};
  std::string received_;
  WriteBuffer unsent_;
  HttpResponseParser parser_;
};

}  // namespace stonewing
