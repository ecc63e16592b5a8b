#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace stonewing {

// Bounds the commands and bytes that the server takes from all clients in one turn of the event loop, so that
// a turn stays short whatever the clients send. Each client has a small part for itself; what it sends beyond
// that comes out of a part that all clients share, first come, first served. So clients that send one command
// at a time never wait for those that send many.
//
// Uses no clock and no sockets. The allowance must outlive the shares.
class TurnAllowance {
 public:
  // What one client may take in the present turn. A share renews itself with the turn.
  class Share {
   public:
    explicit Share(TurnAllowance& allowance) : allowance_(allowance) {}

    // Whether the client's next command may be executed in this turn; if so, counts it.
    bool takeCommand();
    // How many bytes may be read from the client in this turn.
    std::size_t readableBytes();
    // Counts bytes that were read; at most readableBytes().
    void recordRead(std::size_t bytes);

   private:
    void renew();

    TurnAllowance& allowance_;
    std::uint64_t turn_{0};
    std::size_t commands_{0};
    std::size_t bytes_{0};
  };

  // Of each client, in each turn, whatever the others send.
  static constexpr std::size_t kOwnCommands = 4;
  static constexpr std::size_t kOwnBytes = std::size_t{4} * 1024;
  // Of all clients together, beyond their own parts.
  static constexpr std::size_t kSharedCommands = 512;
  static constexpr std::size_t kSharedBytes = std::size_t{1024} * 1024;
  // Of one client, its own part included. Others are to find something left of the shared part.
  static constexpr std::size_t kMaxCommands = 128;
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;

  void beginTurn();

 private:
  std::uint64_t turn_{1};
  std::size_t sharedCommands_{kSharedCommands};  // left in this turn
  std::size_t sharedBytes_{kSharedBytes};        // left in this turn
};

}  // namespace stonewing
