#pragma once

#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "delivery/response_reader.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// Tells the policy and the message store how each attempt ended. To be used on the event loop's thread alone.
class OutcomeRecorder {
 public:
  // All references must outlive the recorder.
  OutcomeRecorder(const EventLoop& loop, DispatchPolicy& policy, MessageStore& store, const NameTables& names,
                  const DeliveryLog& log)
      : loop_(loop), policy_(policy), store_(store), names_(names), log_(log) {}

  // Marks an attempt of a connection's request as finished, and records its result. For one that was finished
  // before, only a result that is final for its message still counts.
  void record(const EndpointConnection& connection, BatchedAttempt& attempt, const AttemptResult& result);

  // What the response on a connection reports of the rate limit; nothing before its status line has come.
  LoadReport loadReportOf(const EndpointConnection& connection) const;
  // Until when a message is to be delivered, in milliseconds of the event loop's clock; 0 if it is finished.
  Millis deadlineOf(MessageId message) const;

 private:
  // Whether a response came surely before its message's deadline.
  enum class Arrival { onTime, maybeLate };
  void recordFinalOutcome(MessageId message, Arrival arrival);

  const EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  const NameTables& names_;
  const DeliveryLog& log_;
};

}  // namespace stonewing
