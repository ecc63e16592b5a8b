#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/http_server.h"
#include "lab/timer_queue.h"
#include "lab/trace.h"
#include "policy/endpoint_state.h"

namespace stonewing::lab {

// The emulated discovery: the endpoint list, the polls that wait for its changes, and discovery's outages. It
// records when each dispatcher is notified of a change.
class EmulatedDiscovery {
 public:
  // Where a dispatcher reaches an endpoint, as host:port.
  using AddressOf = std::function<std::string(int dispatcher, std::uint32_t endpoint)>;

  // The references must outlive the object.
  EmulatedDiscovery(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                    const Experiment& experiment, Trace& trace, AddressOf addressOf);

  // The list that a dispatcher starts with, as the JSON body of a response.
  std::string endpointList(int dispatcher) const;
  // Answers a poll, or holds it open as a watch until the list changes or its timeout.
  void receivePoll(int dispatcher, HttpServerConnection& connection, const HttpRequest& request);
  // The connection of a poll has ended.
  void connectionClosed(const HttpServerConnection& connection);
  // Discovery moves to another address for this dispatcher, which learns of it now.
  void recordMoved(int dispatcher);
  // A fault begins or ends. Returns false for faults that are none of discovery. For
  // FaultKind::discoveryRefusing, the caller closes the ports.
  bool applyFault(const Fault& fault, bool begins);

 private:
  struct Entry {
    std::uint32_t endpoint{};
    EndpointState state{EndpointState::ready};
    std::int64_t version{1};
  };
  // A poll that is answered once the list changes, or at its timeout.
  struct PendingWatch {
    int dispatcher{};
    std::int64_t since{};
    std::uint64_t serial{};
  };

  std::string entryText(int dispatcher, const Entry& entry) const;
  // Records that a dispatcher is notified of the state of an endpoint, if it is news to it.
  void recordNotified(int dispatcher, const Entry& entry);
  void holdWatch(int dispatcher, std::int64_t since, Millis timeout, HttpServerConnection& connection);
  void answerWatch(int dispatcher, std::int64_t since, HttpServerConnection& connection);
  // Changes the list once it is not delayed and discovery is not in an outage.
  void publish(std::uint32_t endpoint, EndpointState state);
  void applyChange(std::uint32_t endpoint, EndpointState state);
  void publishWrongEntries(const Fault& fault, bool begins);
  void beginOutage(const Fault& fault);
  bool isInOutage() const { return clock_.now() < outageUntil_; }
  // Ends or drops a poll as the present outage does.
  void strikePoll(int dispatcher, HttpServerConnection& connection);
  void recordStruck(int dispatcher, FaultKind kind);
  void forgetWatches();

  EventLoop& loop_;
  TimerQueue& timers_;
  const ExperimentClock& clock_;
  const Experiment& experiment_;
  Trace& trace_;
  AddressOf addressOf_;
  std::vector<Entry> entries_;
  std::int64_t version_{1};
  std::vector<std::vector<EndpointState>> notifiedStates_;  // by dispatcher, then endpoint
  // By dispatcher: when it counts as notified of what discovery has, although it does not poll.
  std::vector<Millis> notifiedFrom_;
  std::map<HttpServerConnection*, PendingWatch> watches_;
  std::uint64_t lastWatchSerial_{0};
  Millis publishingDelay_{0};
  Millis outageUntil_{0};
  FaultKind outage_{FaultKind::discoveryUnresponsive};  // the present one, or the last
};

}  // namespace stonewing::lab
