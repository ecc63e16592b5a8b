#include "dispatcher/journal_committer.h"

#include <unistd.h>

#include "dispatcher/command_handler.h"
#include "logging/log.h"

namespace stonewing {
namespace {

// How long the loop waits for a write. A write that completes within this time needs no further turn of the
// loop.
constexpr Millis kCommitWait = 5;
// If the time of the turn is older than this, the clock is read again before requests are sent. Without this,
// after a write that hung in the loop or after long decisions, the timeouts of requests would count from an
// outdated time, and they could go to endpoints that have begun to drain meanwhile.
constexpr Millis kMaxTimeAge = 5;
constexpr Millis kNoWait = 0;
constexpr Millis kNoRetryAfter = 0;
constexpr double kRevocationLinesPerSecond = 10;
constexpr double kRevocationLineBurst = 100;

}  // namespace

void JournalCompletion::onEvents(std::uint32_t) {
  std::uint64_t completedWrites = 0;
  // Only resets the eventfd. commit() asks the store whether the write has completed.
  (void)!::read(descriptor_, &completedWrites, sizeof completedWrites);
}

JournalCommitter::JournalCommitter(const Dependencies& dependencies)
    : loop_(dependencies.loop),
      policy_(dependencies.policy),
      admission_(dependencies.admission),
      store_(dependencies.store),
      discovery_(dependencies.discovery),
      sender_(dependencies.sender),
      server_(dependencies.server),
      journalWrites_(dependencies.journalWrites),
      unacknowledged_(dependencies.unacknowledged),
      revocationLines_(kRevocationLinesPerSecond, kRevocationLineBurst) {
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
  const Millis decidedAt = loop_.now();
  if (loop_.refreshTime(kMaxTimeAge)) {
    policy_.beginRound(loop_.now());
    discovery_.readAfterStall(loop_.now() - decidedAt);
  }
  // Replies come first: only they show which clients have left, and what these submitted is not to be sent.
  server_.sendReplies([this](MessageId id) { return store_.isAcceptanceDecided(id); },
                      [this](MessageId id, ClientSide side) { return replacementReply(id, side); });
  applyAcknowledgementChanges();
  sender_.sendRequests();
  store_.clearLost();
}

// Cancels the messages whose record could not be written. They count as not accepted, and no attempts of them
// are sent.
void JournalCommitter::cancelLostMessages() {
  for (MessageId id : store_.lostAcceptances()) {
    log::debug("message.not_journaled", {{"message", id.value}});
    policy_.cancelMessage(id);
  }
}

void JournalCommitter::applyAcknowledgementChanges() {
  const AcknowledgementChanges changes = server_.takeAcknowledgementChanges();
  for (MessageId id : changes.written) unacknowledged_.recordWritten(id);
  for (MessageId id : changes.dropped) {
    if (unacknowledged_.recordDropped(id)) revoke(id);
  }
}

// Revokes a message of whose acceptance no client can know. Its client has submitted it again elsewhere,
// and would have it executed twice. Returns false for a message that may have been executed: it stays
// accepted, so that the same reference is not executed again.
bool JournalCommitter::revoke(MessageId id) {
  const StoredMessage* message = store_.find(id);
  if (message == nullptr || !sender_.cancelUnsent(id)) return false;
  if (revocationLines_.allow(loop_.now())) {
    log::info("message.revoked", {{"message", message->reference},
                                  {"client", message->submitter},
                                  {"suppressed", revocationLines_.takeSuppressed()}});
  }
  policy_.cancelMessage(id);
  store_.recordRevoked(id);
  return true;
}

std::optional<std::string> JournalCommitter::replacementReply(MessageId id, ClientSide side) {
  if (store_.isLostAcceptance(id)) return busyReply(admission_.recordRejection(loop_.now()));
  if (side == ClientSide::closed && unacknowledged_.hasOneReplyLeft(id) && revoke(id))
    return busyReply(kNoRetryAfter);
  if (const StoredMessage* message = store_.find(id))
    log::debug("message.acknowledged", {{"message", message->reference}});
  return std::nullopt;
}

// Called while a write takes long. Sends the replies that do not wait for the write, such as rejections and
// errors.
void JournalCommitter::replyWithoutRecords() {
  journalWrites_.recordHanging(loop_.now(), store_.inFlight().size());
  server_.sendReplies(
      [this](MessageId id) { return store_.isAcceptanceDecided(id) && !store_.isLostAcceptance(id); },
      [](MessageId, ClientSide) { return std::nullopt; });
}

}  // namespace stonewing
