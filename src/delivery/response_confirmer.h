#pragma once

#include <optional>
#include <vector>

#include "delivery/delivery_log.h"
#include "delivery/endpoint_connection.h"
#include "delivery/outcome_recorder.h"
#include "delivery/unconfirmed_responses.h"
#include "net/event_loop.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Records the outcomes that responses report. A response that may belong to an earlier request on its
// connection is confirmed first, as the policy decides: it is taken back if the connection turns out to be
// out of step. Must be used on the event loop's thread only. Times are milliseconds of the event loop's
// clock.
class ResponseConfirmer {
 public:
  // All references must outlive the confirmer.
  ResponseConfirmer(const EventLoop& loop, DispatchPolicy& policy, MessageStore& store,
                    OutcomeRecorder& recorder, DeliveryLog& log)
      : loop_(loop), policy_(policy), store_(store), recorder_(recorder), log_(log) {}

  // Records the result of an attempt that certainly is its own. One that does not come from a complete
  // response is certain.
  void record(const EndpointConnection& connection, BatchedAttempt& attempt, const AttemptResult& result);
  // Records the result of an attempt by a response that belongs to it by order alone, or keeps it until it is
  // confirmed.
  void recordUnproven(const EndpointConnection& connection, BatchedAttempt& attempt,
                      const AttemptResult& result, const ResponseArrival& arrival);
  // Bytes that belong to no request arrived on the connection: nothing that was concluded from it since its
  // last confirmed response holds. Takes effect at the next onTick().
  void contradict(const EndpointConnection& connection);
  // Ends an attempt whose outcome is deferred, without waiting for its confirmation. Does nothing if there is
  // none.
  void cancelDeferred(MessageId message, int attempt);

  // When the last response on a connection is confirmed; 0 if none is unconfirmed.
  Millis confirmedAt(const EndpointConnection& connection) const {
    return unconfirmed_.lastConfirmAt(connection.number()).value_or(0);
  }

  // Records what is confirmed, and takes back what was contradicted.
  void onTick();
  // When onTick() is to be called next; no value if nothing is unconfirmed.
  std::optional<Millis> due() const;
  // Whether nothing is unconfirmed.
  bool idle() const { return unconfirmed_.empty() && contradicted_.empty(); }

 private:
  bool isFurtherDelivery(const BatchedAttempt& attempt, const AttemptResult& result) const;
  void recordFurtherDelivery(const EndpointConnection& connection, BatchedAttempt& attempt,
                             const AttemptResult& result);
  void confirm(UnconfirmedResponse response);
  void keepUnconfirmed(UnconfirmedResponse response);
  bool takeBack(const UnconfirmedResponse& response);
  void endDeferred(UnconfirmedResponse response, AttemptOutcome outcome);
  void continueMessage(const UnconfirmedResponse& response);

  const EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  OutcomeRecorder& recorder_;
  DeliveryLog& log_;
  UnconfirmedResponses unconfirmed_;
  // To be taken back, as soon as the policy has forgotten the message of a delivery.
  std::vector<UnconfirmedResponse> contradicted_;
};

}  // namespace stonewing
