#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "storage/stored_message.h"
#include "storage/submission_match.h"

// The records of the message store in the journal: one type for each tag, with its encoding and decoding. A
// record begins with its tag (8 bits) and the message's id (32 bits). Numbers are packed and little-endian,
// and each text follows its length (32 bits). Stored journals outlive the program: after a change here, the
// program must still read records that earlier versions wrote.
namespace stonewing {

enum class RecordTag : std::uint8_t {
  accepted = 1,
  attempted = 2,
  notExecuted = 3,
  notificationPending = 4,
  finished = 5,
  executed = 6
};

// The header with which each record begins.
struct RecordHeader {
  RecordTag tag{};  // as stored; may be none of the enumerators
  MessageId message{};
};

// A message was accepted. The record holds the arguments of its SUBMIT as the client sent them; the program
// that replays the record parses them with its own settings.
struct AcceptedRecord {
  Millis deadlineWall{};
  std::string orderingKey;
  std::string reference;
  std::string fieldList;
  std::string body;
};

// An attempt was decided, and may have been sent.
struct AttemptedRecord {
  AttemptRecord attempt;
};

// An attempt is known not to have been executed.
struct NotExecutedRecord {
  // The attempt's index among the attempts of the message that have a record in the journal.
  std::uint32_t journaledAttempt{};
};

// A message is finished, and the platform must still be notified.
struct NotificationPendingRecord {
  OutcomeNotification notification;
};

// A message is finished, and nothing is left to do for it.
struct FinishedRecord {};

// A message has ended and may have been executed, and its other records are gone. Only compacted journals
// have this record. Its header names no message.
struct ExecutedRecord {
  std::string reference;
  FinishedMessage message;
};

using RecordBody = std::variant<AcceptedRecord, AttemptedRecord, NotExecutedRecord, NotificationPendingRecord,
                                FinishedRecord, ExecutedRecord>;

// Throws ParseError if the record is shorter than a header.
RecordHeader decodeRecordHeader(std::string_view record);
// Decodes the record after its header. Throws ParseError if a field is cut short, and JournalError if the tag
// is unknown. Bytes after the last field are ignored.
RecordBody decodeRecordBody(std::string_view record);

// Encodes the arguments of a SUBMIT for StoredMessage::acceptedFields.
std::string encodeAcceptedFields(std::string_view orderingKey, std::string_view reference,
                                 std::string_view fieldList);
std::string encodeAccepted(MessageId id, const StoredMessage& message);
// The length of encodeAccepted()'s result, computed without encoding.
std::size_t acceptedRecordBytes(const StoredMessage& message);
std::string encodeAttempted(MessageId id, const AttemptRecord& attempt);
std::string encodeNotExecuted(MessageId id, NotExecutedRecord record);
std::string encodeNotificationPending(MessageId id, const OutcomeNotification& notification);
std::string encodeFinished(MessageId id);
std::string encodeExecuted(const ExecutedRecord& record);

}  // namespace stonewing
