#pragma once

#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/loopback.h"
#include "support/resp_commands.h"

namespace stonewing::testing {

// A message that a client submitted, and what it was answered.
struct SubmittedMessage {
  std::string reference;
  bool accepted{false};
  std::chrono::steady_clock::time_point submittedAt{};
};

// Clients that use their connection for as long as it is open, also while the dispatcher shuts down. A client
// whose connection ends with a request unanswered sends that request once more on a new connection; one that
// gets no reply in time gives the message up. Each has a thread.
class KeptClients {
 public:
  KeptClients(std::uint16_t port, int count, std::string prefix, std::string fields)
      : port_(port), prefix_(std::move(prefix)), fields_(std::move(fields)) {
    for (int client = 0; client < count; ++client) threads_.emplace_back([this, client] { run(client); });
  }
  ~KeptClients() { finish(); }
  KeptClients(const KeptClients&) = delete;
  KeptClients& operator=(const KeptClients&) = delete;

  // Ends the clients and returns what they submitted.
  std::vector<SubmittedMessage> finish() {
    stops_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return messages_;
  }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Answer { accepted, refused, none, connectionEnded };
  static constexpr std::chrono::milliseconds kReplyTimeout{400};
  static constexpr std::chrono::milliseconds kPause{10};

  void run(int client) {
    int fd = -1;
    for (int number = 0; !stops_; ++number) {
      SubmittedMessage message{
          .reference = prefix_ + std::to_string(client) + "-" + std::to_string(number) + "-",
          .submittedAt = Clock::now()};
      Answer answer = submit(fd, message.reference);
      if (answer == Answer::connectionEnded) answer = submit(fd, message.reference);
      message.accepted = answer == Answer::accepted;
      {
        std::lock_guard lock(mutex_);
        messages_.push_back(std::move(message));
      }
      std::this_thread::sleep_for(kPause);
    }
    ::close(fd);
  }

  Answer submit(int& fd, const std::string& reference) const {
    if (fd < 0) fd = connect();
    if (fd < 0) return Answer::connectionEnded;
    sendBytes(fd, submitCommand(reference, fields_));
    char reply[64];
    ssize_t size = ::recv(fd, reply, sizeof reply, 0);
    if (size > 0) return reply[0] == '+' ? Answer::accepted : Answer::refused;
    bool isTimeout = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    ::close(fd);
    fd = -1;
    return isTimeout ? Answer::none : Answer::connectionEnded;
  }

  int connect() const {
    int fd = connectToLoopback(port_);
    timeval timeout{0, std::chrono::microseconds(kReplyTimeout).count()};
    if (fd >= 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return fd;
  }

  std::uint16_t port_;
  std::string prefix_;
  std::string fields_;
  std::mutex mutex_;  // guards the messages
  std::vector<SubmittedMessage> messages_;
  std::atomic<bool> stops_{false};
  std::vector<std::thread> threads_;
};

}  // namespace stonewing::testing
