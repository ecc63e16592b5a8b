#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/loopback.h"

namespace stonewing::testing {

// An HTTP server on loopback that acts as an endpoint, as discovery or as the platform. It accepts
// connections after start() was called; until then connections wait in the backlog. Each connection has a
// thread; the destructor joins all threads.
class HttpServerStub {
 public:
  // Returns the bytes of the response to one request; called on the connection's thread. Empty: no response
  // is sent. If the response ends with the byte 4, it is sent without that byte, and the connection is closed
  // after it.
  using Responder = std::function<std::string(const std::string& head, const std::string& body)>;

  explicit HttpServerStub(Responder responder, int backlog = 64)
      : responder_(std::move(responder)),
        listener_(listenOnLoopback(0, backlog)),
        port_(localPort(listener_)) {}

  ~HttpServerStub() {
    ::shutdown(listener_, SHUT_RDWR);
    if (acceptThread_.joinable()) acceptThread_.join();
    {
      std::lock_guard lock(mutex_);
      for (int fd : connections_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : connectionThreads_) thread.join();
    ::close(listener_);
  }

  // Starts to accept connections.
  void start() {
    acceptThread_ = std::thread([this] {
      for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        std::lock_guard lock(mutex_);
        connections_.push_back(fd);
        connectionThreads_.emplace_back([this, fd] { serve(fd); });
      }
    });
  }

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Head and body of each request, in the order of arrival.
  std::vector<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }

  // The number of requests that contain this text.
  std::size_t requestsContaining(const std::string& text) {
    std::size_t count = 0;
    for (const std::string& request : requests()) count += request.find(text) != std::string::npos ? 1 : 0;
    return count;
  }

 private:
  void serve(int fd) {
    std::string received;
    char chunk[4096];
    for (ssize_t size; (size = ::recv(fd, chunk, sizeof chunk, 0)) > 0;) {
      received.append(chunk, static_cast<std::size_t>(size));
      while (respondToOneRequest(fd, received)) {
      }
    }
  }

  // Removes the first request from `received` and responds to it. Returns false if the request is not
  // complete.
  bool respondToOneRequest(int fd, std::string& received) {
    std::size_t headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos) return false;
    std::size_t lengthField = received.find("Content-Length: ");
    std::size_t length = lengthField < headEnd ? std::stoul(received.substr(lengthField + 16)) : 0;
    if (received.size() < headEnd + 4 + length) return false;
    std::string head = received.substr(0, headEnd + 4);
    std::string body = received.substr(headEnd + 4, length);
    received.erase(0, headEnd + 4 + length);
    {
      std::lock_guard lock(mutex_);
      requests_.push_back(head + body);
    }
    std::string response = responder_(head, body);
    bool closes = response.ends_with('\4');
    sendBytes(fd, response.substr(0, response.size() - closes));
    if (closes) ::shutdown(fd, SHUT_RDWR);
    return true;
  }

  Responder responder_;
  int listener_;
  std::uint16_t port_;
  std::mutex mutex_;  // guards the connections and the requests
  std::vector<int> connections_;
  std::vector<std::string> requests_;
  std::thread acceptThread_;
  std::vector<std::thread> connectionThreads_;
};

}  // namespace stonewing::testing
