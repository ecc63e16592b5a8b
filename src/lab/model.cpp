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

constexpr Millis kTerminationDuration = 3500;     // from SIGTERM until the dispatcher has exited
constexpr Millis kAcceptsWhileTerminating = 500;  // after SIGTERM, time in which it still accepts messages
constexpr Millis kStartTime = 0;

// Each comment names the contents of Step::subject, argument, code and value, in this order, as far as the
// kind of step uses them.
enum class StepKind : std::uint8_t {
  arrivalsDue,
  commandArrives,         // dispatcher, message
  responseReachesClient,  // message, TraceEventType (accepted or rejected); value: Retry-After, 0 for none
  clientTimeout,          // message
  timerFires,             // dispatcher; value: the time for which the timer was set
  connected,              // request
  connectFailed,          // request
  requestArrives,         // request
  endpointResponseDue,    // endpoint
  responseArrives,        // request; code: ResponseKind; value: Retry-After, 0 for none
  timeout,                // request, index of the member
  connectionClosed,       // request
  notificationArrives,    // message; code: 1 failed, 2 shed; value: Retry-After, 0 for none
  healthCheckArrives,     // dispatcher, endpoint; code: process number
  healthCheckEnds,        // dispatcher, endpoint; code: status, 0 refused, -1 timeout; value: process number
  endpointStateArrives,   // dispatcher, endpoint; code: EndpointState
  faultBegins,            // index of the fault
  faultEnds,              // index of the fault
  dispatcherStarts,       // dispatcher
  dispatcherExits,        // dispatcher, process number
  idleConnectionsExpire,  // dispatcher, endpoint
};

// Steps of the same time are executed in the order in which they were scheduled.
struct Step {
  Millis at{};
  std::uint64_t sequence{};
  StepKind kind{};
  std::uint32_t subject{};
  std::uint32_t argument{};
  std::int32_t code{};
  Millis value{};
  bool operator>(const Step& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

// One attempt of a request; a batch has several.
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
  bool started{false};  // its bytes have been sent
  bool closed{false};   // the dispatcher has closed its connection
  bool arrived{false};
  bool responded{false};
};

struct EarlierAttempt {
  std::uint32_t endpoint{};
  Millis at{};
  bool provablyNotExecuted{false};
};

// The journal's record of a message that has no outcome yet. It survives a restart of the dispatcher.
struct JournalEntry {
  Millis deadline{};
  std::vector<EarlierAttempt> attempts;
};

struct Dispatcher {
  std::unique_ptr<LabPolicy> policy;
  bool up{false};
  bool stopped{false};      // by SIGSTOP, or stalled by its disk
  bool terminating{false};  // it has received SIGTERM
  Millis terminatingSince{0};
  bool diskFull{false};
  bool diskHangs{false};            // the journal's own thread hangs; a dispatcher without one is stopped
  std::uint32_t processNumber{0};   // counts its starts
  Millis timerAt{-1};               // negative: no timer is set
  std::vector<Step> deferredSteps;  // due while stopped
  std::map<std::uint32_t, JournalEntry> journal;
  std::unordered_map<std::uint32_t, std::vector<Millis>> idleConnections;  // by endpoint: idle since when
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
  void schedule(Millis at, StepKind kind, std::uint32_t subject = 0, std::uint32_t argument = 0,
                std::int32_t code = 0, Millis value = 0) {
    steps_.push({at, sequence_++, kind, subject, argument, code, value});
  }
  void record(TraceEvent event) {
    event.at = now_;
    trace_.events.push_back(event);
  }

  Millis oneWayDelay(std::uint32_t d, std::uint32_t endpoint) const {
    int zones = static_cast<int>(experiment_.environment.zones.size());
    bool sameZone = static_cast<int>(d) % zones == experiment_.zoneOf(static_cast<int>(endpoint));
    return sameZone ? experiment_.environment.nearOneWay : experiment_.environment.farOneWay;
  }

  void scheduleArrivals() {
    auto due = arrivalModel_.nextDueTime();
    if (due && (arrivalsAt_ < 0 || *due < arrivalsAt_))
      schedule(arrivalsAt_ = std::max(*due, now_), StepKind::arrivalsDue);
  }

