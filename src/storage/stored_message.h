#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"

// What the message store keeps: plain types without behaviour. Wall times are Unix time in milliseconds,
// since they have to mean the same to the next process.
namespace stonewing {

// The part of an endpoint's entry in the endpoint list that outlives a process.
struct EndpointRecord {
  std::string name;
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
};

// One attempt to deliver a message, as the journal knows it.
struct AttemptRecord {
  EndpointRecord endpoint;
  Millis sentWall{};  // when it was handed to the sender, wall time
  bool provablyNotExecuted{false};
  // False: the journal did not take its record. It was then never sent, and replay does not count it.
  bool journaled{true};
};

// A message in flight, with the parts of it that the decision module does not need.
struct StoredMessage {
  std::string reference;       // the client's id of the message, which the endpoint sees too
  std::string idempotencyKey;  // empty: none
  std::shared_ptr<const std::string> body;
  TrafficTypeId type{};
  TenantId tenant{};
  OrderingKey orderingKey{};
  DestinationId destination{};
  Millis deadlineWall{};
  std::vector<AttemptRecord> attempts;  // an attempt's number is its place
  std::string acceptedFields;           // its record in the journal, without id, deadline and body
};

// How a message ended that was not delivered in time. The values stand in stored journals.
enum class FinalOutcome : std::uint8_t { failed = 1, shed = 2 };

// A final outcome that the platform has not confirmed yet.
struct OutcomeNotification {
  std::string reference;
  FinalOutcome result{};
  Millis retryAfter{};  // milliseconds; 0: no advice
};

}  // namespace stonewing
