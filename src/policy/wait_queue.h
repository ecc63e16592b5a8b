#pragma once

#include <compare>
#include <initializer_list>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "base/ids.h"

// The messages of one destination that wait, so that a decision costs by what is due and not by how many
// wait.
//
// Owns: which messages wait, by class and deadline. MessageRegistry writes it; other modules read it.
namespace stonewing {

// Messages of one destination whose weight changes alike.
struct WaitClass {
  TrafficTypeId type{};
  bool overQuota{false};
  bool attempted{false};  // at least once, with no attempt pending now
  auto operator<=>(const WaitClass&) const = default;
};

// By deadline; of equal ones the one that was accepted first comes first.
using WaitList = std::set<std::pair<Millis, MessageId>>;

// A list that runs empty is dropped, so no list in it is ever empty.
class WaitQueue {
 public:
  void add(const WaitClass& waitClass, Millis deadline, MessageId id) {
    lists_[waitClass].insert({deadline, id});
  }
  // What is not in it is ignored.
  void remove(const WaitClass& waitClass, Millis deadline, MessageId id) {
    auto found = lists_.find(waitClass);
    if (found == lists_.end()) return;
    found->second.erase({deadline, id});
    if (found->second.empty()) lists_.erase(found);
  }
  bool empty() const { return lists_.empty(); }
  const std::map<WaitClass, WaitList>& lists() const { return lists_; }

  // Visits the first message of a list (not empty) and, for each given deadline, its neighbours: the first
  // message at or after it, and the first of those that share the latest deadline before it. A message may be
  // visited more than once.
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
