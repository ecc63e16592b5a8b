#pragma once

#include "base/ids.h"

namespace stonewing {

enum class Act { launch, withdraw, shed, giveUp, probe, closeIdle, wake };

// What an answer reports of the limit at its endpoint.
struct LoadReport {
  double rateLimit{-1};       // calls a second; 0 where there is none, below 0 where nothing is told
  double remainingShare{-1};  // share of it that is left just now, 0 to 1; below 0 where none is told
};

// One decision; a field that its act does not need stays at zero.
struct Decision {
  Act act{};
  MessageId message{};
  EndpointId endpoint{};
  int attempt{};
  Millis span{};  // attempt: its time-out; shed: stay away for; wake: the time of the clock
};

}  // namespace stonewing
