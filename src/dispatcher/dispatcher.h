#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission/admission_controller.h"
#include "delivery/attempt_sender.h"
#include "delivery/outcome_notifier.h"
#include "discovery/discovery_client.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "server/resp_server.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// What a dispatcher is told at its start.
struct DispatcherConfig {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string state;
  std::uint64_t seed{};
  std::size_t sockets{};
  std::size_t diskBytes{};
  std::size_t memoryBytes{};
  std::string settings;
  std::string known;             // a list of endpoints, in discovery's form
  std::string zoneFailover;      // what the operator says of rooms (docs/rooms.md); empty for nothing
  bool usesWriterThread{false};  // a thread of its own writes the journal
};

// Reads the start file; `get` gives the variables of the environment, empty for none. Throws ConfigError.
// operatorText: what the operator adds; its keys go before the first text's. Empty for nothing.
DispatcherConfig readConfig(std::string_view text, const std::function<std::string(const char*)>& get,
                            std::string_view operatorText = {});

// How the descriptors that the dispatcher may hold are dealt out, so that none can take those of another.
struct DescriptorBudget {
  std::size_t own{};                  // for the journal, discovery, the platform, the log and the loop
  std::size_t endpointConnections{};  // connections to endpoints
  std::size_t healthChecks{};         // of these, beside the concurrent requests
  std::size_t clients{};
  int maxConcurrentRequests{};  // attempts at once: the deployment's, or what the connections bear
};
// Throws ConfigError where there are too few for any work.
DescriptorBudget descriptorBudget(std::size_t sockets, int slots);

// What the deployment and the operator state together. Throws ConfigError.
DeploymentSettings deploymentSettings(const DispatcherConfig& orders);

// Holds back the signals that a dispatcher takes as events, from now until there is one. A reload asked for
// earlier would end the process.
void blockSignals();

// One dispatcher from its start to its exit.
class Dispatcher {
 public:
  // reread: what it is told now; throws ConfigError where that cannot be used.
  explicit Dispatcher(const DispatcherConfig& orders, std::function<DispatcherConfig()> reread = {});
  ~Dispatcher();
  void run();

 private:
  // In this order; none is gone back to.
  enum class State {
    recovering,  // what an earlier process left is accepted again
    serving,
    draining,           // told to end: clients are still taken, and on their way elsewhere
    finishing,          // no clients; what is held is attempted
    awaitingResponses,  // nothing new goes out; answers that are out may still come
    ended,
  };
  class SignalHandler;
  class JournalCompletion;

  void enter(State state);
  void recover();
  void reloadConfig();
  void advanceLifecycle();
  RespServer::CommandReply answer(const std::vector<std::string_view>& words, bool left);
  RespServer::CommandReply submit(const std::vector<std::string_view>& words, bool left);
  std::string busyReply(Millis wait);
  Millis ownWork() const;
  Millis workedThisTurn() const;
  void logZoneHealth();
  void logSlowTurn(Millis dispatched, Millis decided, Millis whole);
  void decide();
  void commitJournal();
  void executeDecisions();
  void reportHungWrite();
  void logFinished(MessageId id, const char* result, Millis wait);
  void execute(const Decision& decision);
  Millis due() const;

  DispatcherConfig config_;
  std::function<DispatcherConfig()> reread_;
  DeploymentSettings settings_;
  DescriptorBudget descriptors_;
  NameTables names_;
  State state_{State::recovering};
  Millis toldToEnd_{0};
  Millis wakeAt_{-1};
  std::size_t overBefore_{0};
  Millis began_{0};   // of this turn
  Millis worked_{0};  // up to the last turn's end
  Millis slowTold_{-1e15};
  int slowTurns_{0};
  bool endWanted_{false};
  bool rereadWanted_{false};
  EventLoop loop_;
  DispatchPolicy policy_;
  AdmissionController admission_;
  MessageStore store_;
  DiscoveryClient discovery_;
  AttemptSender sender_;
  OutcomeNotifier notifier_;
  RespServer server_;
  std::unique_ptr<SignalHandler> signals_;
  std::unique_ptr<JournalCompletion> journalCompletion_;  // where a thread writes the journal
  Millis hangsSince_{-1};  // the write under way was begun then; -1 for none that took long
  bool hangTold_{false};
  std::vector<int> roomsTold_;  // of each room: 0 in order, 1 lost, 2 fed as it returns
  bool moreToDecide_{false};    // the last turn's part of deciding was used up
};

}  // namespace stonewing
