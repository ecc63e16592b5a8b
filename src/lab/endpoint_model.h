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

// How the partners' endpoints behave, with no sockets and no clock: calls and times in, replies out. The
// world on sockets and the model in virtual time both ask it, so that they differ in the network alone.
namespace stonewing::lab {

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
  Millis retryAfter{0};
  bool executed{false};
};

class EndpointModel {
 public:
  enum class ConnectResult { accepted, refused, unanswered };

  // Events of the far side are added to the trace.
  EndpointModel(const Experiment& experiment, std::uint64_t seed, Trace& trace);

  // A trouble begins or ends. Returns the calls that end by it.
  std::vector<EndpointResponse> applyFault(Millis now, const Fault& fault, bool begins);

  // A connection is asked for; where it comes up it takes a place in the table until disconnected.
  ConnectResult connect(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  void recordDisconnect(std::uint32_t endpoint);
  // Nothing comes through to it, or to it from this dispatcher.
  bool unreachable(std::uint32_t endpoint, std::uint32_t dispatcher) const {
    return at(endpoint).condition.unreachable > 0 || partitions_.contains({dispatcher, endpoint});
  }
  bool connectionTableFull(std::uint32_t endpoint) const {
    const Endpoint& e = at(endpoint);
    return e.connections >= (e.condition.connectionLimit > 0 ? e.condition.connectionLimit
                                                             : experiment_.environment.maxConnections);
  }
  bool refusesConnections(std::uint32_t endpoint) const { return at(endpoint).condition.refusing > 0; }

  // The last byte of a call has come, with these messages. No reply yet: it runs, or waits for its turn.
  std::optional<EndpointResponse> receiveRequest(Millis now, std::uint32_t request, std::uint32_t endpoint,
                                                 std::uint16_t dispatcher,
                                                 const std::vector<std::uint32_t>& messages);
  // Its connection ended before the reply. Returns whether it has run.
  bool abandonRequest(Millis now, std::uint32_t request, std::uint32_t endpoint);
  // Replies that are due by now.
  std::vector<EndpointResponse> advance(Millis now, std::uint32_t endpoint);
  Millis due(std::uint32_t endpoint) const;  // of the next; negative for none
  // 200, 503 or 0 for no answer.
  int answerHealthCheck(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  // What a load report tells: the destination's limit or capacity, calls a second.
  LoadReport loadReport(Millis now, std::uint32_t endpoint) const;

 private:
  // Troubles add up: a count of those that are on, or the strongest of them.
  struct Condition {
    int refusing{0};
    int unreachable{0};
    int unresponsive{0};
    int rejecting{0};
    int paused{0};
    double slowdown{1};
    double errorShare{0};
    double lostShare{0};
    double resetShare{0};
    double malformedShare{0};
    double truncatedShare{0};
    int connectionLimit{0};  // of the connection table; 0: the plan's
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
    Millis slowStartSince{-1e15};  // warm for long
    Millis overloadedUntil{-1};
    std::deque<std::pair<Millis, double>> recentRequests;  // within the last fall span, with their weight
    double recentWeight{0};
    std::int64_t rateLimitWindow{-1};  // of the limit, and the calls in it
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
  double capacity() const;  // of a warm destination, calls a millisecond
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
  std::map<std::pair<std::uint32_t, std::uint32_t>, int>
      partitions_;  // dispatcher and endpoint: troubles that part them
  std::vector<int> zoneSizes_;
  std::unordered_map<std::uint64_t, Millis> firstExecutions_;  // by key and group: when it first ran
};

}  // namespace stonewing::lab
