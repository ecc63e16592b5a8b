#include "lab/emulated_servers.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "lab/http_text.h"
#include "net/http_client_connection.h"

namespace stonewing::lab {
namespace {

using nlohmann::json;

// After a move, the connections to the old address stay open for so long.
constexpr Millis kOldAddressOpenFor = 1500;
constexpr std::uint32_t kReferencePrefix = 0x5705e000;  // so that a bare number is not a valid reference

}  // namespace

std::string EmulatedServers::messageReference(std::uint32_t message) {
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", kReferencePrefix, message);
  return text;
}

std::optional<std::uint32_t> EmulatedServers::messageOf(std::string_view ref) {
  if (ref.size() != 16) return std::nullopt;
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(ref.data(), ref.data() + ref.size(), value, 16);
  if (error != std::errc() || end != ref.data() + ref.size() || value >> 32 != kReferencePrefix)
    return std::nullopt;
  auto message = static_cast<std::uint32_t>(value);
  constexpr std::uint32_t kMaxUnknownMessage = 1u << 26;
  if (acceptsUnknownMessages_ && message < kMaxUnknownMessage) {
    while (trace_.messages.size() <= message) {
      trace_.messages.push_back({.origin = static_cast<std::uint32_t>(trace_.messages.size())});
    }
  }
  if (message >= trace_.messages.size()) return std::nullopt;
  return message;
}

EmulatedServers::EmulatedServers(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                                 const Experiment& experiment, std::uint64_t seed,
                                 EndpointModel& endpointModel, Trace& trace)
    : loop_(loop),
      timers_(timers),
      clock_(clock),
      experiment_(experiment),
      endpointModel_(endpointModel),
      trace_(trace),
      wire_{WireFaults(experiment, seed), timers, 0, {}},
      discovery_(loop, timers, clock, experiment, trace, [this](int dispatcher, std::uint32_t endpoint) {
        return endpointServers_[endpoint][static_cast<std::size_t>(dispatcher)]->address();
      }) {
  wire_.onStrike = [this](const WireLocation& location, FaultKind kind, std::uint32_t connection) {
    trace_.events.push_back({.at = clock_.now(),
                             .type = TraceEventType::responseAltered,
                             .request = connection,
                             .endpoint = static_cast<std::uint32_t>(std::max(0, location.endpoint)),
                             .dispatcher = static_cast<std::uint16_t>(location.dispatcher),
                             .status = static_cast<std::int16_t>(kind)});
  };
  auto count = static_cast<std::size_t>(experiment.endpointCount());
  endpointServers_.resize(count);
  for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
    std::string subnet = "127.0." + std::to_string(d + 1) + ".";
    PlatformServers& platform = platformServers_.emplace_back();
    for (auto& server : platform.servers) {
      server = std::make_unique<HttpServer>(loop, *this, subnet + "1", &wire_,
                                            WireLocation{ResponseSource::platform, -1, d});
      locations_[server.get()] = {d, -1};
    }
    platform.servers[1]->setAcceptPaused(true);
    for (int e = 0; e < experiment.endpointCount(); ++e) {
      auto& servers = endpointServers_[static_cast<std::size_t>(e)];
      servers.push_back(std::make_unique<HttpServer>(loop, *this,
                                                     subnet + std::to_string(experiment.zoneOf(e) + 1),
                                                     &wire_, WireLocation{ResponseSource::endpoint, e, d}));
      locations_[servers.back().get()] = {d, e};
    }
  }
}

EmulatedServers::~EmulatedServers() = default;

std::string EmulatedServers::discoveryAddress(int dispatcher) const {
  const PlatformServers& platform = platformServers_[static_cast<std::size_t>(dispatcher)];
  return platform.servers[platform.current]->address();
}

void EmulatedServers::moveDiscovery(int dispatcher) {
  PlatformServers& platform = platformServers_[static_cast<std::size_t>(dispatcher)];
  std::size_t old = std::exchange(platform.current, 1 - platform.current);
  platform.servers[old]->setAcceptPaused(true);
  platform.servers[platform.current]->setAcceptPaused(false);
  discovery_.recordMoved(dispatcher);
  timers_.schedule(loop_.now() + kOldAddressOpenFor, [&platform, old] {
    if (platform.current != old) platform.servers[old]->resetConnections();
  });
}

