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
//   (1) endpoints of several destinations fail, and no attempt or health check in the zone has succeeded
//       since the first of these failures (ZoneLossDetector);
//   (2) a message is delivered there, or a health check succeeds;
//   (3) an attempt or a health check succeeds there after the ramp's duration has passed. The ramp limits
//       attempts for its duration only; spillover stays limited until (3);
//   (4) the zone had traffic, was absent from the endpoint list for longer than the overload window, and is
//       listed again. This ramp starts at a higher rate than one after a loss.
//
// The record...() functions only update the state; DispatchPolicy queries it and decides. If the settings
// name no priorities (isEnabled() is false), this class limits no attempt. Times are milliseconds of the
// caller's clock and must not decrease. The class uses no clock, sockets or threads, and its random numbers
// depend on the seed alone.
class ZoneFailover {
 public:
  // A result of attemptAllowedFrom(): no attempt is allowed until another event has been recorded.
  static constexpr Millis kNever = 1e15;

  ZoneFailover(const DeploymentSettings& settings, std::uint64_t seed);

  bool isEnabled() const { return !settings_.priorities.empty(); }
  // A lower number is preferred. If the settings name no priorities: 0 for this dispatcher's own zone, 1 for
  // all other zones.
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
  // A message was delivered (`delivered` is true), or a health check succeeded.
  void recordSuccess(Millis now, EndpointId endpoint, ZoneId zone, bool delivered);
  // The endpoint has failed the given number of times in a row.
  void recordFailures(Millis now, EndpointId endpoint, DestinationId destination, ZoneId zone,
                      int consecutiveFailures);
  // A message for the destination was accepted.
  void recordAccepted(Millis now, DestinationId destination);
  // The number of the destination's messages that wait without a pending attempt changed by `change`.
  void addWaiting(DestinationId destination, int change);

  // The earliest time at which an attempt for the destination into the zone, or a health check in the zone,
  // is allowed; kNever if only another event can allow it. A time in the past means that it is allowed now.
  Millis attemptAllowedFrom(DestinationId destination, ZoneId zone) const;
  Millis healthCheckAllowedFrom(ZoneId zone) const;

  // Whether the zone is lost while another zone is not. If every zone looks lost, this dispatcher itself is
  // cut off. No zone is then reported as lost, since otherwise no attempt would be sent any more.
  bool isLost(ZoneId zone) const;
  bool isRamping(Millis now, ZoneId zone) const;
  // Whether the zone has a lower priority than the destination's home zone.
  bool hasLowerPriorityThanHome(DestinationId destination, ZoneId zone) const;
  // Whether an attempt for the destination into the zone would be spillover.
  bool isSpillover(DestinationId destination, ZoneId zone) const;

  // How long the messages that wait for the destination's home zone take to spill over, in milliseconds; 0
  // where the home zone is not lost.
  Millis backlogDelay(DestinationId destination) const;
  // The home zone of the destination, if that zone is lost.
  std::optional<ZoneId> lostHomeOf(DestinationId destination) const;
  // The rate, in attempts per second and above 0, at which messages of a lost home zone may spill over into
  // all other zones together.
  double spilloverPerSecondFrom(ZoneId home) const;

  // The rate, in attempts per second, that a ramping zone is given now.
  double rampAttemptsPerSecond(Millis now, ZoneId zone) const;
  // The highest rate, in attempts per second, of spillover from a home zone into `zone`.
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
    int waitingMessages{0};            // of this home zone, waiting without a pending attempt

    DecayingCount deliveries;         // messages delivered here
    DecayingCount spilloverAttempts;  // attempts elsewhere whose home zone this is
    DecayingCount acceptedMessages;   // messages accepted whose home zone this is
    double deliveriesPerSecondBeforeLoss{0};

    RampStart rampStart{RampStart::afterLoss};
    int consecutiveLosses{0};     // without a completed ramp between them
    Millis nextRampAttemptAt{0};  // no attempt before this time while the zone is ramping
    Millis nextSpilloverAt{0};    // no spillover attempt into this zone before this time
    Millis nextHealthCheckAt{0};  // no health check before this time while the zone is lost
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
  int maxPendingSpilloverAttempts() const;
  double drawJitter();

  ZoneFailoverSettings settings_;
  ZoneId ownZone_;
  int maxConcurrentRequests_;
  Millis overloadWindow_;
  double minimumPerSecond_;  // attempts per second into a zone with no known rate
  std::mt19937 random_;
  std::map<ZoneId, Zone> zones_;               // references into it stay valid: zones are added, never erased
  std::map<DestinationId, ZoneId> homeZones_;  // according to the endpoint list
  std::map<DestinationId, int> waitingMessages_;  // without a pending attempt
  std::optional<Millis> firstAcceptedAt_;
  int pendingSpilloverAttempts_{0};
};

}  // namespace stonewing
