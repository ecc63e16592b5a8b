#pragma once

#include <vector>

#include "delivery/endpoint_connection.h"
#include "discovery/discovery_client.h"
#include "storage/message_store.h"

namespace stonewing {

// Records the attempts of requests in the message store, each right before its request begins, and keeps the
// connections of these requests meanwhile. An attempt that still waits for its connection is not recorded:
// after a kill it would count as possibly executed, and a message that may not be executed twice would fail
// without having been sent.
//
// Must be used on the event loop's thread only.
class RequestJournal {
 public:
  // Both references must outlive the object.
  RequestJournal(MessageStore& store, const DiscoveryClient& discovery)
      : store_(store), discovery_(discovery) {}

  // Adds a connection that is ready to carry its request. It must be removed before it is deleted.
  void add(EndpointConnection& connection) { ready_.push_back(&connection); }
  void remove(const EndpointConnection& connection);

  // Records the attempts of the connections that were added. Must be called before the store's commit begins.
  // A connection whose attempts cannot be recorded fails to start.
  void recordReady();
  // Removes and returns the connections whose attempts were recorded, in the order of sending. Must be called
  // once that commit is done. A connection whose records the commit lost fails to start.
  std::vector<EndpointConnection*> takeCommitted();

 private:
  void record(EndpointConnection& connection);
  bool isRecordLost(const BatchedAttempt& attempt) const;

  MessageStore& store_;
  const DiscoveryClient& discovery_;
  std::vector<EndpointConnection*> ready_;
  std::vector<EndpointConnection*> awaitingCommit_;
};

}  // namespace stonewing
