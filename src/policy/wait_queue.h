#pragma once

#include <compare>
#include <initializer_list>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "base/ids.h"

// Where messages stand while they wait, so that a decision costs by what is due and not by what is held.
// Plain state; what follows from it is decided elsewhere.
namespace stonewing {

// Messages of one destination whose gains run alike.
struct WaitClass {
  TrafficTypeId type{};
  bool overQuota{false};
  bool attempted{false};  // at least once, and none is out
  auto operator<=>(const WaitClass&) const = default;
};

// By deadline; of equal ones the one that was taken first comes first.
using WaitList = std::set<std::pair<Millis, MessageId>>;

// The lines of one destination; a line that runs empty is dropped.
class WaitQueue {
 public:
  void add(const WaitClass& kind, Millis outerLimit, MessageId id) { lists_[kind].insert({outerLimit, id}); }
  void remove(const WaitClass& kind, Millis outerLimit, MessageId id) {
    auto at = lists_.find(kind);
    if (at == lists_.end()) return;
    at->second.erase({outerLimit, id});
    if (at->second.empty()) lists_.erase(at);
  }
  bool empty() const { return lists_.empty(); }
  const std::map<WaitClass, WaitList>& lists() const { return lists_; }

  // The first of a line and, for each deadline, those on both sides of it: the first at or after it, and
  // the first of those that share the latest one before it.
  template <class Visit>
  static void visitAround(const WaitList& line, std::initializer_list<Millis> limits, Visit visit) {
    visit(line.begin()->second);
    for (Millis limit : limits) {
      auto at = line.lower_bound({limit, MessageId{0}});
      if (at != line.end()) visit(at->second);
      if (at != line.begin()) visit(line.lower_bound({std::prev(at)->first, MessageId{0}})->second);
    }
  }

 private:
  std::map<WaitClass, WaitList> lists_;
};

}  // namespace stonewing
