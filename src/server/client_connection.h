#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/resp_parser.h"
#include "net/watched_descriptor.h"
#include "server/command_reply.h"

namespace stonewing {

// One client of the RESP server: reads its commands, has them executed, and writes the replies in the order
// of the commands. It closes itself where the client is done, breaks the protocol or stalls. It lives on the
// event loop's thread.
//
// It ends in one of three ways. closeNow closes the descriptor at once. closeGracefully, between commands,
// shuts down our side alone, and the connection lingers: a command may arrive in that very moment, and a
// close over unread bytes would reset the connection, with the last reply if the client has not read it yet.
// What still comes is dropped; since it gets no reply, the client sends it again elsewhere. An error reply is
// the last that a client gets: no further command is read, and once all replies are written the connection
// lingers as well.
class ClientConnection : public EventHandler {
 public:
  // The server's side. It must outlive the connection, and is called on the loop's thread.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Executes a command. Throws Error for one whose reply is an error and the end of the connection.
    // `clientHasLeft`: the client has ended its side, so that it may not wait for the reply.
    virtual CommandReply execute(const std::vector<std::string_view>& words, bool clientHasLeft) = 0;
    // Whether the server is shutting down: each client is to be closed as soon as it is between commands.
    virtual bool isDraining() const = 0;
    // The connection has replies to send, where it had none; sendReplies is to be called.
    virtual void onRepliesPending(ClientConnection& client) = 0;
    // The bytes that the connection holds of incomplete commands have changed.
    virtual void onBufferedBytesChanged(std::size_t before, std::size_t after) = 0;
    // inactivityDeadline may have changed.
    virtual void onDeadlineChanged(ClientConnection& client) = 0;
    // The connection is closed. The owner must keep the object until the loop's turn is over (deferDeletion).
    virtual void onClosed(ClientConnection& client) = 0;
  };

  // Takes ownership of `fd`, a connected non-blocking socket.
  ClientConnection(EventLoop& loop, Owner& owner, int fd);
  ~ClientConnection() override;

  // Registers the connection in the loop. False where the kernel cannot register one more.
  [[nodiscard]] bool watch() { return socket_.watch(*this); }
  void onEvents(std::uint32_t events) override;

  // Whether a reply waits for its message to be decided. Since replies keep their order, all wait then.
  bool awaitsDecision(const IsDecided& isDecided) const;
  // Sends the pending replies, each in its own words or those of `replacement`.
  void sendReplies(const ReplacementReply& replacement);

  // While the server drains: closes gracefully where the client is between commands. One that has just
  // connected is about to send its command, and is left some time for it: without a reply, it would be turned
  // away for nothing.
  void drainIfIdle();
  // Shuts down our side; see above. To be called between commands.
  void closeGracefully();
  // Closes the descriptor and reports it to the owner. Nothing happens where it is closed already.
  void closeNow();
  // To be called once inactivityDeadline has passed, or where the bytes of its incomplete command are needed
  // for others: closes the connection, or ends it with an error reply where it stands amid a command.
  void endStalled();

  // Until when the client must move on (steady clock), or the connection is ended.
  Millis inactivityDeadline() const { return lastActiveAt_ + allowedInactivity(); }
  // When the client last began a command, or had one executed (steady clock).
  Millis lastActiveAt() const { return lastActiveAt_; }
  // How long that was before `now`, in ms.
  Millis idleFor(Millis now) const { return now - lastActiveAt_; }
  // Bytes in memory of incomplete commands.
  std::size_t bufferedBytes() const { return bufferedBytes_; }

  // Nothing that was read waits for its reply, and no reply is left to send.
  bool isBetweenCommands() const { return received_.empty() && !hasRepliesLeft() && !isClosing_; }
  // Everything was said, and the connection waits only for the client to read it.
  bool isLingering() const { return isClosing_ && !hasRepliesLeft(); }
  // It may be closed for others without the loss of a command or a reply.
  bool isEvictable() const { return isBetweenCommands() || isLingering(); }
  // Whether it is to be evicted before others. A client that has submitted its message has what it came for,
  // and one that says nothing may never do. But one that has only asked whether we are there is about to
  // submit: closed now, its message would fail. Without this order, clients that come once and keep their
  // connection drive out those that have just come.
  bool isPreferredForEviction(Millis now) const;
  // Whether bytes have arrived whose event is still to come. If so, the client counts as active now.
  bool checkForUnreadBytes();

 private:
  void serve(StreamEnd streamEnd);
  ReadResult readCommands(StreamEnd streamEnd);
  void executeCommands();
  void executeCommand();
  void discardInput();
  void write();
  void close();

  void addReply(CommandReply reply);
  void rejectAndClose(std::string error);
  void startClosing();

  Millis allowedInactivity() const;
  bool hasRepliesLeft() const { return !unsent_.empty() || !replies_.empty(); }
  void updateBufferedBytes();

  EventLoop& loop_;
  Owner& owner_;
  WatchedDescriptor socket_;
  std::string received_;                 // of commands that are not executed yet
  std::vector<std::string_view> words_;  // of the command being executed; they refer to received_
  std::vector<CommandReply> replies_;    // not handed to the socket yet, in the order of their commands
  WriteBuffer unsent_;                   // replies on their way
  Millis lastActiveAt_;
  std::size_t bufferedBytes_{0};   // of received_, as last reported to the owner
  std::size_t discardedBytes_{0};  // read and dropped since it is closing
  bool hasSentCommand_{false};
  bool hasSubmitted_{false};   // a command with arguments was executed, and not answered by an error
  bool isClosing_{false};      // no further command is read
  bool hasInputEnded_{false};  // the client has ended its side
  bool isClosed_{false};
};

}  // namespace stonewing
