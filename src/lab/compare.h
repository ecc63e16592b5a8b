#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stonewing::lab {

// The mean of paired differences with a bootstrap interval.
struct Difference {
  double mean{0};
  double low{0};  // of the middle 95 of 100
  double high{0};
  std::size_t pairs{0};

  // "better", "worse" or "cannot tell", where more is better, or less.
  const char* verdict(bool moreIsBetter) const;
};

// Chance is fixed: the same pairs give the same interval.
Difference paired(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace stonewing::lab
