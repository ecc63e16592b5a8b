#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/arrival_model.h"
#include "lab/timer_queue.h"
#include "lab/trace.h"
#include "net/event_loop.h"

struct redisReader;

namespace stonewing::lab {

// The clients on sockets. The load is open loop: each message is sent when it is due, whether or not earlier
// ones were answered. Responses are parsed by hiredis, a RESP2 parser that is independent of the
// dispatcher's.
class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                const Experiment& experiment, ArrivalModel& arrivalModel, Trace& trace,
                std::vector<std::string> dispatchers);
  ~LoadGenerator();

  // Starts to submit messages; before this call none is sent.
  void start();
  // Sends PING to a dispatcher again and again until it answers, then calls onReady once.
  void whenReady(int dispatcher, std::function<void()> onReady);
  // The platform was notified that a message was shed. The client submits it again after retryAfter ms, or
  // after a delay of its own if retryAfter is 0.
  void recordShed(std::uint32_t message, Millis retryAfter);
  // Whether no message is left to submit and no command awaits a response.
  bool done() const { return started_ && !arrivalModel_.nextDueTime() && awaitingResponse_ == 0; }
  // The longest delay in ms from the due time of a message to its first command.
  Millis maxLag() const { return maxLag_; }
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  class ClientConnection;
  void submitDue();
  void submit(std::uint32_t message);
  void sendCommand(ClientConnection& connection, std::uint32_t message);
  void connectionEnded(ClientConnection& connection, bool connectRefused);
  void removeConnection(ClientConnection& connection);
  std::string submitCommand(std::uint32_t message) const;

  EventLoop& loop_;
  TimerQueue& timers_;
  const ExperimentClock& clock_;
  const Experiment& experiment_;
  ArrivalModel& arrivalModel_;
  Trace& trace_;
  std::vector<std::string> dispatchers_;
  std::list<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::vector<ClientConnection*>> idleConnections_;  // by dispatcher
  std::vector<Millis> avoidUntil_;  // by dispatcher; its connections were refused, so it is not tried before
  std::size_t nextDispatcher_{0};
  std::size_t awaitingResponse_{0};
  bool started_{false};
  std::optional<Millis> timerAt_;  // of the last timer for submitDue()
  Millis maxLag_{0};
  std::string padding_;
};

}  // namespace stonewing::lab
