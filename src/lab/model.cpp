#include "lab/model.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/overloaded.h"
#include "lab/arrival_model.h"
#include "lab/endpoint_model.h"
#include "lab/lab_policy.h"

namespace stonewing::lab {
namespace {

constexpr Millis kLeaveAfter = 3500;  // a dispatcher told to end is gone by then
constexpr Millis kAcceptFor = 500;    // and takes messages for so long
constexpr Millis kListFirst = 0;

enum class Kind : std::uint8_t {
  clientsDue,
  handIn,
  clientHears,
  patience,
  wake,
  connected,
  connectFailed,
  callArrives,
  townDue,
  replyArrives,
  timeout,
  abandon,
  noticed,
  probeArrives,
  probeReply,
  told,
  trouble,
  troubleOver,
  start,
  gone,
  idleCheck,
};

struct Step {
  Millis at{};
  std::uint64_t turn{};
  Kind kind{};
  std::uint32_t a{};
  std::uint32_t b{};
  std::int32_t c{};
  Millis x{};
  bool operator>(const Step& o) const { return std::tie(at, turn) > std::tie(o.at, o.turn); }
};

struct Member {
  std::uint32_t callback{};
  int launch{};
  bool told{false};
};

struct Call {
  std::uint16_t dispatcher{};
  std::uint32_t endpoint{};
  std::uint32_t life{};
  std::vector<Member> members;
  Millis sent{};
  bool begun{false};   // its bytes are on their way, or there
  bool closed{false};  // from the dispatcher's side
  bool arrived{false};
  bool replied{false};
};

struct SentBefore {
  std::uint32_t endpoint{};
  Millis at{};
  bool neverRan{false};
};

// What the journal of a dispatcher holds of a message.
struct Held {
  Millis outer{};
  std::vector<SentBefore> launches;
};

struct Dispatcher {
  std::unique_ptr<Policy> policy;
  bool up{false};
  bool stopped{false};
  bool leaving{false};
  Millis leavingSince{0};
  bool diskFull{false};
  bool diskHangs{false};  // and its journal is written aside, so that it goes on without it
  std::uint32_t life{0};
  Millis wakeAt{-1};
  std::vector<Step> whileStopped;
  std::map<std::uint32_t, Held> held;
  std::unordered_map<std::uint32_t, std::vector<Millis>> idle;  // connections: since when
};

MessageId idOf(std::uint32_t callback) { return MessageId{callback + 1}; }
EndpointId endpointIdOf(std::uint32_t endpoint) { return EndpointId{std::uint64_t{endpoint} + 1}; }

class Model {
 public:
  Model(const Experiment& experiment, std::uint64_t seed, std::string policy, const Sabotage& sabotage)
      : experiment_(experiment),
        seed_(seed),
        policyName_(std::move(policy)),
        sabotage_(sabotage),
        arrivalModel_(experiment, seed, trace_),
        endpointModel_(experiment, seed ^ 0x5bd1e995u, trace_),
        dispatchers_(static_cast<std::size_t>(experiment.fleet.dispatchers)),
        phases_(static_cast<std::size_t>(experiment.endpointCount()), EndpointState::ready) {}

  Trace play(ModelCost* cost) {
    for (std::uint32_t d = 0; d < dispatchers_.size(); ++d) begin(d);
    for (std::size_t n = 0; n < experiment_.faults.size(); ++n) {
      at(experiment_.faults[n].from, Kind::trouble, static_cast<std::uint32_t>(n));
      at(experiment_.faults[n].until, Kind::troubleOver, static_cast<std::uint32_t>(n));
    }
    clientsNext();
    Millis end = experiment_.end();
    while (!steps_.empty() && steps_.top().at <= end) {
      Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      ++cost_.steps;
      carry(step);
    }
    if (cost != nullptr) *cost = cost_;
    return std::move(trace_);
  }

 private:
  void at(Millis when, Kind kind, std::uint32_t a = 0, std::uint32_t b = 0, std::int32_t c = 0,
          Millis x = 0) {
    steps_.push({when, turn_++, kind, a, b, c, x});
  }
  void note(Event e) {
    e.at = now_;
    trace_.events.push_back(e);
  }

  Millis oneWay(std::uint32_t d, std::uint32_t endpoint) const {
    int rooms = static_cast<int>(experiment_.environment.zones.size());
    bool near = static_cast<int>(d) % rooms == experiment_.zoneOf(static_cast<int>(endpoint));
    return near ? experiment_.environment.nearOneWay : experiment_.environment.farOneWay;
  }