Millis EmulatedServers::oneWayDelay(const ServerLocation& location) const {
  int zones = static_cast<int>(experiment_.environment.zones.size());
  bool near = location.dispatcher % zones == experiment_.zoneOf(location.endpoint);
  return near ? experiment_.environment.nearOneWay : experiment_.environment.farOneWay;
}

void EmulatedServers::handleNotifications(HttpServerConnection& connection, const HttpRequest& request) {
  std::string_view rest = request.body;
  struct Notification {
    std::uint32_t message;
    int result;
    Millis retryAfter;
  };
  std::vector<Notification> notifications;
  while (!rest.empty()) {
    std::size_t lineEnd = std::min(rest.find('\n'), rest.size());
    std::string_view line = rest.substr(0, lineEnd);
    rest.remove_prefix(std::min(rest.size(), lineEnd + 1));
    if (line.empty()) continue;
    json row = json::parse(line, nullptr, false);
    if (!row.is_object() || !row.contains("ref") || !row.contains("result"))
      return connection.respond(responseHead(400, 0));
    auto message = messageOf(row.value("ref", ""));
    std::string result = row.value("result", "");
    if (!message || (result != "dead" && result != "bounced"))
      return connection.respond(responseHead(400, 0));
    notifications.push_back({*message, result == "dead" ? 1 : 2, row.value("wait_ms", 0.0)});
  }
  for (const Notification& notification : notifications) {
    trace_.events.push_back({.at = clock_.now(),
                             .type = TraceEventType::notificationReceived,
                             .message = notification.message,
                             .status = static_cast<std::int16_t>(notification.result),
                             .duration = notification.retryAfter});
    if (onNotification) onNotification(notification.message, notification.result, notification.retryAfter);
  }
  connection.respond(responseHead(204, 0));
}

bool EmulatedServers::connectionOpened(HttpServer& server, HttpServerConnection&) {
  const ServerLocation& location = locations_.at(&server);
  if (location.endpoint < 0) return true;
  auto endpoint = static_cast<std::uint32_t>(location.endpoint);
  auto result =
      endpointModel_.connect(clock_.now(), endpoint, static_cast<std::uint16_t>(location.dispatcher));
  updateConnectionLimit(endpoint);
  return result == EndpointModel::ConnectResult::accepted;
}

// While the connection table is full, the endpoint accepts no connection, so that a dispatcher is refused
// before it has written any part of a request.
void EmulatedServers::updateConnectionLimit(std::uint32_t endpoint) {
  bool full = endpointModel_.connectionTableFull(endpoint);
  for (auto& server : endpointServers_[endpoint]) server->setAcceptPaused(full);
}

void EmulatedServers::requestReceived(HttpServer& server, HttpServerConnection& connection,
                                      HttpRequest request) {
  const ServerLocation& location = locations_.at(&server);
  if (location.endpoint >= 0) {
    if (request.method == "POST" && request.target.starts_with("/v1/messages")) {
      return receiveMessages(location, connection, request);
    }
    bool asksLoad = request.target == "/_load";  // a health check with the load report in its response
    if (request.method == "GET" && (asksLoad || request.target == "/ping")) {
      auto endpoint = static_cast<std::uint32_t>(location.endpoint);
      int status = endpointModel_.answerHealthCheck(clock_.now(), endpoint,
                                                    static_cast<std::uint16_t>(location.dispatcher));
      std::string body = asksLoad && experiment_.environment.reportsLoad ? loadReportText(endpoint) : "";
      if (status != 0) connection.respond(responseHead(status, body.size()) + body);
      return;
    }
  } else if (request.method == "GET" && request.target.starts_with("/catalog/members")) {
    return discovery_.receivePoll(location.dispatcher, connection, request);
  } else if (request.method == "POST" && request.target == "/reports") {
    return handleNotifications(connection, request);
  }
  connection.respond(responseHead(404, 0));
}

