#include "dispatcher/dispatcher.h"

#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>
#include <variant>

#include "base/bytes.h"
#include "base/overloaded.h"
#include "logging/log.h"

namespace stonewing {
namespace {

using nlohmann::json;

// After the signal new connections come for up to 0.4 s, and the kill no sooner than 3.7 s.
constexpr Millis kAcceptFor = 500;
constexpr Millis kLaunchFor = 3000;  // with much held, each second more of it is worth having
constexpr Millis kAnswersFor = 3500;
constexpr std::size_t kBytesPerMegabyte = 1'000'000;
constexpr std::size_t kMemoryForHalves = 10;  // the part of it for commands that have come in part
constexpr std::size_t kManyAnswers = 16;
constexpr Millis kTurnNoticed = 5;
constexpr Millis kSlowTurn = 100;  // a quarter of what a client waits
constexpr Millis kSlowTold = 5000;
constexpr Millis kDecideMost =
    20;                           // of a turn; the rest goes on in the next, behind what has come and is owed
constexpr int kDecideLook = 64;   // decisions between two looks at the clock
constexpr Millis kWriteWait = 5;  // a write that is done within it costs no turn of its own
constexpr Millis kClockOff = 1;   // two clocks are read one after the other
constexpr std::size_t kOwnMost = 32;
constexpr std::size_t kOwnLeast =
    14;  // three streams, epoll, signals, the listener, the journal and its rewrite,
         // a thread's, discovery, the platform, one that is being accepted, and two
constexpr std::size_t kSocketsLeast = 2 * kOwnLeast;
constexpr std::size_t kProbesOf = 8;  // a part of the connections to endpoints, at the least

const char* nameOf(int state) {
  constexpr const char* kNames[] = {"recovering",         "serving", "draining", "finishing",
                                    "awaiting_responses", "ended"};
  return kNames[state];
}

sockaddr_in needAddress(const std::string& text, const char* what) {
  auto address = parseAddress(text);
  if (!address) throw ConfigError(std::string("'") + what + "' is not an address: '" + text + "'");
  return *address;
}

}  // namespace

DispatcherConfig readConfig(std::string_view text, const std::function<std::string(const char*)>& get,
                            std::string_view operatorText) {
  json file = json::parse(text, nullptr, false);
  if (file.is_discarded() || !file.is_object()) throw ConfigError("the configuration is not a JSON object");
  if (!operatorText.empty()) {
    json added;
    try {
      added = json::parse(operatorText, nullptr, true, true);  // comments are welcome there
    } catch (const json::parse_error& problem) {
      throw ConfigError(std::string("the operator's file is not JSON: ") + problem.what());
    }
    if (!added.is_object()) throw ConfigError("the operator's file must hold one JSON object");
    for (const auto& [key, value] : added.items()) {
      if (key != "journal" && key != "rooms")
        throw ConfigError("the operator's file has '" + key + "'; it may hold journal, rooms");
      file[key] = value;
    }
  }
  DispatcherConfig orders;
  try {
    auto either = [&](const char* key, const char* variable) {
      std::string value = file.value(key, get(variable));
      if (value.empty())
        throw ConfigError(std::string("neither '") + key + "' nor " + variable + " is given");
      return value;
    };
    orders.name = file.value("name", get("EDGE_NAME"));
    orders.listen = either("listen", "EDGE_LISTEN");
    orders.discovery = either("discovery", "EDGE_DISCOVERY");
    orders.state = either("state", "EDGE_STATE");
    std::string seed = file.value("seed", "0");
    auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), orders.seed, 16);
    if (error != std::errc() || end != seed.data() + seed.size())
      throw ConfigError("'seed' is not hexadecimal");
    const json limits = file.value("limits", json::object());
    orders.sockets = limits.value("sockets", std::size_t{1024});
    orders.diskBytes = static_cast<std::size_t>(limits.value("disk_mb", 3.0) * kBytesPerMegabyte);
    orders.memoryBytes = static_cast<std::size_t>(limits.value("memory_mb", 128.0) * kBytesPerMegabyte);
    const json journal = file.value("journal", json::object());
    if (!journal.is_object())
      throw ConfigError("'journal' must be an object, such as {\"writer\": \"aside\"}");
    std::string writer = journal.value("writer", "loop");
    if (writer != "loop" && writer != "aside")
      throw ConfigError("'journal.writer' is '" + writer + "'; it must be \"loop\" or \"aside\"");
    orders.usesWriterThread = writer == "aside";
    if (file.contains("rooms")) orders.zoneFailover = file["rooms"].dump();
    if (!file.contains("settings")) throw ConfigError("the configuration lacks 'settings'");
    orders.settings = file["settings"].dump();
    if (file.contains("known")) orders.known = file["known"].dump();
  } catch (const json::exception& problem) {
    throw ConfigError(problem.what());
  }
  return orders;
}

