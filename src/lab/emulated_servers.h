#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/emulated_discovery.h"
#include "lab/endpoint_model.h"
#include "lab/experiment.h"
#include "lab/http_server.h"
#include "lab/timer_queue.h"
#include "lab/trace.h"

namespace stonewing::lab {

// The emulated endpoints, discovery and platform, on loopback. Each dispatcher reaches the endpoints at
// addresses of its own, 127.0.<dispatcher + 1>.<zone + 1>, which tell the servers who sent a request.
class EmulatedServers : public HttpServer::Handler {
 public:
  // All arguments must outlive the servers. Throws std::system_error if an address cannot be bound.
  EmulatedServers(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                  const Experiment& experiment, std::uint64_t seed, EndpointModel& endpointModel,
                  Trace& trace);
  ~EmulatedServers() override;

  // Where the dispatcher reaches discovery and the platform, as host:port.
  std::string discoveryAddress(int dispatcher) const;
  // The endpoint list that a dispatcher starts with, as the JSON body of a discovery response.
  std::string endpointList(int dispatcher) const { return discovery_.endpointList(dispatcher); }
  // Discovery and the platform are at another address from now on. The old one accepts no new connection and
  // ends the open ones later.
  void moveDiscovery(int dispatcher);
  // A fault of endpoints or of discovery begins or ends. Faults of dispatchers are ignored.
  void applyFault(const Fault& fault, bool begins);
  // Called for each message that the platform is notified of, if set. result: 1 failed, 2 shed. retryAfter is
  // 0 where the notification states none.
  std::function<void(std::uint32_t message, int result, Millis retryAfter)> onNotification;
  // The identifier of a message in commands and requests: 16 hexadecimal digits.
  static std::string messageReference(std::uint32_t message);
  // From now on, a well-formed reference that is not in the trace is added to it as a message of the first
  // traffic type. Without this, requests for messages of a load generator in another process would be
  // rejected.
  void acceptUnknownMessages() { acceptsUnknownMessages_ = true; }

 private:
  struct ServerLocation {
    int dispatcher{};
    int endpoint{-1};  // negative: discovery and the platform
  };
  // Where a dispatcher reaches discovery and the platform: at one of the two.
  struct PlatformServers {
    std::array<std::unique_ptr<HttpServer>, 2> servers;
    std::size_t current{0};
  };
  struct PendingRequest {
    HttpServerConnection* connection{};
    std::vector<std::uint32_t> messages;
    std::vector<std::string> references;
    bool batch{false};
    bool closed{false};
    std::uint16_t dispatcher{};
    std::uint32_t endpoint{};
  };

  // No value if `ref` is malformed or no message in the trace has it.
  std::optional<std::uint32_t> messageOf(std::string_view ref);
  bool connectionOpened(HttpServer&, HttpServerConnection&) override;
  void requestReceived(HttpServer&, HttpServerConnection&, HttpRequest) override;
  void connectionClosed(HttpServer&, HttpServerConnection&) override;
  std::string loadReportText(std::uint32_t endpoint) const;
  void receiveMessages(const ServerLocation& location, HttpServerConnection& connection,
                       const HttpRequest& request);
  void deliverToEndpoint(std::uint32_t request);
  void scheduleResponse(const EndpointResponse& response);
  void writeResponse(std::uint32_t request, const EndpointResponse& response);
  void scheduleAdvance(std::uint32_t endpoint);
  void updateConnectionLimit(std::uint32_t endpoint);
  void handleNotifications(HttpServerConnection& connection, const HttpRequest& request);
  Millis oneWayDelay(const ServerLocation& location) const;

  EventLoop& loop_;
  TimerQueue& timers_;
  const ExperimentClock& clock_;
  const Experiment& experiment_;
  EndpointModel& endpointModel_;
  Trace& trace_;
  Wire wire_;
  std::map<const HttpServer*, ServerLocation> locations_;
  std::vector<std::vector<std::unique_ptr<HttpServer>>> endpointServers_;  // by endpoint, then dispatcher
  std::vector<PlatformServers> platformServers_;                           // by dispatcher
  std::map<const HttpServerConnection*, std::uint32_t> requestOf_;
  std::map<std::uint32_t, PendingRequest> pendingRequests_;
  std::map<std::uint32_t, Millis> advanceAt_;
  EmulatedDiscovery discovery_;
  std::uint32_t nextRequest_{1};
  bool acceptsUnknownMessages_{false};
};

}  // namespace stonewing::lab
