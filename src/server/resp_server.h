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
#include "server/command_reply.h"

namespace stonewing {

// The server for the clients, who speak RESP2: accepts connections, limits their number and memory, closes
// those that stall, and sends replies once a turn. Used on the event loop's thread alone.
class RespServer : EventHandler, ClientConnection::Owner {
 public:
  using CommandReply = stonewing::CommandReply;
  using IsDecided = stonewing::IsDecided;
  using ReplacementReply = stonewing::ReplacementReply;
  // Executes one command. Throws Error for one whose reply is an error and the end of its connection.
  // `clientHasLeft`: the client has ended its side of the connection.
  using CommandHandler =
      std::function<CommandReply(const std::vector<std::string_view>& words, bool clientHasLeft)>;

  // `maxClients`: connections at a time, at least 1. `maxBufferedBytes`: of incomplete commands, from all
  // clients together, but no less than one command. The loop must outlive the server.
  RespServer(EventLoop& loop, std::size_t maxClients, std::size_t maxBufferedBytes, CommandHandler handler);
  ~RespServer() override;

  // Listens on `address`. Throws std::system_error where it cannot be had.
  void listen(const sockaddr_in& address);
  // Accepts no more. Who has connected by now is still served.
  void stopListening();
  // Closes each client as soon as it is between commands, from now on.
  void drain();
  // Sends the replies made since the last call. Where a reply waits for its message to be decided, all of its
  // client's wait with it.
  void sendReplies(const IsDecided& isDecided, const ReplacementReply& replacement);
  // How many clients have replies that are not sent yet.
  std::size_t clientsWithReplies() const { return clientsWithReplies_.size(); }
  std::size_t clientCount() const { return clients_.size(); }
  // Frees a descriptor for others: closes the client that has been between commands for longest. False where
  // there is none.
  bool closeIdlestClient();
  // To be called once a turn: closes clients whose time is up, and accepts again after a failure.
  void onTick();
  // When onTick is needed next (steady clock), at the latest.
  Millis due() const;

 private:
  class Client;
  enum class Lingering { included, excluded };
  enum class AcceptProgress { done, mayHaveMore };

  void onEvents(std::uint32_t events) override;

  CommandReply execute(const std::vector<std::string_view>& words, bool clientHasLeft) override;
  bool isDraining() const override { return isDraining_; }
  void onRepliesPending(ClientConnection& client) override;
  void onBufferedBytesChanged(std::size_t before, std::size_t after) override;
  void onDeadlineChanged(ClientConnection& client) override;
  void onClosed(ClientConnection& client) override;

  AcceptProgress acceptPending();
  bool evictForNewClient();
  void addClient(int fd);
  void onAcceptFailure(int error);
  void closeListener();

  Client* findIdlest(Lingering lingering);
  void retireIdlest();
  void evictIncompleteCommands();
  void endStalledClients();

  EventLoop& loop_;
  std::size_t maxClients_;
  std::size_t maxBufferedBytes_;
  std::size_t bufferedBytes_{0};  // of all clients
  CommandHandler handler_;
  WatchedDescriptor listener_;
  bool isDraining_{false};
  std::optional<Millis> retryAcceptAt_;         // after a failure whose event will not come again
  std::list<std::unique_ptr<Client>> clients_;  // in the order they came
  // Clients, all of them in clients_; one that is closed is set to null at once.
  std::vector<ClientConnection*> clientsWithReplies_;
  // When each client is to be looked at; each client of clients_ is here once, under its scheduledDeadline.
  std::set<std::pair<Millis, Client*>> deadlines_;
};

}  // namespace stonewing
