#pragma once

#include <string>

#include "base/ids.h"
#include "discovery/discovery_client.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

// What a dispatcher reads at its start, before it serves anyone.
namespace stonewing {

// The parts that are filled at a start. All are borrowed for the time of the call.
struct RecoveryTargets {
  DispatchPolicy& policy;
  MessageStore& store;
  DiscoveryClient& discovery;
};

// Applies the endpoint list to start from (`knownEndpoints`, in discovery's format; empty for none), reads
// the journal and gives the policy each message that an earlier process accepted, with its attempts. A list
// that cannot be used is logged, and so is a journal that a crash has truncated. `now`: steady clock. Throws
// what MessageStore::restore throws.
void recover(const std::string& knownEndpoints, Millis now, const RecoveryTargets& targets);

}  // namespace stonewing
