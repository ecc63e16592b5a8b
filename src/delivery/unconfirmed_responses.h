#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "delivery/attempt_end.h"
#include "policy/attempt.h"
#include "policy/response_arrival.h"
#include "policy/response_evidence.h"

namespace stonewing {

// An attempt of a message, as the policy knew it when its message was delivered.
struct EarlierAttempt {
  EndpointId endpoint{};
  Millis sentAt{};  // milliseconds of the event loop's clock
  bool provablyNotExecuted{false};
};

// The outcome of an attempt by a response that may belong to an earlier request on its connection.
struct UnconfirmedResponse {
  AttemptEnd end;
  ResponseArrival arrival;
  ResponseHandling handling{ResponseHandling::conclude};
  Millis confirmAt{};  // milliseconds of the event loop's clock
  bool isLate{false};  // it was not confirmed at its first time of confirmation
  // To continue the message if its delivery is taken back.
  Millis deadline{};  // milliseconds of the event loop's clock
  std::vector<EarlierAttempt> attempts;
};

// The responses that nothing has confirmed yet.
class UnconfirmedResponses {
 public:
  void add(UnconfirmedResponse response);

  // Removes and returns a response whose time of confirmation has come; no value if there is none.
  std::optional<UnconfirmedResponse> takeConfirmed(Millis now);
  // Removes and returns the responses on a connection.
  std::vector<UnconfirmedResponse> takeOf(std::uint64_t connection);
  // Removes and returns the deferred response to an attempt, if there is one.
  std::optional<UnconfirmedResponse> takeDeferred(MessageId message, int attempt);

  // Whether the delivery of a message is unconfirmed.
  bool containsDelivery(MessageId message) const;
  // Removes the unconfirmed delivery of a message, if there is one.
  void removeDelivery(MessageId message);

  // The earliest time of confirmation; no value without responses.
  std::optional<Millis> nextConfirmAt() const;
  // When the last response on a connection is confirmed; no value if none is unconfirmed.
  std::optional<Millis> lastConfirmAt(std::uint64_t connection) const;
  bool empty() const { return responses_.empty(); }

 private:
  // Orders responses by the time of their confirmation, and distinguishes those of the same time.
  struct Key {
    Millis confirmAt{};
    std::uint64_t serial{};
    auto operator<=>(const Key&) const = default;
  };
  using Responses = std::map<Key, UnconfirmedResponse>;

  UnconfirmedResponse take(Responses::iterator position);
  Responses::const_iterator findOf(MessageId message, ResponseHandling handling) const;

  Responses responses_;
  std::set<std::pair<std::uint64_t, Key>> byConnection_;
  std::set<std::pair<MessageId, Key>> byMessage_;
  std::uint64_t lastSerial_{0};
};

}  // namespace stonewing
