#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "lab/experiment.h"
#include "lab/trace.h"
#include "policy/decision.h"

// How the partners' endpoints behave, with no sockets and no clock: calls and times in, replies out. The
// world on sockets and the model in virtual time both ask it, so that they differ in the network alone.
namespace stonewing::lab {

enum class Said : std::int16_t {
  silence = 0,
  reset = 1,
  spoilt = 2,
  cut = 3,
  ok = 200,
  wait = 429,
  error = 500,
  turnedAway = 503,
};

struct Reply {
  std::uint32_t call{};
  std::uint32_t endpoint{};
  Said said{Said::ok};
  Millis wait{0};
  bool ran{false};
};

class Town {
 public:
  enum class Connect { up, refused, never };

  // Events of the far side are added to the trace.
  Town(const Plan& plan, std::uint64_t seed, Trace& trace);

  // A trouble begins or ends. Returns the calls that end by it.
  std::vector<Reply> strike(Millis now, const TroublePlan& trouble, bool begins);

  // A connection is asked for; where it comes up it takes a place in the table until disconnected.
  Connect connect(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  void disconnected(std::uint32_t endpoint);
  // Nothing comes through to it, or to it from this dispatcher.
  bool vanished(std::uint32_t endpoint, std::uint32_t dispatcher) const {
    return at(endpoint).condition.vanished > 0 || cuts_.contains({dispatcher, endpoint});
  }
  bool tableFull(std::uint32_t endpoint) const {
    const Endpoint& e = at(endpoint);
    return e.connections >= (e.condition.places > 0 ? e.condition.places : plan_.world.connections);
  }
  bool refuses(std::uint32_t endpoint) const { return at(endpoint).condition.refuses > 0; }

  // The last byte of a call has come, with these messages. No reply yet: it runs, or waits for its turn.
  std::optional<Reply> arrived(Millis now, std::uint32_t call, std::uint32_t endpoint,
                               std::uint16_t dispatcher, const std::vector<std::uint32_t>& callbacks);
  // Its connection ended before the reply. Returns whether it has run.
  bool abandoned(Millis now, std::uint32_t call, std::uint32_t endpoint);
  // Replies that are due by now.
  std::vector<Reply> advance(Millis now, std::uint32_t endpoint);
  Millis due(std::uint32_t endpoint) const;  // of the next; negative for none
  // 200, 503 or 0 for no answer.
  int probed(Millis now, std::uint32_t endpoint, std::uint16_t dispatcher);
  // What a load report tells: the destination's limit or capacity, calls a second.
  LoadReport report(Millis now, std::uint32_t endpoint) const;

 private:
  // Troubles add up: a count of those that are on, or the strongest of them.
  struct Condition {
    int refuses{0};
    int vanished{0};
    int silent{0};
    int shut{0};
    int paused{0};
    double slow{1};
    double errors{0};
    double lost{0};
    double reset{0};
    double spoilt{0};
    double cut{0};
    int places{0};  // of the connection table; 0: the plan's
  };
  struct Running {
    std::uint32_t call{};
    Millis until{};
    Said said{};
  };
  struct Waiting {
    std::uint32_t call{};
    std::uint16_t dispatcher{};
    std::vector<std::uint32_t> callbacks;
  };
  struct Endpoint {
    Condition condition;
    std::vector<TroublePlan> on;
    int connections{0};
    Millis pausedAt{0};
    std::vector<Running> running;
    std::deque<Waiting> waiting;
  };
  struct Destination {
    bool out{false};
    Millis outSince{0};
    Millis coldSince{-1e15};  // warm for long
    Millis fallenUntil{-1};
    std::deque<std::pair<Millis, double>> pushes;  // within the last fall span, with their weight
    double pushed{0};
    std::int64_t span{-1};  // of the limit, and the calls in it
    double inSpan{0};
  };

  const Endpoint& at(std::uint32_t e) const { return endpoints_[e]; }
  Destination& destinationOf(std::uint32_t e) {
    return destinations_[e / static_cast<std::uint32_t>(plan_.world.endpoints)];
  }
  const Destination& destinationOf(std::uint32_t e) const {
    return destinations_[e / static_cast<std::uint32_t>(plan_.world.endpoints)];
  }
  struct Room {
    bool out{false};
    Millis outSince{0};
    Millis coldSince{-1e15};
    Millis fallenUntil{-1};
    std::deque<std::pair<Millis, double>> pushes;
    double pushed{0};
  };
  Room& roomAt(std::uint32_t e) {
    return rooms_[static_cast<std::size_t>(plan_.roomOf(static_cast<int>(e)))];
  }
  void judgeRoom(Millis now, int room);
  bool pushRoom(Millis now, std::uint32_t endpoint, double weight);
  double roomWarmth(Millis now, std::uint32_t endpoint);
  void settle(Endpoint& e);
  void judge(Millis now, int destination);
  double warmth(Millis now, const Destination& d) const;
  double capacity() const;  // of a warm destination, calls a millisecond
  bool push(Millis now, std::uint32_t endpoint, double weight);
  void start(Millis now, std::uint32_t endpoint, Waiting call);
  void fill(Millis now, std::uint32_t endpoint);
  bool down(Millis now, std::uint32_t endpoint) const;

  const Plan& plan_;
  Trace& trace_;
  std::mt19937 chance_;
  std::vector<Endpoint> endpoints_;
  std::vector<Destination> destinations_;
  std::vector<Room> rooms_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, int>
      cuts_;  // dispatcher and endpoint: troubles that part them
  std::vector<int> roomSizes_;
  std::unordered_map<std::uint64_t, Millis> receipts_;  // by key and group: when it first ran
};

}  // namespace stonewing::lab
