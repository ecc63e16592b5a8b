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

constexpr Millis kTerminationDuration = 3500;     // a dispatcher told to end is gone by then
constexpr Millis kAcceptsWhileTerminating = 500;  // and takes messages for so long
constexpr Millis kStartTime = 0;

enum class StepKind : std::uint8_t {
  arrivalsDue,
  commandArrives,
  responseReachesClient,
  clientTimeout,
  timerFires,
  connected,
  connectFailed,
  requestArrives,
  endpointResponseDue,
  responseArrives,
  timeout,
  connectionClosed,
  notificationArrives,
  healthCheckArrives,
  healthCheckEnds,
  endpointStateArrives,
  faultBegins,
  faultEnds,
  dispatcherStarts,
  dispatcherExits,
  idleConnectionsExpire,
};

struct Step {
  Millis at{};
  std::uint64_t sequence{};
  StepKind kind{};
  std::uint32_t a{};
  std::uint32_t b{};
  std::int32_t c{};
  Millis x{};
  bool operator>(const Step& o) const { return std::tie(at, sequence) > std::tie(o.at, o.sequence); }
};

struct RequestMember {
  std::uint32_t message{};
  int attempt{};
  bool outcomeReported{false};
};

struct SentRequest {
  std::uint16_t dispatcher{};
  std::uint32_t endpoint{};
  std::uint32_t processNumber{};
  std::vector<RequestMember> members;
  Millis sent{};
  bool started{false};  // its bytes are on their way, or there
  bool closed{false};   // from the dispatcher's side
  bool arrived{false};
  bool responded{false};
};

struct EarlierAttempt {
  std::uint32_t endpoint{};
  Millis at{};
  bool provablyNotExecuted{false};
};

// What the journal of a dispatcher holds of a message.
struct JournalEntry {
  Millis deadline{};
  std::vector<EarlierAttempt> attempts;
};

struct Dispatcher {
  std::unique_ptr<LabPolicy> policy;
  bool up{false};
  bool stopped{false};
  bool terminating{false};
  Millis terminatingSince{0};
  bool diskFull{false};
  bool diskHangs{false};  // and its journal is written aside, so that it goes on without it
  std::uint32_t processNumber{0};
  Millis timerAt{-1};
  std::vector<Step> deferredSteps;
  std::map<std::uint32_t, JournalEntry> journal;
  std::unordered_map<std::uint32_t, std::vector<Millis>> idleConnections;  // connections: since when
};

MessageId idOf(std::uint32_t message) { return MessageId{message + 1}; }
EndpointId endpointIdOf(std::uint32_t endpoint) { return EndpointId{std::uint64_t{endpoint} + 1}; }

class Model {
 public:
  Model(const Experiment& experiment, std::uint64_t seed, std::string policy, const PolicyDefects& defects)
      : experiment_(experiment),
        seed_(seed),
        policyName_(std::move(policy)),
        defects_(defects),
        arrivalModel_(experiment, seed, trace_),
        endpointModel_(experiment, seed ^ 0x5bd1e995u, trace_),
        dispatchers_(static_cast<std::size_t>(experiment.fleet.dispatchers)),
        states_(static_cast<std::size_t>(experiment.endpointCount()), EndpointState::ready) {}

  Trace run(ModelCost* cost) {
    for (std::uint32_t d = 0; d < dispatchers_.size(); ++d) startDispatcher(d);
    for (std::size_t n = 0; n < experiment_.faults.size(); ++n) {
      schedule(experiment_.faults[n].from, StepKind::faultBegins, static_cast<std::uint32_t>(n));
      schedule(experiment_.faults[n].until, StepKind::faultEnds, static_cast<std::uint32_t>(n));
    }
    scheduleArrivals();
    Millis end = experiment_.end();
    while (!steps_.empty() && steps_.top().at <= end) {
      Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      ++cost_.steps;
      execute(step);
    }
    if (cost != nullptr) *cost = cost_;
    return std::move(trace_);
  }

 private:
  void schedule(Millis when, StepKind kind, std::uint32_t a = 0, std::uint32_t b = 0, std::int32_t c = 0,
                Millis x = 0) {
    steps_.push({when, sequence_++, kind, a, b, c, x});
  }
  void record(TraceEvent e) {
    e.at = now_;
    trace_.events.push_back(e);
  }

  Millis oneWayDelay(std::uint32_t d, std::uint32_t endpoint) const {
    int zones = static_cast<int>(experiment_.environment.zones.size());
    bool near = static_cast<int>(d) % zones == experiment_.zoneOf(static_cast<int>(endpoint));
    return near ? experiment_.environment.nearOneWay : experiment_.environment.farOneWay;
  }

  void scheduleArrivals() {
    auto due = arrivalModel_.due();
    if (due && (arrivalsAt_ < 0 || *due < arrivalsAt_))
      schedule(arrivalsAt_ = std::max(*due, now_), StepKind::arrivalsDue);
  }

