#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_log.h"
#include "discovery/discovery_poll.h"
#include "discovery/endpoint_directory.h"
#include "discovery/list_version_guard.h"
#include "discovery/poll_timing.h"
#include "discovery/rejection_memory.h"
#include "discovery/retry_schedule.h"
#include "discovery/unread_change.h"
#include "policy/dispatch_policy.h"
#include "storage/message_store.h"

namespace stonewing {

// Keeps the endpoint directory up to date: polls discovery over HTTP. A poll requests the changes since the
// last version, and discovery holds it open as a watch until there are some. Where the version cannot be
// relied on, a poll requests the full list instead. If discovery does not respond, rejects the poll or sends
// a malformed response, the endpoints stay as they are, and the poll is repeated within the bounds that
// poll_timing.h states. A poll that stalls gets another one beside it, and the first complete answer is
// used.
//
// Used on the event loop's thread alone. The loop, the policy and the name tables must outlive the client.
class DiscoveryClient : public DiscoveryPoll::Owner {
 public:
  // `discovery`: the address to poll; `host`: the same address for the Host header; `seed`: of the random
  // factor of retry delays.
  DiscoveryClient(EventLoop& loop, DispatchPolicy& policy, const NameTables& names, sockaddr_in discovery,
                  std::string host, std::uint64_t seed, const PollTiming& timing);

  // Applies an answer of discovery to the directory and the policy. Throws ParseError, and changes nothing,
  // if the answer as a whole cannot be read. Returns false if some entries could not be used, and the full
  // list is to be polled to check them.
  bool applyAnswer(const nlohmann::json& answer);
  // Polls another address from now on. The endpoints stay as they are until discovery answers there.
  void changeAddress(sockaddr_in discovery, std::string host);

  // Starts a poll that is due, or ends a poll that has timed out.
  void onTick();
  // Applies what discovery has sent while this process was held up for `stall`, before it acts on older
  // decisions. If no poll was open at the end of the stall, a change may be unread.
  void readAfterStall(Millis stall);
  // The time (steady clock) from which onTick() has something to do.
  Millis due() const;
  // Whether an answer to a poll has been accepted since the start. Before that, the endpoints may come from
  // an old list that the host passed to applyAnswer().
  bool hasAcceptedResponse() const { return hasAcceptedResponse_; }

  // These functions forward to the endpoint directory.
  void addRecoveredEndpoints(const std::map<MessageId, StoredMessage>& messages) {
    directory_.addRecoveredEndpoints(messages);
  }
  const DiscoveredEndpoint* find(EndpointId id) const { return directory_.find(id); }
  EndpointId idOf(const std::string& name) { return directory_.idOf(name); }
  std::size_t count() const { return directory_.count(); }
  bool hasEverListed(DestinationId destination) const { return directory_.hasEverListed(destination); }

 private:
  void onPollResponse(DiscoveryPoll& poll) override;
  void onPollResponseStarted(DiscoveryPoll& poll) override;
  void onPollBroken(DiscoveryPoll& poll, PollEnd end) override;

  void readPending();
  bool isWatching() const;
  void endTimedOutPolls();
  // When the next poll starts, alone or beside one that stalls; no value if it waits for the pending ones.
  std::optional<Millis> nextStartAt() const;
  // When a poll counts as stalled, so that another one starts beside it.
  std::optional<Millis> stalledAt(const DiscoveryPoll& poll) const;
  // When an unanswered poll gets another one beside it; no value if it is waited for.
  std::optional<Millis> overdueAt(const DiscoveryPoll& poll) const;
  bool isOverdue(const DiscoveryPoll& poll) const;
  Millis watchTimeout() const;
  // Whether the newest poll is unanswered although discovery would have told it the unread change at once.
  bool isChangeRefutedByNewestPoll() const;
  void startPoll();
  PollEnd applyResponse(const DiscoveryPoll& poll);
  bool applyList(const EndpointList& list);
  void applyLeavingEntries(const EndpointList& list);
  void applyLeavingEntriesOf(const DiscoveryPoll& poll);
  void recordUnreadChange(const DiscoveryPoll& poll);
  void recordUnreachable();
  void recordChangeRead(const DiscoveryPoll& poll);
  void logAttemptsPaused();
  // No poll has shown a change for so long that it is no longer waited for.
  void closeUnreadChange(const char* why);
  Millis failureDelay();
  Millis rejectionDelay();
  // Sets when the next poll starts after `poll` has failed.
  void retryAfter(const DiscoveryPoll& poll, Millis delay);
  // Removes a pending poll.
  void endPoll(const DiscoveryPoll& poll, PollEnd end);
  void supersedePolls();
  // Ends the polls beside one that is open as a watch, unless a change is unread.
  void supersedeRedundantPolls();
  void logUnreadable() const;

  EventLoop& loop_;
  DispatchPolicy& policy_;
  const NameTables& names_;
  sockaddr_in address_;
  std::string host_;
  PollTiming timing_;
  DiscoveryLog log_;
  EndpointDirectory directory_;
  RetrySchedule retrySchedule_;
  UnreadChange unreadChange_;
  ListVersionGuard versions_;
  RejectionMemory rejections_;

  std::vector<std::unique_ptr<DiscoveryPoll>> polls_;  // pending, the oldest first
  std::uint64_t pollCount_{0};
  Millis answeredAt_;                // when a list was last applied
  Millis upToDateUntil_{0};          // what discovery had at that time has been applied
  std::optional<Millis> stalledAt_;  // the last time that a stall may have hidden a change
  Millis nextPollAt_{0};             // the earliest time for the next poll
  Millis stallTimeout_;              // of the newest poll
  // What the next poll asks for. The version is that of the list that was accepted last.
  PollRequest request_;
  bool areAttemptsPaused_{false};    // as logged last
  bool isRecheckingEntries_{false};  // the last answer had unusable entries; the full list is polled to check
  bool hasAcceptedResponse_{false};
};

}  // namespace stonewing
