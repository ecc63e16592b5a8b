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
class Load {
 public:
  Load(EventLoop& loop, Agenda& agenda, const Clock& clock, const Plan& plan, Clients& clients, Trace& trace,
       std::vector<std::string> dispatchers);
  ~Load();

  // Hands in from now on.
  void start();
  // Whether a dispatcher answers PING; tries until it does, then calls back once.
  void whenReady(int dispatcher, std::function<void()> then);
  // The platform had a notice of a shed message.
  void shed(std::uint32_t callback, Millis wait);
  bool done() const { return started_ && !clients_.due() && waiting_ == 0; }
  // How late commands went out against when they were due, at the worst.
  Millis worstLag() const { return worstLag_; }
  std::size_t connections() const { return links_.size(); }

 private:
  class Link;
  void next();
  void hand(std::uint32_t callback);
  void submit(Link& link, std::uint32_t callback);
  void ended(Link& link, bool refusedConnect);
  void gone(Link& link);
  std::string command(std::uint32_t callback) const;

  EventLoop& loop_;
  Agenda& agenda_;
  const Clock& clock_;
  const Plan& plan_;
  Clients& clients_;
  Trace& trace_;
  std::vector<std::string> dispatchers_;
  std::list<std::unique_ptr<Link>> links_;
  std::vector<std::vector<Link*>> idle_;  // by dispatcher
  std::vector<Millis> avoidUntil_;        // a front notices a dead one
  std::size_t turn_{0};
  std::size_t waiting_{0};
  bool started_{false};
  Millis asked_{-1};
  Millis worstLag_{0};
  std::string padding_;
};

}  // namespace stonewing::lab
