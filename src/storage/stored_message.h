#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"

// The data types of the message store, without behaviour. Wall times are Unix time in milliseconds, since
// they must have the same meaning for the next process.
namespace stonewing {

// The part of an endpoint's entry in the endpoint list that outlives a process.
struct EndpointRecord {
  std::string name;
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
};

// One attempt to deliver a message whose request began or may have begun: the fields of its journal record,
// and whether that record exists.
struct AttemptRecord {
  int number{};  // the attempt's number among those of its message, from 0
  EndpointRecord endpoint;
  Millis sentWall{};  // wall time right before its request began
  bool provablyNotExecuted{false};
  // False if the journal could not store the attempt's record. Such an attempt was never sent, and replay
  // does not count it.
  bool journaled{true};
};

// The client connection that submitted a message, by its number in this process, from 1. 0: an earlier
// process accepted the message.
using SubmitterId = std::uint64_t;

// A message in flight, including the parts of it that the decision module does not need.
struct StoredMessage {
  std::string reference;       // the client's id of the message, also sent to the endpoint
  std::string idempotencyKey;  // empty if there is none
  std::shared_ptr<const std::string> body;
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey orderingKey{};
  DestinationId destination{};
  Millis deadlineWall{};
  std::vector<AttemptRecord> attempts;  // in the order in which their requests began
  std::string acceptedFields;           // part of its journal record: key, reference and field list
  SubmitterId submitter{};
};

// The outcome of a message that was not delivered in time. The values are part of stored journals.
enum class FinalOutcome : std::uint8_t { failed = 1, shed = 2 };

// A final outcome that the platform has not confirmed yet.
struct OutcomeNotification {
  std::string reference;
  FinalOutcome result{};
  Millis retryAfter{};  // in milliseconds; 0 if the platform is given no time
};

}  // namespace stonewing
