#include "dispatcher/command_handler.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

#include "base/errors.h"
#include "base/overloaded.h"
#include "logging/log.h"

namespace stonewing {
namespace {

constexpr const char* kOkReply = "+OK\r\n";
constexpr const char* kPongReply = "+PONG\r\n";
// To a message that has failed and may have been executed. It is no error of the client, which may go on.
constexpr const char* kFailedReply = "-FAILED the message has ended, and may have been executed\r\n";
constexpr Millis kNoRetryAfter = 0;
constexpr double kRejectionLinesPerSecond = 10;
constexpr double kRejectionLineBurst = 100;
constexpr double kConflictLinesPerSecond = 10;
constexpr double kConflictLineBurst = 100;
constexpr std::size_t kPingWords = 1;
constexpr std::size_t kSubmitWords = 5;  // SUBMIT, ordering key, message id, field list, body

}  // namespace

std::string busyReply(Millis retryAfter) {
  if (retryAfter <= 0) return "-BUSY\r\n";
  return "-BUSY " + std::to_string(static_cast<std::int64_t>(std::ceil(retryAfter))) + "\r\n";
}

CommandHandler::CommandHandler(const Dependencies& dependencies)
    : loop_(dependencies.loop),
      lifecycle_(dependencies.lifecycle),
      turnMonitor_(dependencies.turnMonitor),
      journalWrites_(dependencies.journalWrites),
      discovery_(dependencies.discovery),
      settings_(dependencies.settings),
      names_(dependencies.names),
      admission_(dependencies.admission),
      store_(dependencies.store),
      policy_(dependencies.policy),
      unacknowledged_(dependencies.unacknowledged),
      rejectionLines_(kRejectionLinesPerSecond, kRejectionLineBurst),
      conflictLines_(kConflictLinesPerSecond, kConflictLineBurst) {}

RespServer::CommandReply CommandHandler::handle(const std::vector<std::string_view>& words,
                                                CommandSource source) {
  if (words[0] == "PING") {
    if (words.size() != kPingWords) throw ProtocolError("PING takes no arguments");
    return {kPongReply};
  }
  if (words[0] == "SUBMIT") return submit(words, source);
  throw ProtocolError("unknown command; the commands are PING and SUBMIT");
}

RespServer::CommandReply CommandHandler::submit(const std::vector<std::string_view>& words,
                                                CommandSource source) {
  if (words.size() != kSubmitWords)
    throw ProtocolError("SUBMIT needs 4 arguments: ordering key, message id, field list, body");
  // Whole milliseconds, because rounding of fractions would make equal durations unequal.
  const Millis receivedWall = std::floor(wallNow());
  StoredMessage message = store_.decode(words[1], words[2], words[3], words[4], receivedWall);
  message.submitter = source.client;
  if (auto reply = replyToKnownReference(message)) return *std::move(reply);
  if (!discovery_.hasEverListed(message.destination)) {
    // Until discovery has answered, the endpoint list may be outdated and lack a new destination.
    if (!discovery_.hasAcceptedResponse()) return {busyReply(kNoRetryAfter)};
    throw ProtocolError("unknown dest");
  }
  // A client that has not waited for the reply submits the message to another dispatcher. If this dispatcher
  // accepted the message too, it would deliver the message unnecessarily.
  if (source.side == ClientSide::closed || !lifecycle_.mayAcceptMessages()) return {busyReply(kNoRetryAfter)};
  const AdmissionDecision admission = decideAdmission(message);
  if (!admission.accepted) {
    logRejected(message, admission.reason);
    return {busyReply(admission.retryAfter)};
  }
  return accept(std::move(message), receivedWall);
}

void CommandHandler::logRejected(const StoredMessage& message, RejectionReason reason) {
  if (!rejectionLines_.allow(loop_.now())) return;
  log::info("message.rejected", {{"message", message.reference},
                                 {"reason", nameOf(reason)},
                                 {"client", message.submitter},
                                 {"in_flight", policy_.state().messagesInFlight},
                                 {"message_bytes", store_.memoryBytes()},
                                 {"turn_work_ms", turnMonitor_.workThisTurn()},
                                 {"suppressed", rejectionLines_.takeSuppressed()}});
}

AdmissionDecision CommandHandler::decideAdmission(const StoredMessage& message) {
  const Millis now = loop_.now();
  const SubmitterUsage client = store_.usageOf(message.submitter);
  const AdmissionInputs inputs{.now = now,
                               .messagesInFlight = policy_.state().messagesInFlight,
                               .journalFillShare = store_.usedShare(),
                               .journalWriteAge = journalWrites_.hangingFor(now),
                               .workThisTurn = turnMonitor_.workThisTurn(),
                               .messageBytes = store_.memoryBytes(),
                               .submittedBytes = LiveMessages::memoryOf(message),
                               .clientMessages = client.messages,
                               .clientBytes = client.memoryBytes};
  const double priorityWeight = settings_.types.at(message.type.value).priorityWeight;
  return admission_.decide(inputs, priorityWeight, policy_.isOverQuota(message.tenant));
}

// The reply to a message whose reference is known; no value if it may be accepted as a new message.
std::optional<RespServer::CommandReply> CommandHandler::replyToKnownReference(const StoredMessage& message) {
  using Reply = std::optional<RespServer::CommandReply>;
  const Overloaded reply{
      [](const NewSubmission&) -> Reply { return std::nullopt; },
      // The client has submitted the message again because the first reply was lost.
      [&](const SameInFlight& same) -> Reply { return acceptRepeated(same.id); },
      [](const SameExecuted& same) -> Reply {
        return {{same.outcome == ExecutedOutcome::delivered ? kOkReply : kFailedReply}};
      },
      // The platform is yet to hear that the id was rejected, so no message is accepted under it.
      [](const ShedUnconfirmed& shed) -> Reply { return {{busyReply(shed.retryAfter)}}; },
      // Nothing tells which of the two clients uses an id that is not its own. Its message was not accepted,
      // and the client may submit it under a new id.
      [&](const ReferenceConflict& conflict) -> Reply {
        logConflict(message, conflict);
        return {{busyReply(kNoRetryAfter)}};
      },
  };
  return std::visit(reply, store_.match(message));
}

void CommandHandler::logConflict(const StoredMessage& message, const ReferenceConflict& conflict) {
  if (!conflictLines_.allow(loop_.now())) return;
  log::warn("message.id_conflict",
            {{"message", message.reference},
             {"client", message.submitter},
             {"other", nameOf(conflict.holder)},
             {"differs", conflict.difference ? nameOf(*conflict.difference) : "unknown"},
             {"suppressed", conflictLines_.takeSuppressed()}});
}

RespServer::CommandReply CommandHandler::acceptRepeated(MessageId id) {
  unacknowledged_.addRepeated(id);
  return {kOkReply, id};
}

RespServer::CommandReply CommandHandler::accept(StoredMessage message, Millis receivedWall) {
  message.deadlineWall -= loop_.stalledFor();  // the deadline counts from when the client sent the message
  const Millis deadline = loop_.now() + (message.deadlineWall - receivedWall);
  const std::optional<MessageId> id = store_.accept(std::move(message));
  if (!id) return {busyReply(admission_.recordRejection(loop_.now()))};
  unacknowledged_.addAccepted(*id);
  const StoredMessage& stored = *store_.find(*id);  // valid while the message is in flight
  policy_.acceptMessage(*id, stored.type, stored.tenant, stored.orderingKey, stored.destination, deadline);
  log::debug("message.accepted", {{"message", stored.reference},
                                  {"type", names_.trafficTypes[stored.type.value]},
                                  {"destination", stored.destination.value},
                                  {"left_ms", deadline - loop_.now()}});
  return {kOkReply, id};
}

}  // namespace stonewing
