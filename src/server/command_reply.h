#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"

namespace stonewing {

// The reply to one command, as RESP2 bytes.
struct CommandReply {
  std::string text;
  // The message that the command submitted: the reply holds only if the message is kept, and waits until that
  // is decided.
  std::optional<MessageId> ifAccepted{};
};

// Whether it is known if an accepted message is kept.
using IsDecided = std::function<bool(MessageId)>;

// The reply to send where a message was not kept; no value where it was, and its own reply holds.
using ReplacementReply = std::function<std::optional<std::string>(MessageId)>;

}  // namespace stonewing
