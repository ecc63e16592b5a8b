#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/ids.h"
#include "logging/rate_limit.h"
#include "server/client_close_cause.h"

namespace stonewing {

// What a client's connection did until it was closed.
struct ClientRecord {
  std::uint64_t number{0};  // of the connection among all of the process, from 1
  Millis age{0};
  std::uint64_t commands{0};   // executed
  std::uint64_t deferrals{0};  // turns in which commands were left for the next turn
  std::size_t unreadBytes{0};  // of an incomplete command
  std::size_t unsentBytes{0};  // of replies
};

// Writes the log events of clients (docs/log.md lists them) and counts them. Closes that need an explanation
// are logged at level info, at a bounded rate; ordinary ones, by the client or of an idle client, at level
// debug.
class ClientLog {
 public:
  void clientAccepted() { ++counters_.accepted; }
  void commandDeferred() { ++counters_.deferrals; }
  void clientClosed(const ClientRecord& client, ClientCloseCause cause, Millis now);
  // Logs the counters, if they have changed since they were last logged, at most every 10 s. `bytes`: memory
  // of all clients.
  void logCounters(Millis now, std::size_t clients, std::size_t bytes, std::size_t peakBytes);

 private:
  struct Counters {
    std::uint64_t accepted{0};
    std::uint64_t deferrals{0};
    std::array<std::uint64_t, kClientCloseCauseCount> closed{};
    bool operator==(const Counters&) const = default;

    std::uint64_t closedBy(ClientCloseCause cause) const {
      return closed.at(static_cast<std::size_t>(cause));
    }
  };

  static constexpr double kLinesPerSecond = 10;
  static constexpr double kLineBurst = 100;

  Counters counters_;
  Counters loggedCounters_;
  Millis countersDueAt_{0};
  log::RateLimit closeLines_{kLinesPerSecond, kLineBurst};
};

}  // namespace stonewing
