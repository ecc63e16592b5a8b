#pragma once

#include <algorithm>

#include "base/ids.h"

// How the drain grace is spent: the time from the moment at which discovery writes that an endpoint drains or
// is removed to the first byte of the last attempt at that endpoint. All times are milliseconds.
namespace stonewing {

// The way from discovery to this process.
constexpr Millis kNetworkAllowance = 50;
// The process may be held up for this long between reading its clock and writing.
constexpr Millis kHoldUpAllowance = 150;
// Polls that fit one after the other into the time for reading a change.
constexpr int kPollsPerChange = 4;
// Shorter time-outs would repeat polls that are answered at once.
constexpr Millis kMinStallTimeout = 10;

struct DrainBudget {
  // From the first byte of a change to its application. A change that is read later is read too late.
  Millis readWithin{};
  // A response that is incomplete this long after its first byte, or a connection that is not established
  // this long after its start, has stalled.
  Millis stallTimeout{};
};

constexpr DrainBudget drainBudget(Millis drainGrace) {
  const Millis allowances = std::min(kNetworkAllowance + kHoldUpAllowance, drainGrace / 2);
  const Millis readWithin = drainGrace - allowances;
  return {readWithin, std::max(kMinStallTimeout, readWithin / kPollsPerChange)};
}

}  // namespace stonewing
