#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delivery/close_cause.h"
#include "discovery/discovered_endpoint.h"
#include "net/http_client_connection.h"

namespace stonewing {

// The attempt of one message as a part of an HTTP request. A request carries one attempt or a batch of
// attempts.
struct BatchedAttempt {
  enum class State {
    pending,
    cancelDeferred,  // to be cancelled; the outcome is recorded only when the whole request can end
    finished         // the outcome was recorded; the request may continue for other attempts
  };

  MessageId message{};
  int attempt{};          // the number of the attempt among those of its message, from 0
  Millis timeoutAt{};     // time-out, in milliseconds of the event loop's clock
  std::string reference;  // the client's id of the message, also sent to the endpoint
  State state{State::pending};

  bool isFinished() const { return state == State::finished; }
  bool isPending() const { return state == State::pending; }
};

// A connection to one endpoint and its current request, if any. The connection pool owns the connection, and
// only the pool changes its position in the pool's indexes. Times are milliseconds of the event loop's clock.
// Must be used on the event loop's thread only.
class EndpointConnection : public HttpClientConnection {
 public:
  // The reason why no request can be sent on this connection.
  enum class StartFailure {
    none,
    refused,  // the endpoint's address refused the connection immediately
    // This process lacks a descriptor, or a record in the journal, or the endpoint's address because
    // discovery no longer lists the endpoint. Such a failure is no evidence of the endpoint's health.
    localResources
  };

  EndpointConnection(EventLoop& loop, Observer& observer, std::size_t maxResponseBytes, MemoryBudget& budget,
                     EndpointId endpoint)
      : HttpClientConnection(loop, observer, maxResponseBytes, &budget), endpoint_(endpoint) {}

  EndpointId endpoint() const { return endpoint_; }
  // The number of this connection among all of the process, from 1; it identifies the connection in the log.
  std::uint64_t number() const { return number_; }

  // The attempts of the current request, in their order in the request; empty for a health check, or while
  // the connection is idle. References to elements stay valid until the request ends or finished attempts are
  // removed.
  std::vector<BatchedAttempt>& attempts() { return attempts_; }
  const std::vector<BatchedAttempt>& attempts() const { return attempts_; }
  void removeFinishedAttempts() {
    std::erase_if(attempts_, [](const BatchedAttempt& attempt) { return attempt.isFinished(); });
  }
  // Whether there is a request with attempts, and all their outcomes were recorded.
  bool areAllAttemptsFinished() const {
    return !attempts_.empty() && std::all_of(attempts_.begin(), attempts_.end(),
                                             [](const BatchedAttempt& each) { return each.isFinished(); });
  }

  // Whether it carries a request, which may not have begun yet.
  bool hasRequest() const { return isBusy() || !attempts_.empty(); }
  // Whether it is connected and carries attempts whose request has not begun: it waits for the journal, or
  // for the time from which the connection may be reused.
  bool hasUnsentAttempts() const { return isConnected() && !isBusy() && !attempts_.empty(); }
  // Whether the connection is kept, and may not be reused yet.
  bool isWaitingForQuiet(Millis now) const { return isConnected() && now < reusableAt_; }
  // From when on a kept connection may carry the next request.
  Millis reusableAt() const { return reusableAt_; }

  // When the last response on the connection is confirmed; 0 if none is unconfirmed.
  Millis confirmedAt() const { return confirmedAt_; }
  void setConfirmedAt(Millis at) { confirmedAt_ = at; }
  // The idle connection is not used before this time; 0 if it was never held back.
  Millis heldUntil() const { return heldUntil_; }
  void holdUntil(Millis at) { heldUntil_ = at; }
  // Why the connection is closed as soon as its responses are confirmed; no value if it is not to be closed.
  std::optional<CloseCause> retirementCause() const { return retirementCause_; }

  // A connection with a start failure is due immediately, and is then reported as broken.
  StartFailure startFailure() const { return startFailure_; }
  bool hasFailedToStart() const { return startFailure_ != StartFailure::none; }
  void setStartFailure(StartFailure failure) { startFailure_ = failure; }

  bool isHealthCheck() const { return isHealthCheck_; }

  // When the current request was sent, or when it was decided if it still waits for the journal or the
  // connection. On a new connection, the time in which it is established counts as a part of the request.
  Millis sentAt() const { return sentAt_; }
  void setSentAt(Millis now) { sentAt_ = now; }
  // When the connection became ready to carry the current request, which then waits for the journal alone.
  Millis readyAt() const { return readyAt_; }
  void setReadyAt(Millis now) { readyAt_ = now; }

  // When the current request, or the last one, began to be written; 0 before the first one.
  Millis writtenAt() const { return writtenAt_; }
  void setWrittenAt(Millis now) { writtenAt_ = now; }

  // When the last response ended; 0 before the first one.
  Millis lastUsedAt() const { return lastUsedAt_; }

  // The time by which a response that has begun must be complete; no value if none has begun.
  std::optional<Millis> responseDueAt() const { return responseDueAt_; }
  void setResponseDueAt(Millis at) { responseDueAt_ = at; }

  // Clears the answered request. The connection may carry another one if it is still open.
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
  Millis readyAt_{0};
  Millis writtenAt_{0};
  Millis confirmedAt_{0};
  Millis heldUntil_{0};
  std::optional<Millis> responseDueAt_;

  // Changed only by the pool.
  std::uint64_t number_{0};
  EndpointProcess process_;
  bool isHealthCheck_{false};  // the pool counts the health checks in flight
  Millis lastUsedAt_{0};       // part of the key in the pool's two idle indexes
  Millis reusableAt_{0};
  std::optional<CloseCause> retirementCause_;
  Millis indexedDueAt_{-1};  // the key in the pool's due times; -1 before the first update()
  bool isIndexedAsIdle_{false};
  // Position in the pool's list. List iterators stay valid while other elements are added and removed.
  std::list<std::unique_ptr<EndpointConnection>>::iterator position_{};
};

}  // namespace stonewing
