#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "storage/stored_message.h"

// The records of the message store, as they stand in the journal: one type a tag, with its encoding and
// decoding. A record begins with its tag (8 bits) and the message's id (32 bits). Numbers are packed and
// little-endian, texts are preceded by their length (32 bits). Stored journals outlive the program: a change
// here must still read what earlier versions wrote.
namespace stonewing {

enum class RecordTag : std::uint8_t {
  accepted = 1,
  attempted = 2,
  notExecuted = 3,
  notificationPending = 4,
  finished = 5
};

// What all records begin with.
struct RecordHeader {
  RecordTag tag{};  // may be none of the enumerators, as it was stored
  MessageId message{};
};

// A message was accepted. The words of its SUBMIT stand in it as the client sent them; the program that
// replays it reads them by its own settings.
struct AcceptedRecord {
  Millis deadlineWall{};
  std::string orderingKey;
  std::string reference;
  std::string fieldList;
  std::string body;
};

// An attempt was decided; it may have been sent.
struct AttemptedRecord {
  AttemptRecord attempt;
};

// An attempt is known not to have been executed.
struct NotExecutedRecord {
  // Its place among the message's attempts in the journal, which lacks those that it did not take.
  std::uint32_t journaledAttempt{};
};

// A message ended in a way that the platform has yet to be notified of.
struct NotificationPendingRecord {
  OutcomeNotification notification;
};

// A message ended, and nothing is left to do for it.
struct FinishedRecord {};

using RecordBody = std::variant<AcceptedRecord, AttemptedRecord, NotExecutedRecord, NotificationPendingRecord,
                                FinishedRecord>;

// Throws ParseError where the record is too short for one.
RecordHeader decodeRecordHeader(std::string_view record);
// What stands in a record behind its header. Throws ParseError where a field is cut short, and JournalError
// for an unknown tag. Bytes behind the last field are ignored.
RecordBody decodeRecordBody(std::string_view record);

// Encodes the words of a SUBMIT for StoredMessage::acceptedFields.
std::string encodeAcceptedFields(std::string_view orderingKey, std::string_view reference,
                                 std::string_view fieldList);
std::string encodeAccepted(MessageId id, const StoredMessage& message);
// The length of encodeAccepted()'s result, without making it.
std::size_t acceptedRecordBytes(const StoredMessage& message);
std::string encodeAttempted(MessageId id, const AttemptRecord& attempt);
std::string encodeNotExecuted(MessageId id, NotExecutedRecord record);
std::string encodeNotificationPending(MessageId id, const OutcomeNotification& notification);
std::string encodeFinished(MessageId id);

}  // namespace stonewing
