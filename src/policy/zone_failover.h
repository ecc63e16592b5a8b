#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "base/ids.h"
#include "policy/zone_loss_detector.h"
#include "settings/deployment_settings.h"

namespace stonewing {

// Zone failover as one dispatcher sees it: in which order a destination's zones are preferred, whether a zone
// is lost, how much spillover another zone takes in its place, and how a zone that recovers is ramped up.
//
// A destination's home zone is the zone of highest priority in which it has an endpoint in service. An
// attempt into a zone of lower priority, made while the home zone is lost or ramping, is spillover.
//
// Each zone passes through three states:
//
//   healthy --(1)--> lost --(2)--> ramping --(3)--> healthy
//      |               ^              |
//      |               +-----(1)------+
//      +------------(4)-------------->+
//
//   (1) endpoints of several destinations fail and nothing in the zone has worked since the first of them did
//       (ZoneLossDetector);
//   (2) a message is delivered there, or a health check answers;
//   (3) something succeeds there once the ramp's duration has passed. The ramp limits attempts no longer than
//       that; spillover stays limited until (3);
//   (4) the zone had traffic, was absent from the endpoint list for longer than the overload window, and is
//       listed again. This ramp starts higher than one after a loss.
//
// The record...() functions only update what is known; DispatchPolicy asks, and decides. Where the settings
// name no priorities (isEnabled() is false), nothing here ever limits an attempt. Times are milliseconds of
// the caller's clock, and never go back. No clock, sockets or threads; random numbers follow from the seed
// alone.
class ZoneFailover {
 public:
  // From attemptAllowedFrom(): not before another event has been recorded.
  static constexpr Millis kNever = 1e15;

  ZoneFailover(const DeploymentSettings& settings, std::uint64_t seed);

  bool isEnabled() const { return !settings_.priorities.empty(); }
  // Lower is better. Where the settings name no priorities: 0 for this dispatcher's own zone, 1 for all
  // others.
  int priority(DestinationId destination, ZoneId zone) const;

  // A new endpoint list: every endpoint in service is added between beginEndpointList() and
  // commitEndpointList().
  void beginEndpointList();
  void addEndpoint(EndpointId endpoint, DestinationId destination, ZoneId zone);
  void commitEndpointList(Millis now);

  // An attempt or a health check is sent. recordAttempt() returns whether the attempt is spillover; the
  // caller passes that to recordAttemptEnd() once the attempt has ended.
  bool recordAttempt(Millis now, DestinationId destination, ZoneId zone);
  void recordAttemptEnd(bool wasSpillover) { pendingSpilloverAttempts_ -= wasSpillover; }
  void recordHealthCheck(Millis now, ZoneId zone);
  // A message was delivered (`delivered`), or a health check answered.
  void recordSuccess(Millis now, EndpointId endpoint, ZoneId zone, bool delivered);
  // The endpoint has failed for the given number of times in a row.
  void recordFailures(Millis now, EndpointId endpoint, DestinationId destination, ZoneId zone,
                      int consecutiveFailures);
  // A message for the destination was accepted.
  void recordAccepted(Millis now, DestinationId destination);
  // The number of the destination's messages that wait without a pending attempt changed by so many.
  void addWaiting(DestinationId destination, int change);

  // The earliest time at which an attempt for the destination into the zone, or a health check in the zone,
  // is allowed; kNever where only another event can allow it. A time in the past means now.
  Millis attemptAllowedFrom(DestinationId destination, ZoneId zone) const;
  Millis healthCheckAllowedFrom(ZoneId zone) const;

  // Whether the zone is lost while another one is not. With every zone lost this dispatcher itself is cut
  // off, and no zone is reported as lost, since otherwise nothing would be attempted any more.
  bool isLost(ZoneId zone) const;
  bool isRamping(Millis now, ZoneId zone) const;
  // Whether the destination's home zone has a better priority than this zone.
  bool isForeign(DestinationId destination, ZoneId zone) const;
  // Whether an attempt for the destination into the zone would be spillover.
  bool isSpillover(DestinationId destination, ZoneId zone) const;

  // How long the messages that wait for the destination's home zone take to spill over, in milliseconds; 0
  // where the home zone is not lost.
  Millis backlogDelay(DestinationId destination) const;
  // Whether that is longer than any message may wait.
  bool isBacklogTooLong(DestinationId destination) const;

  // Attempts a second that a ramping zone is given now.
  double rampAttemptsPerSecond(Millis now, ZoneId zone) const;
  // Spillover attempts a second from a home zone that `zone` is given at most.
  double spilloverPerSecond(ZoneId home, ZoneId zone) const;

 private:
  enum class ZoneHealth { healthy, lost, ramping };
  enum class RampStart { afterLoss, afterAbsenceFromList };

  // A count of events in which each event fades with its age (exponentially, with the time constant
  // kRateTimeConstant).
  struct DecayingCount {
    double value{0};
    Millis updatedAt{0};

    void add(Millis now);
    double perSecond() const;
  };

  struct Zone {
    ZoneHealth health{ZoneHealth::healthy};
    Millis healthChangedAt{0};
    ZoneLossDetector lossDetector;
    std::optional<Millis> unlistedAt;  // since when the endpoint list has no endpoint in service here
    int waitingMessages{0};            // messages whose home zone this is that wait without a pending attempt

    DecayingCount deliveries;         // messages delivered here
    DecayingCount spilloverAttempts;  // attempts elsewhere whose home zone this is
    DecayingCount acceptedMessages;   // messages accepted whose home zone this is
    double deliveriesPerSecondBeforeLoss{0};

    RampStart rampStart{RampStart::afterLoss};
    int consecutiveLosses{0};     // without a completed ramp between them
    Millis nextRampAttemptAt{0};  // no attempt before, while it is ramping
    Millis nextSpilloverAt{0};    // no spillover attempt into this zone before
    Millis nextHealthCheckAt{0};  // no health check before, while it is lost
  };

  const Zone* find(ZoneId zone) const;
  ZoneId homeZoneOf(DestinationId destination) const;
  Zone& homeZoneStateOf(DestinationId destination) { return zones_[homeZoneOf(destination)]; }

  void commitZoneEndpoints(Millis now, Zone& zone);
  void updateHealth(Millis now, Zone& zone);
  void beginRamp(Millis now, Zone& zone, RampStart rampStart);
  void countRampAttempt(Millis now, ZoneId zoneId);
  Millis rampEnd(const Zone& zone) const { return zone.healthChangedAt + settings_.recoveryRampDuration; }
  Millis rampAllowedFrom(const Zone& zone) const;
  double rampShare(Millis now, const Zone& zone) const;
  double expectedPerSecond(const Zone& zone) const;
  Millis healthCheckInterval(const Zone& zone) const;
  double spilloverPerSecondFrom(ZoneId home) const;
  int maxPendingSpilloverAttempts() const;
  double drawJitter();

  ZoneFailoverSettings settings_;
  ZoneId ownZone_;
  int maxConcurrentRequests_;
  Millis overloadWindow_;
  Millis maxBacklogDelay_;   // a message that waits longer for spillover misses every latency objective
  double minimumPerSecond_;  // attempts a second into a zone of which nothing is known
  std::mt19937 random_;
  std::map<ZoneId, Zone> zones_;               // references into it stay valid: zones are added, never erased
  std::map<DestinationId, ZoneId> homeZones_;  // by the endpoint list
  std::map<DestinationId, int> waitingMessages_;  // without a pending attempt
  std::optional<Millis> firstAcceptedAt_;
  int pendingSpilloverAttempts_{0};
};

}  // namespace stonewing
