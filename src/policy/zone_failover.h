#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "base/ids.h"
#include "settings/deployment_settings.h"

// Zones (zones) as one dispatcher sees them: in which order they are preferred, whether one is lost, how much
// of another zone strangers may take, and how a zone that returns is fed. What it is told only updates what
// is known; the rules ask, and decide. No clock, no chance and no sockets of its own. Times in milliseconds.
namespace stonewing {

class ZoneFailover {
 public:
  ZoneFailover(const DeploymentSettings& terms, std::uint64_t seed);

  bool isEnabled() const { return !settings_.priorities.empty(); }
  // Lower is better. With no tiers named: the own zone, then all others.
  int priority(DestinationId destination, ZoneId room) const;

  // The list anew: every endpoint in service, between the two.
  void beginEndpointList();
  void addEndpoint(EndpointId endpoint, DestinationId destination, ZoneId room);
  void commitEndpointList(Millis now);

  // Returns whether it is spilled; to be told again at its end.
  bool recordAttempt(Millis now, DestinationId destination, ZoneId room);
  void recordAttemptEnd(bool spilled) { spilloverPending_ -= spilled; }
  // Something was delivered there, or a health check answered.
  void recordSuccess(Millis now, EndpointId endpoint, ZoneId room, bool delivered);
  // An endpoint has failed so many times in a row.
  void recordFailures(Millis now, EndpointId endpoint, DestinationId destination, ZoneId room, int times);
  // A message for the destination was accepted.
  void recordAccepted(Millis now, DestinationId destination);
  // So many more messages of a destination wait without an attempt out.
  void addWaiting(DestinationId destination, int more);
  void recordHealthCheck(Millis now, ZoneId room);

  // Since when an attempt for that destination into that zone is allowed, or from when on; never in the past
  // of what binds. 1e15: not until something is heard.
  Millis attemptAllowedFrom(DestinationId destination, ZoneId room) const;
  Millis healthCheckAllowedFrom(ZoneId room) const;
  bool isLost(ZoneId room) const;
  bool isRamping(Millis now, ZoneId room) const;
  // Whether the destination's best zone, by the list, is better than this one.
  bool isForeign(DestinationId destination, ZoneId room) const;
  // The same, since its home is lost or fed slowly; only then is there a cap.
  bool isSpillover(DestinationId destination, ZoneId room) const;
  // The destination's home is lost, and more waits for it than can go elsewhere in time.
  bool isBacklogTooLong(DestinationId destination) const;
  // How long what waits for a lost home takes to go elsewhere; 0 where the home is not lost.
  Millis backlogDelay(DestinationId destination) const;
  // Attempts a second that a zone is given now: what it is fed as it climbs, or as a zone of strangers.
  double rampAttemptsPerSecond(Millis now, ZoneId room) const;
  double spilloverPerSecond(ZoneId home, ZoneId room) const;

 private:
  enum class ZoneHealth { healthy, lost, ramping };
  struct Zone {
    ZoneHealth state{ZoneHealth::healthy};
    std::map<EndpointId, DestinationId> endpoints;  // in service
    std::set<DestinationId> destinations;           // of those
    struct Failing {
      DestinationId destination{};
      Millis at{};
    };
    std::map<EndpointId, Failing> failing;  // since they last worked
    Millis failingSince{0};                 // of the first of those
    Millis workedAt{-1};
    Millis changedAt{0};    // the state
    bool slowly{true};      // it begins at the least, as after a loss
    Millis unlistedAt{-1};  // the list named it no more
    double done{0};         // fading count of what was delivered
    Millis doneAt{0};
    double away{0};  // the same of attempts whose home it is, elsewhere
    Millis awayAt{0};
    double asked{0};  // and of messages accepted whose home it is
    Millis askedAt{0};
    double before{0};         // deliveries a second, as it was lost
    int losses{0};            // without a whole climb between them
    Millis fedFrom{0};        // no attempt before, as it climbs
    Millis strangersFrom{0};  // no attempt of a stranger before
    Millis probeFrom{0};
    int waiting{0};  // messages whose home it is
  };
  ZoneId homeZoneOf(DestinationId destination) const;
  bool looksLost(const Zone& r) const;
  void updateHealth(Millis now, Zone& r);
  void beginRamp(Millis now, Zone& r, bool slowly);
  double successesPerSecond(const Zone& r) const;  // deliveries a second, lately
  // What it is to take, a second: what it did, with what goes elsewhere, or a part of what we were asked to
  // bring.
  double expectedPerSecond(const Zone& r) const;
  Millis healthCheckInterval(const Zone& r);
  double spilloverPerSecondFrom(ZoneId home) const;
  double rampShare(Millis now, const Zone& r) const;
  const Zone* find(ZoneId room) const {
    auto at = zones_.find(room);
    return at == zones_.end() ? nullptr : &at->second;
  }
  double jitter() { return 0.75 + 0.5 * static_cast<double>(chance_()) / 4294967296.0; }

  ZoneFailoverSettings settings_;
  ZoneId ownZone_;
  int maxConcurrentRequests_;
  Millis overloadWindow_;
  Millis
      maxBacklogDelay_;  // for how long a message that waits for a place among strangers can still be in time
  double minimumPerSecond_;  // attempts a second into a zone of which nothing is known
  std::mt19937 chance_;
  std::map<ZoneId, Zone> zones_;
  std::map<DestinationId, ZoneId> homes_;  // by the list
  std::map<DestinationId, int> waiting_;
  Millis began_{-1};
  int spilloverPending_{0};
};

}  // namespace stonewing
