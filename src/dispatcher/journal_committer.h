#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admission/admission_controller.h"
#include "delivery/attempt_sender.h"
#include "discovery/discovery_client.h"
#include "dispatcher/journal_write_monitor.h"
#include "dispatcher/unacknowledged_messages.h"
#include "logging/rate_limit.h"
#include "net/event_loop.h"
#include "net/loop_registration.h"
#include "policy/dispatch_policy.h"
#include "server/resp_server.h"
#include "storage/message_store.h"

namespace stonewing {

// Wakes the event loop when the background writer has completed a write that the loop did not wait for.
class JournalCompletion : public EventHandler {
 public:
  // `descriptor`: an eventfd of the journal, which must stay open while this object exists. Throws
  // std::system_error if the loop cannot watch the descriptor.
  JournalCompletion(EventLoop& loop, int descriptor)
      : descriptor_(descriptor), registration_(loop, descriptor, *this) {}
  void onEvents(std::uint32_t events) override;

 private:
  int descriptor_;
  LoopRegistration registration_;
};

// Writes the changes of a turn to the journal and only then sends the replies and requests that depend on
// them. So a crash cannot lose a change of which a client or an endpoint has learned. With a background
// writer, a write that hangs delays only these replies and requests; the loop continues with work that needs
// no record.
//
// Used on the event loop's thread only.
class JournalCommitter {
 public:
  // The components that a commit reads and changes. All must outlive the committer.
  struct Dependencies {
    EventLoop& loop;
    DispatchPolicy& policy;
    AdmissionController& admission;
    MessageStore& store;
    DiscoveryClient& discovery;
    AttemptSender& sender;
    RespServer& server;
    JournalWriteMonitor& journalWrites;
    UnacknowledgedMessages& unacknowledged;
  };

  // Throws std::system_error if the loop cannot watch the journal's descriptor.
  explicit JournalCommitter(const Dependencies& dependencies);

  // Writes all changes that are not in the journal yet, then sends the batches and replies that depend on
  // them. If the write takes long, returns while it is still in progress; the next call continues with it.
  void commit();

 private:
  void executeCommitted();
  void cancelLostMessages();
  void replyWithoutRecords();
  std::optional<std::string> replacementReply(MessageId id, ClientSide side);
  void applyAcknowledgementChanges();
  bool revoke(MessageId id);

  EventLoop& loop_;
  DispatchPolicy& policy_;
  AdmissionController& admission_;
  MessageStore& store_;
  DiscoveryClient& discovery_;
  AttemptSender& sender_;
  RespServer& server_;
  JournalWriteMonitor& journalWrites_;
  UnacknowledgedMessages& unacknowledged_;
  log::RateLimit revocationLines_;
  std::optional<JournalCompletion> completion_;  // only with a background writer
};

}  // namespace stonewing
