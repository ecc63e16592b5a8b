#pragma once

#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "delivery/attempt_sender.h"
#include "discovery/discovery_client.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"
#include "support/loopback.h"
#include "support/temporary_directory.h"

// The sending part of a dispatcher: policy, store, discovery, sender and event loop, without clients.
namespace stonewing::testing {

inline const char* const kSenderSettings = R"({"request-classes":[
    {"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"},
    {"name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"},
    {"name":"repeat","aim-s":1,"deadline-s":10,"effect":"keyed","repeat-window-s":1,"group":"all"}],
  "family-info":{"call-slots":6,"per-call":[20]},"kinds":["many"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"cancel":true,"may-duplicate":false,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

inline const std::string kEmptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

enum class Hedges { forbidden, allowed };

inline DeploymentSettings senderSettings(Hedges hedges) {
  DeploymentSettings settings = readDeploymentSettings(kSenderSettings);
  settings.mayHedge = hedges == Hedges::allowed;
  return settings;
}

// A connection is reused only after it has been quiet for a time, in milliseconds; this is longer.
inline constexpr Millis kUntilReusable = 70;

// A delivery on a reused connection is finished once nothing contradicts it any more, at the latest after
// this time, in milliseconds, with some more for the turns.
inline constexpr Millis kUntilConfirmed = 3000;

// A sender with one endpoint, s-1 of destination 7, which records received bytes and responds when the test
// asks for it. Cancellations decided by the policy are ignored; the test cancels with cancelAttempt(), so
// that the result does not depend on the clock.
struct AttemptSenderHarness {
  TemporaryDirectory directory;
  int listener = listenOnLoopback();
  int connection = -1;  // the endpoint's end of the connection
  EventLoop loop;
  DeploymentSettings settings;
  NameTables names = readNameTables(kSenderSettings);
  DispatchPolicy policy{settings, 7};
  std::size_t maxJournalBytes;
  MessageStore store{names, directory.path.string(), maxJournalBytes};
  DiscoveryClient discovery{loop,
                            policy,
                            names,
                            *parseAddress("127.0.0.1:9"),
                            "nowhere",
                            1,
                            pollTiming(DiscoveryKind::localAgent, 500)};
  AttemptSender sender{loop,
                       policy,
                       store,
                       discovery,
                       settings,
                       names,
                       {.maxConnections = 64, .maxHealthChecks = 8, .maxResponseMemoryBytes = 1'000'000}};
  std::string received;  // bytes received by the endpoint
  std::map<std::string, MessageId> ids;
  bool executesCancellations{false};  // whether cancellations decided by the policy are executed

  explicit AttemptSenderHarness(Hedges hedges = Hedges::forbidden, std::size_t journalBytes = 3'000'000)
      : settings(senderSettings(hedges)), maxJournalBytes(journalBytes) {
    policy.beginRound(loop.now());
    setEndpoint("in_service");
  }
  ~AttemptSenderHarness() {
    if (connection >= 0) ::close(connection);
    ::close(listener);
  }

  // Applies a discovery event with the endpoint in the given state, at the address of the listener.
  void setEndpoint(const std::string& state, int startedMs = 0) {
    applyEntries({entryAtListener("s-1", 7, state, startedMs)});
  }

  // An entry of an endpoint at the address of the listener.
  std::string entryAtListener(const std::string& name, int destination, const std::string& state,
                              int startedMs) const {
    return R"({"id":")" + name + R"(","addr":"127.0.0.1:)" + std::to_string(localPort(listener)) +
           R"(","zone":"a","kind":"many","cell":)" + std::to_string(destination) + R"(,"state":")" + state +
           R"(","weight":1.0,"started_ms":)" + std::to_string(startedMs) + "}";
  }

  // Applies a discovery event with these entries.
  void applyEntries(const std::vector<std::string>& entries) {
    std::string list;
    for (const std::string& entry : entries) list += (list.empty() ? "" : ",") + entry;
    discovery.applyAnswer(nlohmann::json::parse(R"({"version":1,"full":false,"servers":[)" + list + "]}"));
  }

  EndpointState stateOf(const std::string& endpoint) {
    const auto& endpoints = policy.state().endpoints;
    auto found = endpoints.find(discovery.idOf(endpoint));
    return found == endpoints.end() ? EndpointState::removed : found->second.state;
  }

  // Accepts a message of a traffic type of the settings, with a deadline `untilDeadline` milliseconds from
  // now.
  void accept(const std::string& reference, const std::string& type, Millis untilDeadline,
              const std::string& body = "x") {
    StoredMessage message = store.decode("00", reference, "c=" + type + ",d=1,dest=7", body, 0);
    ids[reference] = *store.accept(std::move(message));
    const StoredMessage* stored = store.find(ids[reference]);
    policy.acceptMessage(ids[reference], stored->type, {}, {}, DestinationId{7}, loop.now() + untilDeadline);
  }

  // Waits for events for at most `timeout` milliseconds, and begins a round of the policy.
  void beginRound(Millis timeout) {
    loop.wait(loop.now() + timeout);
    policy.beginRound(loop.now());
  }

  // Accepts a message with an earlier attempt that may have been executed. Its deduplication window of one
  // second begins now.
  void acceptAttemptedBefore(const std::string& reference, const std::string& body = "x") {
    accept(reference, "repeat", 9000, body);
    policy.recordEarlierAttempt(ids[reference], discovery.idOf("s-1"), loop.now(), false);
    beginRound(5);
  }

  // A turn without decisions. Requests whose connections became ready are journaled and sent, as the
  // dispatcher does.
  void turn() {
    beginRound(5);
    loop.dispatch();
    sender.onTick();
    sender.recordRequests();
    store.commit();
    sender.sendRequests();
  }

  // Turns the loop for so many milliseconds.
  void turnFor(Millis duration) {
    Millis end = loop.now() + duration;
    while (loop.now() < end) turn();
  }

  // Turns the loop until the condition holds. Returns false if it does not hold within `timeout`
  // milliseconds.
  bool turnUntil(const std::function<bool()>& condition, Millis timeout = 1000) {
    return eventually(timeout, [&] {
      turn();
      return condition();
    });
  }

  // Responds 200 to the latest request. Returns whether that finishes all messages.
  bool respondAndFinishAll() {
    sendBytes(connection, kEmptyResponse);
    return turnUntil([&] { return store.inFlight().empty(); }, kUntilConfirmed);
  }

  // Sends the attempts that are due. Returns whether the endpoint receives bytes that end with `lastBytes`.
  bool sendUpTo(const std::string& lastBytes) {
    sendDecided();
    return receiveUpTo(lastBytes);
  }

  // Decides, journals and sends attempts, as the dispatcher does. Calls `duringCommit` after the journal is
  // written and before the attempts are sent.
  void sendDecided(const std::function<void()>& duringCommit = [] {}) {
    while (auto decision = policy.nextDecision()) {
      if (const auto* send = std::get_if<SendAttempt>(&*decision)) sender.sendAttempt(*send);
      if (const auto* cancel = std::get_if<CancelAttempt>(&*decision); cancel && executesCancellations) {
        sender.cancelAttempt(*cancel);
      }
    }
    sender.recordRequests();
    store.commit();
    duringCommit();
    if (loop.refreshTime(5)) policy.beginRound(loop.now());
    sender.sendRequests();
  }

  // Returns whether the endpoint receives bytes that end with `lastBytes`, or at least `byteCount` bytes.
  bool receiveUpTo(const std::string& lastBytes, std::size_t byteCount = 1e9) {
    return turnUntil([&] {
      pollfd waiting{listener, POLLIN, 0};
      if (connection < 0 && ::poll(&waiting, 1, 0) > 0) connection = ::accept(listener, nullptr, nullptr);
      std::vector<char> chunk(1 << 20);
      ssize_t size = connection < 0 ? 0 : ::recv(connection, chunk.data(), chunk.size(), MSG_DONTWAIT);
      if (size > 0) received.append(chunk.data(), static_cast<std::size_t>(size));
      return received.ends_with(lastBytes) || received.size() >= byteCount;
    });
  }

  // Cancels the first attempt of a message.
  void cancelAttempt(const std::string& reference) { sender.cancelAttempt({ids[reference], 0}); }

  // The attempts of a message in flight; the reference stays valid until the message is finished.
  const std::vector<Attempt>& attemptsOf(const std::string& reference) const {
    return policy.state().messages.at(ids.at(reference)).attempts;
  }

  // The attempts of a message that a process would find in the journal after a kill at this moment.
  std::vector<AttemptRecord> storedAttemptsOf(const std::string& reference) const {
    TemporaryDirectory copy;
    std::filesystem::copy(directory.path / "journal", copy.path / "journal");
    MessageStore restored(names, copy.path.string(), maxJournalBytes);
    restored.restore();
    return restored.find(restored.idOf(reference).value())->attempts;
  }

  // Whether the first attempt of a message is pending.
  bool isPending(const std::string& reference) const {
    const auto& messages = policy.state().messages;
    auto found = messages.find(ids.at(reference));
    return found != messages.end() && found->second.attempts.at(0).pending;
  }

  // Whether the connection has ended at the endpoint.
  bool isClosed() const {
    char byte;
    return ::recv(connection, &byte, 1, MSG_DONTWAIT) == 0;
  }
};

}  // namespace stonewing::testing
