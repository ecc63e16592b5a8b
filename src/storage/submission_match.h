#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "base/ids.h"
#include "storage/message_identity.h"
#include "storage/stored_message.h"

// What the message store knows of a submitted message, looked up by its reference.
namespace stonewing {

// How a message ended that may have been executed. The values are part of stored journals.
enum class ExecutedOutcome : std::uint8_t { delivered = 1, failed = 2 };

// What is remembered of a message that has ended and may have been executed.
struct FinishedMessage {
  ExecutedOutcome outcome{};
  MessageFingerprint fingerprint;
};

// No message with this reference is known: it may be accepted.
struct NewSubmission {};

// The message was accepted before and is in flight.
struct SameInFlight {
  MessageId id{};
};

// The message was accepted before, has ended, and may have been executed.
struct SameExecuted {
  ExecutedOutcome outcome{};
};

// A message with this reference was shed, and the platform has not confirmed the notification. Whether it is
// the same message makes no difference: submitting it under a new id is harmless.
struct ShedUnconfirmed {
  Millis retryAfter{};  // as in the notification; 0 if it advises no time
};

// What became of a message that has the reference of a different one.
enum class ReferenceHolder { inFlight, delivered, failed };

// The name of a value, for the log.
const char* nameOf(ReferenceHolder holder);

// The reference belongs to a different message.
struct ReferenceConflict {
  ReferenceHolder holder{};
  std::optional<MessagePart> difference{};  // no value if the parts of that message are not kept any more
};

using SubmissionMatch =
    std::variant<NewSubmission, SameInFlight, SameExecuted, ShedUnconfirmed, ReferenceConflict>;

}  // namespace stonewing
