#include "server/turn_allowance.h"

namespace stonewing {

void TurnAllowance::beginTurn() {
  ++turn_;
  sharedCommands_ = kSharedCommands;
  sharedBytes_ = kSharedBytes;
}

void TurnAllowance::Share::renew() {
  if (turn_ == allowance_.turn_) return;
  turn_ = allowance_.turn_;
  commands_ = 0;
  bytes_ = 0;
}

bool TurnAllowance::Share::takeCommand() {
  renew();
  if (commands_ >= kMaxCommands) return false;
  if (commands_ >= kOwnCommands) {
    if (allowance_.sharedCommands_ == 0) return false;
    --allowance_.sharedCommands_;
  }
  ++commands_;
  return true;
}

std::size_t TurnAllowance::Share::readableBytes() {
  renew();
  const std::size_t ownBytes = kOwnBytes - std::min(kOwnBytes, bytes_);
  return std::min(kMaxBytes - bytes_, ownBytes + allowance_.sharedBytes_);
}

void TurnAllowance::Share::recordRead(std::size_t bytes) {
  renew();
  const std::size_t ownBytes = kOwnBytes - std::min(kOwnBytes, bytes_);
  bytes_ += bytes;
  allowance_.sharedBytes_ -= bytes - std::min(bytes, ownBytes);
}

}  // namespace stonewing
