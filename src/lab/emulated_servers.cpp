#include "lab/emulated_servers.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

#include "net/http_client_connection.h"
#include "policy/endpoint_state.h"

namespace stonewing::lab {
namespace {

using nlohmann::json;

constexpr std::uint32_t kRefMark = 0x5705e000;  // so that a message's name is not a bare number
constexpr Millis kWatchMost = 60000;

std::string headOf(int status, std::size_t length, const std::string& more = "") {
  const char* reason = status == 200 ? "OK" : status == 204 ? "No Content" : "Trouble";
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + more;
  if (status != 204) head += "Content-Length: " + std::to_string(length) + "\r\n";
  return head + "\r\n";
}

const char* stateOf(EndpointState phase) {
  return phase == EndpointState::ready      ? "in_service"
         : phase == EndpointState::draining ? "terminating"
                                            : "terminated";
}

std::string parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

}  // namespace

std::string World::refOf(std::uint32_t callback) {
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", kRefMark, callback);
  return text;
}

std::optional<std::uint32_t> World::callbackOf(std::string_view ref) {
  if (ref.size() != 16) return std::nullopt;
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(ref.data(), ref.data() + ref.size(), value, 16);
  if (error != std::errc() || end != ref.data() + ref.size() || value >> 32 != kRefMark) return std::nullopt;
  auto callback = static_cast<std::uint32_t>(value);
  constexpr std::uint32_t kTrusted = 1u << 26;
  if (trustsNames_ && callback < kTrusted) {
    while (trace_.callbacks.size() <= callback) {
      trace_.callbacks.push_back({.origin = static_cast<std::uint32_t>(trace_.callbacks.size())});
    }
  }
  if (callback >= trace_.callbacks.size()) return std::nullopt;
  return callback;
}

World::World(EventLoop& loop, Agenda& agenda, const Clock& clock, const Plan& plan, Town& town, Trace& trace)
    : loop_(loop), agenda_(agenda), clock_(clock), plan_(plan), town_(town), trace_(trace) {
  auto count = static_cast<std::size_t>(plan.endpointCount());
  endpoints_.resize(count);
  told_.assign(static_cast<std::size_t>(plan.fleet.dispatchers),
               std::vector<EndpointState>(2 * count, EndpointState::ready));
  for (int d = 0; d < plan.fleet.dispatchers; ++d) {
    std::string net = "127.0." + std::to_string(d + 1) + ".";
    platform_.push_back(std::make_unique<Server>(loop, *this, net + "1"));
    places_[platform_.back().get()] = {d, -1};
    for (int e = 0; e < plan.endpointCount(); ++e) {
      auto& servers = endpoints_[static_cast<std::size_t>(e)];
      servers.push_back(std::make_unique<Server>(loop, *this, net + std::to_string(plan.roomOf(e) + 1)));
      places_[servers.back().get()] = {d, e};
    }
  }
  for (std::uint32_t e = 0; e < count; ++e) entries_.push_back({e, EndpointState::ready, 1});
}

World::~World() = default;

std::string World::discovery(int dispatcher) const {
  return platform_[static_cast<std::size_t>(dispatcher)]->address();
}

Millis World::oneWay(const Place& place) const {
  int rooms = static_cast<int>(plan_.world.rooms.size());
  bool near = place.dispatcher % rooms == plan_.roomOf(place.endpoint);
  return near ? plan_.world.nearOneWay : plan_.world.farOneWay;
}

// ---- discovery ----

std::string World::entryText(int dispatcher, const Entry& entry) const {
  auto count = static_cast<std::uint32_t>(plan_.endpointCount());
  std::uint32_t real = entry.endpoint % count;
  bool ghost = entry.endpoint >= count;  // named by a wrong list: nobody is there
  json row{
      {"id", (ghost ? "ghost-" : "s-") + std::to_string(real)},
      {"addr", ghost ? "127.0.0.1:1" : endpoints_[real][static_cast<std::size_t>(dispatcher)]->address()},
      {"zone", plan_.world.rooms[static_cast<std::size_t>(plan_.roomOf(static_cast<int>(real)))]},
      {"kind", "partner"},
      {"cell", plan_.destinationOf(static_cast<int>(real))},
      {"state", stateOf(entry.phase)},
      {"weight", ghost ? 1e6 : 1.0},
      {"started_ms", 0}};
  return row.dump();
}

std::string World::known(int dispatcher) const {
  std::string rows;
  for (const Entry& e : entries_) {
    if (e.phase != EndpointState::removed) rows += (rows.empty() ? "" : ",") + entryText(dispatcher, e);
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"full":true,"servers":[)" + rows + "]}";
}