std::string EmulatedServers::loadReportText(std::uint32_t endpoint) const {
  char text[64];
  std::snprintf(text, sizeof text, "x1=%.3f", endpointModel_.loadReport(clock_.now(), endpoint).rateLimit);
  return text;
}

void EmulatedServers::receiveMessages(const ServerLocation& location, HttpServerConnection& connection,
                                      const HttpRequest& request) {
  PendingRequest pending;
  pending.connection = &connection;
  pending.batch = request.target.ends_with(":batch");
  pending.dispatcher = static_cast<std::uint16_t>(location.dispatcher);
  pending.endpoint = static_cast<std::uint32_t>(location.endpoint);
  auto add = [&](std::string_view ref) {
    auto message = messageOf(ref);
    if (!message) return false;
    pending.messages.push_back(*message);
    pending.references.emplace_back(ref);
    return true;
  };
  bool valid = true;
  if (pending.batch) {
    std::string_view rest = request.body;
    while (valid && !rest.empty()) {
      std::size_t lineEnd = rest.find("\r\n");
      std::string_view row = rest.substr(0, lineEnd);
      std::size_t first = row.find(' ');
      std::size_t last = row.rfind(' ');
      auto length = last == std::string_view::npos ? std::nullopt : parseWholeNumber(row.substr(last + 1));
      valid = lineEnd != std::string_view::npos && length && rest.size() >= lineEnd + 4 + *length &&
              add(row.substr(0, first));
      if (valid) rest.remove_prefix(lineEnd + 4 + *length);
    }
    valid = valid && !pending.messages.empty();
  } else {
    valid = add(request.header("X-Request-Id"));
  }
  if (!valid) return connection.respond(responseHead(400, 0));
  std::uint32_t requestNumber = nextRequest_++;
  requestOf_[&connection] = requestNumber;
  Millis delay = oneWayDelay(location);
  pendingRequests_[requestNumber] = std::move(pending);
  timers_.schedule(loop_.now() + delay, [this, requestNumber] { deliverToEndpoint(requestNumber); });
}

void EmulatedServers::deliverToEndpoint(std::uint32_t request) {
  auto found = pendingRequests_.find(request);
  if (found == pendingRequests_.end() ||
      endpointModel_.unreachable(found->second.endpoint, found->second.dispatcher))
    return;
  PendingRequest& pending = found->second;
  auto immediate = endpointModel_.receiveRequest(clock_.now(), request, pending.endpoint, pending.dispatcher,
                                                 pending.messages);
  if (immediate) scheduleResponse(*immediate);
  scheduleAdvance(pending.endpoint);
}

void EmulatedServers::scheduleAdvance(std::uint32_t endpoint) {
  Millis due = endpointModel_.nextResponseAt(endpoint);
  if (due < 0) return;
  Millis& scheduledAt = advanceAt_.try_emplace(endpoint, -1).first->second;
  if (scheduledAt >= 0 && scheduledAt <= due) return;
  scheduledAt = due;
  timers_.schedule(clock_.epoch + due, [this, endpoint, due] {
    if (advanceAt_[endpoint] == due) advanceAt_[endpoint] = -1;
    for (const EndpointResponse& response : endpointModel_.advance(clock_.now(), endpoint))
      scheduleResponse(response);
    scheduleAdvance(endpoint);
  });
}

void EmulatedServers::scheduleResponse(const EndpointResponse& response) {
  auto found = pendingRequests_.find(response.request);
  if (found == pendingRequests_.end() || response.kind == ResponseKind::none) return;
  timers_.schedule(
      loop_.now() + oneWayDelay({found->second.dispatcher, static_cast<int>(found->second.endpoint)}),
      [this, response] { writeResponse(response.request, response); });
}

