#include "policy/backlog.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace stonewing {
namespace {

bool isDueEarlier(const BacklogEntry& a, const BacklogEntry& b) {
  return std::tie(a.deadline, a.message) < std::tie(b.deadline, b.message);
}

// For a queue whose first element has the least weight and, among equals, was accepted first.
bool isShedLater(const BacklogEntry& a, const BacklogEntry& b) {
  return std::tie(a.weight, a.message) > std::tie(b.weight, b.message);
}

}  // namespace

std::vector<MessageId> excessOf(std::vector<BacklogEntry> backlog, const BacklogCapacity& capacity) {
  std::sort(backlog.begin(), backlog.end(), isDueEarlier);
  std::priority_queue<BacklogEntry, std::vector<BacklogEntry>, decltype(&isShedLater)> candidates(
      isShedLater);
  std::vector<MessageId> excess;
  int kept = 0;
  for (const BacklogEntry& entry : backlog) {
    ++kept;
    candidates.push(entry);
    Millis lastSentAt = capacity.startAt + (kept - 1) * capacity.interval;
    if (lastSentAt <= entry.deadline) continue;
    excess.push_back(candidates.top().message);
    candidates.pop();
    --kept;
  }
  return excess;
}

}  // namespace stonewing