void World::answerWatch(int dispatcher, std::int64_t since, Served& served) {
  std::string rows;
  for (const Entry& e : entries_) {
    if (e.version <= since) continue;
    rows += (rows.empty() ? "" : ",") + entryText(dispatcher, e);
    EndpointState& told = told_[static_cast<std::size_t>(dispatcher)][e.endpoint];
    if (told == e.phase) continue;
    told = e.phase;
    trace_.events.push_back({.at = clock_.now(),
                             .what = What::told,
                             .endpoint = e.endpoint,
                             .dispatcher = static_cast<std::uint16_t>(dispatcher),
                             .status = static_cast<std::int16_t>(e.phase)});
  }
  std::string body =
      R"({"version":)" + std::to_string(version_) + R"(,"full":false,"servers":[)" + rows + "]}";
  served.answer(headOf(200, body.size()) + body);
}

void World::catalog(const Place& place, Served& served, const Request& request) {
  if (clock_.now() < listSilentUntil_) return;  // it is there and says nothing
  std::string since = parameter(request.target, "since");
  if (since.empty()) {
    std::string body = known(place.dispatcher);
    for (const Entry& e : entries_) told_[static_cast<std::size_t>(place.dispatcher)][e.endpoint] = e.phase;
    return served.answer(headOf(200, body.size()) + body);
  }
  auto from = static_cast<std::int64_t>(parseWholeNumber(since).value_or(0));
  if (version_ > from) return answerWatch(place.dispatcher, from, served);
  auto timeout = static_cast<Millis>(parseWholeNumber(parameter(request.target, "timeout_ms")).value_or(0));
  std::uint64_t serial = ++serial_;
  watches_[place.dispatcher] = {&served, from, serial};
  agenda_.at(loop_.now() + std::min(timeout, kWatchMost), [this, d = place.dispatcher, serial] {
    auto at = watches_.find(d);
    if (at == watches_.end() || at->second.serial != serial) return;
    Watch watch = at->second;
    watches_.erase(at);
    if (clock_.now() >= listSilentUntil_) answerWatch(d, watch.since, *watch.served);
  });
}

void World::publish(std::uint32_t endpoint, EndpointState phase) {
  Millis late = std::max(listLate_, listSilentUntil_ - clock_.now());
  agenda_.at(loop_.now() + std::max(0.0, late), [this, endpoint, phase] {
    ++version_;
    auto at = std::find_if(entries_.begin(), entries_.end(),
                           [&](const Entry& e) { return e.endpoint == endpoint; });
    if (at == entries_.end()) at = entries_.insert(entries_.end(), {endpoint, phase, version_});
    at->phase = phase;
    at->version = version_;
    for (auto& [d, watch] : std::exchange(watches_, {})) answerWatch(d, watch.since, *watch.served);
  });
}

// ---- notices ----

void World::reports(Served& served, const Request& request) {
  std::string_view rest = request.body;
  struct Line {
    std::uint32_t callback;
    int result;
    Millis wait;
  };
  std::vector<Line> lines;
  while (!rest.empty()) {
    std::size_t feed = std::min(rest.find('\n'), rest.size());
    std::string_view text = rest.substr(0, feed);
    rest.remove_prefix(std::min(rest.size(), feed + 1));
    if (text.empty()) continue;
    json row = json::parse(text, nullptr, false);
    if (!row.is_object() || !row.contains("ref") || !row.contains("result"))
      return served.answer(headOf(400, 0));
    auto callback = callbackOf(row.value("ref", ""));
    std::string result = row.value("result", "");
    if (!callback || (result != "dead" && result != "bounced")) return served.answer(headOf(400, 0));
    lines.push_back({*callback, result == "dead" ? 1 : 2, row.value("wait_ms", 0.0)});
  }
  for (const Line& l : lines) {
    trace_.events.push_back({.at = clock_.now(),
                             .what = What::noticed,
                             .callback = l.callback,
                             .status = static_cast<std::int16_t>(l.result),
                             .span = l.wait});
    if (onNotice) onNotice(l.callback, l.result, l.wait);
  }
  served.answer(headOf(204, 0));
}

// ---- endpoints ----