  // The dispatcher a step belongs to; none for the others.
  std::optional<std::uint32_t> dispatcherOf(const Step& s) const {
    switch (s.kind) {
      case StepKind::commandArrives:
      case StepKind::healthCheckEnds:
      case StepKind::timerFires:
      case StepKind::endpointStateArrives:
      case StepKind::idleConnectionsExpire:
        return s.a;
      case StepKind::connected:
      case StepKind::connectFailed:
      case StepKind::responseArrives:
      case StepKind::timeout: {
        auto request = requests_.find(s.a);
        if (request == requests_.end()) return std::nullopt;
        return request->second.dispatcher;
      }
      default:
        return std::nullopt;
    }
  }

  void execute(const Step& step) {
    if (auto d = dispatcherOf(step); d && dispatchers_[*d].stopped) {
      dispatchers_[*d].deferredSteps.push_back(step);
      return;
    }
    switch (step.kind) {
      case StepKind::arrivalsDue:
        arrivalsAt_ = -1;
        while (auto message = arrivalModel_.nextDue(now_))
          submit(*message, nextDispatcher_++ % dispatchers_.size());
        return scheduleArrivals();
      case StepKind::commandArrives:
        return commandArrived(step.a, step.b);
      case StepKind::responseReachesClient:
        return clientReceives(step.a, static_cast<TraceEventType>(step.b), step.x);
      case StepKind::clientTimeout:
        return clientTimedOut(step.a);
      case StepKind::timerFires:
        return timerFired(step.a, step.x);
      case StepKind::connected:
        return connected(step.a);
      case StepKind::connectFailed:
        return requestEnded(step.a, AttemptOutcome::connectFailed, 0, false);
      case StepKind::requestArrives:
        return requestArrived(step.a);
      case StepKind::endpointResponseDue:
        endpointResponseAt_[step.a] = -1;
        for (const EndpointResponse& r : endpointModel_.advance(now_, step.a)) endpointResponded(r);
        return scheduleEndpointResponse(step.a);
      case StepKind::responseArrives:
        return responseArrived(step.a, static_cast<ResponseKind>(step.c), step.x);
      case StepKind::timeout:
        return timedOut(step.a, step.b);
      case StepKind::connectionClosed:
        return connectionClosed(step.a);
      case StepKind::notificationArrives:
        return notificationArrived(step.a, step.c, step.x);
      case StepKind::healthCheckArrives:
        return healthCheckArrived(step.a, step.b, static_cast<std::uint32_t>(step.c));
      case StepKind::healthCheckEnds:
        return healthCheckEnded(step.a, step.b, step.c, step.x);
      case StepKind::endpointStateArrives:
        return endpointStateArrived(step.a, step.b, static_cast<EndpointState>(step.c));
      case StepKind::faultBegins:
        return applyFault(experiment_.faults[step.a], true);
      case StepKind::faultEnds:
        return applyFault(experiment_.faults[step.a], false);
      case StepKind::dispatcherStarts:
        return startDispatcher(step.a);
      case StepKind::dispatcherExits:
        return dispatcherExited(step.a, step.b);
      case StepKind::idleConnectionsExpire:
        return idleCheck(step.a, step.b);
    }
  }

  // ---- clients ----

  // A front deals the connections out; one that refuses is passed over.
  void submit(std::uint32_t message, std::size_t first) {
    for (std::size_t n = 0; n < dispatchers_.size(); ++n) {
      auto d = static_cast<std::uint32_t>((first + n) % dispatchers_.size());
      const Dispatcher& to = dispatchers_[d];
      if (!to.up || (to.terminating && now_ - to.terminatingSince > kAcceptsWhileTerminating)) continue;
      if (awaitingResponse_.size() <= message) awaitingResponse_.resize(message + 1);
      awaitingResponse_[message] = true;
      record({.type = TraceEventType::submitted,
              .message = message,
              .dispatcher = static_cast<std::uint16_t>(d),
              .duration = arrivalModel_.timeLeft(message, now_)});
      schedule(now_ + experiment_.environment.nearOneWay, StepKind::commandArrives, d, message);
      schedule(now_ + ArrivalModel::kClientTimeout, StepKind::clientTimeout, message);
      return;
    }
    arrivalModel_.recordRejection(now_, message, 0);
    scheduleArrivals();
  }

  void clientTimedOut(std::uint32_t message) {
    if (!awaitingResponse_[message]) return;
    awaitingResponse_[message] = false;
    record({.type = TraceEventType::unanswered, .message = message});
    arrivalModel_.recordTimeout(now_, message);
    scheduleArrivals();
  }

  void clientReceives(std::uint32_t message, TraceEventType type, Millis wait) {
    if (!awaitingResponse_[message]) return;
    awaitingResponse_[message] = false;
    record({.type = type, .message = message, .duration = wait});
    if (type == TraceEventType::rejected) arrivalModel_.recordRejection(now_, message, wait);
    scheduleArrivals();
  }

