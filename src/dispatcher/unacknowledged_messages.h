#pragma once

#include <unordered_map>

#include "base/ids.h"

namespace stonewing {

// The messages that were accepted in this process and of whose acceptance no client can know yet, with the
// number of replies that may still tell one. If all of these replies are lost, because their clients have
// left, the message was never accepted as far as anybody knows, and may be revoked.
//
// Uses no sockets and no clock.
class UnacknowledgedMessages {
 public:
  // A message was accepted, and the reply to its client waits.
  void addAccepted(MessageId id) { pendingReplies_[id] = 1; }
  // A client submitted a message again that was accepted before, and the reply to it waits.
  void addRepeated(MessageId id) {
    auto entry = pendingReplies_.find(id);
    if (entry != pendingReplies_.end()) ++entry->second;
  }
  // A reply was written: its client may know.
  void recordWritten(MessageId id) { pendingReplies_.erase(id); }
  // A reply was lost. Returns whether no client can learn of the acceptance any more.
  bool recordDropped(MessageId id) {
    auto entry = pendingReplies_.find(id);
    if (entry == pendingReplies_.end() || --entry->second > 0) return false;
    pendingReplies_.erase(entry);
    return true;
  }
  // Whether a single reply is left that could tell of the acceptance.
  bool hasOneReplyLeft(MessageId id) const {
    auto entry = pendingReplies_.find(id);
    return entry != pendingReplies_.end() && entry->second == 1;
  }

 private:
  struct Hash {
    std::size_t operator()(MessageId id) const { return id.value; }
  };

  std::unordered_map<MessageId, int, Hash> pendingReplies_;
};

}  // namespace stonewing