bool World::opened(Server& server, Served&) {
  const Place& place = places_.at(&server);
  if (place.endpoint < 0) return true;
  auto endpoint = static_cast<std::uint32_t>(place.endpoint);
  auto got = town_.connect(clock_.now(), endpoint, static_cast<std::uint16_t>(place.dispatcher));
  table(endpoint);
  return got == Town::Connect::up;
}

// A full table takes no connection: it is refused before any of a call is written.
void World::table(std::uint32_t endpoint) {
  bool full = town_.tableFull(endpoint);
  for (auto& server : endpoints_[endpoint]) server->shut(full);
}

void World::asked(Server& server, Served& served, Request request) {
  const Place& place = places_.at(&server);
  if (place.endpoint >= 0) {
    if (request.method == "POST" && request.target.starts_with("/v1/messages")) {
      return called(place, served, request);
    }
    bool load = request.target == "/_load";  // the same probe, with the report as its body
    if (request.method == "GET" && (load || request.target == "/ping")) {
      auto endpoint = static_cast<std::uint32_t>(place.endpoint);
      int status = town_.probed(clock_.now(), endpoint, static_cast<std::uint16_t>(place.dispatcher));
      std::string body = load && plan_.world.reports ? reportOf(endpoint) : "";
      if (status != 0) served.answer(headOf(status, body.size()) + body);
      return;
    }
  } else if (request.method == "GET" && request.target.starts_with("/catalog/members")) {
    return catalog(place, served, request);
  } else if (request.method == "POST" && request.target == "/reports") {
    return reports(served, request);
  }
  served.answer(headOf(404, 0));
}

std::string World::reportOf(std::uint32_t endpoint) const {
  char limit[64];
  std::snprintf(limit, sizeof limit, "x1=%.3f", town_.report(clock_.now(), endpoint).rateLimit);
  return limit;
}

void World::called(const Place& place, Served& served, const Request& request) {
  Out out;
  out.served = &served;
  out.batch = request.target.ends_with(":batch");
  out.dispatcher = static_cast<std::uint16_t>(place.dispatcher);
  out.endpoint = static_cast<std::uint32_t>(place.endpoint);
  auto add = [&](std::string_view ref) {
    auto callback = callbackOf(ref);
    if (!callback) return false;
    out.callbacks.push_back(*callback);
    out.refs.emplace_back(ref);
    return true;
  };
  bool good = true;
  if (out.batch) {
    std::string_view rest = request.body;
    while (good && !rest.empty()) {
      std::size_t feed = rest.find("\r\n");
      std::string_view row = rest.substr(0, feed);
      std::size_t first = row.find(' ');
      std::size_t last = row.rfind(' ');
      auto length = last == std::string_view::npos ? std::nullopt : parseWholeNumber(row.substr(last + 1));
      good = feed != std::string_view::npos && length && rest.size() >= feed + 4 + *length &&
             add(row.substr(0, first));
      if (good) rest.remove_prefix(feed + 4 + *length);
    }
    good = good && !out.callbacks.empty();
  } else {
    good = add(request.header("X-Request-Id"));
  }
  if (!good) return served.answer(headOf(400, 0));
  std::uint32_t call = nextCall_++;
  callOf_[&served] = call;
  Millis delay = oneWay(place);
  out_[call] = std::move(out);
  agenda_.at(loop_.now() + delay, [this, call] { arrives(call); });
}

void World::arrives(std::uint32_t call) {
  auto at = out_.find(call);
  if (at == out_.end() || town_.vanished(at->second.endpoint, at->second.dispatcher)) return;
  Out& out = at->second;
  auto now = town_.arrived(clock_.now(), call, out.endpoint, out.dispatcher, out.callbacks);
  if (now) reply(*now);
  next(out.endpoint);
}

void World::next(std::uint32_t endpoint) {
  Millis due = town_.due(endpoint);
  if (due < 0) return;
  Millis& asked = townAt_.try_emplace(endpoint, -1).first->second;
  if (asked >= 0 && asked <= due) return;
  asked = due;
  agenda_.at(clock_.epoch + due, [this, endpoint, due] {
    if (townAt_[endpoint] == due) townAt_[endpoint] = -1;
    for (const Reply& r : town_.advance(clock_.now(), endpoint)) reply(r);
    next(endpoint);
  });
}

void World::reply(const Reply& r) {
  auto at = out_.find(r.call);
  if (at == out_.end() || r.said == Said::silence) return;
  agenda_.at(loop_.now() + oneWay({at->second.dispatcher, static_cast<int>(at->second.endpoint)}),
             [this, r] { write(r.call, r); });
}

