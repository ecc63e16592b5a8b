#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admission/admission_controller.h"
#include "delivery/attempt_sender.h"
#include "dispatcher/journal_write_monitor.h"
#include "net/event_loop.h"
#include "net/loop_registration.h"
#include "policy/dispatch_policy.h"
#include "server/resp_server.h"
#include "storage/message_store.h"

namespace stonewing {

// Wakes the event loop when the background writer has completed a write that the loop did not wait for.
class JournalCompletion : public EventHandler {
 public:
  // `descriptor`: an eventfd of the journal, which stays open for longer than this object. Throws
  // std::system_error where the loop cannot watch it.
  JournalCompletion(EventLoop& loop, int descriptor)
      : descriptor_(descriptor), registration_(loop, descriptor, *this) {}
  void onEvents(std::uint32_t events) override;

 private:
  int descriptor_;
  LoopRegistration registration_;
};

// Writes to the journal what a turn has changed and only then acts on it towards clients and endpoints, so
// that nothing that was replied or sent can be lost by a crash. Where a background writer writes, a write
// that hangs keeps just these actions waiting; the loop goes on with what needs no record.
//
// Lives on the event loop's thread.
class JournalCommitter {
 public:
  // What a commit writes, and what acts on it. All must outlive the committer.
  struct Dependencies {
    EventLoop& loop;
    DispatchPolicy& policy;
    AdmissionController& admission;
    MessageStore& store;
    AttemptSender& sender;
    RespServer& server;
    JournalWriteMonitor& journalWrites;
  };

  // Throws std::system_error where the loop cannot watch the journal's descriptor.
  explicit JournalCommitter(const Dependencies& dependencies);

  // Writes all that is not in the journal yet, then sends the batches and replies that depend on it. Returns
  // early, with the write still under way, where it takes long; the next call goes on with it.
  void commit();

 private:
  void executeCommitted();
  void cancelLostMessages();
  void replyWithoutRecords();
  std::optional<std::string> replacementReply(MessageId id);

  EventLoop& loop_;
  DispatchPolicy& policy_;
  AdmissionController& admission_;
  MessageStore& store_;
  AttemptSender& sender_;
  RespServer& server_;
  JournalWriteMonitor& journalWrites_;
  std::optional<JournalCompletion> completion_;  // where a background writer writes the journal
};

}  // namespace stonewing
