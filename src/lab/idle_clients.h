#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "lab/timer_queue.h"
#include "net/event_loop.h"

namespace stonewing::lab {

// Clients that connect to one dispatcher and send nothing, so that they take up its descriptors. One that the
// dispatcher closes or refuses connects again.
class IdleClients {
 public:
  // `dispatcher`: its address, host:port. `onClosed` is called each time the dispatcher closes or refuses a
  // connection. The references must outlive the object.
  IdleClients(EventLoop& loop, TimerQueue& timers, std::string dispatcher, std::function<void()> onClosed);
  ~IdleClients();
  IdleClients(const IdleClients&) = delete;
  IdleClients& operator=(const IdleClients&) = delete;

  // Opens so many connections, or closes those that are more.
  void setCount(std::size_t count);

 private:
  class Connection;
  void open();
  void reopen(Connection& connection);

  EventLoop& loop_;
  TimerQueue& timers_;
  std::string dispatcher_;
  std::function<void()> onClosed_;
  std::size_t count_{0};
  std::list<std::unique_ptr<Connection>> connections_;
  std::shared_ptr<bool> isAlive_{std::make_shared<bool>(true)};  // false once the object is destroyed
};

}  // namespace stonewing::lab
