#pragma once

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client_connection.h"

namespace stonewing {

// One message's attempt as a part of an HTTP request. The request carries one attempt or a batch of them.
struct BatchedAttempt {
  enum class State {
    pending,
    cancelDeferred,  // to be cancelled, but its outcome is recorded only when the whole request can end
    finished         // its outcome was recorded; the request may go on for others
  };

  MessageId message{};
  int attempt{};          // its number among the message's attempts, from 0
  Millis timeoutAt{};     // when it times out, in milliseconds of the event loop's clock
  std::string reference;  // the message's id at the client and the endpoint
  State state{State::pending};

  bool isFinished() const { return state == State::finished; }
  bool isPending() const { return state == State::pending; }
};

// A connection to one endpoint and the request that it carries, if any. The connection pool owns it and alone
// changes its place in the pool's indexes. Times are milliseconds of the event loop's clock. To be used on
// the event loop's thread alone.
class EndpointConnection : public HttpClientConnection {
 public:
  // Why no request can go out on this connection.
  enum class StartFailure {
    none,
    refused,  // the endpoint's address refused it at once
    // This process lacks something: a descriptor, a record in the journal, or the endpoint's address, which
    // discovery lists no more. It says nothing about the endpoint's health.
    localResources
  };

  EndpointConnection(EventLoop& loop, Observer& observer, std::size_t maxResponseBytes, EndpointId endpoint)
      : HttpClientConnection(loop, observer, maxResponseBytes), endpoint_(endpoint) {}

  EndpointId endpoint() const { return endpoint_; }

  // The attempts of the current request, in its order; none for a health check, or while the connection is
  // idle. References into it stay valid until the request ends or finished attempts are removed.
  std::vector<BatchedAttempt>& attempts() { return attempts_; }
  const std::vector<BatchedAttempt>& attempts() const { return attempts_; }
  void removeFinishedAttempts() {
    std::erase_if(attempts_, [](const BatchedAttempt& attempt) { return attempt.isFinished(); });
  }
  // Whether there is a request with attempts and the outcome of each was recorded.
  bool areAllAttemptsFinished() const {
    return !attempts_.empty() && std::all_of(attempts_.begin(), attempts_.end(),
                                             [](const BatchedAttempt& each) { return each.isFinished(); });
  }

  // A connection with a start failure is due at once, and then reported as broken.
  StartFailure startFailure() const { return startFailure_; }
  bool hasFailedToStart() const { return startFailure_ != StartFailure::none; }
  void setStartFailure(StartFailure failure) { startFailure_ = failure; }

  bool isHealthCheck() const { return isHealthCheck_; }

  // When the current request was sent, or decided while it waits for the journal or for the connection.
  Millis sentAt() const { return sentAt_; }
  void setSentAt(Millis now) { sentAt_ = now; }

  // When the last response ended; 0 before the first one.
  Millis lastUsedAt() const { return lastUsedAt_; }

  // Until when the response that has begun must be complete; no value while none has begun.
  std::optional<Millis> responseDueAt() const { return responseDueAt_; }
  void setResponseDueAt(Millis at) { responseDueAt_ = at; }

  // Forgets the request that was answered. The connection may carry another one if it is still open.
  void clearRequest() {
    attempts_.clear();
    responseDueAt_.reset();
  }

 private:
  friend class ConnectionPool;

  EndpointId endpoint_{};
  std::vector<BatchedAttempt> attempts_;
  StartFailure startFailure_{StartFailure::none};
  Millis sentAt_{0};
  std::optional<Millis> responseDueAt_;

  // Changed by the pool alone.
  sockaddr_in address_{};
  bool isHealthCheck_{false};  // the pool counts those that are out
  Millis lastUsedAt_{0};       // part of the key in the pool's two idle indexes
  Millis indexedDueAt_{-1};    // its key in the pool's due times; -1 before the first time
  bool isIndexedAsIdle_{false};
  // Its place in the pool's list. List iterators stay valid while other elements come and go.
  std::list<std::unique_ptr<EndpointConnection>>::iterator position_{};
};

}  // namespace stonewing
