#pragma once

namespace stonewing {

// How an attempt or a health check ended.
enum class AttemptOutcome {
  completed,
  error,                  // the endpoint answered with an error; the message may have been executed
  rejected,               // the endpoint refused it unexecuted: over its limit, or its table is full
  timeout,                // no answer in time
  connectFailed,          // no connection; provably not executed
  reset,                  // the connection broke with the request on its way
  cancelled,              // this host cancelled it
  notSent,                // never sent, since it was no longer wanted or allowed
  localResourceExhausted  // never sent, for want of a resource of this host, such as a descriptor
};

// Whether the attempt provably never left this host.
constexpr bool isUnsent(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::notSent || outcome == AttemptOutcome::localResourceExhausted;
}

}  // namespace stonewing