  void clientsNext() {
    auto due = arrivalModel_.due();
    if (due && (clientsAt_ < 0 || *due < clientsAt_)) at(clientsAt_ = std::max(*due, now_), Kind::clientsDue);
  }

  // The dispatcher a step belongs to; none for the others.
  std::optional<std::uint32_t> belongsTo(const Step& s) const {
    switch (s.kind) {
      case Kind::handIn:
      case Kind::probeReply:
      case Kind::wake:
      case Kind::told:
      case Kind::idleCheck:
        return s.a;
      case Kind::connected:
      case Kind::connectFailed:
      case Kind::replyArrives:
      case Kind::timeout: {
        auto call = calls_.find(s.a);
        if (call == calls_.end()) return std::nullopt;
        return call->second.dispatcher;
      }
      default:
        return std::nullopt;
    }
  }

  void carry(const Step& s) {
    if (auto d = belongsTo(s); d && dispatchers_[*d].stopped) {
      dispatchers_[*d].whileStopped.push_back(s);
      return;
    }
    switch (s.kind) {
      case Kind::clientsDue:
        clientsAt_ = -1;
        while (auto callback = arrivalModel_.nextDue(now_)) deal(*callback, turns_++ % dispatchers_.size());
        return clientsNext();
      case Kind::handIn:
        return handedIn(s.a, s.b);
      case Kind::clientHears:
        return clientHears(s.a, static_cast<What>(s.b), s.x);
      case Kind::patience:
        return patienceEnds(s.a);
      case Kind::wake:
        return woken(s.a, s.x);
      case Kind::connected:
        return connected(s.a);
      case Kind::connectFailed:
        return ended(s.a, AttemptOutcome::connectFailed, 0, false);
      case Kind::callArrives:
        return callArrives(s.a);
      case Kind::townDue:
        townAt_[s.a] = -1;
        for (const EndpointResponse& r : endpointModel_.advance(now_, s.a)) replied(r);
        return townNext(s.a);
      case Kind::replyArrives:
        return replyArrives(s.a, static_cast<ResponseKind>(s.c), s.x);
      case Kind::timeout:
        return timedOut(s.a, s.b);
      case Kind::abandon:
        return abandoned(s.a);
      case Kind::noticed:
        return noticed(s.a, s.c, s.x);
      case Kind::probeArrives:
        return probeArrives(s.a, s.b, static_cast<std::uint32_t>(s.c));
      case Kind::probeReply:
        return probeReply(s.a, s.b, s.c, s.x);
      case Kind::told:
        return told(s.a, s.b, static_cast<EndpointState>(s.c));
      case Kind::trouble:
        return trouble(experiment_.faults[s.a], true);
      case Kind::troubleOver:
        return trouble(experiment_.faults[s.a], false);
      case Kind::start:
        return begin(s.a);
      case Kind::gone:
        return gone(s.a, s.b);
      case Kind::idleCheck:
        return idleCheck(s.a, s.b);
    }
  }

  // ---- clients ----

  // A front deals the connections out; one that refuses is passed over.
  void deal(std::uint32_t callback, std::size_t first) {
    for (std::size_t n = 0; n < dispatchers_.size(); ++n) {
      auto d = static_cast<std::uint32_t>((first + n) % dispatchers_.size());
      const Dispatcher& to = dispatchers_[d];
      if (!to.up || (to.leaving && now_ - to.leavingSince > kAcceptFor)) continue;
      if (pending_.size() <= callback) pending_.resize(callback + 1);
      pending_[callback] = true;
      note({.what = What::handedIn,
            .callback = callback,
            .dispatcher = static_cast<std::uint16_t>(d),
            .span = arrivalModel_.timeLeft(callback, now_)});
      at(now_ + experiment_.environment.nearOneWay, Kind::handIn, d, callback);
      at(now_ + ArrivalModel::kClientTimeout, Kind::patience, callback);
      return;
    }
    arrivalModel_.recordRejection(now_, callback, 0);
    clientsNext();
  }

  void patienceEnds(std::uint32_t callback) {
    if (!pending_[callback]) return;
    pending_[callback] = false;
    note({.what = What::unanswered, .callback = callback});
    arrivalModel_.recordTimeout(now_, callback);
    clientsNext();
  }

  void clientHears(std::uint32_t callback, What answer, Millis wait) {
    if (!pending_[callback]) return;
    pending_[callback] = false;
    note({.what = answer, .callback = callback, .span = wait});
    if (answer == What::busy) arrivalModel_.recordRejection(now_, callback, wait);
    clientsNext();
  }

