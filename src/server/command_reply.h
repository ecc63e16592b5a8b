#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"

namespace stonewing {

// The reply to one command, as RESP2 bytes.
struct CommandReply {
  std::string text;
  // The message that the command submitted, if any. The reply is sent only once it is decided whether the
  // message stays accepted; if it does not, the replacement reply is sent instead.
  std::optional<MessageId> submittedMessage{};
};

// Returns whether it is decided if an accepted message stays accepted.
using IsDecided = std::function<bool(MessageId)>;

// Whether a client has closed its sending side of the connection. One that has may no longer wait for a
// reply, and may have submitted its message elsewhere.
enum class ClientSide { open, closed };

// The client connection that a command came on.
struct CommandSource {
  std::uint64_t client{0};  // its number among all of the process, from 1
  ClientSide side{ClientSide::open};
};

// Returns the reply to send if a message does not stay accepted; no value if it does and its own reply is
// right.
using ReplacementReply = std::function<std::optional<std::string>(MessageId, ClientSide)>;

}  // namespace stonewing
