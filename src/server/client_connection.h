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
    // `hasClientShutDown`: the client has shut down its sending side, so it may no longer wait for the reply.
    virtual CommandReply execute(const std::vector<std::string_view>& words, bool hasClientShutDown) = 0;
    // Whether the server is draining: each connection is then closed as soon as it is between commands.
    virtual bool isDraining() const = 0;
    // The connection had no pending reply and now has one; the owner is to call sendReplies.
    virtual void onRepliesPending(ClientConnection& client) = 0;
    // The number of bytes that the connection buffers of incomplete commands has changed.
    virtual void onBufferedBytesChanged(std::size_t before, std::size_t after) = 0;
    // The value of inactivityDeadline() may have changed.
    virtual void onDeadlineChanged(ClientConnection& client) = 0;
    // The connection is closed. The owner must not destroy the object before the end of the event loop's turn
    // (EventLoop::deferDeletion).
    virtual void onClosed(ClientConnection& client) = 0;
  };

  // Takes ownership of `fd`, a connected non-blocking socket.
  ClientConnection(EventLoop& loop, Owner& owner, int fd);
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
  void closeGracefully();
  // Closes the descriptor and reports it to the owner. Has no effect if it is closed already.
  void closeNow();
  // To be called once inactivityDeadline has passed, or when the memory of the incomplete command is needed
  // for other clients. Closes the connection; a client in the middle of a command gets an error reply first.
  void endStalled();

  // The time (steady clock) by which the client must be active again, or its connection is ended.
  Millis inactivityDeadline() const { return lastActiveAt_ + allowedInactivity(); }
  // When the client last began a command, or its last command was executed (steady clock).
  Millis lastActiveAt() const { return lastActiveAt_; }
  // Milliseconds from lastActiveAt() to `now`.
  Millis idleFor(Millis now) const { return now - lastActiveAt_; }
  // Bytes buffered of incomplete commands.
  std::size_t bufferedBytes() const { return bufferedBytes_; }

  // No command is partly received, no reply is left to send, and the connection is not closing.
  bool isBetweenCommands() const { return received_.empty() && !hasRepliesLeft() && !isClosing_; }
  // All replies were sent, and the connection waits only for the client to read them.
  bool isLingering() const { return isClosing_ && !hasRepliesLeft(); }
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
  std::string received_;                 // bytes of commands that are not executed yet
  std::vector<std::string_view> words_;  // of the command being executed; they refer to received_
  std::vector<CommandReply> replies_;    // not moved to unsent_ yet, in the order of their commands
  WriteBuffer unsent_;                   // bytes of replies that the socket has not accepted yet
  Millis lastActiveAt_;
  std::size_t bufferedBytes_{0};   // size of received_, as last reported to the owner
  std::size_t discardedBytes_{0};  // input read and dropped while closing
  bool hasSentCommand_{false};
  bool hasSubmitted_{false};   // a command with arguments was executed without an error
  bool isClosing_{false};      // no further command is read
  bool hasInputEnded_{false};  // the client has shut down its sending side
  bool isClosed_{false};
};

}  // namespace stonewing
