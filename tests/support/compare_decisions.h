#pragma once

#include <tuple>
#include <type_traits>
#include <variant>

#include "policy/decision.h"

namespace stonewing::testing {

// Returns all fields of a decision, for comparison.
inline auto fieldsOf(const SendAttempt& decision) {
  return std::tuple(decision.message, decision.endpoint, decision.attempt, decision.timeout);
}
inline auto fieldsOf(const CancelAttempt& decision) { return std::tuple(decision.message, decision.attempt); }
inline auto fieldsOf(const ShedMessage& decision) {
  return std::tuple(decision.message, decision.retryAfter);
}
inline auto fieldsOf(const FailMessage& decision) { return std::tuple(decision.message); }
inline auto fieldsOf(const SendHealthCheck& decision) { return std::tuple(decision.endpoint); }
inline auto fieldsOf(const CloseIdleConnection& decision) { return std::tuple(decision.endpoint); }
inline auto fieldsOf(const SetTimer& decision) { return std::tuple(decision.at); }

// Whether two decisions are of one kind and equal in every field.
inline bool isSameDecision(const Decision& left, const Decision& right) {
  return std::visit(
      []<class Left, class Right>(const Left& one, const Right& other) {
        if constexpr (std::is_same_v<Left, Right>) {
          return fieldsOf(one) == fieldsOf(other);
        } else {
          return false;
        }
      },
      left, right);
}

}  // namespace stonewing::testing
