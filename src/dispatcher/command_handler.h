#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_controller.h"
#include "discovery/discovery_client.h"
#include "dispatcher/journal_write_monitor.h"
#include "dispatcher/lifecycle.h"
#include "dispatcher/turn_monitor.h"
#include "dispatcher/unacknowledged_messages.h"
#include "logging/rate_limit.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "server/resp_server.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// The reply to a message that was not accepted and may be submitted again. `retryAfter`: milliseconds to
// wait before submitting it again; 0 or less: the reply states no time.
std::string busyReply(Millis retryAfter);

// Executes the commands of clients, PING and SUBMIT: decodes a message, decides on its admission, stores it
// and passes it to the policy. The RESP server calls it for each command, on the event loop's thread.
class CommandHandler {
 public:
  // The components that commands read and change. All must outlive the handler.
  struct Dependencies {
    const EventLoop& loop;
    const Lifecycle& lifecycle;
    const TurnMonitor& turnMonitor;
    const JournalWriteMonitor& journalWrites;
    const DiscoveryClient& discovery;
    const DeploymentSettings& settings;
    const NameTables& names;
    AdmissionController& admission;
    MessageStore& store;
    DispatchPolicy& policy;
    UnacknowledgedMessages& unacknowledged;
  };

  explicit CommandHandler(const Dependencies& dependencies);

  // Executes the command whose name is `words[0]`, in capitals; `words` is not empty. The reply to an
  // accepted message must not be sent before the message's record is in the journal. Throws Error for an
  // invalid command; the server then replies with an error and closes the connection.
  RespServer::CommandReply handle(const std::vector<std::string_view>& words, CommandSource source);

 private:
  RespServer::CommandReply submit(const std::vector<std::string_view>& words, CommandSource source);
  std::optional<RespServer::CommandReply> replyToKnownReference(const StoredMessage& message);
  RespServer::CommandReply acceptRepeated(MessageId id);
  void logConflict(const StoredMessage& message, const ReferenceConflict& conflict);
  AdmissionDecision decideAdmission(const StoredMessage& message);
  void logRejected(const StoredMessage& message, RejectionReason reason);
  RespServer::CommandReply accept(StoredMessage message, Millis receivedWall);

  const EventLoop& loop_;
  const Lifecycle& lifecycle_;
  const TurnMonitor& turnMonitor_;
  const JournalWriteMonitor& journalWrites_;
  const DiscoveryClient& discovery_;
  const DeploymentSettings& settings_;
  const NameTables& names_;
  AdmissionController& admission_;
  MessageStore& store_;
  DispatchPolicy& policy_;
  UnacknowledgedMessages& unacknowledged_;
  log::RateLimit rejectionLines_;
  log::RateLimit conflictLines_;
};

}  // namespace stonewing
