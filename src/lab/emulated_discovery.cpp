#include "lab/emulated_discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/http_text.h"
#include "net/number_parsing.h"

namespace stonewing::lab {
namespace {

using nlohmann::json;

constexpr Millis kMaxWatchTimeout = 60000;
constexpr double kWrongEntryWeight = 1e6;
// What discovery has counts as notified this long after it moved to another address.
constexpr Millis kMoveGrace = 4000;

const char* stateName(EndpointState state) {
  return state == EndpointState::ready      ? "in_service"
         : state == EndpointState::draining ? "terminating"
                                            : "terminated";
}

std::string parameter(const std::string& target, const std::string& name) {
  std::size_t start = target.find(name + "=");
  if (start == std::string::npos) return "";
  start += name.size() + 1;
  return target.substr(start, target.find('&', start) - start);
}

}  // namespace

EmulatedDiscovery::EmulatedDiscovery(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                                     const Experiment& experiment, Trace& trace, AddressOf addressOf)
    : loop_(loop),
      timers_(timers),
      clock_(clock),
      experiment_(experiment),
      trace_(trace),
      addressOf_(std::move(addressOf)) {
  auto count = static_cast<std::uint32_t>(experiment.endpointCount());
  // Behind the endpoints come the entries of discoveryWrong faults.
  notifiedStates_.assign(static_cast<std::size_t>(experiment.fleet.dispatchers),
                         std::vector<EndpointState>(std::size_t{2} * count, EndpointState::ready));
  notifiedFrom_.assign(static_cast<std::size_t>(experiment.fleet.dispatchers), 0);
  for (std::uint32_t e = 0; e < count; ++e) entries_.push_back({e, EndpointState::ready, 1});
}

std::string EmulatedDiscovery::entryText(int dispatcher, const Entry& entry) const {
  auto count = static_cast<std::uint32_t>(experiment_.endpointCount());
  std::uint32_t endpoint = entry.endpoint % count;
  bool isWrong = entry.endpoint >= count;  // no server has its address
  auto zone = static_cast<std::size_t>(experiment_.zoneOf(static_cast<int>(endpoint)));
  json row{{"id", (isWrong ? "ghost-" : "s-") + std::to_string(endpoint)},
           {"addr", isWrong ? "127.0.0.1:1" : addressOf_(dispatcher, endpoint)},
           {"zone", experiment_.environment.zones[zone]},
           {"kind", "partner"},
           {"cell", experiment_.destinationOf(static_cast<int>(endpoint))},
           {"state", stateName(entry.state)},
           {"weight", isWrong ? kWrongEntryWeight : 1.0},
           {"started_ms", 0}};
  return row.dump();
}

std::string EmulatedDiscovery::endpointList(int dispatcher) const {
  std::string rows;
  for (const Entry& e : entries_) {
    if (e.state != EndpointState::removed) rows += (rows.empty() ? "" : ",") + entryText(dispatcher, e);
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"full":true,"servers":[)" + rows + "]}";
}

void EmulatedDiscovery::recordNotified(int dispatcher, const Entry& entry) {
  EndpointState& notified = notifiedStates_[static_cast<std::size_t>(dispatcher)][entry.endpoint];
  if (notified == entry.state) return;
  notified = entry.state;
  trace_.events.push_back({.at = clock_.now(),
                           .type = TraceEventType::endpointStateNotified,
                           .endpoint = entry.endpoint,
                           .dispatcher = static_cast<std::uint16_t>(dispatcher),
                           .status = static_cast<std::int16_t>(entry.state)});
}

void EmulatedDiscovery::answerWatch(int dispatcher, std::int64_t since, HttpServerConnection& connection) {
  std::string rows;
  for (const Entry& e : entries_) {
    if (e.version <= since) continue;
    rows += (rows.empty() ? "" : ",") + entryText(dispatcher, e);
    recordNotified(dispatcher, e);
  }
  std::string body =
      R"({"version":)" + std::to_string(version_) + R"(,"full":false,"servers":[)" + rows + "]}";
  connection.respond(responseHead(200, body.size()) + body);
}

void EmulatedDiscovery::receivePoll(int dispatcher, HttpServerConnection& connection,
                                    const HttpRequest& request) {
  if (isInOutage()) return strikePoll(dispatcher, connection);
  std::string since = parameter(request.target, "since");
  if (since.empty()) {
    std::string body = endpointList(dispatcher);
    for (const Entry& e : entries_) recordNotified(dispatcher, e);
    return connection.respond(responseHead(200, body.size()) + body);
  }
  auto from = static_cast<std::int64_t>(parseWholeNumber(since).value_or(0));
  if (version_ > from) return answerWatch(dispatcher, from, connection);
  auto timeout = static_cast<Millis>(parseWholeNumber(parameter(request.target, "timeout_ms")).value_or(0));
  holdWatch(dispatcher, from, std::min(timeout, kMaxWatchTimeout), connection);
}

