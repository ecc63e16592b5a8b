#include "dispatcher/journal_committer.h"

#include <unistd.h>

#include "dispatcher/command_handler.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// The loop waits for a write this long: a write that is done by then costs no turn of its own.
constexpr Millis kCommitWait = 5;
// A turn that has lasted this long reads the clock again before it sends. Without this, after a write that
// hung in the loop or after long decisions, time-outs would count from a moment that has long passed.
constexpr Millis kMaxTimeAge = 5;
constexpr Millis kNoWait = 0;

}  // namespace

void JournalCompletion::onEvents(std::uint32_t) {
  std::uint64_t completedWrites = 0;
  // Only resets the event; whether the write is done is asked of the store.
  (void)!::read(descriptor_, &completedWrites, sizeof completedWrites);
}

JournalCommitter::JournalCommitter(const Dependencies& dependencies)
    : loop_(dependencies.loop),
      policy_(dependencies.policy),
      admission_(dependencies.admission),
      store_(dependencies.store),
      sender_(dependencies.sender),
      server_(dependencies.server),
      journalWrites_(dependencies.journalWrites) {
  if (store_.descriptor() >= 0) completion_.emplace(loop_, store_.descriptor());
}

void JournalCommitter::commit() {
  if (store_.isCommitting()) {
    if (!store_.finishCommit(kNoWait)) return replyWithoutRecords();
    journalWrites_.recordCompleted(loop_.now());
    if (store_.lastCommitHeldRecords()) executeCommitted();
  }
  do {
    store_.beginCommit();
    if (!store_.finishCommit(kCommitWait)) return replyWithoutRecords();
  } while (store_.hasUncommitted());
  executeCommitted();
}

void JournalCommitter::executeCommitted() {
  cancelLostMessages();
  if (loop_.refreshTime(kMaxTimeAge)) policy_.beginRound(loop_.now());
  sender_.sendBatches();
  server_.sendReplies([this](MessageId id) { return store_.isDecided(id); },
                      [this](MessageId id) { return replacementReply(id); });
  store_.clearLost();
}

// The journal has no record of these messages: they were never accepted, and attempts of them are not sent.
void JournalCommitter::cancelLostMessages() {
  for (MessageId id : store_.lostAcceptances()) {
    log::debug("message.not_journaled", {{"message", id.value}});
    policy_.cancelMessage(id);
  }
}

std::optional<std::string> JournalCommitter::replacementReply(MessageId id) {
  if (store_.isLostAcceptance(id)) return busyReply(admission_.recordRejection(loop_.now()));
  if (const StoredMessage* message = store_.find(id))
    log::debug("message.acknowledged", {{"message", message->reference}});
  return std::nullopt;
}

// A write takes long: rejections and errors need no record, and go out meanwhile.
void JournalCommitter::replyWithoutRecords() {
  journalWrites_.recordHanging(loop_.now(), store_.inFlight().size());
  server_.sendReplies([this](MessageId id) { return store_.isDecided(id) && !store_.isLostAcceptance(id); },
                      [](MessageId) { return std::nullopt; });
}

}  // namespace stonewing
