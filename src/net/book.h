#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/facts.h"
#include "core/ids.h"
#include "net/journal.h"

namespace stonewing::net {

// What the list says of an endpoint, as far as it outlives a process.
struct EndpointNote {
  std::string name;
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
};

struct LaunchNote {
  EndpointNote endpoint;
  Millis sentWall{};
  bool neverRan{false};
};

// A callback that is held, with what the module does not need to know of it.
struct Held {
  std::string ref;      // its id at the client and the endpoint
  std::string receipt;  // its idempotency key; empty for none
  std::shared_ptr<const std::string> body;
  TrafficTypeId type{};
  TenantId tenant{};
  KeyId key{};
  DestinationId destination{};
  Millis outerWall{};  // its outer limit, Unix time
  std::vector<LaunchNote> launches;
  std::string taken;  // its record in the journal, without the body
};

enum class Result : std::uint8_t { dead = 1, bounced = 2 };

// An end that the platform has not confirmed yet.
struct Notice {
  std::string ref;
  Result result{};
  Millis wait{};
};

// All that was taken on and is not over, in memory and in the journal. Each change is written before it is
// acted on, so that a kill at any moment loses nothing that a client or the platform was promised.
class Book {
 public:
  Book(const HostFacts& facts, const std::string& folder, std::size_t mostBytes);

  // Reads what an earlier process left; returns the bytes of a torn tail that were cut.
  std::size_t restore();

  // The fields of a SUBMIT: order key, id, list, body. Throws Malformed with the reason.
  Held decode(std::string_view key, std::string_view ref, std::string_view list, std::string_view body,
              Millis wall) const;
  // No value: there is no room in the journal.
  std::optional<CallbackId> take(Held held);
  bool holds(std::string_view ref) const { return byRef_.contains(std::string(ref)); }
  // False: it could not be noted, and the launch must not go out.
  bool launched(CallbackId id, const EndpointNote& endpoint, Millis wall);
  void neverRan(CallbackId id, int launch);
  // Over, and nothing more is owed.
  void completed(CallbackId id);
  // Over; the platform is to be told.
  void owe(CallbackId id, Result result, Millis wait);
  void confirmed(CallbackId id);

  Held* find(CallbackId id) {
    auto at = held_.find(id);
    return at == held_.end() ? nullptr : &at->second;
  }
  // How many of those held have ended, in whatever way, and how full the journal is by what must stay in it:
  // a rewrite needs as much again.
  std::size_t overSoFar() const { return over_; }
  double writingSoFar() const { return journal_.writing(); }
  double full() const {
    return journal_.most() == 0 ? 1
                                : 2 * static_cast<double>(liveBytes()) / static_cast<double>(journal_.most());
  }
  const std::map<CallbackId, Held>& held() const { return held_; }
  const std::map<CallbackId, Notice>& owed() const { return owed_; }

 private:
  enum class Tag : std::uint8_t { taken = 1, launched = 2, neverRan = 3, owed = 4, over = 5 };
  void replayed(std::string_view record);
  bool note(const std::string& record);
  bool roomFor(std::size_t more);
  std::size_t liveBytes() const;
  std::string live() const;
  static std::size_t takenSize(const Held& held);  // of its record
  static std::string takenRecord(CallbackId id, const Held& held);
  static std::string launchRecord(CallbackId id, const LaunchNote& launch);
  static std::string owedRecord(CallbackId id, const Notice& notice);
  void drop(CallbackId id);

  const HostFacts& facts_;
  Journal journal_;
  std::uint32_t next_{1};
  std::size_t heldBytes_{0};
  std::size_t over_{0};
  std::map<CallbackId, Held> held_;
  std::map<CallbackId, Notice> owed_;
  std::unordered_map<std::string, CallbackId> byRef_;
};

}  // namespace stonewing::net