void EmulatedDiscovery::holdWatch(int dispatcher, std::int64_t since, Millis timeout,
                                  HttpServerConnection& connection) {
  std::uint64_t serial = ++lastWatchSerial_;
  watches_[&connection] = {dispatcher, since, serial};
  timers_.schedule(loop_.now() + timeout, [this, watched = &connection, serial] {
    auto found = watches_.find(watched);
    if (found == watches_.end() || found->second.serial != serial) return;
    PendingWatch watch = found->second;
    watches_.erase(found);
    if (!isInOutage()) answerWatch(watch.dispatcher, watch.since, *watched);
  });
}

void EmulatedDiscovery::connectionClosed(const HttpServerConnection& connection) {
  std::erase_if(watches_, [&connection](const auto& watch) { return watch.first == &connection; });
}

void EmulatedDiscovery::publish(std::uint32_t endpoint, EndpointState state) {
  Millis delay = std::max({0.0, publishingDelay_, outageUntil_ - clock_.now()});
  timers_.schedule(loop_.now() + delay, [this, endpoint, state] { applyChange(endpoint, state); });
}

void EmulatedDiscovery::applyChange(std::uint32_t endpoint, EndpointState state) {
  ++version_;
  auto entry =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.endpoint == endpoint; });
  if (entry == entries_.end()) entry = entries_.insert(entries_.end(), {endpoint, state, version_});
  entry->state = state;
  entry->version = version_;
  for (int d = 0; experiment_.environment.listPushed && d < experiment_.fleet.dispatchers; ++d) {
    if (clock_.now() >= notifiedFrom_[static_cast<std::size_t>(d)]) recordNotified(d, *entry);
  }
  for (auto& [connection, watch] : std::exchange(watches_, {})) {
    answerWatch(watch.dispatcher, watch.since, *connection);
  }
}

void EmulatedDiscovery::recordMoved(int dispatcher) {
  recordStruck(dispatcher, FaultKind::discoveryMoved);
  Millis from = clock_.now() + kMoveGrace;
  notifiedFrom_[static_cast<std::size_t>(dispatcher)] = from;
  if (!experiment_.environment.listPushed) return;
  timers_.schedule(loop_.now() + kMoveGrace, [this, dispatcher, from] {
    bool hasMovedAgain = notifiedFrom_[static_cast<std::size_t>(dispatcher)] != from;
    if (hasMovedAgain) return;
    for (const Entry& e : entries_) recordNotified(dispatcher, e);
  });
}

void EmulatedDiscovery::publishWrongEntries(const Fault& fault, bool begins) {
  for (int e : experiment_.affectedEndpoints(fault)) {
    if (e % experiment_.environment.endpoints != 0) continue;
    publish(static_cast<std::uint32_t>(experiment_.endpointCount() + e),
            begins ? EndpointState::ready : EndpointState::removed);
  }
}

bool EmulatedDiscovery::applyFault(const Fault& fault, bool begins) {
  switch (fault.kind) {
    case FaultKind::drain:
      for (int e : experiment_.affectedEndpoints(fault))
        publish(static_cast<std::uint32_t>(e), begins ? EndpointState::draining : EndpointState::ready);
      return true;
    case FaultKind::discoveryWrong:
      publishWrongEntries(fault, begins);
      return true;
    case FaultKind::discoveryDelayed:
      publishingDelay_ = begins ? fault.factor : 0;
      return true;
    case FaultKind::watchesForgotten:
      if (begins) forgetWatches();
      return true;
    default:
      break;
  }
  if (!isDiscoveryOutage(fault.kind)) return false;
  if (begins) beginOutage(fault);
  return true;
}

void EmulatedDiscovery::beginOutage(const Fault& fault) {
  outageUntil_ = fault.until;
  outage_ = fault.kind;
  bool isRefusing = fault.kind == FaultKind::discoveryRefusing;
  for (int d = 0; isRefusing && d < experiment_.fleet.dispatchers; ++d) recordStruck(d, fault.kind);
  for (auto& [connection, watch] : std::exchange(watches_, {})) strikePoll(watch.dispatcher, *connection);
}

void EmulatedDiscovery::strikePoll(int dispatcher, HttpServerConnection& connection) {
  recordStruck(dispatcher, outage_);
  if (outage_ == FaultKind::discoveryResetting) connection.reset();
  if (outage_ == FaultKind::discoveryRejecting) connection.respond(kRejection);
}

void EmulatedDiscovery::recordStruck(int dispatcher, FaultKind kind) {
  trace_.events.push_back({.at = clock_.now(),
                           .type = TraceEventType::faultStruck,
                           .dispatcher = static_cast<std::uint16_t>(dispatcher),
                           .status = static_cast<std::int16_t>(kind)});
}

void EmulatedDiscovery::forgetWatches() {
  for (const auto& [connection, watch] : std::exchange(watches_, {})) {
    recordStruck(watch.dispatcher, FaultKind::watchesForgotten);
  }
}

}  // namespace stonewing::lab
