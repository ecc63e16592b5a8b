#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"

namespace stonewing {

enum class RespParseResult { needsMore, complete, malformed };

// Reads one RESP2 command, an array of bulk strings, in place. used: its bytes, once whole.
RespParseResult parseRespCommand(std::string_view bytes, std::vector<std::string_view>& words,
                                 std::size_t& used);

inline constexpr std::size_t kBodyMost = 64 * 1024;

// The clients' side: takes connections, reads commands, answers each in order, once a turn.
class RespServer : EventHandler {
 public:
  // An answer that holds only if its message is kept.
  struct CommandReply {
    std::string text;
    std::optional<MessageId> ifAccepted{};
  };
  // Answers one command. Throws Error for one that is answered by an error and a close. left: its client
  // has ended its side of the connection.
  using CommandHandler = std::function<CommandReply(const std::vector<std::string_view>& words, bool left)>;
  // In place of the answer of a message that was not kept; no value where it was.
  using ReplacementReply = std::function<std::optional<std::string>(MessageId)>;

  // mostBytes: of commands that have come in part, from all clients together.
  RespServer(EventLoop& loop, std::size_t mostClients, std::size_t mostBytes, CommandHandler answer);
  ~RespServer() override;

  void listen(const sockaddr_in& at);  // throws where the address cannot be had
  void stopListening();                // who has connected by now is still a client
  // Tells each client that stands between commands of the end; the rest as soon as they do.
  void drain();
  // Whether it is known what became of a message that was taken.
  using IsDecided = std::function<bool(MessageId)>;
  // Sends what was answered since the last time; where an answer waits for its message to be decided, all of
  // its client's wait with it.
  void sendReplies(const IsDecided& decided, const ReplacementReply& instead);
  std::size_t clientsWithReplies() const {
    return answering_.size();
  }  // clients whose answers were not sent yet
  std::size_t clientCount() const { return clients_.size(); }
  // A descriptor is needed elsewhere: the client that has stood between commands for longest gives up its
  // own.
  bool closeIdlestClient();
  void onTick();
  Millis due() const;

 private:
  class ClientConnection;
  void onEvents(std::uint32_t events) override;
  bool accept();
  void closeListener();
  ClientConnection* idlest(bool lingering);
  void retireIdlest();
  void gone(ClientConnection& client);
  void settle(ClientConnection& client);  // its patience may have changed
  void shedHalfDone();

  EventLoop& loop_;
  std::size_t most_;
  std::size_t mostBytes_;
  std::size_t bytes_{0};
  CommandHandler answer_;
  int fd_{-1};
  bool leaving_{false};
  Millis acceptAgain_{-1};  // after a lack of descriptors
  std::list<std::unique_ptr<ClientConnection>> clients_;
  std::vector<ClientConnection*> answering_;
  std::set<std::pair<Millis, ClientConnection*>> patience_;  // by when each is to be looked at
};

}  // namespace stonewing