  void handedIn(std::uint32_t d, std::uint32_t callback) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up) return;  // the client's patience ends it
    bool left = !pending_[callback];
    bool full = to.diskFull || to.diskHangs || left || to.policy->held() >= experiment_.fleet.maxInFlight;
    at(now_ + experiment_.environment.nearOneWay, Kind::clientHears, callback,
       static_cast<std::uint32_t>(full ? What::busy : What::taken));
    if (full) return;
    const Handed& c = trace_.callbacks[callback];
    Millis outer = c.due + experiment_.types[c.type].settings.deadlineAfter;
    to.held[callback] = {outer, {}};
    if (sabotage_.forgetsCallbacks && callback % 20 == 0) return;
    round(d, [&](Policy& p) {
      p.taken(idOf(callback), TrafficTypeId{c.type}, TenantId{c.tenant}, OrderingKey{c.key},
              DestinationId{c.destination}, outer);
    });
  }

  // ---- dispatchers ----

  template <class Input>
  void round(std::uint32_t d, Input input) {
    Policy& policy = *dispatchers_[d].policy;
    policy.roundBegins(now_);
    input(policy);
    if (dispatchers_[d].diskHangs) return;  // nothing could be noted
    std::map<int, std::vector<SendAttempt>> gathered;
    while (auto decision = policy.next()) {
      if (const auto* attempt = std::get_if<SendAttempt>(&*decision)) {
        gathered[policy.callOf(attempt->message, attempt->attempt)].push_back(*attempt);
      } else {
        carryOut(d, *decision);
      }
    }
    for (auto& [number, launches] : gathered) send(d, launches);
  }

  void carryOut(std::uint32_t d, const Decision& decision) {
    Dispatcher& from = dispatchers_[d];
    std::visit(Overloaded{
                   [](const SendAttempt&) {},  // gathered by request in round()
                   [&](const CancelAttempt& c) { withdraw(numberOf(c.message), c.attempt); },
                   [&](const ShedMessage& c) { tellEnd(from, c.message, 2, c.retryAfter); },
                   [&](const FailMessage& c) { tellEnd(from, c.message, 1, 0); },
                   [&](const SendHealthCheck& c) { probe(d, numberOf(c.endpoint)); },
                   [&](const CloseIdleConnection& c) { closeIdle(from, numberOf(c.endpoint)); },
                   [&](const SetTimer& c) {
                     from.wakeAt = c.at;
                     at(std::max(now_, c.at), Kind::wake, d, 0, 0, c.at);
                   },
               },
               decision);
  }

  static std::uint32_t numberOf(MessageId message) { return message.value - 1; }
  static std::uint32_t numberOf(EndpointId endpoint) {
    return static_cast<std::uint32_t>(endpoint.value - 1);
  }

  void tellEnd(Dispatcher& from, MessageId message, std::int32_t result, Millis wait) {
    from.held.erase(numberOf(message));
    at(now_ + experiment_.environment.nearOneWay, Kind::noticed, numberOf(message), 0, result, wait);
  }

  void probe(std::uint32_t d, std::uint32_t endpoint) {
    for (int n = 0; n < (sabotage_.pushesCold ? 10 : 1); ++n) {
      at(now_ + 3 * oneWay(d, known(endpoint)), Kind::probeArrives, d, endpoint,
         static_cast<std::int32_t>(dispatchers_[d].life));
    }
  }

  std::uint32_t known(std::uint32_t endpoint) const {
    return std::min(endpoint, static_cast<std::uint32_t>(experiment_.endpointCount() - 1));
  }

