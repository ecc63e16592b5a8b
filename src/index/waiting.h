#pragma once

#include <compare>
#include <initializer_list>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "core/ids.h"

// Where callbacks stand while they wait, so that a decision costs by what is due and not by what is held.
// Plain state; what follows from it is decided elsewhere.
namespace stonewing {

// Callbacks of one destination whose gains run alike.
struct WaitKind {
  TrafficTypeId type{};
  bool overShare{false};
  bool launched{false};  // at least once, and none is out
  auto operator<=>(const WaitKind&) const = default;
};

// By outer limit; of equal ones the one that was taken first comes first.
using WaitLine = std::set<std::pair<Millis, CallbackId>>;

// The lines of one destination; a line that runs empty is dropped.
class Waiting {
 public:
  void add(const WaitKind& kind, Millis outerLimit, CallbackId id) { lines_[kind].insert({outerLimit, id}); }
  void remove(const WaitKind& kind, Millis outerLimit, CallbackId id) {
    auto at = lines_.find(kind);
    if (at == lines_.end()) return;
    at->second.erase({outerLimit, id});
    if (at->second.empty()) lines_.erase(at);
  }
  bool empty() const { return lines_.empty(); }
  const std::map<WaitKind, WaitLine>& lines() const { return lines_; }

  // The first of a line and, for each outer limit, those on both sides of it: the first at or after it, and
  // the first of those that share the latest one before it.
  template <class Visit>
  static void beside(const WaitLine& line, std::initializer_list<Millis> limits, Visit visit) {
    visit(line.begin()->second);
    for (Millis limit : limits) {
      auto at = line.lower_bound({limit, CallbackId{0}});
      if (at != line.end()) visit(at->second);
      if (at != line.begin()) visit(line.lower_bound({std::prev(at)->first, CallbackId{0}})->second);
    }
  }

 private:
  std::map<WaitKind, WaitLine> lines_;
};

}  // namespace stonewing
