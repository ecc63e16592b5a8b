#pragma once

#include <cstddef>

namespace stonewing {

// How an attempt or a health check ended.
enum class AttemptOutcome {
  completed,
  error,          // the endpoint answered with an error; the message may have been executed
  rejected,       // the endpoint refused the message without executing it: it is over its rate limit, or
                  // its connection table is full
  timeout,        // no response in time
  connectFailed,  // no connection was established; provably not executed
  reset,          // the connection broke while the request was in flight
  unattributed,   // a response came that may belong to another request; the message may have been executed
  cancelled,      // this host cancelled the attempt
  notSent,        // never sent: no longer wanted, or no longer allowed
  localResourceExhausted  // never sent: this host lacked a resource, such as a file descriptor
};

inline constexpr std::size_t kAttemptOutcomeCount =
    static_cast<std::size_t>(AttemptOutcome::localResourceExhausted) + 1;

// Whether the attempt provably never left this host.
constexpr bool isUnsent(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::notSent || outcome == AttemptOutcome::localResourceExhausted;
}

}  // namespace stonewing
