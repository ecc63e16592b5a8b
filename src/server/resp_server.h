#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/resp_parser.h"
#include "net/watched_descriptor.h"
#include "server/client_connection.h"
#include "server/client_log.h"
#include "server/command_reply.h"
#include "server/reply_queue.h"
#include "server/turn_allowance.h"

namespace stonewing {

// The RESP2 server for the clients: accepts connections, limits their number and memory, closes those that
// stall, and sends replies once a turn. Used on the event loop's thread alone.
class RespServer : EventHandler, ClientConnection::Owner {
 public:
  using CommandReply = stonewing::CommandReply;
  using IsDecided = stonewing::IsDecided;
  using ReplacementReply = stonewing::ReplacementReply;
  // Executes one command. Throws Error where the client is to get an error reply and the connection to end.
  using CommandHandler =
      std::function<CommandReply(const std::vector<std::string_view>& words, CommandSource source)>;

  // `maxClients`: limit on open connections; at least 1 is allowed. `maxMemoryBytes`: limit on the memory of
  // the commands and replies of all clients together; at least that of one command is allowed. The loop must
  // outlive the server.
  RespServer(EventLoop& loop, std::size_t maxClients, std::size_t maxMemoryBytes, CommandHandler handler);
  ~RespServer() override;

  // Listens on `address`. Throws std::system_error if that fails, for instance because the address is in use.
  void listen(const sockaddr_in& address);
  // Accepts no further connections. Clients that have connected by now are still served.
  void stopListening();
  // From now on closes each client as soon as it is between commands.
  void drain();
  // Sends the replies made since the last call. Where a reply waits for the decision on its message, all
  // replies of its client wait with it.
  void sendReplies(const IsDecided& isDecided, const ReplacementReply& replacement);
  // How many clients have replies that are not sent yet.
  std::size_t clientsWithReplies() const { return clientsWithReplies_.size(); }
  std::size_t clientCount() const { return clients_.size(); }
  // The memory of the commands and replies of all clients, in bytes.
  std::size_t memoryBytes() const { return memoryBytes_; }
  // The accepting replies that were written or dropped since the last call.
  AcknowledgementChanges takeAcknowledgementChanges() { return std::exchange(acknowledgements_, {}); }
  // Closes the client that is to be evicted first, which frees its descriptor. False if no client can be
  // closed without losing a command or a reply.
  bool closeIdlestClient();
  // To be called once a turn: ends clients whose inactivity deadline has passed, and accepts again after a
  // failure.
  void onTick();
  // The latest time (steady clock) for the next call of onTick.
  Millis due() const;

 private:
  class Client;
  enum class Lingering { included, excluded };
  enum class AcceptProgress { done, mayHaveMore };

  void onEvents(std::uint32_t events) override;

  CommandReply execute(const std::vector<std::string_view>& words, CommandSource source) override;
  bool isDraining() const override { return isDraining_; }
  void onRepliesPending(ClientConnection& client) override;
  TurnAllowance& turnAllowance() override { return allowance_; }
  void onDeferred() override { log_.commandDeferred(); }
  void onMemoryChanged(std::size_t before, std::size_t after) override;
  bool isMemoryScarce() const override { return memoryBytes_ > maxMemoryBytes_ / 2; }
  void onAcknowledgementsChanged(AcknowledgementChanges changes) override;
  void onDeadlineChanged(ClientConnection& client) override;
  void onServed() override { evictForMemory(); }
  void onClosed(ClientConnection& client, ClientCloseCause cause) override;

  AcceptProgress acceptPending();
  bool evictForNewClient();
  void addClient(int fd);
  void onAcceptFailure(int error);
  void closeListener();

  Client* findIdlest(Lingering lingering);
  void closeIdlestGracefully();
  void evictForMemory();
  void endStalledClients();

  EventLoop& loop_;
  std::size_t maxClients_;
  std::size_t maxMemoryBytes_;
  std::size_t memoryBytes_{0};  // of all clients together
  std::size_t peakMemoryBytes_{0};
  CommandHandler handler_;
  ClientLog log_;
  TurnAllowance allowance_;
  AcknowledgementChanges acknowledgements_;  // since the last call of takeAcknowledgementChanges()
  std::uint64_t lastNumber_{0};
  WatchedDescriptor listener_;
  bool isDraining_{false};
  std::optional<Millis> retryAcceptAt_;         // set after a failure that no event will report again
  std::list<std::unique_ptr<Client>> clients_;  // in the order of their arrival
  // Clients of clients_ that have replies to send. A client that is closed is replaced by null at once.
  std::vector<ClientConnection*> clientsWithReplies_;
  // When the inactivity of each client is checked: every client of clients_ once, by its scheduledDeadline.
  std::set<std::pair<Millis, Client*>> deadlines_;
};

}  // namespace stonewing