namespace {

sigset_t ourSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

}  // namespace

void blockSignals() {
  ::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may go away
  ::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is an error to answer, not an end
  sigset_t set = ourSignals();
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
}

// SIGTERM and SIGINT ask for the end, SIGHUP for the configuration to be read anew: events of the loop.
class Dispatcher::SignalHandler : public EventHandler {
 public:
  SignalHandler(EventLoop& loop, bool& end, bool& reread) : loop_(loop), end_(end), reread_(reread) {
    blockSignals();
    sigset_t set = ourSignals();
    fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
    if (!loop_.watch(fd_, *this)) throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  ~SignalHandler() override {
    loop_.unwatch(fd_);
    ::close(fd_);
  }
  void onEvents(std::uint32_t) override {
    signalfd_siginfo info;
    while (::read(fd_, &info, sizeof info) == sizeof info) {
      (info.ssi_signo == static_cast<std::uint32_t>(SIGHUP) ? reread_ : end_) = true;
    }
  }

 private:
  EventLoop& loop_;
  bool& end_;
  bool& reread_;
  int fd_;
};

// Wakes the loop when a write of the journal that it did not wait for is done.
class Dispatcher::JournalCompletion : public EventHandler {
 public:
  JournalCompletion(EventLoop& loop, int fd) : loop_(loop), fd_(fd) {
    if (!loop_.watch(fd_, *this)) throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  ~JournalCompletion() override { loop_.unwatch(fd_); }
  void onEvents(std::uint32_t) override {
    std::uint64_t times = 0;
    (void)!::read(fd_, &times, sizeof times);
  }

 private:
  EventLoop& loop_;
  int fd_;
};

namespace {

AdmissionSettings admissionTerms(const DeploymentSettings& terms) {
  AdmissionSettings t;
  t.maxInFlight = terms.maxInFlight;
  t.mayAdviseRetryAfter = terms.mayAdviseRetryAfter;
  t.maxRetryAfter = terms.maxRetryAfter;
  t.maxPriorityWeight = 0;
  for (const TrafficType& type : terms.types)
    t.maxPriorityWeight = std::max(t.maxPriorityWeight, type.priorityWeight);
  t.overQuotaWeightShare = terms.overQuotaWeightShare;
  return t;
}

}  // namespace

// Slots beyond a quarter of the descriptors take more, up to half of what is left beside our own.
DescriptorBudget descriptorBudget(std::size_t sockets, int slots) {
  if (sockets < kSocketsLeast)
    throw ConfigError("'limits.sockets' is " + std::to_string(sockets) + "; it must be at least " +
                      std::to_string(kSocketsLeast));
  DescriptorBudget d;
  d.own = std::clamp(sockets / 2, kOwnLeast, kOwnMost);
  std::size_t rest = sockets - d.own;
  auto wanted = static_cast<std::size_t>(std::max(1, slots));
  d.endpointConnections =
      std::clamp(wanted + wanted / (kProbesOf - 1) + 1, sockets / 4, std::max(sockets / 4, rest / 2));
  d.clients = rest - d.endpointConnections;
  std::size_t held =
      std::min(wanted, d.endpointConnections - std::max<std::size_t>(1, d.endpointConnections / kProbesOf));
  d.maxConcurrentRequests = static_cast<int>(held);
  d.healthChecks = d.endpointConnections - held;
  return d;
}

namespace {

// Danger: a process that may hold fewer than its configuration says would find out when clients have taken
// all.
DispatcherConfig withinLimits(DispatcherConfig orders) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= orders.sockets) return orders;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, orders.sockets);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= orders.sockets) return orders;
  log::warn("descriptors.limited", {{"configured", orders.sockets}, {"allowed", limit.rlim_cur}});
  orders.sockets = limit.rlim_cur;
  return orders;
}

