#include "server/reply_queue.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/release_memory.h"

namespace stonewing {
namespace {

// A buffer of up to this size is kept for the next replies.
constexpr std::size_t kMaxKeptBytes = 256;

}  // namespace

void ReplyQueue::add(const CommandReply& reply) {
  const std::size_t begin = waiting_.size();
  waiting_ += reply.text;
  if (reply.submittedMessage) waitingMessages_.push_back({*reply.submittedMessage, begin, waiting_.size()});
}

bool ReplyQueue::awaitsDecision(const IsDecided& isDecided) const {
  return std::any_of(waitingMessages_.begin(), waitingMessages_.end(),
                     [&](const Acceptance& acceptance) { return !isDecided(acceptance.message); });
}

void ReplyQueue::makeReady(const std::function<std::optional<std::string>(MessageId)>& replacement,
                           AcknowledgementChanges& changes) {
  discardSent();
  std::size_t copied = 0;
  for (const Acceptance& acceptance : waitingMessages_) {
    ready_.append(waiting_, copied, acceptance.begin - copied);
    copied = acceptance.end;
    if (const std::optional<std::string> newText = replacement(acceptance.message)) {
      ready_ += *newText;
      changes.dropped.push_back(acceptance.message);
    } else {
      ready_.append(waiting_, acceptance.begin, acceptance.end - acceptance.begin);
      readyMessages_.push_back({acceptance.message, streamBegin_ + ready_.size()});
    }
  }
  ready_.append(waiting_, copied);
  waiting_.clear();
  waitingMessages_.clear();
  if (waiting_.capacity() > kMaxKeptBytes) releaseMemory(waiting_);
  if (waitingMessages_.capacity() * sizeof(Acceptance) > kMaxKeptBytes) releaseMemory(waitingMessages_);
}

ReplyQueue::WriteResult ReplyQueue::write(int fd, AcknowledgementChanges& changes) {
  while (hasReady()) {
    const ssize_t result = ::send(fd, ready_.data() + sent_, ready_.size() - sent_, MSG_NOSIGNAL);
    if (result < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? WriteResult::part : WriteResult::broken;
    }
    sent_ += static_cast<std::size_t>(result);
    while (!readyMessages_.empty() && readyMessages_.front().streamEnd <= streamBegin_ + sent_) {
      changes.written.push_back(readyMessages_.front().message);
      readyMessages_.pop_front();
    }
  }
  discardSent();
  return WriteResult::all;
}

void ReplyQueue::drop(AcknowledgementChanges& changes) {
  for (const ReadyAcceptance& acceptance : readyMessages_) changes.dropped.push_back(acceptance.message);
  for (const Acceptance& acceptance : waitingMessages_) changes.dropped.push_back(acceptance.message);
  releaseMemory(waiting_);
  releaseMemory(waitingMessages_);
  releaseMemory(ready_);
  releaseMemory(readyMessages_);
  sent_ = 0;
}

std::size_t ReplyQueue::memoryBytes() const {
  return heapBytes(waiting_) + heapBytes(ready_) + waitingMessages_.capacity() * sizeof(Acceptance) +
         readyMessages_.size() * sizeof(ReadyAcceptance);
}

// Removes the sent bytes once they are at least half of the text, so that the copies cost no more than the
// replies themselves.
void ReplyQueue::discardSent() {
  if (2 * sent_ < ready_.size()) return;
  streamBegin_ += sent_;
  ready_.erase(0, std::exchange(sent_, 0));
  if (ready_.empty() && ready_.capacity() > kMaxKeptBytes) releaseMemory(ready_);
}

}  // namespace stonewing
