#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "server/command_reply.h"

namespace stonewing {

// The heap memory of a text, in bytes. A short text needs none.
inline std::size_t heapBytes(const std::string& text) {
  static const std::size_t kInlineCapacity = std::string().capacity();
  return text.capacity() > kInlineCapacity ? text.capacity() + 1 : 0;
}

// Replies that ended: whether the client can have read that its message is accepted.
struct AcknowledgementChanges {
  std::vector<MessageId> written;  // the socket accepted the whole reply that accepts the message
  std::vector<MessageId> dropped;  // the reply was replaced, or its connection ended before
};

// The replies of one client connection, in the order of its commands, until the socket has accepted them. A
// reply first waits for the decision on its message, with all later ones, and is then ready to be sent. All
// replies share one text, since a client that pipelines may have thousands of a few bytes each.
class ReplyQueue {
 public:
  enum class WriteResult {
    all,     // no reply is ready any more
    part,    // the socket accepts no more now
    broken,  // the connection failed
  };

  // Adds the reply to the client's next command.
  void add(const CommandReply& reply);
  // Whether a reply waits for the decision on its message.
  bool awaitsDecision(const IsDecided& isDecided) const;
  // Makes all replies ready. Where `replacement` returns a text for a reply's message, that text is sent
  // instead; `changes` then has the message among the dropped ones.
  void makeReady(const std::function<std::optional<std::string>(MessageId)>& replacement,
                 AcknowledgementChanges& changes);
  // Sends as much of the ready replies as the socket accepts.
  WriteResult write(int fd, AcknowledgementChanges& changes);
  // Drops all replies, ready or not.
  void drop(AcknowledgementChanges& changes);

  // No reply is left, ready or not.
  bool empty() const { return waiting_.empty() && !hasReady(); }
  // Whether replies were added that are not ready.
  bool hasWaiting() const { return !waiting_.empty(); }
  bool hasReady() const { return sent_ < ready_.size(); }
  // The bytes of all replies that are left.
  std::size_t size() const { return ready_.size() - sent_ + waiting_.size(); }
  // The number of replies that accept a message and are not ready.
  std::size_t waitingAcceptances() const { return waitingMessages_.size(); }
  // The bytes of memory that the replies occupy.
  std::size_t memoryBytes() const;

 private:
  // A reply to an accepted message.
  struct Acceptance {
    MessageId message{};
    std::size_t begin{0};  // in waiting_
    std::size_t end{0};    // in waiting_
  };
  // The end of such a reply among all bytes that were ever ready on the connection.
  struct ReadyAcceptance {
    MessageId message{};
    std::uint64_t streamEnd{0};
  };

  void discardSent();

  std::string waiting_;                      // replies that are not ready
  std::vector<Acceptance> waitingMessages_;  // in the order of their replies in waiting_
  std::string ready_;                        // replies to send; the first sent_ bytes are sent
  std::size_t sent_{0};
  std::uint64_t streamBegin_{0};  // the position of ready_ among all bytes that were ever ready
  std::deque<ReadyAcceptance> readyMessages_;
};

}  // namespace stonewing
