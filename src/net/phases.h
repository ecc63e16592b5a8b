#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission/admission.h"
#include "core/facts.h"
#include "net/book.h"
#include "net/calls.h"
#include "net/catalog.h"
#include "net/intake.h"
#include "net/loop.h"
#include "net/notices.h"
#include "rules.h"

namespace stonewing::net {

// What a dispatcher is told at its start.
struct Orders {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string state;
  std::uint64_t seed{};
  std::size_t sockets{};
  std::size_t diskBytes{};
  std::size_t memoryBytes{};
  std::string settings;
  std::string known;        // a list of endpoints, in discovery's form
  std::string rooms;        // what the operator says of rooms (docs/rooms.md); empty for nothing
  bool writesAside{false};  // a thread of its own writes the journal
};

// Reads the start file; `get` gives the variables of the environment, empty for none. Throws Malformed.
// operatorText: what the operator adds; its keys go before the first text's. Empty for nothing.
Orders readOrders(std::string_view text, const std::function<std::string(const char*)>& get,
                  std::string_view operatorText = {});

// How the descriptors that the dispatcher may hold are dealt out, so that none can take those of another.
struct Descriptors {
  std::size_t own{};     // for the journal, discovery, the platform, the log and the loop
  std::size_t links{};   // connections to endpoints
  std::size_t probes{};  // of these, beside the concurrent requests
  std::size_t clients{};
  int slots{};  // attempts at once: the deployment's, or what the connections bear
};
// Throws Malformed where there are too few for any work.
Descriptors descriptorsOf(std::size_t sockets, int slots);

// What the deployment and the operator state together. Throws Malformed.
DeploymentSettings termsOf(const Orders& orders);

// Holds back the signals that a dispatcher takes as events, from now until there is one. A reload asked for
// earlier would end the process.
void holdSignals();

// One dispatcher from its start to its exit.
class Dispatcher {
 public:
  // reread: what it is told now; throws Malformed where that cannot be used.
  explicit Dispatcher(const Orders& orders, std::function<Orders()> reread = {});
  ~Dispatcher();
  void run();

 private:
  // In this order; none is gone back to.
  enum class State {
    restoring,  // what an earlier process left is accepted again
    serving,
    leaving,    // told to end: clients are still taken, and on their way elsewhere
    finishing,  // no clients; what is held is attempted
    waiting,    // nothing new goes out; answers that are out may still come
    ended,
  };
  class Signals;
  class Landing;

  void enter(State state);
  void restore();
  void takeNewOrders();
  void move();
  Intake::Answered answer(const std::vector<std::string_view>& words, bool left);
  Intake::Answered submit(const std::vector<std::string_view>& words, bool left);
  std::string busy(Millis wait);
  Millis ownWork() const;
  Millis workedThisTurn() const;
  void tellRooms();
  void tellSlow(Millis dispatched, Millis decided, Millis whole);
  void decide();
  void keep();
  void act();
  void hangs();
  void ended(MessageId id, const char* result, Millis wait);
  void carryOut(const Decision& decision);
  Millis due() const;

  Orders orders_;
  std::function<Orders()> reread_;
  DeploymentSettings terms_;
  Descriptors descriptors_;
  NameTables facts_;
  State state_{State::restoring};
  Millis toldToEnd_{0};
  Millis wakeAt_{-1};
  std::size_t overBefore_{0};
  Millis began_{0};   // of this turn
  Millis worked_{0};  // up to the last turn's end
  Millis slowTold_{-1e15};
  int slowTurns_{0};
  bool endWanted_{false};
  bool rereadWanted_{false};
  Loop loop_;
  DispatchPolicy rules_;
  AdmissionController admission_;
  MessageStore book_;
  Catalog catalog_;
  Calls calls_;
  Notices notices_;
  Intake intake_;
  std::unique_ptr<Signals> signals_;
  std::unique_ptr<Landing> landing_;  // where a thread writes the journal
  Millis hangsSince_{-1};             // the write under way was begun then; -1 for none that took long
  bool hangTold_{false};
  std::vector<int> roomsTold_;  // of each room: 0 in order, 1 lost, 2 fed as it returns
  bool moreToDecide_{false};    // the last turn's part of deciding was used up
};

}  // namespace stonewing::net
