#include "lab/compare.h"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace stonewing::lab {
namespace {

constexpr int kResamples = 4000;
constexpr double kTail = 0.025;  // share of the means below the interval, and above it
// With fewer pairs the interval is not meaningful, and the verdict is "cannot tell".
constexpr std::size_t kMinPairs = 3;

}  // namespace

Difference paired(const std::vector<double>& a, const std::vector<double>& b) {
  if (a.size() != b.size())
    throw std::invalid_argument("paired comparison needs as many values on both sides");
  Difference difference;
  difference.pairs = a.size();
  if (a.empty()) return difference;
  std::vector<double> differences;
  for (std::size_t n = 0; n < a.size(); ++n) differences.push_back(b[n] - a[n]);
  auto mean = [](const std::vector<double>& values) {
    double sum = 0;
    for (double x : values) sum += x;
    return sum / static_cast<double>(values.size());
  };
  difference.mean = mean(differences);
  std::mt19937 randomEngine(20240229);
  std::vector<double> means;
  std::vector<double> resample(differences.size());
  for (int n = 0; n < kResamples; ++n) {
    for (double& x : resample) x = differences[randomEngine() % differences.size()];
    means.push_back(mean(resample));
  }
  std::sort(means.begin(), means.end());
  difference.low = means[static_cast<std::size_t>(kTail * kResamples)];
  difference.high = means[static_cast<std::size_t>((1 - kTail) * kResamples) - 1];
  return difference;
}

const char* Difference::verdict(bool moreIsBetter) const {
  if (pairs < kMinPairs || (low <= 0 && high >= 0)) return "cannot tell";
  return (mean > 0) == moreIsBetter ? "better" : "worse";
}

}  // namespace stonewing::lab