void World::write(std::uint32_t call, const Reply& r) {
  auto at = out_.find(call);
  if (at == out_.end()) return;
  // Called off while the reply was on its way: nobody hears it, and the end of its connection says so.
  if (!town_.vanished(at->second.endpoint, at->second.dispatcher) && at->second.served->left()) return;
  Out out = std::move(at->second);
  out_.erase(at);
  callOf_.erase(out.served);
  if (town_.vanished(out.endpoint, out.dispatcher)) return;
  for (std::uint32_t c : out.callbacks) {
    trace_.events.push_back({.at = clock_.now(),
                             .what = What::replied,
                             .callback = c,
                             .call = call,
                             .endpoint = out.endpoint,
                             .dispatcher = out.dispatcher,
                             .status = static_cast<std::int16_t>(r.said),
                             .span = r.wait,
                             .ran = r.ran});
  }
  std::string more;
  if (r.wait > 0)
    more += "X-Backoff-Ms: " + std::to_string(static_cast<std::int64_t>(std::ceil(r.wait))) + "\r\n";
  if (plan_.world.reports) more += "X-Load: " + reportOf(out.endpoint) + "\r\n";
  std::string body;
  if (out.batch && r.said == Said::ok) {
    for (const std::string& ref : out.refs) body += ref + " ok\r\n";
  }
  switch (r.said) {
    case Said::reset:
      return out.served->reset();
    case Said::spoilt:
      return out.served->answer("HTTP/1.1 2O0 ;;\r\n\x01\x02 noise\r\n\r\n");
    case Said::cut:
      return out.served->answer(headOf(200, body.size() + 100, more) + body, true);
    default:
      return out.served->answer(headOf(static_cast<int>(r.said), body.size(), more) + body);
  }
}

void World::closed(Server& server, Served& served) {
  const Place& place = places_.at(&server);
  if (place.endpoint < 0) {
    std::erase_if(watches_, [&](const auto& w) { return w.second.served == &served; });
    return;
  }
  auto endpoint = static_cast<std::uint32_t>(place.endpoint);
  if (auto at = callOf_.find(&served); at != callOf_.end()) {
    std::uint32_t call = at->second;
    callOf_.erase(at);
    Out out = std::move(out_.at(call));
    out_.erase(call);
    bool ran = town_.abandoned(clock_.now(), call, endpoint);
    for (std::uint32_t c : out.callbacks) {
      trace_.events.push_back({.at = clock_.now(),
                               .what = What::abandoned,
                               .callback = c,
                               .call = call,
                               .endpoint = endpoint,
                               .dispatcher = out.dispatcher,
                               .ran = ran});
    }
    next(endpoint);
  }
  town_.disconnected(endpoint);
  table(endpoint);
}

void World::strike(const TroublePlan& t, bool begins) {
  switch (t.kind) {
    case TroubleKind::drain:
      for (int e : plan_.struck(t))
        publish(static_cast<std::uint32_t>(e), begins ? EndpointState::draining : EndpointState::ready);
      return;
    case TroubleKind::listWrong:
      for (int e : plan_.struck(t)) {
        if (e % plan_.world.endpoints != 0) continue;
        publish(static_cast<std::uint32_t>(plan_.endpointCount() + e),
                begins ? EndpointState::ready : EndpointState::removed);
      }
      return;
    case TroubleKind::listLate:
      listLate_ = begins ? t.factor : 0;
      return;
    case TroubleKind::listSilent:
      if (begins) listSilentUntil_ = t.until;
      return;
    case TroubleKind::kill:
    case TroubleKind::stop:
    case TroubleKind::terminate:
    case TroubleKind::diskFull:
    case TroubleKind::diskHang:
      return;
    default:
      break;
  }
  for (const Reply& r : town_.strike(clock_.now(), t, begins)) reply(r);
  for (int n : plan_.struck(t)) {
    auto e = static_cast<std::uint32_t>(n);
    for (std::uint32_t d = 0; d < endpoints_[e].size(); ++d) {
      Server& server = *endpoints_[e][d];
      if (t.kind == TroubleKind::refuse) server.refuse(town_.refuses(e));
      if (t.kind == TroubleKind::blackhole || t.kind == TroubleKind::cutOff)
        server.vanish(town_.vanished(e, d));
    }
    table(e);
    next(e);
  }
}

}  // namespace stonewing::lab
