#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"
#include "policy/decision.h"

// The behavior of the emulated endpoints, without sockets or a clock: the caller passes requests and times,
// and gets responses. The run on sockets and the model in virtual time share it, so that the two differ in
// the network alone. Times are milliseconds since the start of the experiment.
namespace stonewing::lab {

// Values from 200 are HTTP status codes; the others are faults that leave no complete response.
enum class ResponseKind : std::int16_t {
  none = 0,
  connectionReset = 1,
  malformed = 2,
  truncated = 3,
  ok = 200,
  tooManyRequests = 429,
  serverError = 500,
  unavailable = 503,
};

struct EndpointResponse {
  std::uint32_t request{};
  std::uint32_t endpoint{};
  ResponseKind kind{ResponseKind::ok};
  Millis retryAfter{0};  // 0: the response states none
  bool executed{false};  // the request was executed, or may have been
};

class EndpointModel {
 public:
  enum class ConnectResult { accepted, refused, unanswered };

  // Adds its events to `trace`, whose messages it looks up by number. `experiment` and `trace` must outlive
  // the model. The same seed and the same calls yield the same responses.
  EndpointModel(const Experiment& experiment, std::uint64_t seed, Trace& trace);

  // A fault begins or ends. Returns the responses to the requests that it ends.
  std::vector<EndpointResponse> applyFault(Millis now, const Fault& fault, bool begins);

  // Opens a connection. An accepted one occupies an entry of the endpoint's connection table until
  // recordDisconnect.
  ConnectResult connect(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  void recordDisconnect(std::uint32_t endpoint);
  // Whether a fault drops all traffic to the endpoint, be it from everywhere or from this dispatcher.
  bool unreachable(std::uint32_t endpoint, std::uint32_t dispatcher) const {
    return at(endpoint).condition.unreachable > 0 || partitions_.contains({dispatcher, endpoint});
  }
  bool connectionTableFull(std::uint32_t endpoint) const {
    const Endpoint& e = at(endpoint);
    return e.connections >= (e.condition.connectionLimit > 0 ? e.condition.connectionLimit
                                                             : experiment_.environment.maxConnections);
  }
  bool refusesConnections(std::uint32_t endpoint) const { return at(endpoint).condition.refusing > 0; }

  // The last byte of a request with these messages has arrived. Returns the response if the request fails or
  // is rejected at once; no value: it executes or is queued, and advance() returns its response.
  std::optional<EndpointResponse> receiveRequest(Millis now, std::uint32_t request, std::uint32_t endpoint,
                                                 std::uint16_t dispatcher,
                                                 const std::vector<std::uint32_t>& messages);
  // The connection of a request ended before its response. Returns whether the request was being executed,
  // so that it may have taken effect.
  bool abandonRequest(Millis now, std::uint32_t request, std::uint32_t endpoint);
  // Returns the responses that are due by `now`, and starts queued requests in their place.
  std::vector<EndpointResponse> advance(Millis now, std::uint32_t endpoint);
  // When the next response is due; negative for none.
  Millis nextResponseAt(std::uint32_t endpoint) const;
  // The status of the response: 200 or 503, or 0 for no response.
  int answerHealthCheck(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  // The rate that a load report states: the requests per second that the destination can serve at present.
  LoadReport loadReport(Millis now, std::uint32_t endpoint) const;

 private:
  // The combined effect of an endpoint's active faults: their number for a fault without a factor, and the
  // highest factor for the others.
  struct Condition {
    int refusing{0};
    int unreachable{0};
    int unresponsive{0};
    int rejecting{0};
    Millis rejectionRetryAfter{0};  // in the response to a request while `rejecting` is above 0
    int paused{0};
    double slowdown{1};
    double errorShare{0};
    double lostShare{0};
    double resetShare{0};
    double malformedShare{0};
    double truncatedShare{0};
    int connectionLimit{0};  // entries of the connection table; 0: the experiment's
  };
  struct RunningRequest {
    std::uint32_t request{};
    Millis endsAt{};
    ResponseKind responseKind{};
  };
  struct QueuedRequest {
    std::uint32_t request{};
    std::uint16_t dispatcher{};
    std::vector<std::uint32_t> messages;
  };
  struct Endpoint {
    Condition condition;
    std::vector<Fault> activeFaults;
    int connections{0};
    Millis pausedAt{0};
    std::vector<RunningRequest> running;
    std::deque<QueuedRequest> queued;
  };
  struct Destination {
    bool isDown{false};
    Millis downSince{0};
    Millis slowStartSince{-1e15};  // long past, so that it starts at full capacity
    Millis overloadedUntil{-1};
    std::deque<std::pair<Millis, double>> recentRequests;  // within the overload window, with weights
    double recentWeight{0};
    std::int64_t rateLimitWindow{-1};  // number of the window that requestsInWindow counts
    double requestsInWindow{0};
  };

  const Endpoint& at(std::uint32_t e) const { return endpoints_[e]; }
  Destination& destinationOf(std::uint32_t e) {
    return destinations_[e / static_cast<std::uint32_t>(experiment_.environment.endpoints)];
  }
  const Destination& destinationOf(std::uint32_t e) const {
    return destinations_[e / static_cast<std::uint32_t>(experiment_.environment.endpoints)];
  }
  struct Zone {
    bool isDown{false};
    Millis downSince{0};
    Millis slowStartSince{-1e15};
    Millis overloadedUntil{-1};
    std::deque<std::pair<Millis, double>> recentRequests;
    double recentWeight{0};
  };
  Zone& zoneAt(std::uint32_t e) {
    return zones_[static_cast<std::size_t>(experiment_.zoneOf(static_cast<int>(e)))];
  }
  void updateZoneState(Millis now, int zone);
  bool recordZoneRequest(Millis now, std::uint32_t endpoint, double weight);
  double zoneCapacityShare(Millis now, std::uint32_t endpoint);
  void updateCondition(Endpoint& e);
  void updateDestinationState(Millis now, int destination);
  double capacityShare(Millis now, const Destination& d) const;
  double capacity() const;  // of a destination after slow start, in requests per millisecond
  bool recordRequest(Millis now, std::uint32_t endpoint, double weight);
  void startRequest(Millis now, std::uint32_t endpoint, QueuedRequest request);
  void startQueuedRequests(Millis now, std::uint32_t endpoint);
  bool isEndpointDown(Millis now, std::uint32_t endpoint) const;

  const Experiment& experiment_;
  Trace& trace_;
  std::mt19937 randomEngine_;
  std::vector<Endpoint> endpoints_;
  std::vector<Destination> destinations_;
  std::vector<Zone> zones_;
  // By dispatcher and endpoint: the number of active network partitions between them.
  std::map<std::pair<std::uint32_t, std::uint32_t>, int> partitions_;
  std::vector<int> zoneSizes_;  // endpoints by zone
  // When a message last took effect, by its origin and the scope in which a repeat is recognized.
  std::unordered_map<std::uint64_t, Millis> firstExecutions_;
};

}  // namespace stonewing::lab
