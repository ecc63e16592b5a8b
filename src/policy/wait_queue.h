#pragma once

#include <compare>
#include <initializer_list>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "base/ids.h"

// The waiting messages of one destination, indexed so that the cost of a decision depends on the number of
// due messages and not on the number of waiting ones.
//
// Owns: the ids of the waiting messages, by class and deadline. MessageRegistry writes it; other modules read
// it.
namespace stonewing {

// A class of messages of one destination whose weight depends on the deadline in the same way.
struct WaitClass {
  TrafficTypeId type{};
  bool overQuota{false};
  bool attempted{false};  // had at least one attempt; none is pending now
  auto operator<=>(const WaitClass&) const = default;
};

// Sorted by deadline and, for equal deadlines, by id, which is the order of acceptance.
using WaitList = std::set<std::pair<Millis, MessageId>>;

// Removes a list together with its last message, so none of its lists is empty.
class WaitQueue {
 public:
  void add(const WaitClass& waitClass, Millis deadline, MessageId id) {
    lists_[waitClass].insert({deadline, id});
  }
  // Ignores a message that is not in the queue.
  void remove(const WaitClass& waitClass, Millis deadline, MessageId id) {
    auto found = lists_.find(waitClass);
    if (found == lists_.end()) return;
    found->second.erase({deadline, id});
    if (found->second.empty()) lists_.erase(found);
  }
  bool empty() const { return lists_.empty(); }
  const std::map<WaitClass, WaitList>& lists() const { return lists_; }

  // Visits the first message of a list, which must not be empty, and for each given deadline its neighbours:
  // the first message at or after it, and the first of the messages with the latest deadline before it. A
  // message may be visited more than once.
  template <class Visit>
  static void visitAround(const WaitList& list, std::initializer_list<Millis> deadlines, Visit visit) {
    visit(list.begin()->second);
    for (Millis deadline : deadlines) {
      auto next = list.lower_bound({deadline, MessageId{0}});
      if (next != list.end()) visit(next->second);
      if (next == list.begin()) continue;
      Millis latestBefore = std::prev(next)->first;
      visit(list.lower_bound({latestBefore, MessageId{0}})->second);
    }
  }

 private:
  std::map<WaitClass, WaitList> lists_;
};

}  // namespace stonewing
