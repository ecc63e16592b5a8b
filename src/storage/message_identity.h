#pragma once

#include <cstdint>
#include <optional>

#include "settings/name_tables.h"
#include "storage/stored_message.h"

// Whether two submissions with the same reference are the same message. A reference is chosen by a client and
// does not prove who sends it: another client may use it too, by mistake or by intent.
namespace stonewing {

// The parts that make a message what it is, beside its reference. Its deadline is not one of them: the same
// message that is submitted again has less time left.
enum class MessagePart { type, tenant, destination, orderingKey, idempotencyKey, body };

// The name of a part, for the log.
const char* nameOf(MessagePart part);

// The first part in which the messages differ; no value if they are the same message.
std::optional<MessagePart> firstDifference(const StoredMessage& one, const StoredMessage& other);

// A hash of all parts of a message, for messages whose parts are not kept. It guards against mistakes, not
// against a client that knows another's message and computes a collision.
struct MessageFingerprint {
  std::uint64_t low{};
  std::uint64_t high{};
  bool operator==(const MessageFingerprint&) const = default;
};

// `names` holds the names that the ids of the message stand for. The fingerprint is of these names, so that
// it stays the same if the settings list them in another order.
MessageFingerprint fingerprintOf(const StoredMessage& message, const NameTables& names);

}  // namespace stonewing
