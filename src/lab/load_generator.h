#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "lab/arrival_model.h"
#include "lab/timer_queue.h"
#include "lab/trace.h"
#include "net/event_loop.h"

struct redisReader;

namespace stonewing::lab {

// The clients on sockets, open loop: a message goes out when it is due, whether or not an earlier one was
// answered. Answers are read by hiredis, a RESP2 parser that is not the dispatcher's.
class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                const Experiment& experiment, ArrivalModel& arrivalModel, Trace& trace,
                std::vector<std::string> dispatchers);
  ~LoadGenerator();

  // Hands in from now on.
  void start();
  // Whether a dispatcher answers PING; tries until it does, then calls back once.
  void whenReady(int dispatcher, std::function<void()> onReady);
  // The platform had a notice of a shed message.
  void recordShed(std::uint32_t message, Millis wait);
  bool done() const { return started_ && !arrivalModel_.due() && awaitingResponse_ == 0; }
  // How late commands went out against when they were due, at the worst.
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
  std::vector<Millis> avoidUntil_;                               // a front notices a dead one
  std::size_t nextDispatcher_{0};
  std::size_t awaitingResponse_{0};
  bool started_{false};
  Millis timerAt_{-1};
  Millis maxLag_{0};
  std::string padding_;
};

}  // namespace stonewing::lab
