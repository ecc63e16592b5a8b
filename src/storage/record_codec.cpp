#include "storage/record_codec.h"

#include "base/bytes.h"
#include "base/errors.h"

namespace stonewing {
namespace {

std::string getText(ByteReader& reader, const char* field) {
  auto length = reader.get<std::uint32_t>(field);
  return std::string(reader.text(length, field));
}

std::string encodeHeader(RecordTag tag, MessageId id) {
  std::string record;
  putBytes(record, tag);
  putBytes(record, id.value);
  return record;
}

RecordHeader readHeader(ByteReader& reader) {
  RecordHeader header;
  header.tag = reader.get<RecordTag>("tag");
  header.message.value = reader.get<std::uint32_t>("message id");
  return header;
}

AcceptedRecord readAccepted(ByteReader& reader) {
  AcceptedRecord record;
  record.deadlineWall = reader.get<Millis>("deadline");
  record.orderingKey = getText(reader, "key");
  record.reference = getText(reader, "ref");
  record.fieldList = getText(reader, "list");
  record.body = getText(reader, "body");
  return record;
}

AttemptedRecord readAttempted(ByteReader& reader) {
  AttemptedRecord record;
  EndpointRecord& endpoint = record.attempt.endpoint;
  endpoint.name = getText(reader, "endpoint");
  endpoint.destination.value = reader.get<std::uint16_t>("destination");
  endpoint.kind.value = reader.get<std::uint8_t>("kind");
  endpoint.zone.value = reader.get<std::uint8_t>("zone");
  record.attempt.sentWall = reader.get<Millis>("sent");
  record.attempt.provablyNotExecuted = reader.get<std::uint8_t>("provably not executed") != 0;
  return record;
}

NotificationPendingRecord readNotificationPending(ByteReader& reader) {
  NotificationPendingRecord record;
  record.notification.reference = getText(reader, "ref");
  record.notification.result = reader.get<FinalOutcome>("result");
  record.notification.retryAfter = reader.get<Millis>("wait");
  return record;
}

ExecutedRecord readExecuted(ByteReader& reader) {
  ExecutedRecord record;
  record.reference = getText(reader, "ref");
  record.message.outcome = reader.get<ExecutedOutcome>("outcome");
  record.message.fingerprint.low = reader.get<std::uint64_t>("fingerprint, low half");
  record.message.fingerprint.high = reader.get<std::uint64_t>("fingerprint, high half");
  return record;
}

}  // namespace

RecordHeader decodeRecordHeader(std::string_view record) {
  ByteReader reader(record);
  return readHeader(reader);
}

RecordBody decodeRecordBody(std::string_view record) {
  ByteReader reader(record);
  switch (readHeader(reader).tag) {
    case RecordTag::accepted:
      return readAccepted(reader);
    case RecordTag::attempted:
      return readAttempted(reader);
    case RecordTag::notExecuted:
      return NotExecutedRecord{reader.get<std::uint32_t>("attempt")};
    case RecordTag::notificationPending:
      return readNotificationPending(reader);
    case RecordTag::finished:
      return FinishedRecord{};
    case RecordTag::executed:
      return readExecuted(reader);
  }
  throw JournalError("unknown record tag: expected 1 to 6");
}

std::string encodeAcceptedFields(std::string_view orderingKey, std::string_view reference,
                                 std::string_view fieldList) {
  std::string fields;
  putText(fields, orderingKey);
  putText(fields, reference);
  putText(fields, fieldList);
  return fields;
}

std::string encodeAccepted(MessageId id, const StoredMessage& message) {
  std::string record = encodeHeader(RecordTag::accepted, id);
  putBytes(record, message.deadlineWall);
  record += message.acceptedFields;
  putText(record, *message.body);
  return record;
}

std::size_t acceptedRecordBytes(const StoredMessage& message) {
  constexpr std::size_t kHeaderBytes = sizeof(RecordTag) + sizeof(MessageId::value);
  constexpr std::size_t kTextLengthBytes = sizeof(std::uint32_t);
  return kHeaderBytes + sizeof message.deadlineWall + message.acceptedFields.size() + kTextLengthBytes +
         message.body->size();
}

std::string encodeAttempted(MessageId id, const AttemptRecord& attempt) {
  std::string record = encodeHeader(RecordTag::attempted, id);
  putText(record, attempt.endpoint.name);
  putBytes(record, attempt.endpoint.destination.value);
  putBytes(record, attempt.endpoint.kind.value);
  putBytes(record, attempt.endpoint.zone.value);
  putBytes(record, attempt.sentWall);
  putBytes(record, static_cast<std::uint8_t>(attempt.provablyNotExecuted));
  return record;
}

std::string encodeNotExecuted(MessageId id, NotExecutedRecord record) {
  std::string bytes = encodeHeader(RecordTag::notExecuted, id);
  putBytes(bytes, record.journaledAttempt);
  return bytes;
}

std::string encodeNotificationPending(MessageId id, const OutcomeNotification& notification) {
  std::string record = encodeHeader(RecordTag::notificationPending, id);
  putText(record, notification.reference);
  putBytes(record, notification.result);
  putBytes(record, notification.retryAfter);
  return record;
}

std::string encodeFinished(MessageId id) { return encodeHeader(RecordTag::finished, id); }

std::string encodeExecuted(const ExecutedRecord& executed) {
  constexpr MessageId kNoMessage{0};
  std::string record = encodeHeader(RecordTag::executed, kNoMessage);
  putText(record, executed.reference);
  putBytes(record, executed.message.outcome);
  putBytes(record, executed.message.fingerprint.low);
  putBytes(record, executed.message.fingerprint.high);
  return record;
}

}  // namespace stonewing
