#pragma once

#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// Records the outcome of each attempt in the policy and the message store. Must be used on the event loop's
// thread only.
class OutcomeRecorder {
 public:
  // All references must outlive the recorder.
  OutcomeRecorder(const EventLoop& loop, DispatchPolicy& policy, MessageStore& store, const NameTables& names,
                  DeliveryLog& log)
      : loop_(loop), policy_(policy), store_(store), names_(names), log_(log) {}

  // Marks an attempt of a connection's request as finished, and records its result. If the attempt was
  // already finished, only a result that is final for its message is recorded.
  void record(const EndpointConnection& connection, BatchedAttempt& attempt, const AttemptResult& result);

  // The load report in the response on a connection; an empty report before the status line has arrived.
  LoadReport loadReportOf(const EndpointConnection& connection) const;
  // The deadline of a message, in milliseconds of the event loop's clock; 0 if the message is finished.
  Millis deadlineOf(MessageId message) const;

 private:
  // Whether a response certainly arrived before its message's deadline.
  enum class Arrival { onTime, maybeLate };
  void recordFinalOutcome(MessageId message, Arrival arrival);

  const EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  const NameTables& names_;
  DeliveryLog& log_;
};

}  // namespace stonewing
