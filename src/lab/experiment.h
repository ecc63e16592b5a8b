#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "settings/deployment_settings.h"

// The settings of an experiment, as read from its TOML file; docs/lab.md lists the keys. Times are
// milliseconds, rates are per second, and shares lie between 0 and 1, unless a field says otherwise.
namespace stonewing::lab {

enum class DistributionShape { fixed, lognormal, pareto };

// The distribution of a random duration. `spread` is the standard deviation of the logarithm for a lognormal
// distribution, and the exponent for a Pareto distribution; a fixed duration is always `median`.
struct DurationDistribution {
  DistributionShape shape{DistributionShape::lognormal};
  Millis median{20};
  double spread{0.5};
};

struct EnvironmentSettings {
  std::vector<std::string> zones{"a"};
  Millis nearOneWay{0.2};
  Millis farOneWay{2};  // network delay between zones; nearOneWay: within a zone
  int destinations{4};
  int endpoints{2};        // of each destination, distributed over the zones
  double zipfExponent{0};  // of the destinations' popularity; 0: all destinations get equal load
  DurationDistribution serviceTime;
  int concurrency{8};            // requests that an endpoint executes at once
  int queueCapacity{8};          // requests that an endpoint queues beyond those
  double rateLimitPerSecond{0};  // of a destination, counted per rateLimitWindow; 0: no limit
  Millis rateLimitWindow{1000};
  int maxConnections{64};    // size of an endpoint's connection table
  Millis connectDelay{0.5};  // added to the first request on a new connection
  Millis connectionIdleTimeout{10000};
  double slowStartInitialShare{0.2};
  Millis slowStartDuration{10000};
  double overloadThreshold{2.5};
  Millis overloadWindow{1500};
  // A change counts as notified once discovery has it, whether or not a dispatcher polls.
  bool listPushed{false};
  Millis drainGrace{500};     // attempts may still arrive for so long after the endpoint list states draining
  Millis answerSlack{300};    // the outcome of a message may arrive so long after its deadline
  Millis orderingPause{500};  // as DeploymentSettings::orderingPause
  int maxBatchSize{1};
  bool reportsLoad{false};
  // A zone that was down as a whole returns in slow start, and fails again if it is overloaded then.
  bool zonesSlowStart{false};
};

// The zone priorities in a dispatcher's settings.
enum class ZonePriorityShape {
  none,
  near,  // its own zone, then all others as equals
  ring   // its own zone, then the others one after the other
};

enum class ArrivalShape { poisson, bursts, ramp };

struct LoadSettings {
  double perSecond{100};
  ArrivalShape arrivals{ArrivalShape::poisson};
  double burstFactor{4};       // rate during a burst, as a multiple of the rate between bursts
  Millis burstDuration{500};   // duration of a burst
  Millis burstInterval{2000};  // time between two bursts
  double rampFactor{5};        // highest rate of a ramp, as a multiple of perSecond
  double groupedShare{0};  // of messages that are submitted in clumps: several at once for one destination
  int groupSize{10};       // messages of a clump
  int tenants{1};
  double quotaPerSecond{1e6};
  int surgeTenant{-1};    // -1: no tenant has a surge
  double surgeFactor{1};  // rate of that tenant during its surge, as a multiple of its usual rate
  Millis surgeFrom{0};
  Millis surgeUntil{0};
  int retries{2};          // a client submits a rejected message again, so many times at most
  Millis retryDelay{500};  // mean, after a rejection without Retry-After
};

struct TrafficTypeSettings {
  std::string name;
  double share{1};
  TrafficType settings;
  int orderingKeyCount{0};  // different ordering keys of an ordered type
};

enum class FaultKind {
  refuseConnections,      // the endpoint refuses connections and resets the open ones
  blackhole,              // all traffic of the endpoint is dropped, in both directions
  noResponse,             // requests execute and get no response
  slow,                   // requests execute `factor` times as long
  errors,                 // a share `factor` of the requests gets a 500 at once
  rejectAll,              // every request gets a 503 with the fault's Retry-After
  lostResponse,           // a share `factor` of the requests executes and gets no response
  connectionReset,        // a share `factor` executes, then the connection is reset without a response
  malformedResponse,      // a share `factor` executes and gets a response that is not valid HTTP
  truncatedResponse,      // a share `factor` executes and gets a response that is cut short
  pause,                  // the endpoint is suspended: requests make no progress until the end
  connectionLimit,        // the endpoint's connection table has `factor` entries
  discoveryDelayed,       // discovery publishes changes `factor` ms late
  discoveryUnresponsive,  // discovery sends no responses
  discoveryRefusing,      // discovery's port refuses connections, and open ones are reset
  discoveryResetting,     // discovery accepts connections and resets them without a response
  discoveryRejecting,     // discovery answers every poll with 503
  discoveryMoved,         // SIGHUP of a dispatcher: discovery and the platform move to another address
  clientCrowd,            // `factor` idle clients connect to a dispatcher
  watchesForgotten,       // polls that discovery holds open at the beginning are never answered
  drain,                  // the endpoint list states the endpoints as draining, and as ready at the end
  discoveryWrong,         // the endpoint list has an entry of very high weight with no endpoint behind it
  kill,                   // SIGKILL of a dispatcher, which restarts at the end
  stop,                   // SIGSTOP of a dispatcher, SIGCONT at the end
  terminate,              // SIGTERM of a dispatcher, which restarts at the end
  networkPartition,       // traffic between the dispatchers and the endpoints is dropped, in both directions
  diskFull,               // the dispatcher's files cannot grow
  diskHang,               // the dispatcher's writes to its journal block until the end
  // A machine between servers and dispatchers alters a share `factor` of the responses; on sockets alone.
  repeatedResponse,    // writes a response again: `times` times, the first `part` of it, after a delay
  earlyResponse,       // writes the connection's previous response when the next request arrives
  trailingBytes,       // writes bytes behind a response, after a delay
  interimResponse,     // writes interim responses (1xx) before a response
  splitResponse,       // writes a response byte by byte
  delayedResponse,     // holds a response back for the delay
  closeAfterResponse,  // closes the connection after a response that promised to keep it open
  stalledResponse,     // writes the first `part` of a response at once and the rest after the delay
  cutResponse,         // writes the first `part` of a response, then closes the connection
  overstatedLength,    // announces a body longer than it is
  outdatedResponse,    // writes the first response that the dispatcher got from this source instead
  rejectedRequest,     // answers a request with 503 and does not pass it on
};

// Whether discovery cannot be reached while a fault of this kind lasts. What changes meanwhile is published
// at its end.
bool isDiscoveryOutage(FaultKind kind);

// Whether a fault of this kind strikes dispatchers and their processes.
bool isDispatcherFault(FaultKind kind);

// Whose responses a machine between servers and dispatchers alters.
enum class ResponseSource { endpoint, discovery, platform };

// A fault, and the endpoints and dispatchers that it affects. It affects all endpoints if it names no zone,
// destination or endpoint.
struct Fault {
  FaultKind kind{};
  Millis from{};
  Millis until{};
  std::string zone{};               // all endpoints of this zone; empty: of none
  std::vector<int> destinations{};  // all endpoints of these destinations
  std::vector<int> endpoints{};     // and these endpoints
  std::vector<int> dispatchers{};   // for a fault of dispatchers; empty: the first dispatcher
  double share{1};                  // the first of the named endpoints, up to this share, are affected
  double factor{1};                 // as the kind says
  Millis retryAfter{500};           // for rejectAll: the Retry-After in each response; 0: none
  // For the faults of responses.
  ResponseSource source{ResponseSource::endpoint};
  Millis delayFrom{0};  // the delay is drawn between the two
  Millis delayTo{0};
  int times{1};
  // Share of a response's bytes. For stalledResponse and cutResponse, 1 stands for a share that is drawn.
  double part{1};
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
  ZoneFailoverSettings zoneFailover;  // except for its priorities, which are derived from zonePriorities
  bool separateJournalWriter{false};  // the dispatcher writes its journal in a thread of its own
};

struct Experiment {
  std::string name;
  std::uint64_t seed{1};
  Millis duration{10000};
  Millis drainDuration{0};  // after the last message is due; 0: until the longest deadline has passed
  EnvironmentSettings environment;
  LoadSettings load;
  FleetSettings fleet;
  std::vector<TrafficTypeSettings> types;
  std::vector<Fault> faults;

  // When the experiment ends, drain time included.
  Millis end() const;
  int endpointCount() const { return environment.destinations * environment.endpoints; }
  int zoneOf(int endpoint) const;
  int destinationOf(int endpoint) const { return endpoint / environment.endpoints; }
  // The endpoints that a fault affects, in ascending order.
  std::vector<int> affectedEndpoints(const Fault& fault) const;
  // The settings that a dispatcher, by its number from 0, starts with.
  DeploymentSettings deploymentSettings(int dispatcher) const;
};

const char* nameOf(FaultKind kind);

// Reads an experiment. Throws ConfigError with all errors of the text, one per line: file, line, column, the
// key, and the values that are allowed. `file` is used in errors alone. Each override has the form
// "load.per_s=4000" and replaces the value in the text; the error for a malformed one names --set.
Experiment readExperiment(const std::string& text, const std::string& file,
                          const std::vector<std::string>& overrides = {});
// As readExperiment, and throws ConfigError if the file cannot be read.
Experiment readExperimentFile(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace stonewing::lab
