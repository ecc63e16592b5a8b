#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/loopback.h"
#include "support/resp_commands.h"

namespace stonewing::testing {

// What ordinary clients were answered.
struct ClientSummary {
  std::vector<Millis> answerTimes;  // of all replies, in ascending order
  int accepted{0};
  int refused{0};
  int unanswered{0};  // no reply within the time that a client waits

  // The answer time that a share of the answers did not exceed, in milliseconds; 0 without answers.
  Millis quantile(double share) const {
    if (answerTimes.empty()) return 0;
    auto index = static_cast<std::size_t>(share * static_cast<double>(answerTimes.size() - 1));
    return answerTimes[index];
  }
};

// Clients as the protocol describes them: each submits one message at a time, waits 400 ms for the reply, and
// closes the connection if none comes. Each has a thread.
class OrdinaryClients {
 public:
  OrdinaryClients(std::uint16_t port, int count, std::string fields)
      : port_(port), fields_(std::move(fields)) {
    for (int client = 0; client < count; ++client) threads_.emplace_back([this, client] { run(client); });
  }
  ~OrdinaryClients() { finish(); }
  OrdinaryClients(const OrdinaryClients&) = delete;
  OrdinaryClients& operator=(const OrdinaryClients&) = delete;

  // Ends the clients and returns what they were answered.
  ClientSummary finish() {
    stops_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    std::sort(summary_.answerTimes.begin(), summary_.answerTimes.end());
    return summary_;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kReplyTimeout{400};
  static constexpr std::chrono::milliseconds kPause{20};

  void run(int client) {
    int fd = -1;
    for (int number = 0; !stops_; ++number) {
      if (fd < 0) fd = connect();
      std::string reference = "ordinary-" + std::to_string(client) + "-" + std::to_string(number);
      auto began = Clock::now();
      sendBytes(fd, submitCommand(reference, fields_));
      char reply[64];
      ssize_t size = ::recv(fd, reply, sizeof reply, 0);
      Millis spent = std::chrono::duration<Millis, std::milli>(Clock::now() - began).count();
      record(size > 0 ? std::string(reply, static_cast<std::size_t>(size)) : "", spent);
      if (size <= 0) {
        ::close(fd);
        fd = -1;
      }
      std::this_thread::sleep_for(kPause);
    }
    ::close(fd);
  }

  int connect() const {
    int fd = connectToLoopback(port_);
    timeval timeout{0, std::chrono::microseconds(kReplyTimeout).count()};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return fd;
  }

  void record(const std::string& reply, Millis spent) {
    std::lock_guard lock(mutex_);
    if (reply.empty()) {
      ++summary_.unanswered;
      return;
    }
    summary_.answerTimes.push_back(spent);
    ++(reply.starts_with("+") ? summary_.accepted : summary_.refused);
  }

  std::uint16_t port_;
  std::string fields_;
  std::mutex mutex_;  // guards the summary
  ClientSummary summary_;
  std::atomic<bool> stops_{false};
  std::vector<std::thread> threads_;
};

}  // namespace stonewing::testing
