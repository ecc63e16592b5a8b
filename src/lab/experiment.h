#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "settings/deployment_settings.h"

// What an experiment is made of, as its TOML file says (docs/lab.md lists every key). Times are milliseconds,
// rates are per second, shares lie between 0 and 1.
namespace stonewing::lab {

enum class DistributionShape { fixed, lognormal, pareto };

// A span that is drawn: lognormal by its median and the deviation of its logarithm, Pareto by its median and
// its exponent (spread), fixed by its median alone.
struct DurationDistribution {
  DistributionShape shape{DistributionShape::lognormal};
  Millis median{20};
  double spread{0.5};
};

struct EnvironmentSettings {
  std::vector<std::string> zones{"a"};
  Millis nearOneWay{0.2};
  Millis farOneWay{2};  // between rooms
  int destinations{4};
  int endpoints{2};        // of each destination, dealt out over the rooms
  double zipfExponent{0};  // exponent of the destinations' popularity; 0: all alike
  DurationDistribution serviceTime;
  int concurrency{8};            // calls an endpoint serves at once
  int queueCapacity{8};          // calls that wait beyond those
  double rateLimitPerSecond{0};  // of a destination, counted in spans; 0: none
  Millis rateLimitWindow{1000};
  int maxConnections{64};    // an endpoint's table
  Millis connectDelay{0.5};  // what a new connection costs its first call
  Millis connectionIdleTimeout{10000};
  double slowStartInitialShare{0.2};
  Millis slowStartDuration{10000};
  double overloadThreshold{2.5};
  Millis overloadWindow{1500};
  Millis drainGrace{500};
  Millis answerSlack{300};
  Millis orderingPause{500};
  int maxBatchSize{1};
  bool reportsLoad{false};
  bool zonesSlowStart{false};  // a room that was out as a whole returns cold, and falls when it is pushed
};

// Tiers of rooms as a dispatcher is told of them: none; its own, then all others; its own, then the others in
// turn.
enum class ZonePriorityShape { none, near, ring };

enum class ArrivalShape { poisson, bursts, ramp };

struct LoadSettings {
  double perSecond{100};
  ArrivalShape arrivals{ArrivalShape::poisson};
  double burstFactor{4};  // rate inside a burst, of the mean outside
  Millis burstOn{500};
  Millis burstOff{2000};
  double rampFactor{5};  // the top of the ramp
  double clumpShare{0};  // of messages that come in clumps for one destination
  int clumpSize{10};
  int tenants{1};
  double quotaPerSecond{1e6};
  int surgeTenant{-1};
  double surgeFactor{1};
  Millis surgeFrom{0};
  Millis surgeUntil{0};
  int retries{2};  // a client comes again after a refusal, so many times at most
  Millis retryDelay{500};
};

struct TrafficTypeSettings {
  std::string name;
  double share{1};
  TrafficType settings;
  int orderingKeyCount{0};  // of an ordered type: so many different ones
};

enum class FaultKind {
  refuseConnections,      // connections are refused, open ones reset
  blackhole,              // nothing comes through, in either direction
  noResponse,             // calls are taken and run, and nothing comes back
  slow,                   // service takes `factor` times as long
  errors,                 // a share `factor` of the calls ends as 500 at once
  rejectAll,              // 503 with a wait to everything
  lostResponse,           // a share `factor` runs, and its answer is lost in silence
  connectionReset,        // the same, and the connection breaks
  malformedResponse,      // a share `factor` runs, and its answer cannot be read
  truncatedResponse,      // a share `factor` runs, and its answer ends in the middle
  pause,                  // the endpoint stands still
  connectionLimit,        // the connection table has `factor` places
  discoveryDelayed,       // discovery tells changes `factor` ms late
  discoveryUnresponsive,  // discovery does not answer
  drain,                  // the list calls the endpoints terminating, then takes them back
  discoveryWrong,         // the list moves the endpoints' weight and names one that is not there
  kill,                   // SIGKILL of a dispatcher, started anew at the end
  stop,                   // SIGSTOP until the end
  terminate,              // SIGTERM, started anew at the end
  networkPartition,  // nothing comes through between the dispatchers and the endpoints, in either direction
  diskFull,          // no room in the dispatcher's folder
  diskHang,          // a write there takes until the end
};

struct Fault {
  FaultKind kind{};
  Millis from{};
  Millis until{};
  std::string zone{};               // all endpoints of the room, where named
  std::vector<int> destinations{};  // all endpoints of these
  std::vector<int> endpoints{};     // and these; with no room, destination and endpoint: all
  std::vector<int> dispatchers{};   // for the kinds that strike dispatchers; none: the first
  double share{1};                  // of the endpoints chosen, the first so many
  double factor{1};
};

struct FleetSettings {
  int dispatchers{1};
  int maxConcurrentRequests{32};
  int maxInFlight{1000};
  int attempts{5};
  bool mayHedge{true};
  bool mayHealthCheck{true};
  bool mayCancel{true};
  bool mayAdviseRetryAfter{true};
  Millis maxRetryAfter{2000};
  Millis connectTimeout{1500};
  double memoryMegabytes{64};
  double diskMegabytes{8};
  int maxSockets{512};
  Millis restartDelay{600};
  ZonePriorityShape zonePriorities{ZonePriorityShape::none};
  ZoneFailoverSettings zoneFailover;  // but for the tiers, which follow from that
  bool separateJournalWriter{false};  // a thread of its own writes the journal
};

struct Experiment {
  std::string name;
  std::uint64_t seed{1};
  Millis duration{10000};
  Millis drainDuration{0};  // time after the last message was due; the longest deadline where 0
  EnvironmentSettings environment;
  LoadSettings load;
  FleetSettings fleet;
  std::vector<TrafficTypeSettings> types;
  std::vector<Fault> faults;

  Millis end() const;
  int endpointCount() const { return environment.destinations * environment.endpoints; }
  int zoneOf(int endpoint) const;
  int destinationOf(int endpoint) const { return endpoint / environment.endpoints; }
  // The endpoints that a trouble strikes.
  std::vector<int> affectedEndpoints(const Fault& fault) const;
  // What a dispatcher in that room is told at its start.
  DeploymentSettings deploymentSettings(int dispatcher) const;
};

const char* nameOf(FaultKind kind);

// Reads a plan. Throws ConfigError with every mistake of the text, a line each: file, line, column, what is
// wrong and what would be right.
// overrides: "load.per_s=4000", as if the file had said so.
Experiment readExperiment(const std::string& text, const std::string& file,
                          const std::vector<std::string>& overrides = {});
Experiment readExperimentFile(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace stonewing::lab