DeploymentSettings within(DeploymentSettings terms, const DescriptorBudget& descriptors) {
  terms.maxConcurrentRequests = descriptors.maxConcurrentRequests;
  return terms;
}

}  // namespace

DeploymentSettings deploymentSettings(const DispatcherConfig& orders) {
  DeploymentSettings terms = readDeploymentSettings(orders.settings);
  terms.zoneFailover = readZoneFailoverSettings(orders.zoneFailover, readNameTables(orders.settings).zones);
  return terms;
}

Dispatcher::Dispatcher(const DispatcherConfig& orders, std::function<DispatcherConfig()> reread)
    : config_(withinLimits(orders)),
      reread_(std::move(reread)),
      settings_(deploymentSettings(config_)),
      descriptors_(descriptorBudget(config_.sockets, settings_.maxConcurrentRequests)),
      names_(readNameTables(orders.settings)),
      policy_(within(settings_, descriptors_), orders.seed),
      admission_(admissionTerms(settings_), orders.seed + 1),
      store_(names_, orders.state, orders.diskBytes, orders.usesWriterThread),
      discovery_(loop_, policy_, names_, needAddress(orders.discovery, "discovery"), orders.discovery,
                 orders.seed + 2),
      sender_(loop_, policy_, store_, discovery_, settings_, names_, descriptors_.endpointConnections,
              descriptors_.healthChecks),
      notifier_(loop_, store_, needAddress(orders.discovery, "discovery"), orders.discovery),
      server_(loop_, descriptors_.clients, orders.memoryBytes / kMemoryForHalves,
              [this](const auto& words, bool left) { return answer(words, left); }),
      signals_(std::make_unique<SignalHandler>(loop_, endWanted_, rereadWanted_)) {
  needAddress(orders.listen, "listen");
  loop_.onDescriptorExhaustion([this] { return server_.closeIdlestClient(); });
  if (store_.descriptor() >= 0)
    journalCompletion_ = std::make_unique<JournalCompletion>(loop_, store_.descriptor());
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::enter(State state) {
  state_ = state;
  log::info("lifecycle.changed", {{"name", config_.name},
                                  {"state", nameOf(static_cast<int>(state))},
                                  {"in_flight", store_.inFlight().size()},
                                  {"pending_notifications", store_.pendingNotifications().size()}});
}

// Danger: a wall clock that was set back between two processes makes an attempt of the first lie in the
// future, and the window of its repeat open for as much longer. When it was is not known then: its window
// passes for over.
void Dispatcher::recover() {
  policy_.beginRound(loop_.now());
  if (!config_.known.empty()) {
    try {
      discovery_.applyAnswer(json::parse(config_.known));
    } catch (const Error& problem) {
      log::error("discovery.unreadable", {{"why", problem.what()}, {"kept", discovery_.count()}});
    }
  }
  if (std::size_t cut = store_.restore(); cut > 0) log::warn("journal.truncated", {{"bytes", cut}});
  Millis toSteady = loop_.now() - wallNow();
  discovery_.addRecoveredEndpoints(store_.inFlight());
  for (const auto& [id, held] : store_.inFlight()) {
    policy_.acceptMessage(id, held.type, held.tenant, held.orderingKey, held.destination,
                          held.deadlineWall + toSteady);
    log::debug("message.recovered", {{"message", held.reference},
                                     {"attempts", held.attempts.size()},
                                     {"left_ms", held.deadlineWall + toSteady - loop_.now()}});
    for (const AttemptRecord& launch : held.attempts) {
      Millis sent = launch.sentWall + toSteady;
      if (sent > loop_.now() + kClockOff) sent = 0;
      policy_.recordEarlierAttempt(id, discovery_.idOf(launch.endpoint.name), sent,
                                   launch.provablyNotExecuted);
    }
  }
}

void Dispatcher::run() {
  enter(State::recovering);
  recover();
  server_.listen(needAddress(config_.listen, "listen"));
  enter(State::serving);
  worked_ = ownWork();  // up to the last turn's end; sleep costs nothing
  while (state_ != State::ended) {
    loop_.wait(due());
    policy_.beginRound(loop_.now());
    if (wakeAt_ >= 0 && loop_.now() >= wakeAt_) {
      wakeAt_ = -1;
      policy_.recordTimerFired();
    }
    Millis began = steadyNow();
    began_ = began;
    loop_.dispatch();
    Millis dispatched = steadyNow();
    if (std::exchange(rereadWanted_, false)) reloadConfig();
    sender_.onTick();
    discovery_.onTick();
    server_.onTick();
    advanceLifecycle();
    // Many answers do not wait for the decisions; a few share one write of the journal with their attempts.
    if (server_.clientsWithReplies() >= kManyAnswers || store_.isCommitting()) commitJournal();
    // What is decided while a write hangs could not be acted on, and would be decided on what is old by then.
    if (state_ < State::awaitingResponses && !store_.isCommitting()) decide();
    commitJournal();
    Millis decided = steadyNow();
    if (!store_.isCommitting()) notifier_.onTick();
    for (; overBefore_ < store_.finishedCount(); ++overBefore_) admission_.recordFinished(loop_.now());
    Millis before = std::exchange(worked_, ownWork());
    admission_.recordTurn(loop_.now(), worked_ - before);
    logZoneHealth();
    logSlowTurn(dispatched - began, decided - dispatched, steadyNow() - began);
  }
}

// Danger: a process that was stopped in the middle of a turn is not slow; it has much to read, and turning
// that away would cost what could still be delivered. So its own processor time counts, and what writing
// took.
Millis Dispatcher::ownWork() const {
  timespec spent{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<Millis>(spent.tv_sec) * 1000 + static_cast<Millis>(spent.tv_nsec) / 1e6 +
         store_.writingTime();
}

// Its own processor time is asked for only in a turn that has lasted a while: that costs a call of the
// system's.
Millis Dispatcher::workedThisTurn() const {
  return steadyNow() - began_ < kTurnNoticed ? 0 : ownWork() - worked_;
}

// What is believed of rooms, as it changes.
void Dispatcher::logZoneHealth() {
  const ZoneFailover& rooms = policy_.state().zones;
  if (!rooms.isEnabled()) return;
  roomsTold_.resize(names_.zones.size());
  for (std::size_t n = 0; n < roomsTold_.size(); ++n) {
    ZoneId zone{static_cast<std::uint8_t>(n)};
    int now = rooms.isLost(zone) ? 1 : rooms.isRamping(loop_.now(), zone) ? 2 : 0;
    if (std::exchange(roomsTold_[n], now) == now) continue;
    if (now == 1) log::warn("zone.lost", {{"zone", names_.zones[n]}});
    if (now == 2)
      log::warn("zone.recovering", {{"zone", names_.zones[n]},
                                    {"attempts_per_s", rooms.rampAttemptsPerSecond(loop_.now(), zone)}});
    if (now == 0) log::info("zone.healthy", {{"zone", names_.zones[n]}});
  }
}

// A turn that took too long is told with its parts, at once the first time and then every few seconds.
void Dispatcher::logSlowTurn(Millis dispatched, Millis decided, Millis whole) {
  if (whole < kSlowTurn) return;
  ++slowTurns_;
  if (loop_.now() < slowTold_ + kSlowTold) return;
  slowTold_ = loop_.now();
  log::warn("event_loop.slow", {{"turn_ms", whole},
                                {"reading_ms", dispatched},
                                {"deciding_ms", decided},
                                {"rest_ms", whole - dispatched - decided},
                                {"turns", std::exchange(slowTurns_, 0)},
                                {"in_flight", store_.inFlight().size()},
                                {"clients", server_.clientCount()}});
}

// Discovery and the platform may have moved. The old address closes what is open there, and what it no longer
// tells counts as told all the same, so the new one is asked at once. The rest is for the next start.
void Dispatcher::reloadConfig() {
  if (!reread_) return;
  try {
    DispatcherConfig orders = reread_();
    sockaddr_in discovery = needAddress(orders.discovery, "discovery");
    if (orders.listen != config_.listen || orders.state != config_.state ||
        orders.settings != config_.settings || orders.zoneFailover != config_.zoneFailover ||
        orders.usesWriterThread != config_.usesWriterThread) {
      log::warn("configuration.partly_applied", {{"applied", "discovery"}, {"rest", "at the next start"}});
    }
    if (orders.discovery == config_.discovery) return;
    config_.discovery = orders.discovery;
    discovery_.changeAddress(discovery, orders.discovery);
    notifier_.changeAddress(discovery, orders.discovery);
    log::info("discovery.address_changed", {{"address", orders.discovery}});
  } catch (const std::exception& problem) {
    log::error("configuration.rejected", {{"why", problem.what()}, {"kept", "the old one"}});
  }
}

void Dispatcher::advanceLifecycle() {
  if (endWanted_ && state_ == State::serving) {
    toldToEnd_ = loop_.now();
    enter(State::draining);
  }
  if (state_ < State::draining) return;
  Millis since = loop_.now() - toldToEnd_;
  if (state_ == State::draining && since >= kAcceptFor) {
    server_.stopListening();
    enter(State::finishing);  // what is read from here on is refused
    server_.drain();
  }
  if (state_ == State::finishing && since >= kLaunchFor) enter(State::awaitingResponses);
  bool done = store_.inFlight().empty() && notifier_.idle() && server_.clientCount() == 0;
  bool nothingOut = state_ == State::awaitingResponses && sender_.idle() && notifier_.idle();
  if (state_ >= State::finishing && (done || nothingOut || since >= kAnswersFor)) enter(State::ended);
}

Millis Dispatcher::due() const {
  if (moreToDecide_ && state_ < State::awaitingResponses && !store_.isCommitting()) return loop_.now();
  Millis due = std::min({sender_.due(), discovery_.due(), server_.due()});
  if (!store_.isCommitting()) due = std::min(due, notifier_.due());
  if (hangsSince_ >= 0 && !hangTold_) due = std::min(due, hangsSince_ + kSlowTurn);
  if (wakeAt_ >= 0 && state_ < State::awaitingResponses && !store_.isCommitting())
    due = std::min(due, wakeAt_);
  if (state_ == State::draining) due = std::min(due, toldToEnd_ + kAcceptFor);
  if (state_ == State::finishing) due = std::min(due, toldToEnd_ + kLaunchFor);
  if (state_ == State::awaitingResponses) due = std::min(due, toldToEnd_ + kAnswersFor);
  return due;
}

RespServer::CommandReply Dispatcher::answer(const std::vector<std::string_view>& words, bool left) {
  if (words[0] == "PING")
    return words.size() == 1 ? RespServer::CommandReply{"+PONG\r\n"}
                             : throw ProtocolError("PING takes no more words");
  if (words[0] == "SUBMIT") return submit(words, left);
  throw ProtocolError("unknown command");
}

std::string Dispatcher::busyReply(Millis wait) {
  if (wait <= 0) return "-BUSY\r\n";
  return "-BUSY " + std::to_string(static_cast<std::int64_t>(std::ceil(wait))) + "\r\n";
}

RespServer::CommandReply Dispatcher::submit(const std::vector<std::string_view>& words, bool left) {
  if (words.size() != 5) throw ProtocolError("SUBMIT takes key, id, list and body");
  Millis wall = std::floor(wallNow());  // whole, so that equal spans stay equal
  StoredMessage held = store_.decode(words[1], words[2], words[3], words[4], wall);
  if (store_.contains(held.reference))
    return {"+OK\r\n", store_.idOf(held.reference)};  // submitted again, its first answer lost
  if (!discovery_.knows(held.destination)) {
    // Before discovery has said anything, ours may just be an old list.
    if (!discovery_.hasAnswered()) return {"-BUSY\r\n"};
    throw ProtocolError("unknown dest");
  }
  // Refused unseen, which is harmless: out of places, on the way out, or the client has not waited for us and
  // hands it in elsewhere; accepted too, it would be delivered for nothing.
  if (left || state_ > State::draining) return {"-BUSY\r\n"};
  AdmissionInputs facts{loop_.now(), policy_.state().messagesInFlight, store_.fillShare(),
                        hangsSince_ < 0 ? 0 : loop_.now() - hangsSince_, workedThisTurn()};
  AdmissionDecision call = admission_.decide(facts, settings_.types.at(held.type.value).priorityWeight,
                                             policy_.isOverQuota(held.tenant));
  if (!call.accepted) return {busyReply(call.retryAfter)};
  held.deadlineWall -= loop_.heldUpFor();  // its time counts from when the client sent it
  Millis outer = loop_.now() + (held.deadlineWall - wall);
  TrafficTypeId type = held.type;
  TenantId tenant = held.tenant;
  OrderingKey key = held.orderingKey;
  DestinationId destination = held.destination;
  auto id = store_.accept(std::move(held));
  if (!id) return {busyReply(admission_.recordRejection(loop_.now()))};
  policy_.acceptMessage(*id, type, tenant, key, destination, outer);
  log::debug("message.accepted", {{"message", words[2]},
                                  {"type", names_.trafficTypes[type.value]},
                                  {"destination", destination.value},
                                  {"left_ms", outer - loop_.now()}});
  return {"+OK\r\n", *id};
}

// Danger: thousands of messages end at once, where a destination goes or a restart finds much held. Decided
// in one go they would keep clients and endpoints waiting that have nothing to do with them.
void Dispatcher::decide() {
  Millis until = steadyNow() + kDecideMost;
  moreToDecide_ = false;
  for (int n = 1; auto decision = policy_.nextDecision(); ++n) {
    execute(*decision);
    if (n % kDecideLook != 0 || steadyNow() < until) continue;
    moreToDecide_ = true;
    break;
  }
  sender_.recordBatches();
}

// What changed is written, and only then acted on towards clients and endpoints. Where a thread writes, a
// folder that hangs keeps that waiting; the loop goes on with what needs no record.
void Dispatcher::commitJournal() {
  if (store_.isCommitting()) {
    if (!store_.finishCommit(0)) return reportHungWrite();
    if (hangTold_) log::warn("journal.write_recovered", {{"for_ms", loop_.now() - hangsSince_}});
    hangTold_ = false;
    hangsSince_ = -1;
    if (store_.lastCommitHeldRecords()) executeDecisions();
  }
  do {
    store_.beginCommit();
    if (!store_.finishCommit(kWriteWait)) return reportHungWrite();
  } while (store_.hasUncommitted());
  executeDecisions();
}

void Dispatcher::executeDecisions() {
  for (MessageId id : store_.lostAcceptances()) {
    log::debug("message.not_journaled", {{"message", id.value}});
    policy_.cancelMessage(id);  // its attempt, if there is one, is not sent either
  }
  // Danger: a write that hung in the loop, or long decisions, have made the turn old. What goes out counts
  // from now.
  if (loop_.refreshTime(kWriteWait)) policy_.beginRound(loop_.now());
  sender_.sendBatches();
  server_.sendReplies([this](MessageId id) { return store_.isDecided(id); },
                      [this](MessageId id) -> std::optional<std::string> {
                        if (!store_.isLostAcceptance(id)) {
                          if (const StoredMessage* held = store_.find(id))
                            log::debug("message.acknowledged", {{"message", held->reference}});
                          return std::nullopt;
                        }
                        return busyReply(admission_.recordRejection(loop_.now()));
                      });
  store_.clearLost();
}

// A write is under way for long: refusals and errors need no record, and go out.
void Dispatcher::reportHungWrite() {
  if (hangsSince_ < 0) hangsSince_ = loop_.now();
  if (!hangTold_ && loop_.now() >= hangsSince_ + kSlowTurn) {
    hangTold_ = true;
    log::warn("journal.write_hanging",
              {{"for_ms", loop_.now() - hangsSince_}, {"in_flight", store_.inFlight().size()}});
  }
  server_.sendReplies([this](MessageId id) { return store_.isDecided(id) && !store_.isLostAcceptance(id); },
                      [](MessageId) { return std::nullopt; });
}

void Dispatcher::logFinished(MessageId id, const char* result, Millis wait) {
  const StoredMessage* held = store_.find(id);
  if (held == nullptr) return;
  log::debug("message.finished", {{"message", held->reference},
                                  {"result", result},
                                  {"destination", held->destination.value},
                                  {"attempts", held->attempts.size()},
                                  {"retry_after_ms", wait}});
}

void Dispatcher::execute(const Decision& decision) {
  std::visit(Overloaded{
                 [this](const SendAttempt& d) { sender_.sendAttempt(d); },
                 [this](const CancelAttempt& d) { sender_.cancelAttempt(d); },
                 [this](const ShedMessage& d) {
                   logFinished(d.message, "shed", d.retryAfter);
                   store_.addPendingNotification(d.message, FinalOutcome::shed, d.retryAfter);
                 },
                 [this](const FailMessage& d) {
                   logFinished(d.message, "failed", 0);
                   store_.addPendingNotification(d.message, FinalOutcome::failed, 0);
                 },
                 [this](const SendHealthCheck& d) { sender_.sendHealthCheck(d.endpoint); },
                 [this](const CloseIdleConnection& d) { sender_.closeIdleConnection(d.endpoint); },
                 [this](const SetTimer& d) { wakeAt_ = d.at; },
             },
             decision);
}

}  // namespace stonewing
