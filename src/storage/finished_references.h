#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "storage/stored_message.h"

namespace stonewing {

// How a message ended that may have been executed.
enum class ExecutedOutcome { delivered, failed };

// The references of the latest messages that have ended and may have been executed, so that a client that
// submits one of them again does not have it executed twice. The oldest are forgotten first.
class FinishedReferences {
 public:
  // `maxBytes`: the memory that the references may occupy.
  explicit FinishedReferences(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  void add(const std::string& reference, ExecutedOutcome outcome);
  // No value if the reference is unknown, or was forgotten.
  std::optional<ExecutedOutcome> find(std::string_view reference) const;
  // The memory that the references occupy, in bytes.
  std::size_t memoryBytes() const { return memoryBytes_; }

 private:
  static std::size_t memoryOf(const std::string& reference);

  std::size_t maxBytes_;
  std::size_t memoryBytes_{0};
  // References are stable while their element is in the map.
  std::unordered_map<std::string, ExecutedOutcome> outcomes_;
  std::deque<const std::string*> order_;  // the keys of outcomes_, oldest first
};

}  // namespace stonewing
