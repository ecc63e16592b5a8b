#pragma once

#include <vector>

#include "base/ids.h"

// Decides which of the messages that wait for the same capacity it cannot take in time. A pure function.
namespace stonewing {

struct BacklogEntry {
  Millis deadline{0};  // of the attempt: an attempt that begins later comes too late
  MessageId message{};
  double weight{0};
};

// Capacity that sends one message at startAt (milliseconds of the policy's clock) and one each interval
// milliseconds after that.
struct BacklogCapacity {
  Millis startAt{0};
  Millis interval{0};  // above 0
};

// Returns the messages without which all others can be sent before their deadlines, in the order of these. At
// each deadline that cannot be met, the message of the least weight among those that are due by then is lost.
std::vector<MessageId> excessOf(std::vector<BacklogEntry> backlog, const BacklogCapacity& capacity);

}  // namespace stonewing