void EmulatedServers::writeResponse(std::uint32_t request, const EndpointResponse& response) {
  auto found = pendingRequests_.find(request);
  if (found == pendingRequests_.end()) return;
  // The dispatcher cancelled the request while the response was on its way, and does not read it. Without
  // this check the trace would show a response; connectionClosed records the request as abandoned instead.
  if (!endpointModel_.unreachable(found->second.endpoint, found->second.dispatcher) &&
      found->second.connection->peerClosed())
    return;
  PendingRequest pending = std::move(found->second);
  pendingRequests_.erase(found);
  requestOf_.erase(pending.connection);
  if (endpointModel_.unreachable(pending.endpoint, pending.dispatcher)) return;
  for (std::uint32_t message : pending.messages) {
    trace_.events.push_back({.at = clock_.now(),
                             .type = TraceEventType::responded,
                             .message = message,
                             .request = request,
                             .endpoint = pending.endpoint,
                             .dispatcher = pending.dispatcher,
                             .status = static_cast<std::int16_t>(response.kind),
                             .duration = response.retryAfter,
                             .executed = response.executed});
  }
  std::string extraHeaders;
  if (response.retryAfter > 0)
    extraHeaders +=
        "X-Backoff-Ms: " + std::to_string(static_cast<std::int64_t>(std::ceil(response.retryAfter))) + "\r\n";
  if (experiment_.environment.reportsLoad)
    extraHeaders += "X-Load: " + loadReportText(pending.endpoint) + "\r\n";
  std::string body;
  if (pending.batch && response.kind == ResponseKind::ok) {
    for (const std::string& ref : pending.references) body += ref + " ok\r\n";
  }
  switch (response.kind) {
    case ResponseKind::connectionReset:
      return pending.connection->reset();
    case ResponseKind::malformed:
      return pending.connection->respond("HTTP/1.1 2O0 ;;\r\n\x01\x02 noise\r\n\r\n");
    case ResponseKind::truncated:
      return pending.connection->respond(responseHead(200, body.size() + 100, extraHeaders) + body, true);
    default:
      return pending.connection->respond(
          responseHead(static_cast<int>(response.kind), body.size(), extraHeaders) + body);
  }
}

void EmulatedServers::connectionClosed(HttpServer& server, HttpServerConnection& connection) {
  const ServerLocation& location = locations_.at(&server);
  if (location.endpoint < 0) {
    return discovery_.connectionClosed(connection);
  }
  auto endpoint = static_cast<std::uint32_t>(location.endpoint);
  if (auto found = requestOf_.find(&connection); found != requestOf_.end()) {
    std::uint32_t request = found->second;
    requestOf_.erase(found);
    PendingRequest pending = std::move(pendingRequests_.at(request));
    pendingRequests_.erase(request);
    bool executed = endpointModel_.abandonRequest(clock_.now(), request, endpoint);
    for (std::uint32_t message : pending.messages) {
      trace_.events.push_back({.at = clock_.now(),
                               .type = TraceEventType::abandoned,
                               .message = message,
                               .request = request,
                               .endpoint = endpoint,
                               .dispatcher = pending.dispatcher,
                               .executed = executed});
    }
    scheduleAdvance(endpoint);
  }
  endpointModel_.recordDisconnect(endpoint);
  updateConnectionLimit(endpoint);
}

void EmulatedServers::applyFault(const Fault& fault, bool begins) {
  wire_.faults.apply(fault, begins);
  if (isWireFault(fault.kind)) return;
  if (fault.kind == FaultKind::discoveryRefusing) {
    for (PlatformServers& platform : platformServers_) {
      for (auto& server : platform.servers) server->setRefusing(begins);
    }
  }
  if (discovery_.applyFault(fault, begins) || isDispatcherFault(fault.kind)) return;
  for (const EndpointResponse& response : endpointModel_.applyFault(clock_.now(), fault, begins))
    scheduleResponse(response);
  for (int n : experiment_.affectedEndpoints(fault)) {
    auto e = static_cast<std::uint32_t>(n);
    for (std::uint32_t d = 0; d < endpointServers_[e].size(); ++d) {
      HttpServer& server = *endpointServers_[e][d];
      if (fault.kind == FaultKind::refuseConnections)
        server.setRefusing(endpointModel_.refusesConnections(e));
      if (fault.kind == FaultKind::blackhole || fault.kind == FaultKind::networkPartition)
        server.setUnreachable(endpointModel_.unreachable(e, d));
    }
    updateConnectionLimit(e);
    scheduleAdvance(e);
  }
}

}  // namespace stonewing::lab