  void woken(std::uint32_t d, Millis asked) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.diskHangs || to.wakeAt != asked) return;
    to.wakeAt = -1;
    round(d, [](Policy& p) { p.woken(); });
  }

  Millis idleMost() const {
    return std::max(
        0.0, experiment_.environment.connectionIdleTimeout -
                 std::min(experiment_.environment.connectionIdleTimeout, experiment_.fleet.connectTimeout));
  }

  void closeIdle(Dispatcher& from, std::uint32_t endpoint) {
    auto pool = from.idle.find(endpoint);
    if (pool == from.idle.end()) return;
    for (std::size_t n = 0; n < pool->second.size(); ++n) endpointModel_.recordDisconnect(endpoint);
    from.idle.erase(pool);
  }

  void idleCheck(std::uint32_t d, std::uint32_t endpoint) {
    auto pool = dispatchers_[d].idle.find(endpoint);
    if (pool == dispatchers_[d].idle.end()) return;
    std::erase_if(pool->second, [&](Millis since) {
      bool old = now_ >= since + idleMost();
      if (old) endpointModel_.recordDisconnect(endpoint);
      return old;
    });
    if (pool->second.empty()) dispatchers_[d].idle.erase(pool);
  }

  void send(std::uint32_t d, const std::vector<SendAttempt>& launches) {
    Dispatcher& from = dispatchers_[d];
    std::uint32_t number = nextCall_++;
    Call& call = calls_[number];
    call.dispatcher = static_cast<std::uint16_t>(d);
    call.endpoint = static_cast<std::uint32_t>(launches.front().endpoint.value - 1);
    call.life = from.life;
    call.sent = now_;
    Millis idle = 0;
    bool kept = false;
    if (auto pool = from.idle.find(call.endpoint); pool != from.idle.end() && !pool->second.empty()) {
      idle = std::max(0.001, now_ - pool->second.back());
      pool->second.pop_back();
      kept = true;
    }
    for (const SendAttempt& l : launches) {
      std::uint32_t callback = l.message.value - 1;
      call.members.push_back({callback, l.attempt});
      from.held[callback].launches.push_back({call.endpoint, now_, false});
      from.policy->goesOutOn(l.message, l.attempt, idle);
      out_[place(callback, l.attempt)] = number;
      at(now_ + l.timeout, Kind::timeout, number, static_cast<std::uint32_t>(call.members.size() - 1));
      ++cost_.launches;
    }
    if (kept) {
      call.begun = true;
      at(now_ + oneWay(d, call.endpoint), Kind::callArrives, number);
      return;
    }
    auto connect = call.endpoint < static_cast<std::uint32_t>(experiment_.endpointCount())
                       ? endpointModel_.connect(now_, call.endpoint, call.dispatcher)
                       : EndpointModel::ConnectResult::refused;
    Millis there = 2 * oneWay(d, known(call.endpoint));
    if (connect == EndpointModel::ConnectResult::accepted)
      at(now_ + there + experiment_.environment.connectDelay, Kind::connected, number);
    if (connect == EndpointModel::ConnectResult::refused) at(now_ + there, Kind::connectFailed, number);
    if (connect == EndpointModel::ConnectResult::unanswered)
      at(now_ + experiment_.fleet.connectTimeout, Kind::connectFailed, number);
  }

  static std::uint64_t place(std::uint32_t callback, int launch) {
    return std::uint64_t{callback} << 16 | static_cast<std::uint64_t>(launch);
  }

  void connected(std::uint32_t number) {
    auto at = calls_.find(number);
    if (at == calls_.end() || at->second.closed) return;
    Call& call = at->second;
    if (endpointModel_.unreachable(call.endpoint, call.dispatcher))
      return this->at(now_ + experiment_.fleet.connectTimeout, Kind::connectFailed, number);
    if (endpointModel_.refusesConnections(call.endpoint))
      return ended(number, AttemptOutcome::connectFailed, 0, false);
    const Policy& policy = *dispatchers_[call.dispatcher].policy;
    bool may = std::any_of(call.members.begin(), call.members.end(), [&](const Member& m) {
      return !m.told && policy.mayBegin(idOf(m.callback), m.launch);
    });
    if (!may) {
      endpointModel_.recordDisconnect(call.endpoint);
      return ended(number, AttemptOutcome::notSent, 0, false);
    }
    call.begun = true;
    this->at(now_ + oneWay(call.dispatcher, call.endpoint), Kind::callArrives, number);
  }

  void callArrives(std::uint32_t number) {
    auto at = calls_.find(number);
    if (at == calls_.end()) return;
    Call& call = at->second;
    if (endpointModel_.unreachable(call.endpoint, call.dispatcher)) return;  // nothing comes through
    if (endpointModel_.refusesConnections(call.endpoint)) {  // it ended under the bytes on their way
      this->at(now_ + oneWay(call.dispatcher, call.endpoint), Kind::replyArrives, number, 0,
               static_cast<std::int32_t>(ResponseKind::connectionReset));
      return;
    }
    call.arrived = true;
    std::vector<std::uint32_t> callbacks;
    for (const Member& m : call.members) callbacks.push_back(m.callback);
    if (auto reply = endpointModel_.receiveRequest(now_, number, call.endpoint, call.dispatcher, callbacks))
      replied(*reply);
    townNext(call.endpoint);
  }

  void townNext(std::uint32_t endpoint) {
    Millis due = endpointModel_.due(endpoint);
    auto [asked, fresh] = townAt_.try_emplace(endpoint, -1);
    if (due < 0 || (asked->second >= 0 && asked->second <= due)) return;
    asked->second = due;
    at(std::max(due, now_), Kind::townDue, endpoint);
  }

  void replied(const EndpointResponse& r) {
    auto at = calls_.find(r.request);
    if (at == calls_.end()) return;
    Call& call = at->second;
    call.replied = true;
    if (r.kind == ResponseKind::none || endpointModel_.unreachable(call.endpoint, call.dispatcher)) return;
    for (const Member& m : call.members) {
      note({.what = What::replied,
            .callback = m.callback,
            .call = r.request,
            .endpoint = call.endpoint,
            .dispatcher = call.dispatcher,
            .status = static_cast<std::int16_t>(r.kind),
            .span = r.retryAfter,
            .ran = r.executed});
    }
    this->at(now_ + oneWay(call.dispatcher, call.endpoint), Kind::replyArrives, r.request, 0,
             static_cast<std::int32_t>(r.kind), r.retryAfter);
  }

  void replyArrives(std::uint32_t number, ResponseKind said, Millis wait) {
    auto at = calls_.find(number);
    if (at == calls_.end() || at->second.closed) return;
    Call& call = at->second;
    Dispatcher& to = dispatchers_[call.dispatcher];
    bool whole = said == ResponseKind::ok || said == ResponseKind::serverError ||
                 said == ResponseKind::tooManyRequests || said == ResponseKind::unavailable;
    if (to.life == call.life) {
      if (whole) {
        to.idle[call.endpoint].push_back(now_);
        this->at(now_ + idleMost(), Kind::idleCheck, call.dispatcher, call.endpoint);
      } else {
        endpointModel_.recordDisconnect(call.endpoint);
      }
    }
    AttemptOutcome ending = said == ResponseKind::ok                ? AttemptOutcome::completed
                            : said == ResponseKind::connectionReset ? AttemptOutcome::reset
                                                                    : AttemptOutcome::error;
    if (said == ResponseKind::tooManyRequests || said == ResponseKind::unavailable)
      ending = AttemptOutcome::rejected;
    if (said == ResponseKind::truncated && call.members.size() == 1)
      ending = AttemptOutcome::completed;  // its first line was true
    ended(number, ending, wait, true);
  }

  // Tells the policy how a call ended, for all in it that were not told yet.
  void ended(std::uint32_t number, AttemptOutcome ending, Millis wait, bool withReport) {
    auto at = calls_.find(number);
    if (at == calls_.end()) return;
    Call call = std::move(at->second);
    calls_.erase(at);
    Dispatcher& to = dispatchers_[call.dispatcher];
    bool alive = to.up && to.life == call.life;
    if (!alive) return;
    round(call.dispatcher, [&](Policy& p) {
      for (const Member& m : call.members) tell(p, call, m, ending, wait, withReport);
    });
  }

  void tell(Policy& p, const Call& call, const Member& m, AttemptOutcome ending, Millis wait,
            bool withReport) {
    Dispatcher& to = dispatchers_[call.dispatcher];
    out_.erase(place(m.callback, m.launch));
    auto held = to.held.find(m.callback);
    if (m.told) {
      // Given up on, and now it was delivered after all.
      if (ending == AttemptOutcome::completed && held != to.held.end()) {
        p.clientGone(idOf(m.callback));
        to.held.erase(held);
      }
      return;
    }
    bool mayHaveRun = ending != AttemptOutcome::rejected && ending != AttemptOutcome::connectFailed &&
                      ending != AttemptOutcome::notSent;
    if (sabotage_.repeatsEffects && mayHaveRun && ending != AttemptOutcome::completed)
      ending = AttemptOutcome::connectFailed;
    if (held != to.held.end() && !mayHaveRun) {
      held->second.launches.at(static_cast<std::size_t>(m.launch)).neverRan = true;
    }
    bool isOver = ending == AttemptOutcome::completed || held == to.held.end();
    LoadReport report;
    if (withReport && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, call.endpoint);
    p.launchEnded(idOf(m.callback), m.launch, ending, now_ - call.sent, isOver,
                  sabotage_.ignoresWaits ? 0 : wait, report);
    if (ending == AttemptOutcome::completed) to.held.erase(m.callback);
  }

  void timedOut(std::uint32_t number, std::uint32_t member) {
    auto at = calls_.find(number);
    if (at == calls_.end() || at->second.closed || at->second.members[member].told) return;
    Call& call = at->second;
    Dispatcher& to = dispatchers_[call.dispatcher];
    if (to.life != call.life) return;
    endMember(number, member, call.begun ? AttemptOutcome::timeout : AttemptOutcome::notSent);
  }

  void withdraw(std::uint32_t callback, int launch) {
    auto at = out_.find(place(callback, launch));
    if (at == out_.end()) return;
    auto call = calls_.find(at->second);
    if (call == calls_.end()) return;
    auto& members = call->second.members;
    for (std::uint32_t n = 0; n < members.size(); ++n) {
      if (members[n].callback != callback || members[n].launch != launch || members[n].told) continue;
      // Told in a step of its own: a policy is not called back inside its own decisions.
      withdrawn_.push_back({call->first, n});
      this->at(now_, Kind::timeout, call->first, n);
      return;
    }
  }

  void endMember(std::uint32_t number, std::uint32_t member, AttemptOutcome ending) {
    Call& call = calls_.at(number);
    auto asked = std::find(withdrawn_.begin(), withdrawn_.end(), std::pair{number, member});
    if (asked != withdrawn_.end()) {
      withdrawn_.erase(asked);
      if (call.begun) ending = AttemptOutcome::cancelled;
    }
    Member m = call.members[member];
    call.members[member].told = true;
    Call seen = call;
    bool all = std::all_of(call.members.begin(), call.members.end(), [](const Member& x) { return x.told; });
    if (all) close(number);
    round(seen.dispatcher, [&](Policy& p) { tell(p, seen, m, ending, 0, false); });
  }

  // The dispatcher closes the call's connection.
  void close(std::uint32_t number) {
    Call& call = calls_.at(number);
    call.closed = true;
    for (const Member& m : call.members) out_.erase(place(m.callback, m.launch));
    at(now_ + oneWay(call.dispatcher, known(call.endpoint)), Kind::abandon, number);
  }

  void abandoned(std::uint32_t number) {
    auto at = calls_.find(number);
    if (at == calls_.end()) return;
    Call call = std::move(at->second);
    calls_.erase(at);
    if (call.endpoint >= static_cast<std::uint32_t>(experiment_.endpointCount())) return;
    endpointModel_.recordDisconnect(call.endpoint);
    if (!call.arrived || endpointModel_.unreachable(call.endpoint, call.dispatcher)) return;
    bool ran = call.replied || endpointModel_.abandonRequest(now_, number, call.endpoint);
    townNext(call.endpoint);
    for (const Member& m : call.members) {
      note({.what = What::abandoned,
            .callback = m.callback,
            .call = number,
            .endpoint = call.endpoint,
            .dispatcher = call.dispatcher,
            .ran = ran});
    }
  }

  void noticed(std::uint32_t callback, int result, Millis wait) {
    note({.what = What::noticed,
          .callback = callback,
          .status = static_cast<std::int16_t>(result),
          .span = wait});
    if (result == 2) {
      arrivalModel_.recordRejection(now_, callback, wait);
      clientsNext();
    }
  }

  void probeArrives(std::uint32_t d, std::uint32_t endpoint, std::uint32_t life) {
    bool there = endpoint < static_cast<std::uint32_t>(experiment_.endpointCount()) &&
                 !endpointModel_.refusesConnections(endpoint);
    Millis back = oneWay(d, known(endpoint));
    if (there && !endpointModel_.unreachable(endpoint, d)) {
      int status = endpointModel_.answerHealthCheck(now_, endpoint, static_cast<std::uint16_t>(d));
      if (status != 0) return at(now_ + back, Kind::probeReply, d, endpoint, status, life);
    } else if (!there) {
      note({.what = What::refusedConnect, .endpoint = endpoint, .dispatcher = static_cast<std::uint16_t>(d)});
      return at(now_ + back, Kind::probeReply, d, endpoint, 0, life);
    }
    at(now_ + experiment_.fleet.connectTimeout, Kind::probeReply, d, endpoint, -1, life);
  }

  void probeReply(std::uint32_t d, std::uint32_t endpoint, int status, Millis life) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.life != static_cast<std::uint32_t>(life)) return;
    AttemptOutcome ending = status == 200   ? AttemptOutcome::completed
                            : status == 503 ? AttemptOutcome::rejected
                            : status == 0   ? AttemptOutcome::connectFailed
                                            : AttemptOutcome::timeout;
    LoadReport report;
    if (status == 200 && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, endpoint);
    round(d, [&](Policy& p) { p.probeEnded(endpointIdOf(endpoint), ending, report); });
  }

  // ---- troubles, lists, lives ----

  ListRow row(std::uint32_t endpoint) const {
    return {endpointIdOf(endpoint),
            DestinationId{static_cast<std::uint16_t>(experiment_.destinationOf(static_cast<int>(endpoint)))},
            ZoneId{static_cast<std::uint8_t>(experiment_.zoneOf(static_cast<int>(endpoint)))}, 1,
            phases_[endpoint]};
  }

  void begin(std::uint32_t d) {
    Dispatcher& to = dispatchers_[d];
    ++to.life;
    to.up = true;
    to.stopped = to.leaving = false;
    to.wakeAt = -1;
    to.policy = policyNamed(policyName_, experiment_.deploymentSettings(static_cast<int>(d)),
                            seed_ * 1000003 + d * 7919 + to.life);
    note({.what = What::up, .dispatcher = static_cast<std::uint16_t>(d)});
    std::vector<ListRow> rows;
    for (std::uint32_t e = 0; e < phases_.size(); ++e) rows.push_back(row(e));
    round(d, [&](Policy& p) {
      p.list(rows, true);
      for (const auto& [callback, held] : to.held) {
        const Handed& c = trace_.callbacks[callback];
        p.taken(idOf(callback), TrafficTypeId{c.type}, TenantId{c.tenant}, OrderingKey{c.key},
                DestinationId{c.destination}, held.outer);
        for (const SentBefore& l : held.launches) {
          p.launchedBefore(idOf(callback), endpointIdOf(l.endpoint), l.at, l.neverRan);
        }
      }
    });
    if (now_ == kListFirst) return;
    for (std::uint32_t e = 0; e < phases_.size(); ++e) {
      if (phases_[e] != EndpointState::ready) noteTold(d, e, phases_[e]);
    }
  }

  void noteTold(std::uint32_t d, std::uint32_t endpoint, EndpointState phase) {
    note({.what = What::told,
          .endpoint = endpoint,
          .dispatcher = static_cast<std::uint16_t>(d),
          .status = static_cast<std::int16_t>(phase)});
  }

  void told(std::uint32_t d, std::uint32_t endpoint, EndpointState phase) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up) return;
    noteTold(d, endpoint, phase);
    if (sabotage_.ignoresDrains) return;
    bool ghost = endpoint >= phases_.size();
    ListRow r = row(ghost ? endpoint - static_cast<std::uint32_t>(phases_.size()) : endpoint);
    r.id = endpointIdOf(endpoint);
    r.phase = phase;
    if (ghost) r.weight = 1e6;
    round(d, [&](Policy& p) { p.list({r}, false); });
  }

  // Discovery tells all dispatchers, now or late.
  void tellAll(std::uint32_t endpoint, EndpointState phase) {
    Millis when = std::max(now_ + experiment_.environment.nearOneWay + listLate_, listSilentUntil_);
    for (std::uint32_t d = 0; d < dispatchers_.size(); ++d) {
      at(when, Kind::told, d, endpoint, static_cast<std::int32_t>(phase));
    }
  }

  std::vector<std::uint32_t> struckDispatchers(const Fault& t) const {
    std::vector<std::uint32_t> found;
    for (int d : t.dispatchers) found.push_back(static_cast<std::uint32_t>(d));
    if (found.empty()) found.push_back(0);
    return found;
  }

  void trouble(const Fault& t, bool begins) {
    switch (t.kind) {
      case FaultKind::drain:
        for (int e : experiment_.affectedEndpoints(t)) {
          phases_[static_cast<std::size_t>(e)] = begins ? EndpointState::draining : EndpointState::ready;
          tellAll(static_cast<std::uint32_t>(e), phases_[static_cast<std::size_t>(e)]);
        }
        return;
      case FaultKind::discoveryDelayed:
        listLate_ = begins ? t.factor : 0;
        return;
      case FaultKind::discoveryUnresponsive:
        if (begins) listSilentUntil_ = t.until;
        return;
      case FaultKind::discoveryWrong:
        // One more endpoint for each destination struck, that nobody is at.
        for (int e : experiment_.affectedEndpoints(t)) {
          if (e % experiment_.environment.endpoints != 0) continue;
          tellAll(static_cast<std::uint32_t>(experiment_.endpointCount() + e),
                  begins ? EndpointState::ready : EndpointState::removed);
        }
        return;
      case FaultKind::kill:
        for (std::uint32_t d : struckDispatchers(t)) {
          if (begins) gone(d, dispatchers_[d].life);
          if (!begins && !dispatchers_[d].up) at(now_ + experiment_.fleet.restartDelay, Kind::start, d);
        }
        return;
      case FaultKind::terminate:
        for (std::uint32_t d : struckDispatchers(t)) {
          if (begins) {
            note({.what = What::down, .dispatcher = static_cast<std::uint16_t>(d), .status = 2});
            dispatchers_[d].leaving = true;
            dispatchers_[d].leavingSince = now_;
            at(now_ + kLeaveAfter, Kind::gone, d, dispatchers_[d].life);
          } else {
            at(std::max(now_, dispatchers_[d].leavingSince + kLeaveAfter) + experiment_.fleet.restartDelay,
               Kind::start, d);
          }
        }
        return;
      case FaultKind::diskHang:
        if (experiment_.fleet.separateJournalWriter) {
          for (std::uint32_t d : struckDispatchers(t)) {
            dispatchers_[d].diskHangs = begins;
            if (!begins && dispatchers_[d].up) round(d, [](Policy& p) { p.woken(); });
          }
          return;
        }
        [[fallthrough]];  // else it stands still with its folder
      case FaultKind::stop:
        for (std::uint32_t d : struckDispatchers(t)) {
          if (!dispatchers_[d].up) continue;
          dispatchers_[d].stopped = begins;
          note({.what = begins ? What::down : What::up,
                .dispatcher = static_cast<std::uint16_t>(d),
                .status = 1});
          if (begins) continue;
          for (Step s : std::exchange(dispatchers_[d].whileStopped, {})) {
            s.at = now_;
            s.turn = turn_++;
            steps_.push(s);
          }
        }
        return;
      case FaultKind::diskFull:
        for (std::uint32_t d : struckDispatchers(t)) dispatchers_[d].diskFull = begins;
        return;
      default:
        break;
    }
    if (begins && t.kind == FaultKind::refuseConnections) {
      // All connections there are reset, the idle ones too.
      for (Dispatcher& d : dispatchers_) {
        for (int e : experiment_.affectedEndpoints(t)) d.idle.erase(static_cast<std::uint32_t>(e));
      }
    }
    for (const EndpointResponse& r : endpointModel_.applyFault(now_, t, begins)) replied(r);
    for (int e : experiment_.affectedEndpoints(t)) townNext(static_cast<std::uint32_t>(e));
  }

  void gone(std::uint32_t d, std::uint32_t life) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.life != life) return;
    to.up = to.leaving = false;
    note({.what = What::down, .dispatcher = static_cast<std::uint16_t>(d)});
    for (auto& [endpoint, pool] : std::exchange(to.idle, {})) {
      for (std::size_t n = 0; n < pool.size(); ++n) endpointModel_.recordDisconnect(endpoint);
    }
    std::vector<std::uint32_t> open;
    for (const auto& [number, call] : calls_) {
      if (call.dispatcher == d && !call.closed) open.push_back(number);
    }
    std::sort(open.begin(), open.end());
    for (std::uint32_t number : open) close(number);
  }

  const Experiment& experiment_;
  std::uint64_t seed_;
  std::string policyName_;
  Sabotage sabotage_;
  Trace trace_;
  ArrivalModel arrivalModel_;
  EndpointModel endpointModel_;
  Millis now_{0};
  std::uint64_t turn_{0};
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<EndpointState> phases_;
  std::vector<bool> pending_;  // of each message: its client waits for an answer
  std::unordered_map<std::uint32_t, Call> calls_;
  std::unordered_map<std::uint64_t, std::uint32_t> out_;  // of an attempt: its call
  std::vector<std::pair<std::uint32_t, std::uint32_t>> withdrawn_;
  std::unordered_map<std::uint32_t, Millis> townAt_;
  std::uint32_t nextCall_{1};
  std::size_t turns_{0};
  Millis clientsAt_{-1};
  Millis listLate_{0};
  Millis listSilentUntil_{0};
  ModelCost cost_;
};

}  // namespace

Trace playModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy, ModelCost* cost,
                const Sabotage& sabotage) {
  return Model(experiment, seed, policy, sabotage).play(cost);
}

}  // namespace stonewing::lab
