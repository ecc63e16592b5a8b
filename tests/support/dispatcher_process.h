#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "support/loopback.h"
#include "support/reserved_port.h"
#include "support/temporary_directory.h"

extern char** environ;

namespace stonewing::testing {

// A dispatcher in a separate process that a test starts and stops. Its directory, port and configuration stay
// the same from one start to the next. The destructor kills a process that is still running.
class DispatcherProcess {
 public:
  // settings and knownEndpoints: JSON as the configuration holds it; discovery: the address of discovery and
  // of the platform.
  DispatcherProcess(std::string settings, std::string knownEndpoints, const std::string& discovery,
                    std::string limits = R"({"sockets":256,"disk_mb":3})")
      : settings_(std::move(settings)),
        knownEndpoints_(std::move(knownEndpoints)),
        limits_(std::move(limits)),
        configPath_((directory_.path / "config.json").string()) {
    writeConfig(configFor(discovery));
  }
  ~DispatcherProcess() {
    if (pid_ > 0) stop(SIGKILL);
  }
  DispatcherProcess(const DispatcherProcess&) = delete;
  DispatcherProcess& operator=(const DispatcherProcess&) = delete;

  // The text of the configuration, with the given address of discovery.
  std::string configFor(const std::string& discovery) const {
    return R"({"name":"n1","seed":"2a","listen":"127.0.0.1:)" + std::to_string(port()) +
           R"(","discovery":")" + discovery + R"(","state":")" + directory_.path.string() + R"(","limits":)" +
           limits_ + R"(,"known":{"version":1,"full":true,"servers":)" + knownEndpoints_ +
           R"(},"settings":)" + settings_ + "}";
  }
  void writeConfig(const std::string& configuration) const { std::ofstream(configPath_) << configuration; }

  // Sets a library to preload, which replaces some system calls. Takes effect at the next start.
  void preload(const std::string& library) { preloadedLibrary_ = library; }

  // Starts the process and waits up to 5 s until it answers clients.
  bool start() {
    return spawn() && eventually(5000, [&] { return request("*1\r\n$4\r\nPING\r\n") == "+PONG\r\n"; });
  }

  // Starts the process without waiting until it answers.
  bool spawn() {
    // To look into a failing test: the level at which its dispatchers log, to the test's standard error.
    const char* logLevel = std::getenv("STONEWING_TEST_LOG");
    std::string arguments[] = {STONEWING_BINARY, "serve",    "--log", logLevel ? logLevel : "off",
                               "--config",       configPath_};
    std::vector<char*> argumentPointers;
    for (std::string& argument : arguments) argumentPointers.push_back(argument.data());
    argumentPointers.push_back(nullptr);
    std::vector<char*> variables;
    for (char** variable = environ; *variable != nullptr; ++variable) variables.push_back(*variable);
    std::string preload = "LD_PRELOAD=" + preloadedLibrary_;
    std::string linkOrder = "ASAN_OPTIONS=verify_asan_link_order=0";
    if (!preloadedLibrary_.empty()) variables.insert(variables.end(), {preload.data(), linkOrder.data()});
    variables.push_back(nullptr);
    return ::posix_spawn(&pid_, STONEWING_BINARY, nullptr, nullptr, argumentPointers.data(),
                         variables.data()) == 0;
  }

  void sendSignal(int signal) const { ::kill(pid_, signal); }

  // Sends the signal and waits until the process has ended. Returns the exit code, or the negative number of
  // the signal that terminated the process.
  int stop(int signal) {
    int status = 0;
    ::kill(pid_, signal);
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  enum class AfterSending { keepOpen, shutDownWriting };

  // Sends bytes on a new connection and returns the received bytes: until `lines` lines have arrived or the
  // dispatcher has closed the connection.
  std::string request(const std::string& bytes, int lines = 1,
                      AfterSending afterSending = AfterSending::keepOpen) const {
    int fd = connectToLoopback(port());
    if (fd < 0) return "";
    sendBytes(fd, bytes);
    if (afterSending == AfterSending::shutDownWriting) ::shutdown(fd, SHUT_WR);
    std::string received;
    char chunk[4096];
    for (ssize_t size; lines > 0 && (size = ::recv(fd, chunk, sizeof chunk, 0)) > 0;) {
      received.append(chunk, static_cast<std::size_t>(size));
      lines -= static_cast<int>(std::count(chunk, chunk + size, '\n'));
    }
    ::close(fd);
    return received;
  }

  const std::filesystem::path& directory() const { return directory_.path; }
  std::uint16_t port() const { return port_.port(); }
  pid_t pid() const { return pid_; }

 private:
  TemporaryDirectory directory_;
  std::string settings_;
  std::string knownEndpoints_;
  std::string limits_;
  ReservedPort port_;
  std::string configPath_;
  std::string preloadedLibrary_;
  pid_t pid_{-1};
};

}  // namespace stonewing::testing
