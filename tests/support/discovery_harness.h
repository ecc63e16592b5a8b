#pragma once

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "discovery/discovery_client.h"
#include "settings/settings_reader.h"
#include "support/loopback.h"

// A discovery client alone, with the test as its discovery.
namespace stonewing::testing {

inline constexpr const char* kDiscoverySettings =
    R"({"request-classes":[{"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"}],
  "family-info":{"call-slots":6},"kinds":["plain"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

// DeploymentSettings::drainGrace of the client.
inline constexpr Millis kDrainGrace = 500;

inline std::string httpResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A response with a full list of one endpoint.
inline std::string listResponse(int version, const std::string& state = "in_service",
                                const std::string& id = "s-1") {
  return httpResponse(200, R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":")" +
                               id + R"(","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":7,"state":")" +
                               state + R"(","weight":1.0,"started_ms":0}]})");
}

struct Poll {
  std::string requestLine;  // empty if no poll arrived in time
  Millis after;             // milliseconds until the poll arrived, or of the wait for it
};

// A DiscoveryClient without a dispatcher, on an event loop whose turns the test runs. The test acts as
// discovery.
struct DiscoveryHarness {
  NameTables names = readNameTables(kDiscoverySettings);
  EventLoop loop;
  DispatchPolicy policy{readDeploymentSettings(kDiscoverySettings), 7};
  int backlog;
  int listener = listenOnLoopback(0, backlog);
  int connection = -1;  // the latest one from the client
  std::string received;
  DiscoveryClient client;

  explicit DiscoveryHarness(int listenBacklog = 8, DiscoveryKind kind = DiscoveryKind::sharedServer)
      : backlog(listenBacklog),
        client(loop, policy, names, *parseAddress("127.0.0.1:" + std::to_string(localPort(listener))), "d", 1,
               pollTiming(kind, kDrainGrace)) {
    policy.beginRound(loop.now());
  }
  ~DiscoveryHarness() {
    if (connection >= 0) ::close(connection);
    ::close(listener);
  }

  void turn() {
    loop.wait(loop.now() + 2);
    policy.beginRound(loop.now());
    loop.dispatch();
    client.onTick();
  }

  // Is held up for so long, and runs the part of a turn that comes before its decisions.
  void turnAfterStall(Millis stall) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(stall));
    loop.wait(loop.now());
    policy.beginRound(loop.now());
    client.readAfterStall(loop.stalledFor());
    loop.dispatch();
    client.onTick();
  }

  // Waits at most `timeout` milliseconds for the next request.
  Poll nextPoll(Millis timeout) {
    Millis began = loop.now();
    Poll poll;
    eventually(timeout, [&] {
      turn();
      acceptConnection();
      std::string more = connection < 0 ? "" : receiveAvailable(connection);
      received += more.substr(0, std::min(more.find("FIN"), more.find("RST")));
      std::size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) return loop.now() - began >= timeout;
      poll.requestLine = received.substr(0, received.find("\r\n"));
      received.erase(0, end + 4);
      return true;
    });
    poll.after = loop.now() - began;
    return poll;
  }

  // As a new configuration does that names the same discovery by another host.
  void changeHost() {
    turn();
    client.changeAddress(*parseAddress("127.0.0.1:" + std::to_string(localPort(listener))), "e");
  }

  void respond(const std::string& bytes) const { sendBytes(connection, bytes); }

  bool isReady(const std::string& endpoint) {
    auto found = policy.state().endpoints.find(client.idOf(endpoint));
    return found != policy.state().endpoints.end() && found->second.state == EndpointState::ready;
  }

 private:
  void acceptConnection() {
    pollfd waiting{listener, POLLIN, 0};
    if (::poll(&waiting, 1, 0) <= 0) return;
    if (connection >= 0) ::close(connection);
    connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    received.clear();
  }
};

}  // namespace stonewing::testing