  void commandArrived(std::uint32_t d, std::uint32_t message) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up) return;  // the client's patience ends it
    bool clientLeft = !awaitingResponse_[message];
    bool rejects = to.diskFull || to.diskHangs || clientLeft ||
                   to.policy->messagesInFlight() >= experiment_.fleet.maxInFlight;
    schedule(now_ + experiment_.environment.nearOneWay, StepKind::responseReachesClient, message,
             static_cast<std::uint32_t>(rejects ? TraceEventType::rejected : TraceEventType::accepted));
    if (rejects) return;
    const SubmittedMessage& c = trace_.messages[message];
    Millis deadline = c.due + experiment_.types[c.type].settings.deadlineAfter;
    to.journal[message] = {deadline, {}};
    if (defects_.losesMessages && message % 20 == 0) return;
    runRound(d, [&](LabPolicy& p) {
      p.acceptMessage(idOf(message), TrafficTypeId{c.type}, TenantId{c.tenant}, OrderingKey{c.key},
                      DestinationId{c.destination}, deadline);
    });
  }

  // ---- dispatchers ----

  template <class Input>
  void runRound(std::uint32_t d, Input input) {
    LabPolicy& policy = *dispatchers_[d].policy;
    policy.beginRound(now_);
    input(policy);
    if (dispatchers_[d].diskHangs) return;  // nothing could be noted
    std::map<int, std::vector<SendAttempt>> gathered;
    while (auto decision = policy.nextDecision()) {
      if (const auto* attempt = std::get_if<SendAttempt>(&*decision)) {
        gathered[policy.requestOf(attempt->message, attempt->attempt)].push_back(*attempt);
      } else {
        executeDecision(d, *decision);
      }
    }
    for (auto& [number, attempts] : gathered) sendRequest(d, attempts);
  }

  void executeDecision(std::uint32_t d, const Decision& decision) {
    Dispatcher& from = dispatchers_[d];
    std::visit(Overloaded{
                   [](const SendAttempt&) {},  // gathered by request in round()
                   [&](const CancelAttempt& c) { cancelAttempt(numberOf(c.message), c.attempt); },
                   [&](const ShedMessage& c) { notifyPlatform(from, c.message, 2, c.retryAfter); },
                   [&](const FailMessage& c) { notifyPlatform(from, c.message, 1, 0); },
                   [&](const SendHealthCheck& c) { sendHealthCheck(d, numberOf(c.endpoint)); },
                   [&](const CloseIdleConnection& c) { closeIdle(from, numberOf(c.endpoint)); },
                   [&](const SetTimer& c) {
                     from.timerAt = c.at;
                     schedule(std::max(now_, c.at), StepKind::timerFires, d, 0, 0, c.at);
                   },
               },
               decision);
  }

  static std::uint32_t numberOf(MessageId message) { return message.value - 1; }
  static std::uint32_t numberOf(EndpointId endpoint) {
    return static_cast<std::uint32_t>(endpoint.value - 1);
  }

  void notifyPlatform(Dispatcher& from, MessageId message, std::int32_t result, Millis wait) {
    from.journal.erase(numberOf(message));
    schedule(now_ + experiment_.environment.nearOneWay, StepKind::notificationArrives, numberOf(message), 0,
             result, wait);
  }

  void sendHealthCheck(std::uint32_t d, std::uint32_t endpoint) {
    for (int n = 0; n < (defects_.overloadsInSlowStart ? 10 : 1); ++n) {
      schedule(now_ + 3 * oneWayDelay(d, knownEndpoint(endpoint)), StepKind::healthCheckArrives, d, endpoint,
               static_cast<std::int32_t>(dispatchers_[d].processNumber));
    }
  }

  std::uint32_t knownEndpoint(std::uint32_t endpoint) const {
    return std::min(endpoint, static_cast<std::uint32_t>(experiment_.endpointCount() - 1));
  }

  void timerFired(std::uint32_t d, Millis timerAt) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.diskHangs || to.timerAt != timerAt) return;
    to.timerAt = -1;
    runRound(d, [](LabPolicy& p) { p.recordTimerFired(); });
  }

  Millis maxIdleTime() const {
    return std::max(
        0.0, experiment_.environment.connectionIdleTimeout -
                 std::min(experiment_.environment.connectionIdleTimeout, experiment_.fleet.connectTimeout));
  }

  void closeIdle(Dispatcher& from, std::uint32_t endpoint) {
    auto pool = from.idleConnections.find(endpoint);
    if (pool == from.idleConnections.end()) return;
    for (std::size_t n = 0; n < pool->second.size(); ++n) endpointModel_.recordDisconnect(endpoint);
    from.idleConnections.erase(pool);
  }

  void idleCheck(std::uint32_t d, std::uint32_t endpoint) {
    auto pool = dispatchers_[d].idleConnections.find(endpoint);
    if (pool == dispatchers_[d].idleConnections.end()) return;
    std::erase_if(pool->second, [&](Millis since) {
      bool old = now_ >= since + maxIdleTime();
      if (old) endpointModel_.recordDisconnect(endpoint);
      return old;
    });
    if (pool->second.empty()) dispatchers_[d].idleConnections.erase(pool);
  }

  void sendRequest(std::uint32_t d, const std::vector<SendAttempt>& attempts) {
    Dispatcher& from = dispatchers_[d];
    std::uint32_t number = nextRequest_++;
    SentRequest& request = requests_[number];
    request.dispatcher = static_cast<std::uint16_t>(d);
    request.endpoint = static_cast<std::uint32_t>(attempts.front().endpoint.value - 1);
    request.processNumber = from.processNumber;
    request.sent = now_;
    Millis idle = 0;
    bool reused = false;
    if (auto pool = from.idleConnections.find(request.endpoint);
        pool != from.idleConnections.end() && !pool->second.empty()) {
      idle = std::max(0.001, now_ - pool->second.back());
      pool->second.pop_back();
      reused = true;
    }
    for (const SendAttempt& l : attempts) {
      std::uint32_t message = l.message.value - 1;
      request.members.push_back({message, l.attempt});
      from.journal[message].attempts.push_back({request.endpoint, now_, false});
      from.policy->recordConnectionIdleTime(l.message, l.attempt, idle);
      requestOfAttempt_[attemptKey(message, l.attempt)] = number;
      schedule(now_ + l.timeout, StepKind::timeout, number,
               static_cast<std::uint32_t>(request.members.size() - 1));
      ++cost_.attempts;
    }
    if (reused) {
      request.started = true;
      schedule(now_ + oneWayDelay(d, request.endpoint), StepKind::requestArrives, number);
      return;
    }
    auto connect = request.endpoint < static_cast<std::uint32_t>(experiment_.endpointCount())
                       ? endpointModel_.connect(now_, request.endpoint, request.dispatcher)
                       : EndpointModel::ConnectResult::refused;
    Millis there = 2 * oneWayDelay(d, knownEndpoint(request.endpoint));
    if (connect == EndpointModel::ConnectResult::accepted)
      schedule(now_ + there + experiment_.environment.connectDelay, StepKind::connected, number);
    if (connect == EndpointModel::ConnectResult::refused)
      schedule(now_ + there, StepKind::connectFailed, number);
    if (connect == EndpointModel::ConnectResult::unanswered)
      schedule(now_ + experiment_.fleet.connectTimeout, StepKind::connectFailed, number);
  }

  static std::uint64_t attemptKey(std::uint32_t message, int attempt) {
    return std::uint64_t{message} << 16 | static_cast<std::uint64_t>(attempt);
  }

  void connected(std::uint32_t number) {
    auto at = requests_.find(number);
    if (at == requests_.end() || at->second.closed) return;
    SentRequest& request = at->second;
    if (endpointModel_.unreachable(request.endpoint, request.dispatcher))
      return this->schedule(now_ + experiment_.fleet.connectTimeout, StepKind::connectFailed, number);
    if (endpointModel_.refusesConnections(request.endpoint))
      return requestEnded(number, AttemptOutcome::connectFailed, 0, false);
    const LabPolicy& policy = *dispatchers_[request.dispatcher].policy;
    bool may = std::any_of(request.members.begin(), request.members.end(), [&](const RequestMember& m) {
      return !m.outcomeReported && policy.mayStartAttempt(idOf(m.message), m.attempt);
    });
    if (!may) {
      endpointModel_.recordDisconnect(request.endpoint);
      return requestEnded(number, AttemptOutcome::notSent, 0, false);
    }
    request.started = true;
    this->schedule(now_ + oneWayDelay(request.dispatcher, request.endpoint), StepKind::requestArrives,
                   number);
  }

  void requestArrived(std::uint32_t number) {
    auto at = requests_.find(number);
    if (at == requests_.end()) return;
    SentRequest& request = at->second;
    if (endpointModel_.unreachable(request.endpoint, request.dispatcher)) return;  // nothing comes through
    if (endpointModel_.refusesConnections(request.endpoint)) {  // it ended under the bytes on their way
      this->schedule(now_ + oneWayDelay(request.dispatcher, request.endpoint), StepKind::responseArrives,
                     number, 0, static_cast<std::int32_t>(ResponseKind::connectionReset));
      return;
    }
    request.arrived = true;
    std::vector<std::uint32_t> messages;
    for (const RequestMember& m : request.members) messages.push_back(m.message);
    if (auto reply =
            endpointModel_.receiveRequest(now_, number, request.endpoint, request.dispatcher, messages))
      endpointResponded(*reply);
    scheduleEndpointResponse(request.endpoint);
  }

  void scheduleEndpointResponse(std::uint32_t endpoint) {
    Millis due = endpointModel_.due(endpoint);
    auto [scheduled, fresh] = endpointResponseAt_.try_emplace(endpoint, -1);
    if (due < 0 || (scheduled->second >= 0 && scheduled->second <= due)) return;
    scheduled->second = due;
    schedule(std::max(due, now_), StepKind::endpointResponseDue, endpoint);
  }

  void endpointResponded(const EndpointResponse& r) {
    auto at = requests_.find(r.request);
    if (at == requests_.end()) return;
    SentRequest& request = at->second;
    request.responded = true;
    if (r.kind == ResponseKind::none || endpointModel_.unreachable(request.endpoint, request.dispatcher))
      return;
    for (const RequestMember& m : request.members) {
      record({.type = TraceEventType::responded,
              .message = m.message,
              .request = r.request,
              .endpoint = request.endpoint,
              .dispatcher = request.dispatcher,
              .status = static_cast<std::int16_t>(r.kind),
              .duration = r.retryAfter,
              .executed = r.executed});
    }
    this->schedule(now_ + oneWayDelay(request.dispatcher, request.endpoint), StepKind::responseArrives,
                   r.request, 0, static_cast<std::int32_t>(r.kind), r.retryAfter);
  }

  void responseArrived(std::uint32_t number, ResponseKind kind, Millis wait) {
    auto at = requests_.find(number);
    if (at == requests_.end() || at->second.closed) return;
    SentRequest& request = at->second;
    Dispatcher& to = dispatchers_[request.dispatcher];
    bool whole = kind == ResponseKind::ok || kind == ResponseKind::serverError ||
                 kind == ResponseKind::tooManyRequests || kind == ResponseKind::unavailable;
    if (to.processNumber == request.processNumber) {
      if (whole) {
        to.idleConnections[request.endpoint].push_back(now_);
        this->schedule(now_ + maxIdleTime(), StepKind::idleConnectionsExpire, request.dispatcher,
                       request.endpoint);
      } else {
        endpointModel_.recordDisconnect(request.endpoint);
      }
    }
    AttemptOutcome outcome = kind == ResponseKind::ok                ? AttemptOutcome::completed
                             : kind == ResponseKind::connectionReset ? AttemptOutcome::reset
                                                                     : AttemptOutcome::error;
    if (kind == ResponseKind::tooManyRequests || kind == ResponseKind::unavailable)
      outcome = AttemptOutcome::rejected;
    if (kind == ResponseKind::truncated && request.members.size() == 1)
      outcome = AttemptOutcome::completed;  // its first line was true
    requestEnded(number, outcome, wait, true);
  }

  // Tells the policy how a call ended, for all in it that were not told yet.
  void requestEnded(std::uint32_t number, AttemptOutcome outcome, Millis wait, bool withReport) {
    auto at = requests_.find(number);
    if (at == requests_.end()) return;
    SentRequest request = std::move(at->second);
    requests_.erase(at);
    Dispatcher& to = dispatchers_[request.dispatcher];
    bool alive = to.up && to.processNumber == request.processNumber;
    if (!alive) return;
    runRound(request.dispatcher, [&](LabPolicy& p) {
      for (const RequestMember& m : request.members) reportOutcome(p, request, m, outcome, wait, withReport);
    });
  }

  void reportOutcome(LabPolicy& p, const SentRequest& request, const RequestMember& m, AttemptOutcome outcome,
                     Millis wait, bool withReport) {
    Dispatcher& to = dispatchers_[request.dispatcher];
    requestOfAttempt_.erase(attemptKey(m.message, m.attempt));
    auto entry = to.journal.find(m.message);
    if (m.outcomeReported) {
      // Given up on, and now it was delivered after all.
      if (outcome == AttemptOutcome::completed && entry != to.journal.end()) {
        p.cancelMessage(idOf(m.message));
        to.journal.erase(entry);
      }
      return;
    }
    bool mayHaveRun = outcome != AttemptOutcome::rejected && outcome != AttemptOutcome::connectFailed &&
                      outcome != AttemptOutcome::notSent;
    if (defects_.repeatsExecuted && mayHaveRun && outcome != AttemptOutcome::completed)
      outcome = AttemptOutcome::connectFailed;
    if (entry != to.journal.end() && !mayHaveRun) {
      entry->second.attempts.at(static_cast<std::size_t>(m.attempt)).provablyNotExecuted = true;
    }
    bool isOver = outcome == AttemptOutcome::completed || entry == to.journal.end();
    LoadReport report;
    if (withReport && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, request.endpoint);
    p.recordAttemptOutcome(idOf(m.message), m.attempt, outcome, now_ - request.sent, isOver,
                           defects_.ignoresRetryAfter ? 0 : wait, report);
    if (outcome == AttemptOutcome::completed) to.journal.erase(m.message);
  }

  void timedOut(std::uint32_t number, std::uint32_t member) {
    auto at = requests_.find(number);
    if (at == requests_.end() || at->second.closed || at->second.members[member].outcomeReported) return;
    SentRequest& request = at->second;
    Dispatcher& to = dispatchers_[request.dispatcher];
    if (to.processNumber != request.processNumber) return;
    endAttempt(number, member, request.started ? AttemptOutcome::timeout : AttemptOutcome::notSent);
  }

  void cancelAttempt(std::uint32_t message, int attempt) {
    auto at = requestOfAttempt_.find(attemptKey(message, attempt));
    if (at == requestOfAttempt_.end()) return;
    auto request = requests_.find(at->second);
    if (request == requests_.end()) return;
    auto& members = request->second.members;
    for (std::uint32_t n = 0; n < members.size(); ++n) {
      if (members[n].message != message || members[n].attempt != attempt || members[n].outcomeReported)
        continue;
      // Told in a step of its own: a policy is not called back inside its own decisions.
      cancelled_.push_back({request->first, n});
      this->schedule(now_, StepKind::timeout, request->first, n);
      return;
    }
  }

  void endAttempt(std::uint32_t number, std::uint32_t member, AttemptOutcome outcome) {
    SentRequest& request = requests_.at(number);
    auto cancelled = std::find(cancelled_.begin(), cancelled_.end(), std::pair{number, member});
    if (cancelled != cancelled_.end()) {
      cancelled_.erase(cancelled);
      if (request.started) outcome = AttemptOutcome::cancelled;
    }
    RequestMember m = request.members[member];
    request.members[member].outcomeReported = true;
    SentRequest ended = request;
    bool all = std::all_of(request.members.begin(), request.members.end(),
                           [](const RequestMember& x) { return x.outcomeReported; });
    if (all) closeConnection(number);
    runRound(ended.dispatcher, [&](LabPolicy& p) { reportOutcome(p, ended, m, outcome, 0, false); });
  }

  // The dispatcher closes the call's connection.
  void closeConnection(std::uint32_t number) {
    SentRequest& request = requests_.at(number);
    request.closed = true;
    for (const RequestMember& m : request.members) requestOfAttempt_.erase(attemptKey(m.message, m.attempt));
    schedule(now_ + oneWayDelay(request.dispatcher, knownEndpoint(request.endpoint)),
             StepKind::connectionClosed, number);
  }

  void connectionClosed(std::uint32_t number) {
    auto at = requests_.find(number);
    if (at == requests_.end()) return;
    SentRequest request = std::move(at->second);
    requests_.erase(at);
    if (request.endpoint >= static_cast<std::uint32_t>(experiment_.endpointCount())) return;
    endpointModel_.recordDisconnect(request.endpoint);
    if (!request.arrived || endpointModel_.unreachable(request.endpoint, request.dispatcher)) return;
    bool ran = request.responded || endpointModel_.abandonRequest(now_, number, request.endpoint);
    scheduleEndpointResponse(request.endpoint);
    for (const RequestMember& m : request.members) {
      record({.type = TraceEventType::abandoned,
              .message = m.message,
              .request = number,
              .endpoint = request.endpoint,
              .dispatcher = request.dispatcher,
              .executed = ran});
    }
  }

  void notificationArrived(std::uint32_t message, int result, Millis wait) {
    record({.type = TraceEventType::notificationReceived,
            .message = message,
            .status = static_cast<std::int16_t>(result),
            .duration = wait});
    if (result == 2) {
      arrivalModel_.recordRejection(now_, message, wait);
      scheduleArrivals();
    }
  }

  void healthCheckArrived(std::uint32_t d, std::uint32_t endpoint, std::uint32_t life) {
    bool there = endpoint < static_cast<std::uint32_t>(experiment_.endpointCount()) &&
                 !endpointModel_.refusesConnections(endpoint);
    Millis back = oneWayDelay(d, knownEndpoint(endpoint));
    if (there && !endpointModel_.unreachable(endpoint, d)) {
      int status = endpointModel_.answerHealthCheck(now_, endpoint, static_cast<std::uint16_t>(d));
      if (status != 0) return schedule(now_ + back, StepKind::healthCheckEnds, d, endpoint, status, life);
    } else if (!there) {
      record({.type = TraceEventType::connectionRefused,
              .endpoint = endpoint,
              .dispatcher = static_cast<std::uint16_t>(d)});
      return schedule(now_ + back, StepKind::healthCheckEnds, d, endpoint, 0, life);
    }
    schedule(now_ + experiment_.fleet.connectTimeout, StepKind::healthCheckEnds, d, endpoint, -1, life);
  }

  void healthCheckEnded(std::uint32_t d, std::uint32_t endpoint, int status, Millis life) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.processNumber != static_cast<std::uint32_t>(life)) return;
    AttemptOutcome outcome = status == 200   ? AttemptOutcome::completed
                             : status == 503 ? AttemptOutcome::rejected
                             : status == 0   ? AttemptOutcome::connectFailed
                                             : AttemptOutcome::timeout;
    LoadReport report;
    if (status == 200 && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, endpoint);
    runRound(d, [&](LabPolicy& p) { p.recordHealthCheckOutcome(endpointIdOf(endpoint), outcome, report); });
  }

  // ---- troubles, lists, lives ----

  EndpointListEntry listEntry(std::uint32_t endpoint) const {
    return {endpointIdOf(endpoint),
            DestinationId{static_cast<std::uint16_t>(experiment_.destinationOf(static_cast<int>(endpoint)))},
            ZoneId{static_cast<std::uint8_t>(experiment_.zoneOf(static_cast<int>(endpoint)))}, 1,
            states_[endpoint]};
  }

  void startDispatcher(std::uint32_t d) {
    Dispatcher& to = dispatchers_[d];
    ++to.processNumber;
    to.up = true;
    to.stopped = to.terminating = false;
    to.timerAt = -1;
    to.policy = makePolicy(policyName_, experiment_.deploymentSettings(static_cast<int>(d)),
                           seed_ * 1000003 + d * 7919 + to.processNumber);
    record({.type = TraceEventType::dispatcherUp, .dispatcher = static_cast<std::uint16_t>(d)});
    std::vector<EndpointListEntry> rows;
    for (std::uint32_t e = 0; e < states_.size(); ++e) rows.push_back(listEntry(e));
    runRound(d, [&](LabPolicy& p) {
      p.updateEndpointList(rows, true);
      for (const auto& [message, entry] : to.journal) {
        const SubmittedMessage& c = trace_.messages[message];
        p.acceptMessage(idOf(message), TrafficTypeId{c.type}, TenantId{c.tenant}, OrderingKey{c.key},
                        DestinationId{c.destination}, entry.deadline);
        for (const EarlierAttempt& l : entry.attempts) {
          p.recordEarlierAttempt(idOf(message), endpointIdOf(l.endpoint), l.at, l.provablyNotExecuted);
        }
      }
    });
    if (now_ == kStartTime) return;
    for (std::uint32_t e = 0; e < states_.size(); ++e) {
      if (states_[e] != EndpointState::ready) recordStateNotified(d, e, states_[e]);
    }
  }

  void recordStateNotified(std::uint32_t d, std::uint32_t endpoint, EndpointState state) {
    record({.type = TraceEventType::endpointStateNotified,
            .endpoint = endpoint,
            .dispatcher = static_cast<std::uint16_t>(d),
            .status = static_cast<std::int16_t>(state)});
  }

  void endpointStateArrived(std::uint32_t d, std::uint32_t endpoint, EndpointState state) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up) return;
    recordStateNotified(d, endpoint, state);
    if (defects_.ignoresDraining) return;
    bool ghost = endpoint >= states_.size();
    EndpointListEntry r = listEntry(ghost ? endpoint - static_cast<std::uint32_t>(states_.size()) : endpoint);
    r.id = endpointIdOf(endpoint);
    r.state = state;
    if (ghost) r.weight = 1e6;
    runRound(d, [&](LabPolicy& p) { p.updateEndpointList({r}, false); });
  }

  // Discovery tells all dispatchers, now or late.
  void notifyDispatchers(std::uint32_t endpoint, EndpointState state) {
    Millis when =
        std::max(now_ + experiment_.environment.nearOneWay + discoveryDelay_, discoveryUnresponsiveUntil_);
    for (std::uint32_t d = 0; d < dispatchers_.size(); ++d) {
      schedule(when, StepKind::endpointStateArrives, d, endpoint, static_cast<std::int32_t>(state));
    }
  }

  std::vector<std::uint32_t> affectedDispatchers(const Fault& t) const {
    std::vector<std::uint32_t> found;
    for (int d : t.dispatchers) found.push_back(static_cast<std::uint32_t>(d));
    if (found.empty()) found.push_back(0);
    return found;
  }

  void applyFault(const Fault& t, bool begins) {
    switch (t.kind) {
      case FaultKind::drain:
        for (int e : experiment_.affectedEndpoints(t)) {
          states_[static_cast<std::size_t>(e)] = begins ? EndpointState::draining : EndpointState::ready;
          notifyDispatchers(static_cast<std::uint32_t>(e), states_[static_cast<std::size_t>(e)]);
        }
        return;
      case FaultKind::discoveryDelayed:
        discoveryDelay_ = begins ? t.factor : 0;
        return;
      case FaultKind::discoveryUnresponsive:
        if (begins) discoveryUnresponsiveUntil_ = t.until;
        return;
      case FaultKind::discoveryWrong:
        // One more endpoint for each destination struck, that nobody is at.
        for (int e : experiment_.affectedEndpoints(t)) {
          if (e % experiment_.environment.endpoints != 0) continue;
          notifyDispatchers(static_cast<std::uint32_t>(experiment_.endpointCount() + e),
                            begins ? EndpointState::ready : EndpointState::removed);
        }
        return;
      case FaultKind::kill:
        for (std::uint32_t d : affectedDispatchers(t)) {
          if (begins) dispatcherExited(d, dispatchers_[d].processNumber);
          if (!begins && !dispatchers_[d].up)
            schedule(now_ + experiment_.fleet.restartDelay, StepKind::dispatcherStarts, d);
        }
        return;
      case FaultKind::terminate:
        for (std::uint32_t d : affectedDispatchers(t)) {
          if (begins) {
            record({.type = TraceEventType::dispatcherDown,
                    .dispatcher = static_cast<std::uint16_t>(d),
                    .status = 2});
            dispatchers_[d].terminating = true;
            dispatchers_[d].terminatingSince = now_;
            schedule(now_ + kTerminationDuration, StepKind::dispatcherExits, d,
                     dispatchers_[d].processNumber);
          } else {
            schedule(std::max(now_, dispatchers_[d].terminatingSince + kTerminationDuration) +
                         experiment_.fleet.restartDelay,
                     StepKind::dispatcherStarts, d);
          }
        }
        return;
      case FaultKind::diskHang:
        if (experiment_.fleet.separateJournalWriter) {
          for (std::uint32_t d : affectedDispatchers(t)) {
            dispatchers_[d].diskHangs = begins;
            if (!begins && dispatchers_[d].up) runRound(d, [](LabPolicy& p) { p.recordTimerFired(); });
          }
          return;
        }
        [[fallthrough]];  // else it stands still with its folder
      case FaultKind::stop:
        for (std::uint32_t d : affectedDispatchers(t)) {
          if (!dispatchers_[d].up) continue;
          dispatchers_[d].stopped = begins;
          record({.type = begins ? TraceEventType::dispatcherDown : TraceEventType::dispatcherUp,
                  .dispatcher = static_cast<std::uint16_t>(d),
                  .status = 1});
          if (begins) continue;
          for (Step s : std::exchange(dispatchers_[d].deferredSteps, {})) {
            s.at = now_;
            s.sequence = sequence_++;
            steps_.push(s);
          }
        }
        return;
      case FaultKind::diskFull:
        for (std::uint32_t d : affectedDispatchers(t)) dispatchers_[d].diskFull = begins;
        return;
      default:
        break;
    }
    if (begins && t.kind == FaultKind::refuseConnections) {
      // All connections there are reset, the idle ones too.
      for (Dispatcher& d : dispatchers_) {
        for (int e : experiment_.affectedEndpoints(t)) d.idleConnections.erase(static_cast<std::uint32_t>(e));
      }
    }
    for (const EndpointResponse& r : endpointModel_.applyFault(now_, t, begins)) endpointResponded(r);
    for (int e : experiment_.affectedEndpoints(t)) scheduleEndpointResponse(static_cast<std::uint32_t>(e));
  }

  void dispatcherExited(std::uint32_t d, std::uint32_t life) {
    Dispatcher& to = dispatchers_[d];
    if (!to.up || to.processNumber != life) return;
    to.up = to.terminating = false;
    record({.type = TraceEventType::dispatcherDown, .dispatcher = static_cast<std::uint16_t>(d)});
    for (auto& [endpoint, pool] : std::exchange(to.idleConnections, {})) {
      for (std::size_t n = 0; n < pool.size(); ++n) endpointModel_.recordDisconnect(endpoint);
    }
    std::vector<std::uint32_t> open;
    for (const auto& [number, request] : requests_) {
      if (request.dispatcher == d && !request.closed) open.push_back(number);
    }
    std::sort(open.begin(), open.end());
    for (std::uint32_t number : open) closeConnection(number);
  }

  const Experiment& experiment_;
  std::uint64_t seed_;
  std::string policyName_;
  PolicyDefects defects_;
  Trace trace_;
  ArrivalModel arrivalModel_;
  EndpointModel endpointModel_;
  Millis now_{0};
  std::uint64_t sequence_{0};
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<EndpointState> states_;
  std::vector<bool> awaitingResponse_;  // of each message: its client waits for an answer
  std::unordered_map<std::uint32_t, SentRequest> requests_;
  std::unordered_map<std::uint64_t, std::uint32_t> requestOfAttempt_;  // of an attempt: its call
  std::vector<std::pair<std::uint32_t, std::uint32_t>> cancelled_;
  std::unordered_map<std::uint32_t, Millis> endpointResponseAt_;
  std::uint32_t nextRequest_{1};
  std::size_t nextDispatcher_{0};
  Millis arrivalsAt_{-1};
  Millis discoveryDelay_{0};
  Millis discoveryUnresponsiveUntil_{0};
  ModelCost cost_;
};

}  // namespace

Trace runModel(const Experiment& experiment, std::uint64_t seed, const std::string& policy, ModelCost* cost,
               const PolicyDefects& defects) {
  return Model(experiment, seed, policy, defects).run(cost);
}

}  // namespace stonewing::lab
