#include "lab/compare.h"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace stonewing::lab {
namespace {

constexpr int kResamples = 4000;
constexpr double kTail = 0.025;
constexpr std::size_t kPairsLeast = 3;  // fewer tell nothing

}  // namespace

Difference paired(const std::vector<double>& a, const std::vector<double>& b) {
  if (a.size() != b.size()) throw std::invalid_argument("the two sides have unlike numbers of days");
  Difference d;
  d.pairs = a.size();
  if (a.empty()) return d;
  std::vector<double> gaps;
  for (std::size_t n = 0; n < a.size(); ++n) gaps.push_back(b[n] - a[n]);
  auto mean = [](const std::vector<double>& all) {
    double sum = 0;
    for (double x : all) sum += x;
    return sum / static_cast<double>(all.size());
  };
  d.mean = mean(gaps);
  std::mt19937 randomEngine(20240229);
  std::vector<double> means;
  std::vector<double> drawn(gaps.size());
  for (int n = 0; n < kResamples; ++n) {
    for (double& x : drawn) x = gaps[randomEngine() % gaps.size()];
    means.push_back(mean(drawn));
  }
  std::sort(means.begin(), means.end());
  d.low = means[static_cast<std::size_t>(kTail * kResamples)];
  d.high = means[static_cast<std::size_t>((1 - kTail) * kResamples) - 1];
  return d;
}

const char* Difference::verdict(bool moreIsBetter) const {
  if (pairs < kPairsLeast || (low <= 0 && high >= 0)) return "cannot tell";
  return (mean > 0) == moreIsBetter ? "better" : "worse";
}

}  // namespace stonewing::lab
