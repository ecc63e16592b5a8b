#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/memory_budget.h"
#include "net/event_loop.h"
#include "net/http_response_parser.h"
#include "net/number_parsing.h"
#include "net/watched_descriptor.h"

namespace stonewing {

// Why a connection broke.
enum class ConnectionFailure {
  none,
  connectFailed,
  endedByPeer,        // the server closed or reset it
  unexpectedBytes,    // bytes arrived that belong to no request
  malformedResponse,  // not HTTP, or over a limit
};

// A connection to an HTTP server. It carries one exchange (a request and its response) at a time and can be
// used again after it. Used on the event loop's thread alone; the owner identifies a connection by the
// address of this object.
//
// The end of each exchange is reported to the observer exactly once, by onResponse or onBroken, and only from
// the event loop or from readPending, never from within startExchange or close.
class HttpClientConnection : public EventHandler {
 public:
  // Receives the events of a connection. A method may close the connection, but must not destroy it (see
  // closeLater).
  struct Observer {
    virtual ~Observer() = default;
    // The connection is established. False: the exchange must no longer begin, and the observer has closed
    // the connection.
    virtual bool mayStartExchange(HttpClientConnection&) { return true; }
    // The remaining bytes of a partly written request can be sent. False: they must not be sent, and the
    // observer has closed the connection.
    virtual bool mayContinueExchange(HttpClientConnection&) { return true; }
    // Some bytes of the response have arrived, but not all.
    virtual void onResponseStarted(HttpClientConnection&) {}
    // The response is complete. The connection can be used again if it is still open.
    virtual void onResponse(HttpClientConnection& connection) = 0;
    // The connection failed or ended, during an exchange or while idle, and is closed now.
    virtual void onBroken(HttpClientConnection& connection) = 0;
  };

  // The loop, the observer and the budget must outlive the connection. A response longer than
  // `maxResponseBytes` counts as malformed, and the connection is closed. `budget`, which may be null, is for
  // the responses of several connections: while it is exceeded, an incomplete response that is longer than an
  // ordinary one counts as malformed too.
  HttpClientConnection(EventLoop& loop, Observer& observer, std::size_t maxResponseBytes,
                       MemoryBudget* budget = nullptr)
      : loop_(loop),
        observer_(observer),
        maxResponseBytes_(maxResponseBytes),
        budget_(budget),
        socket_(loop) {}
  ~HttpClientConnection() override { releaseReceived(); }
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  // Closes the connection, which may be in the middle of its own event, and destroys it after this turn. Has
  // no effect on an empty pointer.
  static void closeLater(EventLoop& loop, std::unique_ptr<HttpClientConnection>& connection) {
    if (!connection) return;
    connection->close();
    loop.deferDeletion(std::move(connection));
  }

  // Begins to connect. False: connecting failed at once, either because resources of this process are
  // exhausted (isOutOfResources) or because connect() reported an error.
  bool open(const sockaddr_in& address);
  // Whether the last open failed because no descriptor was free or the event loop could not register it.
  bool isOutOfResources() const { return isOutOfResources_; }
  // Appends bytes to the next request.
  void add(std::string piece) { unsent_.add(std::move(piece)); }
  void add(std::shared_ptr<const std::string> piece) { unsent_.add(std::move(piece)); }
  // Sends the bytes that were added as one request, now or once the connection is established. Errors are
  // reported in a later turn.
  void startExchange();
  // Closes at once. The observer is not called.
  void close();
  // Reads bytes that have arrived for the current exchange since the last read. This can end the exchange and
  // call the observer.
  void readPending();
  // Reads what has arrived on an idle connection, which breaks if it has ended or if bytes have arrived.
  void checkIdle();
  // Reads bytes that arrived before the next request was written, and returns them.
  std::string readUnread();
  // Whether an idle connection can be used again: it has not ended, and no unexpected bytes have arrived.
  bool isReusable() const;

  // Why the connection broke; none before onBroken.
  ConnectionFailure failure() const { return failure_; }
  // The number of complete responses so far.
  int exchangeCount() const { return exchangeCount_; }
  // All that has arrived for the current exchange, or since the start of the last one.
  std::string_view received() const { return received_; }
  // Bytes after the end of the last response, which belong to no request; valid until the next exchange.
  std::string_view unexpectedBytes() const {
    return std::string_view(received_).substr(std::min(parser_.length(), received_.size()));
  }

  bool isOpen() const { return socket_.isOpen(); }
  bool isConnected() const { return isConnected_; }
  // An exchange is in progress.
  bool isBusy() const { return isBusy_; }
  // Bytes of a response have arrived. Even if no complete response follows, the server has executed the
  // request.
  bool hasReceived() const { return !received_.empty(); }
  // Whether the request of the last response was written completely before the response.
  bool wasRequestWritten() const { return wasRequestWritten_; }
  // The whole request is written, and its exchange is in progress.
  bool isRequestWritten() const { return isBusy_ && isConnected_ && unsent_.empty(); }
  // The response's status code, header and body, valid until the next exchange; see HttpResponseParser.
  int status() const { return parser_.status(); }
  std::string_view header(std::string_view name) const { return parser_.header(received_, name); }
  std::string_view body() const { return parser_.body(received_); }
  // The part of the body that has arrived, of a response that need not be complete.
  std::string partialBody() const { return parser_.partialBody(received_); }

  void onEvents(std::uint32_t events) override;

 private:
  bool finishConnecting(std::uint32_t events);
  void write();
  void read(StreamEnd streamEnd);
  void readIdle(ReadResult result);
  HttpResponseParser::Progress parseReceived(ReadResult result);
  void finishExchange(ReadResult result);
  void fail(ConnectionFailure failure);
  bool isOverBudget() const;
  void updateMemory();
  void releaseReceived();

  EventLoop& loop_;
  Observer& observer_;
  std::size_t maxResponseBytes_;
  MemoryBudget* budget_;
  std::size_t memoryBytes_{0};  // of received_, as last reported to the budget
  WatchedDescriptor socket_;
  bool isConnected_{false};
  bool isBusy_{false};
  bool isOutOfResources_{false};
  ConnectionFailure failure_{ConnectionFailure::none};
  int exchangeCount_{0};
  bool wasRequestWritten_{false};
  std::string received_;
  WriteBuffer unsent_;
  HttpResponseParser parser_;
};

}  // namespace stonewing
