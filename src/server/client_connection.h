#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/resp_parser.h"
#include "net/watched_descriptor.h"
#include "server/client_close_cause.h"
#include "server/client_log.h"
#include "server/command_reply.h"
#include "server/reply_queue.h"
#include "server/turn_allowance.h"

namespace stonewing {

// A client connection of the RESP server: reads the client's commands, has the owner execute them, and writes
// the replies in the order of the commands. It closes itself when the client closes its side or violates the
// protocol; the owner ends it when the client stalls. Used on the event loop's thread alone.
//
// A connection ends in one of three ways:
// - closeNow closes the descriptor at once.
// - closeGracefully, to be called between commands, shuts down only the sending side, and the connection
//   lingers. A command may arrive at that very moment, and closing a socket with unread bytes would reset the
//   connection; the client would lose its last reply if it had not read it yet. Input that still arrives is
//   dropped: it gets no reply, so the client sends it again elsewhere.
// - An error reply is the last reply that a client gets. No further command is read, and once all replies are
//   written the connection lingers as well.
class ClientConnection : public EventHandler {
 public:
  // The server's side of its connections. An owner must outlive them, and is called on the event loop's
  // thread.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Executes a command. Throws Error where the client is to get an error reply and the connection to end.
    virtual CommandReply execute(const std::vector<std::string_view>& words, CommandSource source) = 0;
    // Whether the server is draining: each connection is then closed as soon as it is between commands.
    virtual bool isDraining() const = 0;
    // The connection had no pending reply and now has one; the owner is to call sendReplies.
    virtual void onRepliesPending(ClientConnection& client) = 0;
    // The allowance of the present turn, for all clients.
    virtual TurnAllowance& turnAllowance() = 0;
    // Commands of the client are left for the next turn.
    virtual void onDeferred() = 0;
    // The memory of the connection's commands and replies, in bytes, has changed.
    virtual void onMemoryChanged(std::size_t before, std::size_t after) = 0;
    // Whether the memory of all clients is nearly used up: each is then to hold less.
    virtual bool isMemoryScarce() const = 0;
    // The connection has read or written what it could for now. Called last in each of its events.
    virtual void onServed() = 0;
    // Replies that accept messages were written or dropped.
    virtual void onAcknowledgementsChanged(AcknowledgementChanges changes) = 0;
    // The value of inactivityDeadline() may have changed.
    virtual void onDeadlineChanged(ClientConnection& client) = 0;
    // The connection is closed. The owner must not destroy the object before the end of the event loop's turn
    // (EventLoop::deferDeletion).
    virtual void onClosed(ClientConnection& client, ClientCloseCause cause) = 0;
  };

  // Takes ownership of `fd`, a connected non-blocking socket. `number` identifies the connection in the log.
  ClientConnection(EventLoop& loop, Owner& owner, int fd, std::uint64_t number);
  ~ClientConnection() override;

  // Registers the connection with the event loop. False if the kernel cannot register one more.
  [[nodiscard]] bool watch() { return socket_.watch(*this); }
  void onEvents(std::uint32_t events) override;

  // Whether a reply waits for the decision on its message. All replies of the client then wait, since replies
  // are sent in the order of the commands.
  bool awaitsDecision(const IsDecided& isDecided) const;
  // Sends the pending replies. Where `replacement` returns a text for a reply's message, that text is sent
  // instead of the reply's own.
  void sendReplies(const ReplacementReply& replacement);

  // To be called while the server drains: closes the connection gracefully if the client is between commands.
  // A client that has just connected is about to send its first command and gets some time for it; closed
  // now, it would have connected without getting any reply.
  void drainIfIdle();
  // Shuts down the sending side; see the comment on the class. To be called between commands.
  void closeGracefully(ClientCloseCause cause);
  // Closes the descriptor and reports it to the owner, with the first cause that this connection was closed
  // for. Has no effect if it is closed already.
  void closeNow(ClientCloseCause cause);
  // To be called once inactivityDeadline has passed, or when the memory of the connection is needed for other
  // clients. Closes the connection; a client in the middle of a command gets an error reply first.
  void endStalled(ClientCloseCause cause);

