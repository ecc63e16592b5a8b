#include "delivery/attempt_sender.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

#include "logging/log.h"

namespace stonewing {
namespace {

constexpr std::size_t kAnswerMost = 128 * 1024;
constexpr Millis kForever = 1e15;
constexpr Millis kRest = 250;  // for the rest of an answer that has begun; it is written in one go

// A message's time counts from when its client sent it, ours from when we read it: so much later at the
// most, for a longer stop is seen (Loop::heldUp).
constexpr Millis kReadLate = 100;

Millis waitIn(const HttpClientConnection& link) {
  auto wait = parseWholeNumber(link.header("X-Backoff-Ms"));
  return wait ? static_cast<Millis>(*wait) : 0;
}

const char* nameOf(AttemptOutcome ending) {
  constexpr const char* kNames[] = {"completed", "error",          "rejected",
                                    "timeout",   "connect_failed", "reset",
                                    "cancelled", "not_sent",       "local_resource_exhausted"};
  return kNames[static_cast<int>(ending)];
}

}  // namespace

std::string_view AttemptSender::nameAt(EndpointId endpoint) const {
  const DiscoveredEndpoint* site = discovery_.find(endpoint);
  return site == nullptr ? std::string_view("gone") : std::string_view(site->record.name);
}

AttemptSender::AttemptSender(EventLoop& loop, DispatchPolicy& rules, MessageStore& book,
                             const DiscoveryClient& catalog, const DeploymentSettings& terms,
                             const NameTables& facts, std::size_t mostLinks, std::size_t mostProbes)
    : loop_(loop),
      policy_(rules),
      store_(book),
      discovery_(catalog),
      names_(facts),
      connectWithin_(facts.connectTimeout > 0 ? facts.connectTimeout : kForever),
      mayCopy_(terms.mayHedge),
      mostLinks_(mostLinks),
      mostProbes_(mostProbes) {
  // What is written near the end of that time may cross the other side's close, and would end as a break that
  // proves nothing. It is left out by as much as a connection may take to come up.
  if (terms.connectionIdleTimeout > 0) idleMost_ = terms.connectionIdleTimeout;
  if (idleMost_ > connectWithin_) idleMost_ -= connectWithin_;
}

// Danger: of several connections to an endpoint the less used stand idle for long while others are busy, and
// the module sees the endpoint alone. It says how long one is to be trusted; each is held to that.
Millis AttemptSender::idleMost() const {
  return idleMost_ < kForever ? std::min(idleMost_, policy_.state().reusableIdleTime) : idleMost_;
}

void AttemptSender::sendAttempt(const SendAttempt& d) {
  const StoredMessage* held = store_.find(d.message);
  int call =
      policy_.state().messages.at(d.message).attempts.at(static_cast<std::size_t>(d.attempt)).requestId;
  auto& [endpoint, members] = gathered_[call];
  endpoint = d.endpoint;
  members.push_back({d.message, d.attempt, loop_.now() + d.timeout, held != nullptr ? held->reference : ""});
}

void AttemptSender::recordBatches() {
  for (auto& [call, gathered] : std::exchange(gathered_, {})) {
    auto& [endpoint, members] = gathered;
    EndpointConnection& line = lineTo(endpoint);
    // Danger: endpoints book a batch under its first message. Where that one ended while the call
    // waited there, the others passed for never delivered, though the answer said ok for each. The one with
    // most time left stands first: it ends last.
    std::stable_sort(members.begin(), members.end(),
                     [](const BatchedAttempt& a, const BatchedAttempt& b) { return a.due > b.due; });
    line.members = std::move(members);
    line.sent = loop_.now();
    for (const BatchedAttempt& m : line.members) {
      log::debug("attempt.sent", {{"message", m.ref},
                                  {"attempt", m.attempt},
                                  {"endpoint", nameAt(endpoint)},
                                  {"timeout_ms", m.due - loop_.now()}});
      policy_.recordConnectionIdleTime(m.message, m.attempt,
                                       line.isConnected() ? loop_.now() - line.usedAt : 0);
    }
    // Noted before its last byte: after a kill it may have run. What cannot be noted is not sent.
    for (const BatchedAttempt& m : line.members) {
      const DiscoveredEndpoint* site = discovery_.find(endpoint);
      if (site == nullptr || !store_.recordAttempt(m.message, site->record, wallNow())) withhold(line);
    }
    for (const BatchedAttempt& m : line.members) carries_[{m.message, m.attempt}] = &line;
    noted_.push_back(&line);
  }
}

void AttemptSender::sendBatches() {
  std::vector<EndpointConnection*> due = std::exchange(noted_, {});
  for (EndpointConnection* line : due) {
    std::erase_if(line->members, [](const BatchedAttempt& m) { return m.told; });
    if (line->members.empty()) {
      release(*line);
      continue;
    }
    for (const BatchedAttempt& m : line->members) {
      if (store_.find(m.message) == nullptr || store_.isLostAttempt(m.message, m.attempt)) withhold(*line);
    }
    if (!line->failed && !stillWanted(*line)) continue;
    if (!line->failed && line->isConnected()) write(*line);
    if (!line->failed) line->startExchange();
    settle(*line);
  }
}

// Danger: a write of the journal that hung has kept an attempt back. Sent as if nothing had been, it could
// reach an endpoint that drains by now or has told to wait, or go out past the window of a repeat; and its
// endpoint would pass for one that was silent so long. And, however short that write: the kept connection has
// ended meanwhile, and the attempt passes for one that may have run; or its endpoint has said something on it
// that nobody asked for, and the attempt passes for answered by that.
bool AttemptSender::stillWanted(EndpointConnection& line) {
  auto may = [&](const BatchedAttempt& m) {
    return loop_.now() < m.due && policy_.mayStartAttempt(m.message, m.attempt);
  };
  bool spoilt = line.isConnected() && !line.isReusable();
  bool keptBack = loop_.now() > line.sent;
  if (spoilt || (keptBack && !std::all_of(line.members.begin(), line.members.end(), may))) {
    letGo(line, AttemptOutcome::notSent);
    return false;
  }
  if (!keptBack) return true;
  line.sent = loop_.now();
  for (const BatchedAttempt& m : line.members) policy_.recordSendTime(m.message, m.attempt);
  return true;
}

Millis AttemptSender::dueOf(const EndpointConnection& line) const {
  if (line.failed) return 0;
  if (!line.isBusy()) return line.usedAt + idleMost();
  Millis due = connectBy(line);
  if (line.probing) due = std::min(due, line.sent + connectWithin_);
  if (line.wholeBy >= 0) due = std::min(due, line.wholeBy);
  for (const BatchedAttempt& m : line.members) {
    if (!m.told) due = std::min(due, m.due);
  }
  return due;
}

void AttemptSender::unsettle(EndpointConnection& line) {
  dues_.erase({line.due, &line});
  if (std::exchange(line.idleAt, -1) < 0) return;
  idle_.erase({line.endpoint, line.usedAt, &line});
  oldest_.erase({line.usedAt, &line});
}

void AttemptSender::settle(EndpointConnection& line) {
  unsettle(line);
  line.due = dueOf(line);
  dues_.insert({line.due, &line});
  if (line.isBusy() || line.failed || !line.isConnected()) return;
  line.idleAt = line.usedAt;
  idle_.insert({line.endpoint, line.usedAt, &line});
  oldest_.insert({line.usedAt, &line});
}

// What goes out, of those that are in the call by now: only once its connection is up.
void AttemptSender::write(EndpointConnection& line) {
  for (const BatchedAttempt& m : line.members)
    log::debug("attempt.written",
               {{"message", m.ref}, {"attempt", m.attempt}, {"batch_size", line.members.size()}});
  Millis latest = loop_.now();
  for (const BatchedAttempt& m : line.members) latest = std::max(latest, m.due);
  std::string common = "Host: " + discovery_.find(line.endpoint)->authority + "\r\nX-Deadline-Ms: " +
                       std::to_string(static_cast<std::int64_t>(latest - loop_.now())) + "\r\n";
  if (line.members.size() == 1) {
    const StoredMessage* held = store_.find(line.members[0].message);
    std::string head =
        "POST /v1/messages HTTP/1.1\r\n" + common + "X-Request-Id: " + held->reference + "\r\n";
    if (!held->idempotencyKey.empty()) head += "Idempotency-Key: " + held->idempotencyKey + "\r\n";
    line.add(head + "Content-Length: " + std::to_string(held->body->size()) + "\r\n\r\n");
    line.add(held->body);
  } else {
    std::vector<std::pair<std::string, std::shared_ptr<const std::string>>> rows;
    std::size_t length = 0;
    for (const BatchedAttempt& m : line.members) {
      const StoredMessage* held = store_.find(m.message);
      std::string row = held->reference + " " + (held->idempotencyKey.empty() ? "-" : held->idempotencyKey) +
                        " " + std::to_string(held->body->size()) + "\r\n";
      length += row.size() + held->body->size() + 2;
      rows.emplace_back(std::move(row), held->body);
    }
    line.add("POST /v1/messages:batch HTTP/1.1\r\n" + common + "Content-Length: " + std::to_string(length) +
             "\r\n\r\n");
    for (auto& [row, body] : rows) {
      line.add(std::move(row));
      line.add(std::move(body));
      line.add(std::string("\r\n"));
    }
  }
}

AttemptSender::EndpointConnection& AttemptSender::lineTo(EndpointId endpoint) {
  const DiscoveredEndpoint* site = discovery_.find(endpoint);
  EndpointConnection* best = nullptr;  // the one that was used last
  auto next = idle_.lower_bound({endpoint, 1e300, nullptr});
  if (next != idle_.begin() && std::get<0>(*std::prev(next)) == endpoint)
    best = std::get<2>(*std::prev(next));
  bool moved = best != nullptr && site != nullptr &&
               std::memcmp(&best->address, &site->address, sizeof best->address) != 0;
  bool trusted = best != nullptr && loop_.now() < best->usedAt + idleMost();
  if (trusted && !moved && best->isReusable()) {
    unsettle(*best);
    return *best;
  }
  if (best != nullptr) closeIdleConnection(endpoint);
  // Room is made by the one that has stood idle for longest.
  if (connections_.size() >= mostLinks_ && !oldest_.empty()) release(*oldest_.begin()->second);
  connections_.push_back(std::make_unique<EndpointConnection>(loop_, *this, kAnswerMost));
  EndpointConnection& line = *connections_.back();
  line.self = std::prev(connections_.end());
  line.endpoint = endpoint;
  if (site != nullptr) line.address = site->address;
  line.failed = site == nullptr || !line.open(site->address);
  line.withheld = site == nullptr || line.isOutOfResources();
  return line;
}

void AttemptSender::release(EndpointConnection& line) {
  unsettle(line);
  std::erase(noted_, &line);
  for (const BatchedAttempt& m : line.members) carries_.erase({m.message, m.attempt});
  if (std::exchange(line.probing, false)) --probesOut_;
  auto at = line.self;
  line.close();
  loop_.deferDeletion(std::move(*at));
  connections_.erase(at);
}

// Danger: while the loop is behind, the answer of an attempt that is called off may lie unread; closed on it,
// the message would be attempted again after it was delivered.
void AttemptSender::cancelAttempt(const CancelAttempt& d) {
  auto at = carries_.find({d.message, d.attempt});
  if (at == carries_.end()) return;
  at->second->readPending();
  at = carries_.find({d.message, d.attempt});
  if (at == carries_.end()) return;  // its end was there already
  EndpointConnection& line = *at->second;
  for (BatchedAttempt& m : line.members) {
    if (m.message != d.message || m.attempt != d.attempt || m.told) continue;
    m.off = keepsCall(line, m);
    if (m.off) log::debug("attempt.cancel_deferred", {{"message", m.ref}, {"attempt", m.attempt}});
    if (m.off) break;
    tell(line, m,
         line.isRequestWritten() ? unanswered(line, AttemptOutcome::cancelled) : AttemptOutcome::notSent,
         false, 0);
    break;
  }
  if (calledOff(line)) release(line);
}

// Until when a message is to be delivered, whatever its attempt may take.
Millis AttemptSender::timeUp(const BatchedAttempt& m) const {
  auto at = policy_.state().messages.find(m.message);
  return at == policy_.state().messages.end() || at->second.finished ? 0 : at->second.deadline;
}

// Danger: one message of a call cannot be called off alone; the call stays out at the endpoint for the
// others. Told as cancelled it would be attempted again beside it: a second hedge, which not every deployment
// allows, and for the first of the call an end by its other attempt while the rest is out. It is told with
// the call, or once its time is up. Where hedges are allowed the rest need not wait: at endpoints that hang
// one that may not be repeated would keep all others there.
bool AttemptSender::keepsCall(const EndpointConnection& line, const BatchedAttempt& m) const {
  auto waits = [&](const BatchedAttempt& o) { return &o != &m && !o.told && !o.off; };
  bool bound = !mayCopy_ || &m == &line.members.front();
  return bound && line.isRequestWritten() && loop_.now() < timeUp(m) &&
         std::any_of(line.members.begin(), line.members.end(), waits);
}

// Whether a call has nothing left to wait for, now that the end of one of its messages was told. Danger: of
// one that is half written the rest would still go out, for a message that is over or was told as never
// sent. Broken off now it has run for none.
bool AttemptSender::calledOff(EndpointConnection& line) {
  auto told = [](const BatchedAttempt& m) { return m.told; };
  bool halfWritten = line.isBusy() && line.isConnected() && !line.isRequestWritten();
  if (halfWritten && std::any_of(line.members.begin(), line.members.end(), told)) {
    tellAll(line, AttemptOutcome::notSent);
  }
  // Danger: its first message may also end by another attempt, and the endpoint still answers ok for the
  // rest, which counts for none of them. Called off with it they may go out again.
  auto done = [](const BatchedAttempt& m) { return m.told || m.off; };
  bool first = !line.members.empty() && line.members.front().told;
  if (line.isRequestWritten() && (first || std::all_of(line.members.begin(), line.members.end(), done))) {
    for (BatchedAttempt& m : line.members) {
      if (!m.told) tell(line, m, unanswered(line, AttemptOutcome::cancelled), false, 0);
    }
  }
  return !line.members.empty() && std::all_of(line.members.begin(), line.members.end(), told);
}

// Danger: hundreds of endpoints that are out are probed at once, and their connections take the descriptors
// of all others.
void AttemptSender::sendHealthCheck(EndpointId endpoint) {
  if (probesOut_ >= mostProbes_)
    return policy_.recordHealthCheckOutcome(endpoint, AttemptOutcome::localResourceExhausted, {});
  EndpointConnection& line = lineTo(endpoint);
  line.probing = true;
  ++probesOut_;
  line.sent = loop_.now();
  if (line.failed) return settle(line);
  line.add("GET /ping HTTP/1.1\r\nHost: " + discovery_.find(endpoint)->authority + "\r\n\r\n");
  line.startExchange();
  settle(line);
}

void AttemptSender::closeIdleConnection(EndpointId endpoint) {
  for (;;) {
    auto at = idle_.lower_bound({endpoint, -1e300, nullptr});
    if (at == idle_.end() || std::get<0>(*at) != endpoint) return;
    release(*std::get<2>(*at));
  }
}

LoadReport reportIn(std::string_view report, const std::vector<std::string>& fields) {
  LoadReport told;
  while (!report.empty()) {
    std::size_t comma = std::min(report.find(','), report.size());
    std::string_view item = report.substr(0, comma);
    report.remove_prefix(std::min(comma + 1, report.size()));
    std::size_t equals = std::min(item.find('='), item.size());
    std::string_view field = item.substr(0, equals);
    std::string_view number = item.substr(std::min(equals + 1, item.size()));
    double value = -1;
    auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    bool known = std::find(fields.begin(), fields.end(), field) != fields.end();
    bool whole = error == std::errc() && end == number.data() + number.size();
    // Danger: noise taken for a limit. A report with any part that cannot be read tells nothing.
    if (!known || !whole || !std::isfinite(value) || value < 0) return {};
    if (field == "x0") told.remainingShare = value;
    if (field == "x1") told.rateLimit = value;
  }
  return told;
}

void AttemptSender::tell(EndpointConnection& line, BatchedAttempt& m, AttemptOutcome ending, bool over,
                         Millis wait) {
  bool told = std::exchange(m.told, true);
  carries_.erase({m.message, m.attempt});
  bool ends = over || ending == AttemptOutcome::completed;
  // Danger: an answer written when the message's time was just up delivers nothing, and its end is still
  // owed. On arrival that cannot be told from one written just before. A notice for one that is over does no
  // harm.
  bool timely = loop_.now() < timeUp(m) - kReadLate;
  auto isOver = [&] {
    if (timely) return store_.recordDelivered(m.message);
    store_.addPendingNotification(m.message, FinalOutcome::failed, 0);
  };
  if (told) {
    // Given up on, and now it was delivered after all: nothing more may be sent for it.
    if (ends && store_.find(m.message) != nullptr) {
      policy_.cancelMessage(m.message);
      isOver();
    }
    return;
  }
  if (ending == AttemptOutcome::rejected || ending == AttemptOutcome::connectFailed || isUnsent(ending)) {
    store_.recordNotExecuted(m.message, m.attempt);
  }
  LoadReport report =
      line.status() != 0 ? reportIn(line.header("X-Load"), names_.loadReportFields) : LoadReport{};
  log::debug("attempt.finished", {{"message", m.ref},
                                  {"attempt", m.attempt},
                                  {"endpoint", nameAt(line.endpoint)},
                                  {"outcome", nameOf(ending)},
                                  {"spent_ms", loop_.now() - line.sent},
                                  {"retry_after_ms", wait},
                                  {"rate_limit", report.rateLimit},
                                  {"remaining", report.remainingShare}});
  bool known = ends || store_.find(m.message) == nullptr;
  policy_.recordAttemptOutcome(m.message, m.attempt, ending, loop_.now() - line.sent, known, wait, report);
  if (ends) isOver();
}

void AttemptSender::tellAll(EndpointConnection& line, AttemptOutcome ending, bool over, Millis wait) {
  for (BatchedAttempt& m : line.members) tell(line, m, ending, over, wait);
}

void AttemptSender::readMany(EndpointConnection& line, Millis wait) {
  std::map<std::string_view, std::string_view> ends;
  for (std::string_view rest = line.body(); !rest.empty();) {
    std::size_t feed = std::min(rest.find('\n'), rest.size());
    std::string_view row = rest.substr(0, feed);
    rest.remove_prefix(std::min(feed + 1, rest.size()));
    if (!row.empty() && row.back() == '\r') row.remove_suffix(1);
    std::size_t blank = row.find(' ');
    if (blank != std::string_view::npos) ends[row.substr(0, blank)] = row.substr(blank + 1);
  }
  for (BatchedAttempt& m : line.members) {
    std::string_view end = ends.contains(m.ref) ? ends[m.ref] : "";
    if (end == "ok") {
      tell(line, m, AttemptOutcome::completed, true, wait);  // a wait binds, whatever it came with
    } else if (end == "later") {
      tell(line, m, AttemptOutcome::rejected, false, wait);
    } else if (end == "gone") {
      tell(line, m, AttemptOutcome::notSent, true, wait);
    } else if (end == "exhausted") {
      tell(line, m, AttemptOutcome::notSent, false, wait);
    } else {
      tell(line, m, AttemptOutcome::error, false, wait);  // also where nothing is said of it: it may have run
    }
  }
}

void AttemptSender::onResponse(HttpClientConnection& link) {
  EndpointConnection& line = static_cast<EndpointConnection&>(link);
  unsettle(line);
  line.usedAt = loop_.now();
  int status = line.status();
  Millis wait = waitIn(line);
  if (line.probing) {
    AttemptOutcome ending = status == 200   ? AttemptOutcome::completed
                            : status == 429 ? AttemptOutcome::rejected
                            : status == 503 ? AttemptOutcome::rejected
                                            : AttemptOutcome::error;
    probeEnded(line, ending, reportIn(line.header("X-Load"), names_.loadReportFields));
  } else if (status == 200 && line.members.size() > 1) {
    readMany(line, wait);
  } else if (status == 200) {
    tellAll(line, AttemptOutcome::completed, true);
  } else if (status == 429) {
    tellAll(line, AttemptOutcome::rejected, false, wait);
  } else if (status == 503) {
    bool ours = line.header("X-Egress-Full") == "1";
    tellAll(line, ours ? AttemptOutcome::notSent : AttemptOutcome::rejected, false, ours ? 0 : wait);
  } else if (status == 504) {
    tellAll(line, AttemptOutcome::notSent);
  } else if (status == 410) {
    tellAll(line, AttemptOutcome::notSent, true);
  } else if (status == 400 || status == 413) {
    log::error("request.unreadable", {{"endpoint", nameAt(line.endpoint)}, {"status", status}});
    tellAll(line, line.members.size() > 1 ? AttemptOutcome::notSent : AttemptOutcome::error);
  } else {
    tellAll(line, AttemptOutcome::error);
  }
  line.members.clear();
  line.wholeBy = -1;
  if (!line.isOpen()) return release(line);
  settle(line);
}

// A connection may come up long after its call was decided. By then the endpoint may drain, may have told us
// to wait, or a repeat's window may be over, and the rules count a call from its bytes: it is not sent.
// Danger: of several in a call one may have ended meanwhile, its time up or its other attempt answered.
// Written out when the call was decided, all would go once the connection is up, that one after its final
// answer.
bool AttemptSender::mayStartExchange(HttpClientConnection& link) {
  EndpointConnection& line = static_cast<EndpointConnection&>(link);
  if (line.probing || !line.isBusy()) return true;  // or the journal does not have it yet
  for (BatchedAttempt& m : line.members) {
    if (!m.told && !policy_.mayStartAttempt(m.message, m.attempt))
      tell(line, m, AttemptOutcome::notSent, false, 0);
  }
  std::erase_if(line.members, [](const BatchedAttempt& m) { return m.told; });
  if (line.members.empty()) {
    release(line);
    return false;
  }
  write(line);
  settle(line);
  return true;
}

// A call counts from its last byte. Danger: an endpoint reads a repeat so slowly that its window ends
// meanwhile. Broken off before that byte the call has not run.
bool AttemptSender::mayContinueExchange(HttpClientConnection& link) {
  EndpointConnection& line = static_cast<EndpointConnection&>(link);
  auto may = [&](const BatchedAttempt& m) { return m.told || policy_.mayStartAttempt(m.message, m.attempt); };
  if (line.probing || std::all_of(line.members.begin(), line.members.end(), may)) return true;
  letGo(line, AttemptOutcome::notSent);
  return false;
}

void AttemptSender::probeEnded(EndpointConnection& line, AttemptOutcome ending, LoadReport report) {
  line.probing = false;
  --probesOut_;
  policy_.recordHealthCheckOutcome(line.endpoint, ending, report);
}

// What we lack ourselves (a descriptor, room in the journal) is no failure of the endpoint. Danger: taken for
// one, a full disk or a table of descriptors that clients have filled makes every destination look out, and a
// ramp follows.
void AttemptSender::withhold(EndpointConnection& line) { line.failed = line.withheld = true; }

void AttemptSender::letGo(EndpointConnection& line, AttemptOutcome ending) {
  tellAll(line, ending);
  line.members.clear();
  release(line);
}

// How a call ended that brought no good answer: before its last byte was written it cannot have run. A first
// line that says 200 is true, whatever follows it. Anything else that came was spoilt by an endpoint that is
// there and has run the call: no dead connection, of which the module would think less.
AttemptOutcome AttemptSender::unanswered(const EndpointConnection& line, AttemptOutcome otherwise) const {
  if (!line.isRequestWritten()) return AttemptOutcome::connectFailed;
  if (line.status() == 200 && line.members.size() == 1) return AttemptOutcome::completed;
  return line.hasReceived() ? AttemptOutcome::error : otherwise;
}

// Danger: a head that does not end, or a body that is shorter than was said, would hold the call, its slot
// and the message's time until its time-out.
void AttemptSender::onResponseStarted(HttpClientConnection& link) {
  EndpointConnection& line = static_cast<EndpointConnection&>(link);
  if (line.wholeBy >= 0 || line.status() == 0) return;
  line.wholeBy = loop_.now() + kRest;
  settle(line);
}

void AttemptSender::onBroken(HttpClientConnection& link) {
  EndpointConnection& line = static_cast<EndpointConnection&>(link);
  AttemptOutcome ending =
      line.withheld ? AttemptOutcome::localResourceExhausted : unanswered(line, AttemptOutcome::reset);
  if (line.withheld)
    log::warn("attempt.resource_exhausted",
              {{"endpoint", nameAt(line.endpoint)},
               {"why", line.isOutOfResources() ? "no descriptor" : "not noted, or not listed any more"}});
  if (line.probing) probeEnded(line, ending);
  letGo(line, ending);
}

Millis AttemptSender::connectBy(const EndpointConnection& line) const {
  return line.isBusy() && !line.isConnected() ? line.sent + connectWithin_ : kForever;
}

// Only lines whose time has come are looked at; a line that is trusted for less long than before comes first.
void AttemptSender::onTick() {
  if (idleMost() < idleMostSeen_) {
    std::vector<EndpointConnection*> idle;
    for (const auto& [usedAt, line] : oldest_) idle.push_back(line);
    for (EndpointConnection* line : idle) settle(*line);
  }
  idleMostSeen_ = idleMost();
  while (!dues_.empty() && dues_.begin()->first <= loop_.now()) look(*dues_.begin()->second);
}

void AttemptSender::look(EndpointConnection& line) {
  if (line.isBusy() && line.isRequestWritten()) {  // its answer may lie there unread
    std::size_t links = connections_.size();
    line.readPending();
    if (connections_.size() < links) return;  // released
    if (!line.isBusy() || loop_.now() < dueOf(line)) return settle(line);
  }
  bool spoilt = line.isBusy() && line.wholeBy >= 0 && loop_.now() >= line.wholeBy;
  if (line.failed || spoilt || loop_.now() >= connectBy(line)) return onBroken(line);
  if (!line.isBusy()) {
    if (loop_.now() >= line.usedAt + idleMost()) return release(line);
    return settle(line);
  }
  if (line.probing && loop_.now() >= line.sent + connectWithin_) {
    probeEnded(line, AttemptOutcome::timeout);
    return release(line);
  }
  for (BatchedAttempt& m : line.members) {
    // A connection that never came up has attempted nothing, and its time was not up either: not sent.
    if (m.told || loop_.now() < m.due) continue;
    m.off = m.off || keepsCall(line, m);
    if (m.off && loop_.now() < timeUp(m)) {
      m.due = timeUp(m);
    } else {
      tell(line, m,
           line.isRequestWritten() ? unanswered(line, AttemptOutcome::timeout) : AttemptOutcome::notSent,
           false, 0);
    }
  }
  if (calledOff(line)) return release(line);
  settle(line);
}

Millis AttemptSender::due() const { return dues_.empty() ? kForever : dues_.begin()->first; }

bool AttemptSender::idle() const {
  return std::none_of(connections_.begin(), connections_.end(),
                      [](const auto& l) { return !l->members.empty(); });
}

}  // namespace stonewing
