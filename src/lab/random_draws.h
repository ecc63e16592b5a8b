#pragma once

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <vector>

#include "lab/experiment.h"

// Chance in the laboratory. Everything is drawn from std::mt19937, so that a seed reproduces a whole day.
namespace stonewing::lab {

inline double uniform(std::mt19937& randomEngine) {
  return (static_cast<double>(randomEngine()) + 0.5) / 4294967296.0;
}

inline Millis drawDuration(const DurationDistribution& distribution, std::mt19937& randomEngine) {
  switch (distribution.shape) {
    case DistributionShape::fixed:
      return distribution.median;
    case DistributionShape::lognormal: {
      // Box and Muller; the library's own distribution keeps a second value between calls.
      double radius = std::sqrt(-2 * std::log(uniform(randomEngine)));
      double normal = radius * std::cos(2 * std::numbers::pi * uniform(randomEngine));
      return distribution.median * std::exp(distribution.spread * normal);
    }
    case DistributionShape::pareto: {
      Millis least = distribution.median / std::pow(2, 1 / distribution.spread);
      return least / std::pow(uniform(randomEngine), 1 / distribution.spread);
    }
  }
  return distribution.median;
}

inline Millis meanOf(const DurationDistribution& distribution) {
  switch (distribution.shape) {
    case DistributionShape::lognormal:
      return distribution.median * std::exp(distribution.spread * distribution.spread / 2);
    case DistributionShape::pareto:
      return distribution.median / std::pow(2, 1 / distribution.spread) * distribution.spread /
             (distribution.spread - 1);
    default:
      return distribution.median;
  }
}

// Picks places 0 .. n-1, the one of rank r with a weight of r to the power of minus the exponent.
class ZipfDistribution {
 public:
  ZipfDistribution(int n, double exponent) {
    double sum = 0;
    for (int rank = 1; rank <= n; ++rank) cumulativeWeights_.push_back(sum += std::pow(rank, -exponent));
  }
  int pick(std::mt19937& randomEngine) const {
    auto at = std::upper_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(),
                               uniform(randomEngine) * cumulativeWeights_.back());
    return static_cast<int>(
        std::min<std::ptrdiff_t>(at - cumulativeWeights_.begin(), std::ssize(cumulativeWeights_) - 1));
  }

 private:
  std::vector<double> cumulativeWeights_;
};

// When messages are due: a Poisson process whose rate follows the plan, by thinning one of the top rate.
class ArrivalProcess {
 public:
  explicit ArrivalProcess(const Experiment& experiment) : experiment_(experiment) {}
  double perSecond(Millis at) const {
    const LoadSettings& l = experiment_.load;
    double rate = l.perSecond;
    if (l.arrivals == ArrivalShape::bursts) {
      bool on = std::fmod(at, l.burstOn + l.burstOff) >= l.burstOff;
      rate *= on ? l.burstFactor : 1;
    } else if (l.arrivals == ArrivalShape::ramp) {
      double progress = std::clamp(at / std::max(1.0, experiment_.duration), 0.0, 1.0);
      double up = std::clamp((progress - 0.3) / 0.2, 0.0, 1.0);  // level, a ramp, the top, and back
      double down = std::clamp((progress - 0.7) / 0.2, 0.0, 1.0);
      rate *= 1 + (l.rampFactor - 1) * (up - down);
    }
    return rate * (1 + surgeShare(at));
  }
  // What the surging tenant adds, of the whole rate.
  double surgeShare(Millis at) const {
    const LoadSettings& l = experiment_.load;
    bool on = l.surgeTenant >= 0 && at >= l.surgeFrom && at < l.surgeUntil;
    return on ? (l.surgeFactor - 1) / l.tenants : 0;
  }
  // A clump counts as many times as it is large, so that the rate is that of messages.
  Millis next(Millis after, std::mt19937& randomEngine) const {
    const LoadSettings& l = experiment_.load;
    double arrivalsPerMessage = 1 - l.clumpShare + l.clumpShare / std::max(1, l.clumpSize);
    double maxRate = l.perSecond *
                     std::max(l.arrivals == ArrivalShape::bursts ? l.burstFactor : 1.0,
                              l.arrivals == ArrivalShape::ramp ? l.rampFactor : 1.0) *
                     (l.surgeTenant >= 0 ? 1 + (l.surgeFactor - 1) / l.tenants : 1);
    for (;;) {
      after += -std::log(uniform(randomEngine)) / (maxRate * arrivalsPerMessage) * 1000;
      if (uniform(randomEngine) * maxRate <= perSecond(after)) return after;
    }
  }

 private:
  const Experiment& experiment_;
};

}  // namespace stonewing::lab
