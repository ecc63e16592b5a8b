#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stonewing::lab {

// The mean of paired differences, with its bootstrap confidence interval of 95%.
struct Difference {
  double mean{0};
  double low{0};   // lower end of the interval
  double high{0};  // upper end of the interval
  std::size_t pairs{0};

  // "better" or "worse", by whether a larger value is better; "cannot tell" if the interval holds zero or
  // there are fewer than three pairs.
  const char* verdict(bool moreIsBetter) const;
};

// Compares run n of `a` with run n of `b`; the differences are b - a. The bootstrap has a fixed seed, so that
// the same values give the same interval. Throws std::invalid_argument if `a` and `b` differ in size.
Difference paired(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace stonewing::lab
