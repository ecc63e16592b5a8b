#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/terms.h"

// Rooms (zones) as one dispatcher sees them: in which order they are preferred, whether one is lost, how much
// of another room strangers may take, and how a room that returns is fed. What it is told only updates what
// is known; the rules ask, and decide. No clock, no chance and no sockets of its own. Times in milliseconds.
namespace stonewing {

class Rooms {
 public:
  Rooms(const DeploymentTerms& terms, std::uint64_t seed);

  bool named() const { return !terms_.tiers.empty(); }
  // Lower is better. With no tiers named: the own room, then all others.
  int tier(DestinationId destination, ZoneId room) const;

  // The list anew: every endpoint in service, between the two.
  void listBegins();
  void listed(EndpointId endpoint, DestinationId destination, ZoneId room);
  void listEnds(Millis now);

  // Returns whether it is spilled; to be told again at its end.
  bool launched(Millis now, DestinationId destination, ZoneId room);
  void ended(bool spilled) { spilledOut_ -= spilled; }
  // Something was delivered there, or a health check answered.
  void works(Millis now, EndpointId endpoint, ZoneId room, bool delivered);
  // An endpoint has failed so many times in a row.
  void fails(Millis now, EndpointId endpoint, DestinationId destination, ZoneId room, int times);
  // A message for the destination was accepted.
  void asked(Millis now, DestinationId destination);
  // So many more messages of a destination wait without an attempt out.
  void waits(DestinationId destination, int more);
  void probed(Millis now, ZoneId room);

  // Since when an attempt for that destination into that room is allowed, or from when on; never in the past
  // of what binds. 1e15: not until something is heard.
  Millis launchFrom(DestinationId destination, ZoneId room) const;
  Millis probeFrom(ZoneId room) const;
  bool lost(ZoneId room) const;
  bool climbing(Millis now, ZoneId room) const;
  // Whether the destination's best room, by the list, is better than this one.
  bool stranger(DestinationId destination, ZoneId room) const;
  // The same, since its home is lost or fed slowly; only then is there a cap.
  bool spilled(DestinationId destination, ZoneId room) const;
  // The destination's home is lost, and more waits for it than can go elsewhere in time.
  bool overfull(DestinationId destination) const;
  // How long what waits for a lost home takes to go elsewhere; 0 where the home is not lost.
  Millis backlog(DestinationId destination) const;
  // Attempts a second that a room is given now: what it is fed as it climbs, or as a room of strangers.
  double fedPerSecond(Millis now, ZoneId room) const;
  double spillPerSecond(ZoneId home, ZoneId room) const;

 private:
  enum class State { well, lost, climbing };
  struct Room {
    State state{State::well};
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
  ZoneId homeOf(DestinationId destination) const;
  bool looksLost(const Room& r) const;
  void judge(Millis now, Room& r);
  void returns(Millis now, Room& r, bool slowly);
  double rate(const Room& r) const;  // deliveries a second, lately
  // What it is to take, a second: what it did, with what goes elsewhere, or a part of what we were asked to
  // bring.
  double whole(const Room& r) const;
  Millis probePause(const Room& r);
  double spillPerSecondFrom(ZoneId home) const;
  double climbed(Millis now, const Room& r) const;
  const Room* find(ZoneId room) const {
    auto at = rooms_.find(room);
    return at == rooms_.end() ? nullptr : &at->second;
  }
  double jitter() { return 0.75 + 0.5 * static_cast<double>(chance_()) / 4294967296.0; }

  RoomTerms terms_;
  ZoneId own_;
  int slots_;
  Millis fallSpan_;
  Millis patience_;  // for how long a message that waits for a place among strangers can still be in time
  double least_;     // attempts a second into a room of which nothing is known
  std::mt19937 chance_;
  std::map<ZoneId, Room> rooms_;
  std::map<DestinationId, ZoneId> homes_;  // by the list
  std::map<DestinationId, int> waiting_;
  Millis began_{-1};
  int spilledOut_{0};
};

}  // namespace stonewing
