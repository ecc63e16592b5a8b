#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "settings/deployment_settings.h"

// What an experiment is made of, as its TOML file says (docs/lab.md lists every key). Times are milliseconds,
// rates are per second, shares lie between 0 and 1.
namespace stonewing::lab {

enum class Shape { fixed, lognormal, pareto };

// A span that is drawn: lognormal by its median and the deviation of its logarithm, Pareto by its median and
// its exponent (spread), fixed by its median alone.
struct DrawnSpan {
  Shape shape{Shape::lognormal};
  Millis median{20};
  double spread{0.5};
};

struct WorldPlan {
  std::vector<std::string> rooms{"a"};
  Millis nearOneWay{0.2};
  Millis farOneWay{2};  // between rooms
  int destinations{4};
  int endpoints{2};  // of each destination, dealt out over the rooms
  double zipf{0};    // exponent of the destinations' popularity; 0: all alike
  DrawnSpan service;
  int parallel{8};           // calls an endpoint serves at once
  int queue{8};              // calls that wait beyond those
  double limitPerSecond{0};  // of a destination, counted in spans; 0: none
  Millis limitSpan{1000};
  int connections{64};  // an endpoint's table
  Millis connect{0.5};  // what a new connection costs its first call
  Millis connectionIdle{10000};
  double coldFrom{0.2};
  Millis coldSpan{10000};
  double fallMultiple{2.5};
  Millis fallSpan{1500};
  Millis drainGrace{500};
  Millis answerSlack{300};
  Millis orderPause{500};
  int perCall{1};
  bool reports{false};
  bool roomsCold{false};  // a room that was out as a whole returns cold, and falls when it is pushed
};

// Tiers of rooms as a dispatcher is told of them: none; its own, then all others; its own, then the others in
// turn.
enum class TierShape { none, near, ring };

enum class ArrivalShape { poisson, bursts, dusk };

struct LoadPlan {
  double perSecond{100};
  ArrivalShape arrivals{ArrivalShape::poisson};
  double burstFactor{4};  // rate inside a burst, of the mean outside
  Millis burstOn{500};
  Millis burstOff{2000};
  double duskFactor{5};  // the top of the ramp
  double clumpShare{0};  // of messages that come in clumps for one destination
  int clumpSize{10};
  int tenants{1};
  double quotaPerSecond{1e6};
  int surgeTenant{-1};
  double surgeFactor{1};
  Millis surgeFrom{0};
  Millis surgeUntil{0};
  int retries{2};  // a client comes again after a refusal, so many times at most
  Millis retryPause{500};
};

struct TypePlan {
  std::string name;
  double share{1};
  TrafficType terms;
  int keys{0};  // of an ordered type: so many different ones
};

enum class TroubleKind {
  refuse,      // connections are refused, open ones reset
  blackhole,   // nothing comes through, in either direction
  silent,      // calls are taken and run, and nothing comes back
  slow,        // service takes `factor` times as long
  errors,      // a share `factor` of the calls ends as 500 at once
  shut,        // 503 with a wait to everything
  lost,        // a share `factor` runs, and its answer is lost in silence
  reset,       // the same, and the connection breaks
  spoilt,      // a share `factor` runs, and its answer cannot be read
  cut,         // a share `factor` runs, and its answer ends in the middle
  pause,       // the endpoint stands still
  table,       // the connection table has `factor` places
  listLate,    // discovery tells changes `factor` ms late
  listSilent,  // discovery does not answer
  drain,       // the list calls the endpoints terminating, then takes them back
  listWrong,   // the list moves the endpoints' weight and names one that is not there
  kill,        // SIGKILL of a dispatcher, started anew at the end
  stop,        // SIGSTOP until the end
  terminate,   // SIGTERM, started anew at the end
  cutOff,      // nothing comes through between the dispatchers and the endpoints, in either direction
  diskFull,    // no room in the dispatcher's folder
  diskHang,    // a write there takes until the end
};

struct TroublePlan {
  TroubleKind kind{};
  Millis from{};
  Millis until{};
  std::string room{};               // all endpoints of the room, where named
  std::vector<int> destinations{};  // all endpoints of these
  std::vector<int> endpoints{};     // and these; with no room, destination and endpoint: all
  std::vector<int> dispatchers{};   // for the kinds that strike dispatchers; none: the first
  double share{1};                  // of the endpoints chosen, the first so many
  double factor{1};
};

struct FleetPlan {
  int dispatchers{1};
  int slots{32};
  int held{1000};
  int launches{5};
  bool copies{true};
  bool probes{true};
  bool withdraw{true};
  bool advice{true};
  Millis longestAdvice{2000};
  Millis connectWithin{1500};
  double memoryMegabytes{64};
  double diskMegabytes{8};
  int sockets{512};
  Millis restart{600};
  TierShape tiers{TierShape::none};
  ZoneFailoverSettings rooms;  // but for the tiers, which follow from that
  bool writesAside{false};     // a thread of its own writes the journal
};

struct Plan {
  std::string name;
  std::uint64_t seed{1};
  Millis duration{10000};
  Millis drainAfter{0};  // time after the last message was due; the longest deadline where 0
  WorldPlan world;
  LoadPlan load;
  FleetPlan fleet;
  std::vector<TypePlan> types;
  std::vector<TroublePlan> troubles;

  Millis end() const;
  int endpointCount() const { return world.destinations * world.endpoints; }
  int roomOf(int endpoint) const;
  int destinationOf(int endpoint) const { return endpoint / world.endpoints; }
  // The endpoints that a trouble strikes.
  std::vector<int> struck(const TroublePlan& trouble) const;
  // What a dispatcher in that room is told at its start.
  DeploymentSettings terms(int dispatcher) const;
};

const char* nameOf(TroubleKind kind);

// Reads a plan. Throws ConfigError with every mistake of the text, a line each: file, line, column, what is
// wrong and what would be right.
// overrides: "load.per_s=4000", as if the file had said so.
Plan readPlan(const std::string& text, const std::string& file,
              const std::vector<std::string>& overrides = {});
Plan loadPlan(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace stonewing::lab
