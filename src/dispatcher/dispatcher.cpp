#include "dispatcher/dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dispatcher/recovery.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// Commands and replies of all clients may use a tenth of the process's memory.
constexpr std::size_t kClientMemoryDivisor = 10;
// Accepted messages and pending notifications may use a third of it. The allocator may need half as much
// again for what lies between them.
constexpr std::size_t kMessageMemoryDivisor = 3;
constexpr std::size_t kFinishedReferenceMemoryDivisor = 64;
// Responses of all endpoints may use a tenth of it.
constexpr std::size_t kResponseMemoryDivisor = 10;
// If at least this many clients wait for replies, the journal is written before the decisions of the turn, so
// that the replies need not wait for these decisions. Otherwise the accepted messages and the attempts of the
// turn share one write of the journal.
constexpr std::size_t kClientsForEarlyCommit = 16;
// Each random generator has its own seed. With a common seed, their draws would be correlated.
constexpr std::uint64_t kAdmissionSeedOffset = 1;
constexpr std::uint64_t kDiscoverySeedOffset = 2;

DispatcherConfig withAllowedDescriptors(DispatcherConfig config) {
  config.maxDescriptors = raiseDescriptorLimit(config.maxDescriptors);
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
      descriptors_(descriptorBudget(config_.maxDescriptors, settings_.maxConcurrentRequests)),
      names_(readNameTables(config_.settings)),
      policy_(withinBudget(settings_, descriptors_), config_.seed),
      admission_(admissionSettings(settings_, config_.maxMemoryBytes / kMessageMemoryDivisor),
                 config_.seed + kAdmissionSeedOffset),
      store_(names_, config_.journalFolder, config_.maxJournalBytes, config_.journalWriter,
             config_.maxMemoryBytes / kFinishedReferenceMemoryDivisor),
      discovery_(loop_, policy_, names_, requireAddress(config_.discoveryAddress, "discovery"),
                 config_.discoveryAddress, config_.seed + kDiscoverySeedOffset,
                 pollTiming(settings_.discoveryKind, settings_.drainGrace)),
      sender_(loop_, policy_, store_, discovery_, settings_, names_,
              {.maxConnections = descriptors_.endpointConnections,
               .maxHealthChecks = descriptors_.healthChecks,
               .maxResponseMemoryBytes = config_.maxMemoryBytes / kResponseMemoryDivisor}),
      notifier_(loop_, store_, requireAddress(config_.discoveryAddress, "discovery"),
                config_.discoveryAddress),
      turnMonitor_(loop_, store_),
      commandHandler_({loop_, lifecycle_, turnMonitor_, journalWrites_, discovery_, settings_, names_,
                       admission_, store_, policy_, unacknowledged_}),
      server_(loop_, descriptors_.clients, config_.maxMemoryBytes / kClientMemoryDivisor,
              [this](const std::vector<std::string_view>& words, CommandSource source) {
                return commandHandler_.handle(words, source);
              }),
      signals_(loop_),
      committer_({loop_, policy_, admission_, store_, discovery_, sender_, server_, journalWrites_,
                  unacknowledged_}),
      decisions_(policy_, sender_, store_),
      reloader_(config_, std::move(source), discovery_, notifier_),
      zoneHealthLog_(names_.zones) {
  requireAddress(config_.listenAddress, "listen");
  loop_.setDescriptorExhaustionHandler([this] { return server_.closeIdlestClient(); });
}

void Dispatcher::run() {
  start();
  while (!lifecycle_.isEnded()) runTurn();
}

void Dispatcher::start() {
  enterState(LifecycleState::recovering);
  recover(config_.knownEndpoints, loop_.now(), {policy_, store_, discovery_});
  server_.listen(requireAddress(config_.listenAddress, "listen"));
  enterState(LifecycleState::serving);
  turnMonitor_.start();
}

// The order of the steps matters. All received data is read first, so that decisions take it into account.
// Decisions are written to the journal before they are carried out, so that a crash cannot lose them.
void Dispatcher::runTurn() {
  loop_.wait(nextTurnDue());
  policy_.beginRound(loop_.now());
  if (decisions_.takeDueTimer(loop_.now())) policy_.recordTimerFired();
  turnMonitor_.beginTurn();
  // After a stall, a connection may be reported before the list that says that its endpoint drains.
  if (loop_.stalledFor() > 0) discovery_.readAfterStall(loop_.stalledFor());
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
  if (!store_.isCommitting()) sender_.recordRequests();
  committer_.commit();
}

// While a journal write hangs, no decisions are made: they could not be carried out before it completes, and
// would be based on outdated information by then.
bool Dispatcher::mayDecideNow() const { return lifecycle_.mayDecide() && !store_.isCommitting(); }

void Dispatcher::recordTurn() {
  for (; finishedMessagesRecorded_ < store_.finishedCount(); ++finishedMessagesRecorded_)
    admission_.recordFinished(loop_.now());
  admission_.recordTurn(loop_.now(), turnMonitor_.takeTurnWork());
  zoneHealthLog_.logChanges(loop_.now(), policy_.state().zones);
  turnMonitor_.logIfSlow(store_.inFlight().size(), server_.clientCount());
}

void Dispatcher::advanceLifecycle() {
  if (signals_.isShutdownRequested()) lifecycle_.requestShutdown(loop_.now());
  if (!lifecycle_.isShutdownRequested()) return;
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
