#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "admission/admission_controller.h"
#include "delivery/attempt_sender.h"
#include "delivery/outcome_notifier.h"
#include "discovery/discovery_client.h"
#include "dispatcher/command_handler.h"
#include "dispatcher/config.h"
#include "dispatcher/config_reloader.h"
#include "dispatcher/decision_executor.h"
#include "dispatcher/descriptor_budget.h"
#include "dispatcher/journal_committer.h"
#include "dispatcher/journal_write_monitor.h"
#include "dispatcher/lifecycle.h"
#include "dispatcher/signal_handler.h"
#include "dispatcher/turn_monitor.h"
#include "dispatcher/unacknowledged_messages.h"
#include "dispatcher/zone_health_log.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "server/resp_server.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// One dispatcher from its start to its exit: owns all components and runs the turns of the event loop. All
// work is done on the thread that calls run(), except for the writes of the journal's background writer.
class Dispatcher {
 public:
  // `source`: reads the configuration for a reload; empty if the configuration never changes. Opens the
  // journal and raises the process's descriptor limit. Throws ConfigError or SettingsError if the
  // configuration is invalid, std::system_error if the system has no descriptor left, and the exceptions of
  // the MessageStore constructor for the journal's folder.
  explicit Dispatcher(const DispatcherConfig& config, ConfigSource source = {});
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Recovers the journal's messages, serves clients, and returns when a signal has requested the shutdown and
  // either the work is done or its time limit has passed. To be called once. Throws std::system_error if the
  // dispatcher cannot listen on the address for clients.
  void run();

 private:
  void start();
  void runTurn();
  void tickConnections();
  void advanceLifecycle();
  void enterState(LifecycleState state);
  UnfinishedWork unfinishedWork() const;
  void commitAndDecide();
  void recordTurn();
  bool mayDecideNow() const;
  Millis nextTurnDue() const;

  // The order matters: each member refers to members above it only.
  const DispatcherConfig config_;
  const DeploymentSettings settings_;
  const DescriptorBudget descriptors_;
  const NameTables names_;
  EventLoop loop_;
  DispatchPolicy policy_;
  AdmissionController admission_;
  MessageStore store_;
  DiscoveryClient discovery_;
  AttemptSender sender_;
  OutcomeNotifier notifier_;
  Lifecycle lifecycle_;
  TurnMonitor turnMonitor_;
  JournalWriteMonitor journalWrites_;
  UnacknowledgedMessages unacknowledged_;
  CommandHandler commandHandler_;
  RespServer server_;
  SignalHandler signals_;
  JournalCommitter committer_;
  DecisionExecutor decisions_;
  ConfigReloader reloader_;
  ZoneHealthLog zoneHealthLog_;
  std::size_t finishedMessagesRecorded_{0};  // how many finished messages admission_ has recorded
};

}  // namespace stonewing