  // The time (steady clock) by which the client must be active again, or its connection is ended.
  Millis inactivityDeadline() const { return lastActiveAt_ + allowedInactivity(); }
  // When the client last began a command, or its last command was executed (steady clock).
  Millis lastActiveAt() const { return lastActiveAt_; }
  // Milliseconds from lastActiveAt() to `now`.
  Millis idleFor(Millis now) const { return now - lastActiveAt_; }
  // The memory of commands that are not executed and replies that are not sent, in bytes.
  std::size_t memoryBytes() const { return memoryBytes_; }
  // For the log.
  ClientRecord record() const;

  // No command is partly received, no reply is left to send, and the connection is not closing.
  bool isBetweenCommands() const { return received_.empty() && replies_.empty() && !isClosing_; }
  // All replies were sent, and the connection waits only for the client to read them.
  bool isLingering() const { return isClosing_ && replies_.empty(); }
  // The connection can be closed in favour of another client without losing a command or a reply.
  bool isEvictable() const { return isBetweenCommands() || isLingering(); }
  // Whether the connection is evicted before others. A client that has submitted a message has no further
  // need of its connection, and one that has sent nothing may never send anything. A client that has only
  // sent PING is about to submit, and if its connection were closed now, its message would fail. Without this
  // order, clients that submit once and keep their connection open would evict those that have just
  // connected.
  bool isPreferredForEviction(Millis now) const;
  // Whether bytes have arrived that are not read yet. If so, the client counts as active now.
  bool checkForUnreadBytes();

 private:
  enum class Progress { mayContinue, mustWait };

  void serve(StreamEnd streamEnd);
  void serveCommands(StreamEnd streamEnd);
  void checkForDeparture();
  ReadResult readInput(StreamEnd streamEnd);
  Progress executeCommands();
  void executeCommand();
  void deferCommands();
  void finishInput();
  void discardInput();
  void write();
  void close();

  void addReply(const CommandReply& reply);
  void rejectAndClose(std::string error);
  void startClosing(ClientCloseCause cause);

  Millis allowedInactivity() const;
  ClientSide clientSide() const { return hasLeft_ ? ClientSide::closed : ClientSide::open; }
  bool isServing() const { return !isClosed_ && !isClosing_; }
  bool hasTooManyReplies() const;
  std::size_t maxBytesHeld() const;
  void updateMemory();
  void reportAcknowledgements();

  EventLoop& loop_;
  Owner& owner_;
  WatchedDescriptor socket_;
  std::uint64_t number_;
  Millis connectedAt_;
  TurnAllowance::Share share_;
  std::string received_;                 // bytes of commands that are not executed yet
  std::vector<std::string_view> words_;  // of the command being executed; they refer to received_
  ReplyQueue replies_;
  AcknowledgementChanges acknowledgements_;  // not reported to the owner yet
  Millis lastActiveAt_;
  std::size_t memoryBytes_{0};     // as last reported to the owner
  std::size_t discardedBytes_{0};  // input read and dropped while closing
  std::uint64_t commands_{0};      // executed
  std::uint64_t deferrals_{0};     // turns in which commands were left for the next one
  bool hasSentCommand_{false};
  bool hasSubmitted_{false};  // a command with arguments was executed without an error
  bool isClosing_{false};     // no further command is read
  // The client has shut down its sending side, though some of its input may not be read yet.
  bool hasLeft_{false};
  bool hasInputEnded_{false};    // all input is read
  bool isHeldByReplies_{false};  // commands wait until replies are sent
  bool isClosed_{false};
  std::optional<ClientCloseCause> closeCause_;
};

}  // namespace stonewing
