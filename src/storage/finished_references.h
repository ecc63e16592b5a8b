#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "storage/submission_match.h"

namespace stonewing {

// The latest messages that have ended and may have been executed, by their references, so that a client that
// submits one of them again does not have it executed twice. The oldest are forgotten first.
class FinishedReferences {
 public:
  // `maxBytes`: the memory that the references may occupy.
  explicit FinishedReferences(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  void add(const std::string& reference, const FinishedMessage& message);
  // No value if the reference is unknown, or was forgotten.
  std::optional<FinishedMessage> find(std::string_view reference) const;
  // The records of the latest messages for Journal::appendToCompaction(), oldest first: as many as fit into
  // `maxBytes`.
  std::string encodeLatest(std::size_t maxBytes) const;
  // The memory that the references occupy, in bytes.
  std::size_t memoryBytes() const { return memoryBytes_; }

 private:
  static std::size_t memoryOf(const std::string& reference);

  std::size_t maxBytes_;
  std::size_t memoryBytes_{0};
  // References are stable while their element is in the map.
  std::unordered_map<std::string, FinishedMessage> messages_;
  std::deque<const std::string*> order_;  // the keys of messages_, oldest first
};

}  // namespace stonewing
