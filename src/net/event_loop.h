#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace stonewing {

// Time that never steps back; decisions are made on it.
inline Millis steadyNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// Unix time; what outlives the process is noted in it.
inline Millis wallNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Something with a descriptor in the loop. Events come once an edge: read and write until there is no more,
// or ask for another turn.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void onEvents(std::uint32_t events) = 0;
};

// Edge-triggered epoll. Events of a turn are gathered first and handed out after, so that all of a turn carry
// one time.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // False: the kernel has no room for one more.
  [[nodiscard]] bool watch(int fd, EventHandler& source);
  void unwatch(int fd);
  // The source has more to do than one turn's part.
  void reschedule(int fd);
  // Keeps a closed source until the turn is over: it may be in the middle of its own event.
  void deferDeletion(std::unique_ptr<EventHandler> source) { buried_.push_back(std::move(source)); }

  // Asked where no descriptor is left; true: one was made free.
  void onDescriptorExhaustion(std::function<bool()> makeRoom) { makeRoom_ = std::move(makeRoom); }
  bool freeDescriptor() { return makeRoom_ && makeRoom_(); }

  void wait(Millis until);  // of the steady clock
  // The turn has taken long: its time is taken anew. Whether it was so is returned.
  bool refreshTime(Millis more);
  void dispatch();
  Millis now() const { return now_; }
  // How long what came in this turn may have waited for us, where the process was held up; else 0.
  Millis heldUpFor() const { return heldUp_; }

 private:
  struct Watched {
    EventHandler* source{};
    std::uint32_t serial{};
  };
  void gather(int timeout);
  void handOut(std::uint64_t tag, std::uint32_t events);

  int epoll_;
  Millis now_;
  Millis waited_;  // when the turn began
  Millis heldUp_{0};
  std::function<bool()> makeRoom_;
  std::uint32_t serial_{0};
  std::unordered_map<int, Watched> watched_;
  std::vector<std::uint64_t> again_;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> events_;
  std::vector<std::unique_ptr<EventHandler>> buried_;
};

// "10.0.0.4:6379"; there are no names to look up.
std::optional<sockaddr_in> parseAddress(std::string_view text);

enum class ReadResult { wouldBlock, more, endOfStream, broken };

// Reads until there is no more, a turn's part is used, or `into` holds `most` bytes. mayHaveEnded: false
// where the event that brought us here said nothing of an end; a read that is not full then was the last.
ReadResult readAvailable(int fd, std::string& into, std::size_t most, bool mayHaveEnded = true);

// Bytes on their way out, written with gathered writes. Pieces may be shared with whoever made them.
class WriteBuffer {
 public:
  enum class WriteResult { all, part, broken };
  void add(std::string piece) { add(std::make_shared<const std::string>(std::move(piece))); }
  void add(std::shared_ptr<const std::string> piece);
  WriteResult write(int fd);
  bool empty() const { return pieces_.empty(); }
  std::size_t size() const { return size_; }

 private:
  std::deque<std::shared_ptr<const std::string>> pieces_;
  std::size_t done_{0};  // of the first piece
  std::size_t size_{0};
};

}  // namespace stonewing
