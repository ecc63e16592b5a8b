#pragma once

#include <arpa/inet.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "policy/dispatch_policy.h"

extern char** environ;

namespace stonewing::testing {

inline TrafficType trafficType(Idempotency effect) {
  TrafficType t;
  t.latencyObjective = 1000;
  t.deadlineAfter = 10000;
  t.lateWeightShare = 0.5;
  t.idempotency = effect;
  t.deduplicationWindow = 4000;
  return t;
}

inline DeploymentSettings plainTerms(Idempotency effect = Idempotency::idempotent) {
  DeploymentSettings t;
  t.types = {trafficType(effect)};
  t.kinds = {{false, 1}};
  t.maxConcurrentRequests = 8;
  t.maxInFlight = 100;
  t.maxAttempts = 6;
  t.dispatcherCount = 2;
  t.mayHedge = t.mayHealthCheck = t.mayCancel = t.mayAdviseRetryAfter = true;
  t.maxRetryAfter = 2000;
  t.connectionIdleTimeout = 10000;
  t.slowStartInitialShare = 0.2;
  t.slowStartDuration = 10000;
  t.overloadThreshold = 2;
  t.overloadWindow = 1500;
  t.orderingPause = 500;
  return t;
}

constexpr EndpointId endpoint(std::uint64_t n) { return EndpointId{n}; }

// One instance under test, with a clock; destination 1 has the endpoints 1 .. n, all in zone 0 unless listed
// anew.
struct Bed {
  explicit Bed(DeploymentSettings terms = plainTerms(), int endpoints = 2) : rules(std::move(terms), 7) {
    rules.beginRound(now);
    rules.beginEndpointList();
    for (int n = 1; n <= endpoints; ++n) list(static_cast<std::uint64_t>(n));
    rules.commitEndpointList(true);
  }
  void list(std::uint64_t n, EndpointState phase = EndpointState::ready, std::uint8_t zone = 0) {
    rules.addEndpoint(endpoint(n), DestinationId{1}, KindId{0}, ZoneId{zone}, 1, phase);
  }
  void to(Millis at) { rules.beginRound(now = at); }
  void take(std::uint32_t id, std::uint16_t type = 0, std::uint64_t key = 0) {
    rules.acceptMessage(MessageId{id}, TrafficTypeId{type}, TenantId{0}, OrderingKey{key}, DestinationId{1},
                        now + 10000);
  }
  // The end of an attempt that was sent, or is to be cancelled.
  template <class AttemptDecision>
  void end(const AttemptDecision& launch, AttemptOutcome ending, Millis spent = 100, Millis wait = 0) {
    rules.recordAttemptOutcome(launch.message, launch.attempt, ending, spent,
                               ending == AttemptOutcome::completed, wait, {});
  }
  template <class Kind>
  std::vector<Kind> pull() {
    std::vector<Kind> found;
    while (auto decision = rules.nextDecision()) {
      if (const Kind* wanted = std::get_if<Kind>(&*decision)) found.push_back(*wanted);
    }
    return found;
  }
  // So many messages completed give the module its samples.
  void warm(int many, std::uint32_t from = 1000) {
    for (int n = 0; n < many; ++n) {
      take(from + static_cast<std::uint32_t>(n));
      auto launches = pull<SendAttempt>();
      to(now + 100);
      for (const SendAttempt& d : launches) end(d, AttemptOutcome::completed);
    }
  }
  void breakDown() {
    take(1);
    while (!rules.state().routes.begin()->second.recovery.isOutage()) {
      for (const SendAttempt& d : pull<SendAttempt>()) end(d, AttemptOutcome::connectFailed);
      to(now + 50);
    }
  }

