#include "dispatcher/dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dispatcher/recovery.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// The part of the process's memory that commands which have arrived in part may take: a tenth.
constexpr std::size_t kPartialCommandsMemoryDivisor = 10;
// This many clients with replies do not wait for the decisions of the turn; fewer share one write of the
// journal with their attempts.
constexpr std::size_t kClientsForEarlyCommit = 16;
// Each random generator has a seed of its own; the same one would tie their draws to each other.
constexpr std::uint64_t kAdmissionSeedOffset = 1;
constexpr std::uint64_t kDiscoverySeedOffset = 2;

DispatcherConfig withAllowedDescriptors(DispatcherConfig config) {
  config.sockets = raiseDescriptorLimit(config.sockets);
  return config;
}

DeploymentSettings withinBudget(DeploymentSettings settings, const DescriptorBudget& descriptors) {
  settings.maxConcurrentRequests = descriptors.maxConcurrentRequests;
  return settings;
}

Millis earlier(Millis due, std::optional<Millis> other) { return other ? std::min(due, *other) : due; }

}  // namespace

Dispatcher::Dispatcher(const DispatcherConfig& config, ConfigSource source)
    : config_(withAllowedDescriptors(config)),
      settings_(deploymentSettings(config_)),
      descriptors_(descriptorBudget(config_.sockets, settings_.maxConcurrentRequests)),
      names_(readNameTables(config_.settings)),
      policy_(withinBudget(settings_, descriptors_), config_.seed),
      admission_(admissionSettings(settings_), config_.seed + kAdmissionSeedOffset),
      store_(names_, config_.state, config_.diskBytes, config_.journalWriter),
      discovery_(loop_, policy_, names_, requireAddress(config_.discovery, "discovery"), config_.discovery,
                 config_.seed + kDiscoverySeedOffset),
      sender_(loop_, policy_, store_, discovery_, settings_, names_, descriptors_.endpointConnections,
              descriptors_.healthChecks),
      notifier_(loop_, store_, requireAddress(config_.discovery, "discovery"), config_.discovery),
      turnMonitor_(loop_, store_),
      commandHandler_({loop_, lifecycle_, turnMonitor_, journalWrites_, discovery_, settings_, names_,
                       admission_, store_, policy_}),
      server_(loop_, descriptors_.clients, config_.memoryBytes / kPartialCommandsMemoryDivisor,
              [this](const std::vector<std::string_view>& words, bool clientHasClosed) {
                using ClientSide = CommandHandler::ClientSide;
                return commandHandler_.handle(words, clientHasClosed ? ClientSide::closed : ClientSide::open);
              }),
      signals_(loop_),
      committer_({loop_, policy_, admission_, store_, sender_, server_, journalWrites_}),
      decisions_(policy_, sender_, store_),
      reloader_(config_, std::move(source), discovery_, notifier_),
      zoneHealthLog_(names_.zones) {
  requireAddress(config_.listen, "listen");
  loop_.onDescriptorExhaustion([this] { return server_.closeIdlestClient(); });
}

void Dispatcher::run() {
  start();
  while (!lifecycle_.isEnded()) runTurn();
}

void Dispatcher::start() {
  enterState(LifecycleState::recovering);
  recover(config_.known, loop_.now(), {policy_, store_, discovery_});
  server_.listen(requireAddress(config_.listen, "listen"));
  enterState(LifecycleState::serving);
  turnMonitor_.start();
}

// The order of the steps is part of the behaviour: what has arrived is read first, so that decisions are made
// on all of it; what is decided is written before it is acted on.
void Dispatcher::runTurn() {
  loop_.wait(nextTurnDue());
  policy_.beginRound(loop_.now());
  if (decisions_.takeDueTimer(loop_.now())) policy_.recordTimerFired();
  turnMonitor_.beginTurn();
  loop_.dispatch();
  turnMonitor_.recordDispatched();
  if (signals_.takeReloadRequest()) reloader_.reload();
  tickConnections();
  advanceLifecycle();
  commitAndDecide();
  turnMonitor_.recordDecided();
  if (!store_.isCommitting()) notifier_.onTick();
  recordTurn();
}

void Dispatcher::tickConnections() {
  sender_.onTick();
  discovery_.onTick();
  server_.onTick();
}

void Dispatcher::commitAndDecide() {
  if (server_.clientsWithReplies() >= kClientsForEarlyCommit || store_.isCommitting()) committer_.commit();
  if (mayDecideNow()) decisions_.executeDecisions();
  committer_.commit();
}

// Decisions that are made while a write hangs could not be carried out, and would rest on old facts once they
// can.
bool Dispatcher::mayDecideNow() const { return lifecycle_.mayDecide() && !store_.isCommitting(); }

void Dispatcher::recordTurn() {
  for (; finishedMessagesRecorded_ < store_.finishedCount(); ++finishedMessagesRecorded_)
    admission_.recordFinished(loop_.now());
  admission_.recordTurn(loop_.now(), turnMonitor_.takeTurnWork());
  zoneHealthLog_.logChanges(loop_.now(), policy_.state().zones);
  turnMonitor_.logIfSlow(store_.inFlight().size(), server_.clientCount());
}

void Dispatcher::advanceLifecycle() {
  if (signals_.isEndRequested()) lifecycle_.requestEnd(loop_.now());
  if (!lifecycle_.isEndRequested()) return;
  while (const auto next = lifecycle_.nextState(loop_.now(), unfinishedWork())) enterState(*next);
}

void Dispatcher::enterState(LifecycleState state) {
  const bool stopsAccepting = state == LifecycleState::finishing;
  if (stopsAccepting) server_.stopListening();
  lifecycle_.enter(state);
  log::info("lifecycle.changed", {{"name", config_.name},
                                  {"state", nameOf(state)},
                                  {"in_flight", store_.inFlight().size()},
                                  {"pending_notifications", store_.pendingNotifications().size()}});
  if (stopsAccepting) server_.drain();
}

UnfinishedWork Dispatcher::unfinishedWork() const {
  UnfinishedWork work;
  work.messagesInFlight = !store_.inFlight().empty();
  work.pendingNotifications = !notifier_.idle();
  work.requestsInFlight = !sender_.idle();
  work.clientsConnected = server_.clientCount() > 0;
  return work;
}

Millis Dispatcher::nextTurnDue() const {
  if (decisions_.hasMore() && mayDecideNow()) return loop_.now();
  Millis due = std::min({sender_.due(), discovery_.due(), server_.due()});
  if (!store_.isCommitting()) due = std::min(due, notifier_.due());
  due = earlier(due, journalWrites_.reportDue());
  if (mayDecideNow()) due = earlier(due, decisions_.timerDue());
  return earlier(due, lifecycle_.deadline());
}

}  // namespace stonewing
