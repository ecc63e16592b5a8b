#include "storage/finished_references.h"

#include <ranges>
#include <utility>
#include <vector>

#include "storage/journal.h"
#include "storage/record_codec.h"

namespace stonewing {
namespace {

// A node and a bucket of the map, and an entry of the queue.
constexpr std::size_t kEntryBytes = 112;

}  // namespace

std::size_t FinishedReferences::memoryOf(const std::string& reference) {
  return kEntryBytes + reference.size();
}

void FinishedReferences::add(const std::string& reference, const FinishedMessage& message) {
  auto [entry, isNew] = messages_.insert_or_assign(reference, message);
  if (!isNew) return;
  order_.push_back(&entry->first);
  memoryBytes_ += memoryOf(reference);
  while (memoryBytes_ > maxBytes_) {
    const std::string* oldest = order_.front();
    memoryBytes_ -= memoryOf(*oldest);
    order_.pop_front();
    messages_.erase(messages_.find(*oldest));
  }
}

std::optional<FinishedMessage> FinishedReferences::find(std::string_view reference) const {
  auto entry = messages_.find(std::string(reference));
  if (entry == messages_.end()) return std::nullopt;
  return entry->second;
}

std::string FinishedReferences::encodeLatest(std::size_t maxBytes) const {
  std::vector<std::string> latestFirst;
  std::size_t bytes = 0;
  for (const std::string* reference : std::views::reverse(order_)) {
    std::string frame = Journal::framed(encodeExecuted({*reference, messages_.at(*reference)}));
    bytes += frame.size();
    if (bytes > maxBytes) break;
    latestFirst.push_back(std::move(frame));
  }
  std::string frames;
  for (const std::string& frame : std::views::reverse(latestFirst)) frames += frame;
  return frames;
}

}  // namespace stonewing