  Millis now = 1000;
  DispatchPolicy rules;
};

// Stand-ins on loopback for the other sides of a real dispatcher.

inline int loopback(std::uint16_t port, bool listening, int backlog = 64) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  timeval patience{5, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  auto* address = reinterpret_cast<sockaddr*>(&at);
  bool good = listening ? ::bind(fd, address, sizeof at) == 0 && ::listen(fd, backlog) == 0
                        : ::connect(fd, address, sizeof at) == 0;
  if (good) return fd;
  ::close(fd);
  return -1;
}

inline std::uint16_t portOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

inline void put(int fd, const std::string& bytes) {
  (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// Waits for what another process or thread does.
inline bool within(Millis most, const std::function<bool()>& done) {
  for (Millis spent = 0; spent < most; spent += 5) {
    if (done()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return done();
}

// An HTTP server that answers each call as it is told to; an empty answer is silence, one that ends with \4 a
// close behind it.
class StandIn {
 public:
  using Answer = std::function<std::string(const std::string& head, const std::string& body)>;
  explicit StandIn(Answer answer, int backlog = 64)
      : answer_(std::move(answer)), fd_(loopback(0, true, backlog)), port_(portOf(fd_)) {}
  ~StandIn() {
    ::shutdown(fd_, SHUT_RDWR);
    if (taker_.joinable()) taker_.join();
    {
      std::lock_guard lock(guard_);
      for (int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : threads_) thread.join();
    ::close(fd_);
  }
  // Takes connections from now on.
  void start() {
    taker_ = std::thread([this] {
      for (int fd; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        std::lock_guard lock(guard_);
        open_.push_back(fd);
        threads_.emplace_back([this, fd] { serve(fd); });
      }
    });
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::vector<std::string> calls() {  // head and body of each, in the order in which they came
    std::lock_guard lock(guard_);
    return calls_;
  }
  std::size_t count(const std::string& part) {
    std::size_t n = 0;
    for (const std::string& call : calls()) n += call.find(part) != std::string::npos ? 1 : 0;
    return n;
  }

 private:
  void serve(int fd) {
    std::string in;
    char chunk[4096];
    for (ssize_t n; (n = ::recv(fd, chunk, sizeof chunk, 0)) > 0;) {
      in.append(chunk, static_cast<std::size_t>(n));
      for (std::size_t end; (end = in.find("\r\n\r\n")) != std::string::npos;) {
        std::size_t at = in.find("Content-Length: ");
        std::size_t length = at < end ? std::stoul(in.substr(at + 16)) : 0;
        if (in.size() < end + 4 + length) break;
        std::string head = in.substr(0, end + 4);
        std::string body = in.substr(end + 4, length);
        in.erase(0, end + 4 + length);
        {
          std::lock_guard lock(guard_);
          calls_.push_back(head + body);
        }
        std::string answer = answer_(head, body);
        bool closes = answer.ends_with('\4');
        put(fd, answer.substr(0, answer.size() - closes));
        if (closes) ::shutdown(fd, SHUT_RDWR);
      }
    }
  }

  Answer answer_;
  int fd_;
  std::uint16_t port_;
  std::mutex guard_;
  std::vector<int> open_;
  std::vector<std::string> calls_;
  std::thread taker_;
  std::vector<std::thread> threads_;
};

// An empty folder of its own.
struct Folder {
  std::filesystem::path path;
  Folder() {
    char name[] = "/tmp/stonewing-test-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

// The dispatcher as a process, started and ended at will; its folder stays.
struct Node {
  Folder folder;
  std::uint16_t port;
  std::string config;
  std::function<std::string(const std::string& discovery)> text;  // its configuration
  pid_t pid{-1};
  std::string preloaded;  // a library of ours that stands in for calls of the system's

  explicit Node(const std::string& settings, const std::string& known, const std::string& discovery,
                const std::string& limits = R"({"sockets":256,"disk_mb":3})") {
    int fd = loopback(0, true);
    port = portOf(fd);
    ::close(fd);
    config = (folder.path / "config.json").string();
    text = [=, this](const std::string& at) {
      return R"({"name":"n1","seed":"2a","listen":"127.0.0.1:)" + std::to_string(port) +
             R"(","discovery":")" + at + R"(","state":")" + folder.path.string() + R"(","limits":)" + limits +
             R"(,"known":{"version":1,"full":true,"servers":)" + known + R"(},"settings":)" + settings + "}";
    };
    replace(text(discovery));
  }
  void replace(const std::string& configuration) const { std::ofstream(config) << configuration; }
  ~Node() {
    if (pid > 0) end(SIGKILL);
  }
  bool start() {
    return spawn() && within(5000, [&] { return ask("*1\r\n$4\r\nPING\r\n") == "+PONG\r\n"; });
  }
  bool spawn() {
    std::string command = STONEWING_BINARY;
    std::string arguments[] = {command, "serve", "--log", "off", "--config", config};
    char* argv[] = {arguments[0].data(),
                    arguments[1].data(),
                    arguments[2].data(),
                    arguments[3].data(),
                    arguments[4].data(),
                    arguments[5].data(),
                    nullptr};
    std::vector<char*> variables;
    for (char** at = environ; *at != nullptr; ++at) variables.push_back(*at);
    std::string preload = "LD_PRELOAD=" + preloaded;
    std::string order = "ASAN_OPTIONS=verify_asan_link_order=0";
    if (!preloaded.empty()) variables.insert(variables.end(), {preload.data(), order.data()});
    variables.push_back(nullptr);
    return ::posix_spawn(&pid, command.c_str(), nullptr, nullptr, argv, variables.data()) == 0;
  }
  // The exit code, or minus the signal.
  int end(int signal) {
    int status = 0;
    ::kill(pid, signal);
    ::waitpid(pid, &status, 0);
    pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Sends bytes on a connection of their own and returns all that comes, so many lines at most.
  std::string ask(const std::string& bytes, int lines = 1, bool endsFirst = false) const {
    int fd = loopback(port, false);
    if (fd < 0) return "";
    put(fd, bytes);
    if (endsFirst) ::shutdown(fd, SHUT_WR);
    std::string got;
    char chunk[4096];
    for (ssize_t n; lines > 0 && (n = ::recv(fd, chunk, sizeof chunk, 0)) > 0;) {
      got.append(chunk, static_cast<std::size_t>(n));
      lines -= static_cast<int>(std::count(chunk, chunk + n, '\n'));
    }
    ::close(fd);
    return got;
  }
};

inline std::string command(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& w : words) bytes += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
  return bytes;
}

inline std::string submit(const std::string& ref, const std::string& list,
                          const std::string& body = "lamp 7") {
  return command({"SUBMIT", "0000000000000000", ref, list, body});
}

}  // namespace stonewing::testing
