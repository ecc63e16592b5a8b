#pragma once

#include <string>

#include "base/ids.h"
#include "discovery/discovery_client.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

// Restores the state of an earlier process at the start of a dispatcher, before it serves clients.
namespace stonewing {

// The components that recover() fills. They are used during the call only.
struct RecoveryTargets {
  DispatchPolicy& policy;
  MessageStore& store;
  DiscoveryClient& discovery;
};

// Applies the endpoint list to start with (`knownEndpoints`, in discovery's format; empty for none), reads
// the journal and passes to the policy each message that an earlier process accepted and did not finish, with
// its attempts. Logs a list that cannot be read, and a journal that a crash has truncated. `now`: steady
// clock. Throws the exceptions of MessageStore::restore().
void recover(const std::string& knownEndpoints, Millis now, const RecoveryTargets& targets);

}  // namespace stonewing
