#include "net/event_loop.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

namespace stonewing {
namespace {

constexpr int kEventsAtOnce = 256;
constexpr int kGathersATurn = 16;
constexpr std::size_t kTurnPart = 64 * 1024;  // of one source, so that a busy one leaves room for others
constexpr std::size_t kChunk = 16 * 1024;
constexpr std::size_t kGathered = 64;
constexpr Millis kLongestSleep = 50;  // so that a longer time between two turns tells of a process held up

}  // namespace

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(steadyNow()), waited_(now_) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() { ::close(epoll_); }

bool EventLoop::watch(int fd, EventHandler& source) {
  std::uint32_t serial = ++serial_;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = std::uint64_t{serial} << 32 | static_cast<std::uint32_t>(fd);
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) return false;
  watched_[fd] = {&source, serial};
  return true;
}

void EventLoop::unwatch(int fd) {
  if (watched_.erase(fd) > 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::reschedule(int fd) {
  auto at = watched_.find(fd);
  if (at == watched_.end()) return;
  again_.push_back(std::uint64_t{at->second.serial} << 32 | static_cast<std::uint32_t>(fd));
}

void EventLoop::wait(Millis until) {
  buried_.clear();
  Millis left = std::clamp(until - steadyNow(), 0.0, kLongestSleep);
  int timeout = again_.empty() ? static_cast<int>(std::ceil(left)) : 0;
  gather(timeout);
  now_ = steadyNow();
  Millis before = std::exchange(waited_, now_);
  heldUp_ = now_ - before > 2 * kLongestSleep ? now_ - before : 0;
  if (heldUp_ > 0) gather(0);  // a stop ends a sleep early, and what came meanwhile belongs to this turn
}

bool EventLoop::refreshTime(Millis more) {
  Millis now = steadyNow();
  if (now - now_ < more) return false;
  now_ = now;
  return true;
}

// All that has come belongs to the turn: what is decided in it must not be decided on half of what is there.
void EventLoop::gather(int timeout) {
  for (int more = kGathersATurn; more > 0; --more) {
    std::array<epoll_event, kEventsAtOnce> raw;
    int n = epoll_wait(epoll_, raw.data(), kEventsAtOnce, timeout);
    if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    for (int i = 0; i < n; ++i) {
      const epoll_event& event = raw[static_cast<std::size_t>(i)];
      events_.emplace_back(event.data.u64, event.events);
    }
    if (n < kEventsAtOnce) return;
    timeout = 0;
  }
}

void EventLoop::dispatch() {
  for (std::uint64_t tag : std::exchange(again_, {})) handOut(tag, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
  for (auto [tag, events] : std::exchange(events_, {})) handOut(tag, events);
}

// A descriptor that was closed and given out anew in this turn carries another serial: old events are not
// its own.
void EventLoop::handOut(std::uint64_t tag, std::uint32_t events) {
  auto at = watched_.find(static_cast<int>(tag & 0xffffffffu));
  if (at != watched_.end() && at->second.serial == tag >> 32) at->second.source->onEvents(events);
}

std::optional<sockaddr_in> parseAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::string host(text.substr(0, colon));
  std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return std::nullopt;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

ReadResult readAvailable(int fd, std::string& into, std::size_t most, bool mayHaveEnded) {
  std::size_t part = 0;
  while (part < kTurnPart && into.size() < most) {
    // Read beside it first: whoever sends a few bytes must not cost a chunk each.
    std::array<char, kChunk> chunk;
    std::size_t asked = std::min(kChunk, most - into.size());
    ssize_t n = ::recv(fd, chunk.data(), asked, 0);
    int error = errno;
    if (n > 0) {
      into.append(chunk.data(), static_cast<std::size_t>(n));
      part += static_cast<std::size_t>(n);
      // Whatever comes after this read, an end too, is an event of its own.
      if (!mayHaveEnded && static_cast<std::size_t>(n) < asked) return ReadResult::wouldBlock;
    } else if (n == 0) {
      return ReadResult::endOfStream;
    } else if (error == EAGAIN || error == EWOULDBLOCK) {
      return ReadResult::wouldBlock;
    } else if (error != EINTR) {
      return ReadResult::broken;
    }
  }
  return ReadResult::more;
}

void WriteBuffer::add(std::shared_ptr<const std::string> piece) {
  if (piece->empty()) return;
  size_ += piece->size();
  pieces_.push_back(std::move(piece));
}

WriteBuffer::WriteResult WriteBuffer::write(int fd) {
  while (!pieces_.empty()) {
    std::array<iovec, kGathered> parts;
    std::size_t n = 0;
    for (const auto& piece : pieces_) {
      if (n == kGathered) break;
      std::size_t from = n == 0 ? done_ : 0;
      parts[n++] = {const_cast<char*>(piece->data()) + from, piece->size() - from};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = n;
    ssize_t wrote = ::sendmsg(fd, &message, MSG_NOSIGNAL);
    if (wrote < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? WriteResult::part : WriteResult::broken;
    }
    size_ -= static_cast<std::size_t>(wrote);
    done_ += static_cast<std::size_t>(wrote);
    while (!pieces_.empty() && done_ >= pieces_.front()->size()) {
      done_ -= pieces_.front()->size();
      pieces_.pop_front();
    }
  }
  return WriteResult::all;
}

}  // namespace stonewing