  // The dispatcher that executes a step; none for steps of clients, network, endpoints and platform.
  std::optional<std::uint32_t> dispatcherOf(const Step& step) const {
    switch (step.kind) {
      case StepKind::commandArrives:
      case StepKind::healthCheckEnds:
      case StepKind::timerFires:
      case StepKind::endpointStateArrives:
      case StepKind::idleConnectionsExpire:
        return step.subject;
      case StepKind::connected:
      case StepKind::connectFailed:
      case StepKind::responseArrives:
      case StepKind::timeout: {
        auto request = requests_.find(step.subject);
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
        return commandArrived(step.subject, step.argument);
      case StepKind::responseReachesClient:
        return clientReceives(step.subject, static_cast<TraceEventType>(step.argument), step.value);
      case StepKind::clientTimeout:
        return clientTimedOut(step.subject);
      case StepKind::timerFires:
        return timerFired(step.subject, step.value);
      case StepKind::connected:
        return connected(step.subject);
      case StepKind::connectFailed:
        return requestEnded(step.subject, AttemptOutcome::connectFailed, 0, false);
      case StepKind::requestArrives:
        return requestArrived(step.subject);
      case StepKind::endpointResponseDue:
        endpointResponseAt_[step.subject] = -1;
        for (const EndpointResponse& response : endpointModel_.advance(now_, step.subject))
          endpointResponded(response);
        return scheduleEndpointResponse(step.subject);
      case StepKind::responseArrives:
        return responseArrived(step.subject, static_cast<ResponseKind>(step.code), step.value);
      case StepKind::timeout:
        return timedOut(step.subject, step.argument);
      case StepKind::connectionClosed:
        return connectionClosed(step.subject);
      case StepKind::notificationArrives:
        return notificationArrived(step.subject, step.code, step.value);
      case StepKind::healthCheckArrives:
        return healthCheckArrived(step.subject, step.argument, static_cast<std::uint32_t>(step.code));
      case StepKind::healthCheckEnds:
        return healthCheckEnded(step.subject, step.argument, step.code, step.value);
      case StepKind::endpointStateArrives:
        return endpointStateArrived(step.subject, step.argument, static_cast<EndpointState>(step.code));
      case StepKind::faultBegins:
        return applyFault(experiment_.faults[step.subject], true);
      case StepKind::faultEnds:
        return applyFault(experiment_.faults[step.subject], false);
      case StepKind::dispatcherStarts:
        return startDispatcher(step.subject);
      case StepKind::dispatcherExits:
        return dispatcherExited(step.subject, step.argument);
      case StepKind::idleConnectionsExpire:
        return closeExpiredConnections(step.subject, step.argument);
    }
  }

  // Submits a message as through a load balancer: to the first dispatcher from `first` on that accepts
  // connections. If none does, the client is rejected at once.
  void submit(std::uint32_t message, std::size_t first) {
    for (std::size_t n = 0; n < dispatchers_.size(); ++n) {
      auto d = static_cast<std::uint32_t>((first + n) % dispatchers_.size());
      const Dispatcher& dispatcher = dispatchers_[d];
      if (!dispatcher.up ||
          (dispatcher.terminating && now_ - dispatcher.terminatingSince > kAcceptsWhileTerminating))
        continue;
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

  void clientReceives(std::uint32_t message, TraceEventType type, Millis retryAfter) {
    if (!awaitingResponse_[message]) return;
    awaitingResponse_[message] = false;
    record({.type = type, .message = message, .duration = retryAfter});
    if (type == TraceEventType::rejected) arrivalModel_.recordRejection(now_, message, retryAfter);
    scheduleArrivals();
  }

  void commandArrived(std::uint32_t d, std::uint32_t message) {
    Dispatcher& dispatcher = dispatchers_[d];
    if (!dispatcher.up) return;  // the client's timeout ends its wait
    bool clientLeft = !awaitingResponse_[message];
    bool rejects = dispatcher.diskFull || dispatcher.diskHangs || clientLeft ||
                   dispatcher.policy->messagesInFlight() >= experiment_.fleet.maxInFlight;
    schedule(now_ + experiment_.environment.nearOneWay, StepKind::responseReachesClient, message,
             static_cast<std::uint32_t>(rejects ? TraceEventType::rejected : TraceEventType::accepted));
    if (rejects) return;
    const SubmittedMessage& submitted = trace_.messages[message];
    Millis deadline = submitted.due + experiment_.types[submitted.type].settings.deadlineAfter;
    dispatcher.journal[message] = {deadline, {}};
    if (defects_.losesMessages && message % 20 == 0) return;
    runRound(d, [&](LabPolicy& p) {
      p.acceptMessage(idOf(message), TrafficTypeId{submitted.type}, TenantId{submitted.tenant},
                      OrderingKey{submitted.key}, DestinationId{submitted.destination}, deadline);
    });
  }

  // One round of a dispatcher's policy: `input` reports to the policy what happened, then the policy's
  // decisions are executed. The attempts of a batch are sent as one request.
  template <class Input>
  void runRound(std::uint32_t d, Input input) {
    LabPolicy& policy = *dispatchers_[d].policy;
    policy.beginRound(now_);
    input(policy);
    if (dispatchers_[d].diskHangs) return;  // no decision is executed that cannot be journaled
    std::map<int, std::vector<SendAttempt>> attemptsByRequest;
    while (auto decision = policy.nextDecision()) {
      if (const auto* attempt = std::get_if<SendAttempt>(&*decision)) {
        attemptsByRequest[policy.requestOf(attempt->message, attempt->attempt)].push_back(*attempt);
      } else {
        executeDecision(d, *decision);
      }
    }
    for (auto& [request, attempts] : attemptsByRequest) sendRequest(d, attempts);
  }

  void executeDecision(std::uint32_t d, const Decision& decision) {
    Dispatcher& dispatcher = dispatchers_[d];
    std::visit(
        Overloaded{
            [](const SendAttempt&) {},  // runRound() sends it with the others of its request
            [&](const CancelAttempt& cancel) { cancelAttempt(numberOf(cancel.message), cancel.attempt); },
            [&](const ShedMessage& shed) { notifyPlatform(dispatcher, shed.message, 2, shed.retryAfter); },
            [&](const FailMessage& failed) { notifyPlatform(dispatcher, failed.message, 1, 0); },
            [&](const SendHealthCheck& check) { sendHealthCheck(d, numberOf(check.endpoint)); },
            [&](const CloseIdleConnection& idle) {
              closeIdleConnections(dispatcher, numberOf(idle.endpoint));
            },
            [&](const SetTimer& timer) {
              dispatcher.timerAt = timer.at;
              schedule(std::max(now_, timer.at), StepKind::timerFires, d, 0, 0, timer.at);
            },
        },
        decision);
  }

  static std::uint32_t numberOf(MessageId message) { return message.value - 1; }
  static std::uint32_t numberOf(EndpointId endpoint) {
    return static_cast<std::uint32_t>(endpoint.value - 1);
  }

  // result: 1 failed, 2 shed.
  void notifyPlatform(Dispatcher& dispatcher, MessageId message, std::int32_t result, Millis retryAfter) {
    dispatcher.journal.erase(numberOf(message));
    schedule(now_ + experiment_.environment.nearOneWay, StepKind::notificationArrives, numberOf(message), 0,
             result, retryAfter);
  }

  void sendHealthCheck(std::uint32_t d, std::uint32_t endpoint) {
    for (int n = 0; n < (defects_.overloadsInSlowStart ? 10 : 1); ++n) {
      schedule(now_ + 3 * oneWayDelay(d, knownEndpoint(endpoint)), StepKind::healthCheckArrives, d, endpoint,
               static_cast<std::int32_t>(dispatchers_[d].processNumber));
    }
  }

  // An endpoint that only a faulty endpoint list names has no place in the network; the delays to the last
  // endpoint of the experiment apply to it.
  std::uint32_t knownEndpoint(std::uint32_t endpoint) const {
    return std::min(endpoint, static_cast<std::uint32_t>(experiment_.endpointCount() - 1));
  }

  void timerFired(std::uint32_t d, Millis timerAt) {
    Dispatcher& dispatcher = dispatchers_[d];
    if (!dispatcher.up || dispatcher.diskHangs || dispatcher.timerAt != timerAt) return;
    dispatcher.timerAt = -1;
    runRound(d, [](LabPolicy& p) { p.recordTimerFired(); });
  }

  // How long a dispatcher keeps an idle connection: it closes the connection connectTimeout earlier than the
  // endpoint would.
  Millis maxIdleTime() const {
    return std::max(
        0.0, experiment_.environment.connectionIdleTimeout -
                 std::min(experiment_.environment.connectionIdleTimeout, experiment_.fleet.connectTimeout));
  }

  void closeIdleConnections(Dispatcher& dispatcher, std::uint32_t endpoint) {
    auto pool = dispatcher.idleConnections.find(endpoint);
    if (pool == dispatcher.idleConnections.end()) return;
    for (std::size_t n = 0; n < pool->second.size(); ++n) endpointModel_.recordDisconnect(endpoint);
    dispatcher.idleConnections.erase(pool);
  }

  void closeExpiredConnections(std::uint32_t d, std::uint32_t endpoint) {
    auto pool = dispatchers_[d].idleConnections.find(endpoint);
    if (pool == dispatchers_[d].idleConnections.end()) return;
    std::erase_if(pool->second, [&](Millis since) {
      bool expired = now_ >= since + maxIdleTime();
      if (expired) endpointModel_.recordDisconnect(endpoint);
      return expired;
    });
    if (pool->second.empty()) dispatchers_[d].idleConnections.erase(pool);
  }

  void sendRequest(std::uint32_t d, const std::vector<SendAttempt>& attempts) {
    Dispatcher& dispatcher = dispatchers_[d];
    std::uint32_t number = nextRequest_++;
    SentRequest& request = requests_[number];
    request.dispatcher = static_cast<std::uint16_t>(d);
    request.endpoint = static_cast<std::uint32_t>(attempts.front().endpoint.value - 1);
    request.processNumber = dispatcher.processNumber;
    request.sent = now_;
    Millis idle = 0;
    bool reused = false;
    if (auto pool = dispatcher.idleConnections.find(request.endpoint);
        pool != dispatcher.idleConnections.end() && !pool->second.empty()) {
      idle = std::max(0.001, now_ - pool->second.back());
      pool->second.pop_back();
      reused = true;
    }
    for (const SendAttempt& sent : attempts) {
      std::uint32_t message = sent.message.value - 1;
      request.members.push_back({message, sent.attempt});
      dispatcher.journal[message].attempts.push_back({request.endpoint, now_, false});
      dispatcher.policy->recordConnectionIdleTime(sent.message, sent.attempt, idle);
      requestOfAttempt_[attemptKey(message, sent.attempt)] = number;
      schedule(now_ + sent.timeout, StepKind::timeout, number,
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
    Millis roundTrip = 2 * oneWayDelay(d, knownEndpoint(request.endpoint));
    if (connect == EndpointModel::ConnectResult::accepted)
      schedule(now_ + roundTrip + experiment_.environment.connectDelay, StepKind::connected, number);
    if (connect == EndpointModel::ConnectResult::refused)
      schedule(now_ + roundTrip, StepKind::connectFailed, number);
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
    bool mayStart = std::any_of(request.members.begin(), request.members.end(), [&](const RequestMember& m) {
      return !m.outcomeReported && policy.mayStartAttempt(idOf(m.message), m.attempt);
    });
    if (!mayStart) {
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
    if (endpointModel_.unreachable(request.endpoint, request.dispatcher)) return;  // the request is lost
    if (endpointModel_.refusesConnections(request.endpoint)) {
      // The endpoint reset the connection while the request was on its way.
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
    Millis due = endpointModel_.nextResponseAt(endpoint);
    auto [scheduled, inserted] = endpointResponseAt_.try_emplace(endpoint, -1);
    if (due < 0 || (scheduled->second >= 0 && scheduled->second <= due)) return;
    scheduled->second = due;
    schedule(std::max(due, now_), StepKind::endpointResponseDue, endpoint);
  }

  void endpointResponded(const EndpointResponse& response) {
    auto at = requests_.find(response.request);
    if (at == requests_.end()) return;
    SentRequest& request = at->second;
    request.responded = true;
    if (response.kind == ResponseKind::none ||
        endpointModel_.unreachable(request.endpoint, request.dispatcher))
      return;
    for (const RequestMember& m : request.members) {
      record({.type = TraceEventType::responded,
              .message = m.message,
              .request = response.request,
              .endpoint = request.endpoint,
              .dispatcher = request.dispatcher,
              .status = static_cast<std::int16_t>(response.kind),
              .duration = response.retryAfter,
              .executed = response.executed});
    }
    this->schedule(now_ + oneWayDelay(request.dispatcher, request.endpoint), StepKind::responseArrives,
                   response.request, 0, static_cast<std::int32_t>(response.kind), response.retryAfter);
  }

  void responseArrived(std::uint32_t number, ResponseKind kind, Millis retryAfter) {
    auto at = requests_.find(number);
    if (at == requests_.end() || at->second.closed) return;
    SentRequest& request = at->second;
    Dispatcher& dispatcher = dispatchers_[request.dispatcher];
    bool isComplete = kind == ResponseKind::ok || kind == ResponseKind::serverError ||
                      kind == ResponseKind::tooManyRequests || kind == ResponseKind::unavailable;
    if (dispatcher.processNumber == request.processNumber) {
      if (isComplete) {
        dispatcher.idleConnections[request.endpoint].push_back(now_);
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
      outcome = AttemptOutcome::completed;  // its status line arrived and was 200
    requestEnded(number, outcome, retryAfter, true);
  }

  // Removes a request and reports its outcome for each of its attempts.
  void requestEnded(std::uint32_t number, AttemptOutcome outcome, Millis retryAfter, bool withReport) {
    auto at = requests_.find(number);
    if (at == requests_.end()) return;
    SentRequest request = std::move(at->second);
    requests_.erase(at);
    Dispatcher& dispatcher = dispatchers_[request.dispatcher];
    bool alive = dispatcher.up && dispatcher.processNumber == request.processNumber;
    if (!alive) return;
    runRound(request.dispatcher, [&](LabPolicy& p) {
      for (const RequestMember& m : request.members)
        reportOutcome(p, request, m, outcome, retryAfter, withReport);
    });
  }

  void reportOutcome(LabPolicy& p, const SentRequest& request, const RequestMember& m, AttemptOutcome outcome,
                     Millis retryAfter, bool withReport) {
    Dispatcher& dispatcher = dispatchers_[request.dispatcher];
    requestOfAttempt_.erase(attemptKey(m.message, m.attempt));
    auto entry = dispatcher.journal.find(m.message);
    if (m.outcomeReported) {
      // Reported as timed out or cancelled before, but its batch completed after all: a further attempt would
      // deliver the message twice.
      if (outcome == AttemptOutcome::completed && entry != dispatcher.journal.end()) {
        p.cancelMessage(idOf(m.message));
        dispatcher.journal.erase(entry);
      }
      return;
    }
    bool mayHaveRun = outcome != AttemptOutcome::rejected && outcome != AttemptOutcome::connectFailed &&
                      outcome != AttemptOutcome::notSent;
    if (defects_.repeatsExecuted && mayHaveRun && outcome != AttemptOutcome::completed)
      outcome = AttemptOutcome::connectFailed;
    if (entry != dispatcher.journal.end() && !mayHaveRun) {
      entry->second.attempts.at(static_cast<std::size_t>(m.attempt)).provablyNotExecuted = true;
    }
    bool isFinal = outcome == AttemptOutcome::completed || entry == dispatcher.journal.end();
    LoadReport report;
    if (withReport && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, request.endpoint);
    p.recordAttemptOutcome(idOf(m.message), m.attempt, outcome, now_ - request.sent, isFinal,
                           defects_.ignoresRetryAfter ? 0 : retryAfter, report);
    if (outcome == AttemptOutcome::completed) dispatcher.journal.erase(m.message);
  }

  void timedOut(std::uint32_t number, std::uint32_t member) {
    auto at = requests_.find(number);
    if (at == requests_.end() || at->second.closed || at->second.members[member].outcomeReported) return;
    SentRequest& request = at->second;
    Dispatcher& dispatcher = dispatchers_[request.dispatcher];
    if (dispatcher.processNumber != request.processNumber) return;
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
      // Its outcome is reported in a step of its own: the policy must not be called while its decisions are
      // being read.
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
    bool allReported = std::all_of(request.members.begin(), request.members.end(),
                                   [](const RequestMember& other) { return other.outcomeReported; });
    if (allReported) closeConnection(number);
    runRound(ended.dispatcher, [&](LabPolicy& p) { reportOutcome(p, ended, m, outcome, 0, false); });
  }

  // The dispatcher closes the connection of a request; the endpoint learns of it a network delay later.
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
    bool executed = request.responded || endpointModel_.abandonRequest(now_, number, request.endpoint);
    scheduleEndpointResponse(request.endpoint);
    for (const RequestMember& m : request.members) {
      record({.type = TraceEventType::abandoned,
              .message = m.message,
              .request = number,
              .endpoint = request.endpoint,
              .dispatcher = request.dispatcher,
              .executed = executed});
    }
  }

  void notificationArrived(std::uint32_t message, int result, Millis retryAfter) {
    record({.type = TraceEventType::notificationReceived,
            .message = message,
            .status = static_cast<std::int16_t>(result),
            .duration = retryAfter});
    if (result == 2) {
      arrivalModel_.recordRejection(now_, message, retryAfter);
      scheduleArrivals();
    }
  }

  void healthCheckArrived(std::uint32_t d, std::uint32_t endpoint, std::uint32_t processNumber) {
    bool accepts = endpoint < static_cast<std::uint32_t>(experiment_.endpointCount()) &&
                   !endpointModel_.refusesConnections(endpoint);
    Millis returnDelay = oneWayDelay(d, knownEndpoint(endpoint));
    if (accepts && !endpointModel_.unreachable(endpoint, d)) {
      int status = endpointModel_.answerHealthCheck(now_, endpoint, static_cast<std::uint16_t>(d));
      if (status != 0)
        return schedule(now_ + returnDelay, StepKind::healthCheckEnds, d, endpoint, status, processNumber);
    } else if (!accepts) {
      record({.type = TraceEventType::connectionRefused,
              .endpoint = endpoint,
              .dispatcher = static_cast<std::uint16_t>(d)});
      return schedule(now_ + returnDelay, StepKind::healthCheckEnds, d, endpoint, 0, processNumber);
    }
    schedule(now_ + experiment_.fleet.connectTimeout, StepKind::healthCheckEnds, d, endpoint, -1,
             processNumber);
  }

  void healthCheckEnded(std::uint32_t d, std::uint32_t endpoint, int status, Millis processNumber) {
    Dispatcher& dispatcher = dispatchers_[d];
    if (!dispatcher.up || dispatcher.processNumber != static_cast<std::uint32_t>(processNumber)) return;
    AttemptOutcome outcome = status == 200   ? AttemptOutcome::completed
                             : status == 503 ? AttemptOutcome::rejected
                             : status == 0   ? AttemptOutcome::connectFailed
                                             : AttemptOutcome::timeout;
    LoadReport report;
    if (status == 200 && experiment_.environment.reportsLoad)
      report = endpointModel_.loadReport(now_, endpoint);
    runRound(d, [&](LabPolicy& p) { p.recordHealthCheckOutcome(endpointIdOf(endpoint), outcome, report); });
  }

  EndpointListEntry listEntry(std::uint32_t endpoint) const {
    return {endpointIdOf(endpoint),
            DestinationId{static_cast<std::uint16_t>(experiment_.destinationOf(static_cast<int>(endpoint)))},
            ZoneId{static_cast<std::uint8_t>(experiment_.zoneOf(static_cast<int>(endpoint)))}, 1,
            states_[endpoint]};
  }

  void startDispatcher(std::uint32_t d) {
    Dispatcher& dispatcher = dispatchers_[d];
    ++dispatcher.processNumber;
    dispatcher.up = true;
    dispatcher.stopped = dispatcher.terminating = false;
    dispatcher.timerAt = -1;
    dispatcher.policy = makePolicy(policyName_, experiment_.deploymentSettings(static_cast<int>(d)),
                                   seed_ * 1000003 + d * 7919 + dispatcher.processNumber);
    record({.type = TraceEventType::dispatcherUp, .dispatcher = static_cast<std::uint16_t>(d)});
    std::vector<EndpointListEntry> entries;
    for (std::uint32_t e = 0; e < states_.size(); ++e) entries.push_back(listEntry(e));
    runRound(d, [&](LabPolicy& p) {
      p.updateEndpointList(entries, true);
      for (const auto& [message, entry] : dispatcher.journal) {
        const SubmittedMessage& submitted = trace_.messages[message];
        p.acceptMessage(idOf(message), TrafficTypeId{submitted.type}, TenantId{submitted.tenant},
                        OrderingKey{submitted.key}, DestinationId{submitted.destination}, entry.deadline);
        for (const EarlierAttempt& earlier : entry.attempts) {
          p.recordEarlierAttempt(idOf(message), endpointIdOf(earlier.endpoint), earlier.at,
                                 earlier.provablyNotExecuted);
        }
      }
    });
    if (now_ == kStartTime) return;
    for (std::uint32_t e = 0; e < states_.size(); ++e) recordStateNotified(d, e, states_[e]);
  }

  void recordStateNotified(std::uint32_t d, std::uint32_t endpoint, EndpointState state) {
    record({.type = TraceEventType::endpointStateNotified,
            .endpoint = endpoint,
            .dispatcher = static_cast<std::uint16_t>(d),
            .status = static_cast<std::int16_t>(state)});
  }

  void endpointStateArrived(std::uint32_t d, std::uint32_t endpoint, EndpointState state) {
    Dispatcher& dispatcher = dispatchers_[d];
    if (!dispatcher.up) return;
    recordStateNotified(d, endpoint, state);
    if (defects_.ignoresDraining) return;
    bool nonexistent = endpoint >= states_.size();
    EndpointListEntry entry =
        listEntry(nonexistent ? endpoint - static_cast<std::uint32_t>(states_.size()) : endpoint);
    entry.id = endpointIdOf(endpoint);
    entry.state = state;
    if (nonexistent) entry.weight = 1e6;
    runRound(d, [&](LabPolicy& p) { p.updateEndpointList({entry}, false); });
  }

  // Discovery sends a state to all dispatchers; faults of discovery delay it.
  void notifyDispatchers(std::uint32_t endpoint, EndpointState state) {
    Millis arrivesAt =
        std::max(now_ + experiment_.environment.nearOneWay + discoveryDelay_, discoveryUnresponsiveUntil_);
    for (std::uint32_t d = 0; d < dispatchers_.size(); ++d) {
      schedule(arrivesAt, StepKind::endpointStateArrives, d, endpoint, static_cast<std::int32_t>(state));
    }
  }

  std::vector<std::uint32_t> affectedDispatchers(const Fault& fault) const {
    std::vector<std::uint32_t> affected;
    for (int d : fault.dispatchers) affected.push_back(static_cast<std::uint32_t>(d));
    if (affected.empty()) affected.push_back(0);
    return affected;
  }

  void applyFault(const Fault& fault, bool begins) {
    switch (fault.kind) {
      case FaultKind::drain:
        for (int e : experiment_.affectedEndpoints(fault)) {
          states_[static_cast<std::size_t>(e)] = begins ? EndpointState::draining : EndpointState::ready;
          notifyDispatchers(static_cast<std::uint32_t>(e), states_[static_cast<std::size_t>(e)]);
        }
        return;
      case FaultKind::discoveryDelayed:
        discoveryDelay_ = begins ? fault.factor : 0;
        return;
      case FaultKind::discoveryUnresponsive:
      case FaultKind::discoveryRefusing:
      case FaultKind::discoveryResetting:
      case FaultKind::discoveryRejecting:
        if (begins) discoveryUnresponsiveUntil_ = fault.until;
        return;
      case FaultKind::watchesForgotten:
      case FaultKind::discoveryMoved:
      case FaultKind::clientCrowd:
        return;  // the model has no polls and no connections of clients
      case FaultKind::discoveryWrong:
        // Adds to the list of each affected destination an endpoint that does not exist.
        for (int e : experiment_.affectedEndpoints(fault)) {
          if (e % experiment_.environment.endpoints != 0) continue;
          notifyDispatchers(static_cast<std::uint32_t>(experiment_.endpointCount() + e),
                            begins ? EndpointState::ready : EndpointState::removed);
        }
        return;
      case FaultKind::kill:
        for (std::uint32_t d : affectedDispatchers(fault)) {
          if (begins) dispatcherExited(d, dispatchers_[d].processNumber);
          if (!begins && !dispatchers_[d].up)
            schedule(now_ + experiment_.fleet.restartDelay, StepKind::dispatcherStarts, d);
        }
        return;
      case FaultKind::terminate:
        for (std::uint32_t d : affectedDispatchers(fault)) {
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
          for (std::uint32_t d : affectedDispatchers(fault)) {
            dispatchers_[d].diskHangs = begins;
            if (!begins && dispatchers_[d].up) runRound(d, [](LabPolicy& p) { p.recordTimerFired(); });
          }
          return;
        }
        [[fallthrough]];  // without a separate journal writer, the dispatcher stops as long as its disk hangs
      case FaultKind::stop:
        for (std::uint32_t d : affectedDispatchers(fault)) {
          if (!dispatchers_[d].up) continue;
          dispatchers_[d].stopped = begins;
          record({.type = begins ? TraceEventType::dispatcherDown : TraceEventType::dispatcherUp,
                  .dispatcher = static_cast<std::uint16_t>(d),
                  .status = 1});
          if (begins) continue;
          for (Step deferred : std::exchange(dispatchers_[d].deferredSteps, {})) {
            deferred.at = now_;
            deferred.sequence = sequence_++;
            steps_.push(deferred);
          }
        }
        return;
      case FaultKind::diskFull:
        for (std::uint32_t d : affectedDispatchers(fault)) dispatchers_[d].diskFull = begins;
        return;
      default:
        break;
    }
    if (begins && fault.kind == FaultKind::refuseConnections) {
      // All connections to these endpoints are reset, the idle ones too.
      for (Dispatcher& dispatcher : dispatchers_) {
        for (int e : experiment_.affectedEndpoints(fault))
          dispatcher.idleConnections.erase(static_cast<std::uint32_t>(e));
      }
    }
    for (const EndpointResponse& response : endpointModel_.applyFault(now_, fault, begins))
      endpointResponded(response);
    for (int e : experiment_.affectedEndpoints(fault))
      scheduleEndpointResponse(static_cast<std::uint32_t>(e));
  }

  void dispatcherExited(std::uint32_t d, std::uint32_t processNumber) {
    Dispatcher& dispatcher = dispatchers_[d];
    if (!dispatcher.up || dispatcher.processNumber != processNumber) return;
    dispatcher.up = dispatcher.terminating = false;
    record({.type = TraceEventType::dispatcherDown, .dispatcher = static_cast<std::uint16_t>(d)});
    for (auto& [endpoint, pool] : std::exchange(dispatcher.idleConnections, {})) {
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
  std::vector<bool> awaitingResponse_;  // by message: its client waits for the response to its command
  std::unordered_map<std::uint32_t, SentRequest> requests_;
  std::unordered_map<std::uint64_t, std::uint32_t> requestOfAttempt_;  // by attemptKey()
  // Request and member of attempts that the policy cancelled and whose outcome it does not know yet.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> cancelled_;
  std::unordered_map<std::uint32_t, Millis> endpointResponseAt_;  // by endpoint: when it is due, -1 for none
  std::uint32_t nextRequest_{1};
  std::size_t nextDispatcher_{0};
  Millis arrivalsAt_{-1};  // of the scheduled step arrivalsDue, negative for none
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
