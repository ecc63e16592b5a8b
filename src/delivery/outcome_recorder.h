#pragma once

#include <vector>

#include "delivery/attempt_end.h"
#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "delivery/unconfirmed_responses.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// Records the outcome of each attempt in the policy and the message store. Must be used on the event loop's
// thread only.
class OutcomeRecorder {
 public:
  // A message's deadline counts from the time at which its client sent it, but this process counts from the
  // time at which it read the message. This is the longest difference that goes unnoticed:
  // EventLoop::stalledFor detects a longer delay.
  static constexpr Millis kMaxReadDelayMs = 100;

  // All references must outlive the recorder.
  OutcomeRecorder(const EventLoop& loop, DispatchPolicy& policy, MessageStore& store, const NameTables& names,
                  DeliveryLog& log)
      : loop_(loop), policy_(policy), store_(store), names_(names), log_(log) {}

  // Marks an attempt of a connection's request as finished, and records its result. If the attempt was
  // already finished, only a result that is final for its message is recorded.
  void record(const EndpointConnection& connection, BatchedAttempt& attempt, const AttemptResult& result);

  // Describes how an attempt of a connection's request ended; records nothing.
  AttemptEnd describe(const EndpointConnection& connection, const BatchedAttempt& attempt,
                      const AttemptResult& result) const;
  // Records how an attempt ended that was not recorded before.
  void record(const AttemptEnd& end);
  // Records it in the policy only. If it is final for its message, recordFinalOutcome() is to follow.
  void recordInPolicy(const AttemptEnd& end);
  // Records that a message is over by a final outcome of an attempt, well before its deadline.
  void recordFinalOutcome(MessageId message) { recordFinalOutcome(message, Arrival::onTime); }
  // Whether a result ends its message.
  static bool isFinal(const AttemptResult& result) {
    return result.scope == OutcomeScope::message || result.outcome == AttemptOutcome::completed;
  }

  // The attempts of a message so far, as the policy knows them; a pending one may have been executed.
  std::vector<EarlierAttempt> attemptsOf(MessageId message) const;

  // The load report in the response on a connection; an empty report before the status line has arrived.
  LoadReport loadReportOf(const EndpointConnection& connection) const;
  // The deadline of a message, in milliseconds of the event loop's clock; 0 if the message is finished.
  Millis deadlineOf(MessageId message) const;

 private:
  // Whether a response certainly arrived before its message's deadline.
  enum class Arrival { onTime, maybeLate };
  Arrival arrivalOf(MessageId message) const;
  void recordFinalOutcome(MessageId message, Arrival arrival);

  const EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  const NameTables& names_;
  DeliveryLog& log_;
};

}  // namespace stonewing
